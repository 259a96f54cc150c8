// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <vector>

#include "poppyway/settings.h"

namespace poppyway::cli {

/// \brief One class of callers in a load plan.
struct LoadClass {
  std::string m_name;
  std::string m_event;
  std::string m_workspace;
  int m_tier = 0;              ///< For the report only; the event decides.
  std::string m_service_path;  ///< Empty for a model call.
  std::string m_method = "POST";
  double m_rate = 0;               ///< Arrivals a second, all through.
  std::int64_t m_opening = 0;      ///< Arrivals spread over the opening seconds.
  std::int64_t m_prompt_min = 20;  ///< Prompt tokens, log-uniform between the two.
  std::int64_t m_prompt_max = 200;
  std::int64_t m_output_min = 8;
  std::int64_t m_output_max = 32;
  std::int64_t m_shared_prefix = 0;  ///< Prompt tokens shared within the class.
  std::int64_t m_deadline_ms = 10000;
  bool m_key = false;  ///< Sends an Idempotency-Key.
  bool m_stream = true;
};

/// \brief A bounded load.
struct LoadPlan {
  std::vector<LoadClass> m_classes;
  double m_duration_s = 10;
  double m_opening_s = 5;
};

/// \brief Reads a load plan (YAML).
[[nodiscard]] Result<LoadPlan> ReadLoadPlan(const std::string& path);

/// \brief One planned request.
struct PlannedRequest {
  Duration m_at{};
  std::size_t m_class = 0;
  std::string m_prompt;
  std::int64_t m_output_tokens = 1;
  std::uint64_t m_number = 0;
};

/// \brief All requests of the plan in order of time; the same for the same seed.
[[nodiscard]] std::vector<PlannedRequest> Plan(const LoadPlan& plan, std::uint64_t seed);

}  // namespace poppyway::cli
