// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine_model.h"
#include "poppyway/policy.h"
#include "poppyway/telemetry.h"

namespace poppyway::bench {

/// \brief How requests find their engine.
enum class Strategy : std::uint8_t {
  kPoppyway,
  kRoundRobin,
  kLeastReported,  ///< Least load by the engines' (old) reports.
  kTwoChoices,     ///< The less loaded of two random engines, by the same reports.
  kPrefixHash,     ///< Rendezvous hash of the prompt's prefix.
};
[[nodiscard]] std::string NameOf(Strategy strategy);

/// \brief One caller's request.
struct Arrival {
  Instant m_at{};
  int m_gateway = 0;
  Tier m_tier = 0;
  std::string m_workspace;
  std::int64_t m_prompt_tokens = 1;
  std::vector<std::uint64_t> m_prefixes;
  std::int64_t m_output_tokens = 1;
  Duration m_deadline{};
};

/// \brief A fleet, its load, and what goes wrong.
struct Scenario {
  std::string m_name;
  int m_gateways = 7;
  std::vector<std::string> m_generations;  ///< Of each engine.
  int m_slots = 8;
  std::int64_t m_prefill_budget = 16384;
  std::vector<Arrival> m_arrivals;  ///< In order of time.
  Duration m_length{};
  Duration m_report_age{100'000};
  Duration m_message_delay{300};
  Instant m_slow_at{};       ///< When one engine in ten falls to a third of its speed.
  Instant m_broker_lost{};   ///< When the broker's process dies.
  Instant m_gateway_lost{};  ///< When gateway 0 dies.
  BrokerSettings m_broker;   ///< Rules of the broker.
};

/// \brief What came of one tier.
struct TierResult {
  std::int64_t m_offered = 0;
  std::int64_t m_good = 0;  ///< Whole and in time.
  std::int64_t m_late = 0;
};

/// \brief What came of a run.
struct Outcome {
  std::array<TierResult, kTiers> m_tiers;
  std::map<std::string, std::int64_t> m_refusals;  ///< By reason.
  std::map<std::string, std::int64_t> m_wasted;    ///< Prompt tokens by cause.
  std::map<std::string, std::int64_t> m_good_by_workspace;
  std::int64_t m_prefilled = 0;
  std::int64_t m_over_budget = 0;      ///< Dispatches on a broker's credit over an engine's slots.
  std::int64_t m_over_fair_share = 0;  ///< The same without a broker, by fair share.
  DurationHistogram m_first_token;
  DurationHistogram m_between_tokens;
  std::vector<std::string> m_violations;  ///< Of the invariants; at most a few are kept.
  Duration m_slow_share_halved{-1};  ///< After the slow-down, until slow engines' share has fallen.
};

[[nodiscard]] std::int64_t GoodOf(const Outcome& outcome);
[[nodiscard]] std::int64_t OfferedOf(const Outcome& outcome);
[[nodiscard]] std::int64_t WastedOf(const Outcome& outcome);

/// \brief Runs a scenario; the same arguments give the same outcome.
[[nodiscard]] Outcome RunFleet(const Scenario& scenario, Strategy strategy, std::uint64_t seed);

}  // namespace poppyway::bench
