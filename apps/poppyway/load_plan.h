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
  int m_tier = 0;              ///< Used in the report only; the event sets the request's tier.
  std::string m_service_path;  ///< Path of a service request; empty for a model request.
  std::string m_method = "POST";
  double m_rate = 0;               ///< Arrivals per second over the whole load.
  std::int64_t m_opening = 0;      ///< Arrivals spread evenly over m_opening_s.
  std::int64_t m_prompt_min = 20;  ///< Prompt lengths, in tokens, are log-uniform in [min, max].
  std::int64_t m_prompt_max = 200;
  std::int64_t m_output_min = 8;  ///< Output lengths, in tokens, are log-uniform in [min, max].
  std::int64_t m_output_max = 32;
  std::int64_t m_shared_prefix = 0;  ///< Tokens of a prefix that all prompts of the class share.
  std::int64_t m_deadline_ms = 10000;
  bool m_key = false;    ///< Whether requests carry an Idempotency-Key.
  bool m_stream = true;  ///< Whether model responses are streamed.
};

/// \brief A load of limited duration.
struct LoadPlan {
  std::vector<LoadClass> m_classes;
  double m_duration_s = 10;
  double m_opening_s = 5;
};

/// \brief Reads a load plan from a YAML file.
/// \return the plan, or kBadSettings if the file is unreadable or invalid.
[[nodiscard]] Result<LoadPlan> ReadLoadPlan(const std::string& path);

/// \brief One planned request.
struct PlannedRequest {
  Duration m_at{};          ///< Time of arrival since the start of the load.
  std::size_t m_class = 0;  ///< Index into LoadPlan::m_classes.
  std::string m_prompt;
  std::int64_t m_output_tokens = 1;
  std::uint64_t m_number = 0;  ///< Unique within the load.
};

/// \brief Generates all requests of the plan, at most 1,000,000, sorted by time. The result is
/// deterministic for a given seed.
[[nodiscard]] std::vector<PlannedRequest> Plan(const LoadPlan& plan, std::uint64_t seed);

}  // namespace poppyway::cli
