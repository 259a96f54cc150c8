// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy/impl/admission_queue.h"
#include "poppyway/policy/impl/prefix_index.h"
#include "poppyway/policy/impl/rate_estimate.h"
#include "poppyway/policy/impl/shed_floor.h"

namespace poppyway {

/// \brief Identifies a credit: the broker's epoch in the upper half, a count in the lower one. Ids
/// are never reused.
using CreditId = std::int64_t;

/// \brief The right to dispatch one request to one engine.
struct Credit {
  CreditId m_id = 0;
  RequestRef m_ref = 0;  ///< Zero for a pregranted credit.
  std::string m_engine;
  std::int64_t m_prompt_tokens = 0;  ///< Maximum of prompt tokens that it covers.

  friend bool operator==(const Credit&, const Credit&) = default;
};

/// \brief The stage that a credit's use has reached.
enum class UseStage : std::uint8_t { kFirstToken, kFinished, kReturned, kFailed };

/// \brief A gateway's report on the use of a credit.
struct CreditUse {
  CreditId m_id = 0;
  UseStage m_stage = UseStage::kReturned;
  Duration m_elapsed{};  ///< Time from dispatch to this stage.

  friend bool operator==(const CreditUse&, const CreditUse&) = default;
};

/// \brief A message from a gateway to the broker.
struct GatewayDemand {
  std::string m_gateway;       ///< The gateway's incarnation.
  bool m_resync = false;       ///< Set in the first message on a connection: `m_held` is complete.
  std::vector<Credit> m_held;  ///< Credits that the broker adopts if it doesn't know them.
  std::vector<WaitingRequest>
      m_items;  ///< First requests of its queue; replaces the previous list.
  TierCounts m_waiting{};
  std::vector<CreditUse> m_uses;
  std::int64_t m_floor_ack = 0;
};

/// \brief A message from the broker to a gateway.
struct GrantBatch {
  std::string m_gateway;
  std::vector<Credit> m_credits;
  std::vector<RequestRef> m_infeasible;  ///< Requests whose deadline no engine can meet.
  Tier m_floor = kTiers;
  std::int64_t m_floor_epoch = 0;
  bool m_contended = false;  ///< Unspent pregranted credits have to be returned.
  double m_drain_per_s = 0;
  int m_gateways = 1;
  TierCounts m_backlog{};
};

/// \brief The broker's parameters.
struct BrokerSettings {
  Duration m_lease{3'000'000};
  Duration m_lease_margin{500'000};
  double m_fallback_rate = 8000;     ///< Prefill tokens per second before the first observation.
  double m_pregranted_share = 0.25;  ///< Share of all slots that is pregranted to gateways.
  std::int64_t m_pregranted_tokens = 512;  ///< Prompt tokens that a pregranted credit covers.
  std::size_t m_prefix_capacity = 512;     ///< Prefix hashes stored for each engine.
  double m_long_share = 0.125;    ///< A prompt above this share of a prefill budget is long.
  double m_ejected_share = 0.33;  ///< Maximum share of engines ejected at once.
  bool m_use_affinity = true;
  bool m_use_observed_rates = true;
  bool m_wait_for_acknowledgement = true;  ///< False only to show what the rule prevents.
};

/// \brief The configured limits of one engine.
struct EngineBudget {
  std::string m_id;
  std::int64_t m_slots = 0;
  std::int64_t m_prefill_tokens = 0;

  friend bool operator==(const EngineBudget&, const EngineBudget&) = default;
};

/// \brief The broker's state of one engine.
struct BrokerEngine {
  EngineBudget m_budget;
  bool m_withdrawn = false;  ///< No longer configured; kept for its outstanding credits.
  std::int64_t m_used_slots = 0;
  /// Prompt tokens, less cached prefixes, of credits in use that have had no first token yet.
  std::int64_t m_used_prefill = 0;
  RateEstimate m_rate;
  int m_failures = 0;  ///< Consecutive failed connections.
  Instant m_ejected_until{};
};

/// \brief An outstanding credit.
struct IssuedCredit {
  std::string m_gateway;
  RequestRef m_ref = 0;
  std::uint32_t m_engine = 0;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_new_tokens = 0;  ///< Prompt tokens less the prefix expected in the engine's cache.
  std::int64_t m_ahead_tokens = 0;  ///< Prompt tokens to prefill on the engine before these.
  Instant m_issued{};
  bool m_first_token = false;
};

/// \brief The broker's state of one gateway.
struct BrokerGateway {
  Instant m_expires{};
  std::int64_t m_floor_ack = 0;
  std::vector<WaitingRequest> m_items;
  TierCounts m_waiting{};
  int m_pregranted = 0;
};

/// \brief Returns the ids of the engines that may serve an event's request for a model.
using EligibleFn =
    std::function<std::vector<std::string>(const std::string& event, const std::string& model)>;

/// \brief The state of one pool's broker: plain data, changed by the functions below.
struct Broker {
  BrokerSettings m_settings;
  std::int64_t m_epoch = 0;
  std::int64_t m_next_credit = 1;
  Instant m_recovering_until{};  ///< No grants before, unless all live gateways resynced.
  int m_live_gateways = 0;       ///< Live gateways by membership; zero if unknown.
  std::vector<BrokerEngine> m_engines;
  std::map<std::string, std::uint32_t> m_engine_index;
  std::map<std::string, BrokerGateway> m_gateways;
  std::map<CreditId, IssuedCredit> m_credits;
  std::map<std::pair<std::string, RequestRef>, CreditId> m_by_ref;
  std::array<std::map<std::string, double>, kTiers> m_served;  ///< Virtual work by workspace.
  std::map<std::string, std::int64_t> m_weights;
  ShedFloor m_floor;
  PrefixIndex m_prefixes{512};
  std::array<double, kTiers> m_patience_s{};  ///< Mean time from arrival to deadline, by tier.
  double m_mean_hold_s = 0;
  std::int64_t m_finished = 0;
  EligibleFn m_eligible;
};

/// \brief Returns a broker that acquired the lease with `epoch` at `now`.
///
/// It grants nothing until every live gateway has reported its credits, or until the predecessor's
/// credits have expired.
[[nodiscard]] Broker MakeBroker(const BrokerSettings& settings, std::int64_t epoch, Instant now);

/// \brief Applies a new configuration. Engines that it doesn't list are withdrawn, but their state
/// is kept.
void UpdateEngines(Broker& broker,
                   const std::vector<EngineBudget>& engines,
                   std::map<std::string, std::int64_t> weights,
                   EligibleFn eligible);

/// \brief Handles a gateway's message; returns the messages to send, to this gateway and to others.
[[nodiscard]] std::vector<GrantBatch> HandleDemand(Broker& broker,
                                                   const GatewayDemand& demand,
                                                   Instant now);

/// \brief Expires gateways, moves the floor and grants credits; returns the messages to send. Call
/// it every few milliseconds.
[[nodiscard]] std::vector<GrantBatch> TickBroker(Broker& broker, Instant now);

/// \brief Returns the requests waiting at all gateways, by tier.
[[nodiscard]] TierCounts Backlog(const Broker& broker);

/// \brief Returns the requests that the pool finishes per second at its current concurrency, or 0
/// while unknown.
[[nodiscard]] double DrainRate(const Broker& broker);

/// \brief Returns the engines whose observed prefill rate is below half the median of all engines.
[[nodiscard]] std::vector<std::string> SlowEngines(const Broker& broker);

namespace impl {

/// \brief Frees the slot and prefill budget of a credit and removes it.
void ReleaseCredit(Broker& broker, std::map<CreditId, IssuedCredit>::iterator credit);

/// \brief Issues a credit on `engine` to a gateway, for `request` or, if its reference is zero,
/// pregranted.
Credit IssueCredit(Broker& broker,
                   const std::string& gateway,
                   const WaitingRequest& request,
                   std::uint32_t engine,
                   Instant now);

/// \brief The oldest credit of an engine that still waits for its first token.
struct Overdue {
  Duration m_age{};           ///< Time since it was issued.
  std::int64_t m_tokens = 0;  ///< Prompt tokens to prefill until then, including its own.
};
/// \brief Returns the oldest such credit of each engine, in the order of `Broker::m_engines`; zeros
/// where there is none.
[[nodiscard]] std::vector<Overdue> OldestAwaitingFirstToken(const Broker& broker, Instant now);

/// \brief Grants credits to waiting requests, highest tier first, and appends them to `batches` by
/// gateway.
void GrantWaiting(Broker& broker, Instant now, std::map<std::string, GrantBatch>& batches);

/// \brief Issues pregranted credits up to each gateway's share, unless a request waits.
void GrantPregranted(Broker& broker, Instant now, std::map<std::string, GrantBatch>& batches);

}  // namespace impl
}  // namespace poppyway
