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

/// \brief Rule by which a request is assigned to an engine.
enum class Strategy : std::uint8_t {
  kPoppyway,
  kRoundRobin,
  kLeastReported,  ///< The least loaded engine by the last, delayed load reports.
  kTwoChoices,     ///< The less loaded of two random engines by those reports.
  kPrefixHash,     ///< Rendezvous hashing of the prompt's prefix.
};
/// \brief Returns the name that the reports print.
[[nodiscard]] std::string NameOf(Strategy strategy);

/// \brief One request of a scenario.
struct Arrival {
  Instant m_at{};
  int m_gateway = 0;
  Tier m_tier = 0;
  std::string m_workspace;
  std::int64_t m_prompt_tokens = 1;
  std::vector<std::uint64_t> m_prefixes;
  std::int64_t m_output_tokens = 1;
  Duration m_deadline{};  ///< Relative to m_at.
};

/// \brief A fleet, its load and the faults that are injected.
struct Scenario {
  std::string m_name;
  int m_gateways = 7;
  std::vector<std::string> m_generations;  ///< Hardware generation of each engine.
  int m_slots = 8;
  std::int64_t m_prefill_budget = 16384;  ///< Prompt tokens in flight per engine.
  std::vector<Arrival> m_arrivals;        ///< Sorted by time.
  Duration m_length{};                    ///< Time in which the requests arrive.
  Duration m_report_age{100'000};         ///< Interval of the engines' load reports.
  Duration m_message_delay{300};          ///< One way, between gateway and broker.
  Instant m_slow_at{};       ///< When one engine in ten slows down to a third of its speed.
  Instant m_broker_lost{};   ///< When the broker's process is killed; zero for never.
  Instant m_gateway_lost{};  ///< When gateway 0 is killed; zero for never.
  BrokerSettings m_broker;   ///< Settings of the broker.
};

/// \brief Results of one tier.
struct TierResult {
  std::int64_t m_offered = 0;
  std::int64_t m_good = 0;  ///< Completed before the deadline.
  std::int64_t m_late = 0;  ///< Completed after the deadline.
};

/// \brief Results of a run.
struct Outcome {
  std::array<TierResult, kTiers> m_tiers;
  std::map<std::string, std::int64_t> m_refusals;  ///< Requests that were not completed, by reason.
  std::map<std::string, std::int64_t>
      m_wasted;  ///< Prompt tokens that were prefilled in vain, by cause.
  std::map<std::string, std::int64_t> m_good_by_workspace;
  std::int64_t m_prefilled = 0;
  std::int64_t m_over_budget = 0;  ///< Dispatches on a broker's credit beyond an engine's slots.
  std::int64_t m_over_fair_share = 0;  ///< The same for fair-share dispatches without a broker.
  DurationHistogram m_first_token;
  DurationHistogram m_between_tokens;
  std::vector<std::string> m_violations;  ///< Broken invariants; only the first 5 are kept.
  /// Time from the slow-down until the slow engines' share of dispatches halved; -1 us for never.
  Duration m_slow_share_halved{-1};
};

/// \brief Requests of all tiers that were completed before their deadline.
[[nodiscard]] std::int64_t GoodOf(const Outcome& outcome);
/// \brief Requests of all tiers.
[[nodiscard]] std::int64_t OfferedOf(const Outcome& outcome);
/// \brief Prompt tokens that were prefilled in vain, over all causes.
[[nodiscard]] std::int64_t WastedOf(const Outcome& outcome);

/// \brief Simulates a scenario. The outcome is deterministic for the same arguments. Concurrent
/// calls are safe.
[[nodiscard]] Outcome RunFleet(const Scenario& scenario, Strategy strategy, std::uint64_t seed);

}  // namespace poppyway::bench
