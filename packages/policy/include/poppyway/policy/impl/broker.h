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

/// \brief Names a credit for ever: the broker's epoch in the upper half, a count in the lower.
using CreditId = std::int64_t;

/// \brief The right to dispatch one request to one engine.
struct Credit {
  CreditId m_id = 0;
  RequestRef m_ref = 0;  ///< Zero for a standing credit.
  std::string m_engine;
  std::int64_t m_prompt_tokens = 0;  ///< Most prompt tokens it pays for.

  friend bool operator==(const Credit&, const Credit&) = default;
};

/// \brief How far a gateway got with a credit.
enum class UseStage : std::uint8_t { kFirstToken, kFinished, kReturned, kFailed };

/// \brief A gateway's word on one of its credits.
struct CreditUse {
  CreditId m_id = 0;
  UseStage m_stage = UseStage::kReturned;
  Duration m_elapsed{};  ///< From dispatch to this stage.

  friend bool operator==(const CreditUse&, const CreditUse&) = default;
};

/// \brief One message of a gateway to the broker.
struct GatewayDemand {
  std::string m_gateway;                ///< Incarnation.
  bool m_resync = false;                ///< First on a connection: `m_held` is complete.
  std::vector<Credit> m_held;           ///< Credits to adopt if the broker doesn't know them.
  std::vector<WaitingRequest> m_items;  ///< Heads of its queue; replaces the former list.
  TierCounts m_waiting{};
  std::vector<CreditUse> m_uses;
  std::int64_t m_floor_ack = 0;
};

/// \brief One message of the broker to a gateway.
struct GrantBatch {
  std::string m_gateway;
  std::vector<Credit> m_credits;
  std::vector<RequestRef> m_infeasible;  ///< Requests whose deadline no engine can meet.
  Tier m_floor = kTiers;
  std::int64_t m_floor_epoch = 0;
  bool m_contended = false;  ///< Standing credits that are unspent go back.
  double m_drain_per_s = 0;
  int m_gateways = 1;
  TierCounts m_backlog{};
};

/// \brief Constants of the broker's rules.
struct BrokerSettings {
  Duration m_lease{3'000'000};
  Duration m_lease_margin{500'000};
  double m_fallback_rate = 8000;         ///< Prefill tokens a second before any observation.
  double m_pregranted_share = 0.25;      ///< Part of all slots that stands with gateways.
  std::int64_t m_standing_tokens = 512;  ///< Prompt tokens that a standing credit pays for.
  std::size_t m_prefix_capacity = 512;   ///< Prefix hashes remembered for each engine.
  double m_long_share = 0.125;           ///< A prompt over this share of a budget is long.
  double m_ejected_share = 0.33;         ///< Most engines ejected at once.
  bool m_use_affinity = true;
  bool m_use_observed_rates = true;
  bool m_wait_for_acknowledgement = true;  ///< Off only to show what the rule prevents.
};

/// \brief What configuration says of one engine.
struct EngineBudget {
  std::string m_id;
  std::int64_t m_slots = 0;
  std::int64_t m_prefill_tokens = 0;

  friend bool operator==(const EngineBudget&, const EngineBudget&) = default;
};

/// \brief The broker's view of one engine.
struct BrokerEngine {
  EngineBudget m_budget;
  bool m_withdrawn = false;  ///< No longer configured; kept until its credits are back.
  std::int64_t m_used_slots = 0;
  std::int64_t m_used_prefill = 0;
  RateEstimate m_rate;
  int m_failures = 0;  ///< Consecutive failed connections.
  Instant m_ejected_until{};
};

/// \brief A credit that is out.
struct IssuedCredit {
  std::string m_gateway;
  RequestRef m_ref = 0;
  std::uint32_t m_engine = 0;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_new_tokens = 0;  ///< Prompt tokens less the prefix expected in the cache.
  std::int64_t m_ahead_tokens = 0;
  Instant m_issued{};
  bool m_first_token = false;
};

/// \brief The broker's view of one gateway.
struct BrokerGateway {
  Instant m_expires{};
  std::int64_t m_floor_ack = 0;
  std::vector<WaitingRequest> m_items;
  TierCounts m_waiting{};
  int m_pregranted = 0;
};

/// \brief Which engines (by id) may serve an event's request for a model.
using EligibleFn =
    std::function<std::vector<std::string>(const std::string& event, const std::string& model)>;

/// \brief All state of one pool's broker. Plain data; the functions below are its behaviour.
struct Broker {
  BrokerSettings m_settings;
  std::int64_t m_epoch = 0;
  std::int64_t m_next_credit = 1;
  Instant m_recovering_until{};  ///< Grants nothing before, or until all live gateways resynced.
  int m_live_gateways = 0;       ///< As membership counts them; zero if unknown.
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

/// \brief A broker that took the lease with `epoch` at `now`. It grants nothing until every live
/// gateway told what it holds, or until the predecessor's credits have run out.
[[nodiscard]] Broker MakeBroker(const BrokerSettings& settings, std::int64_t epoch, Instant now);

/// \brief Adopts a new configuration. Engines that are gone are withdrawn, not forgotten.
void UpdateEngines(Broker& broker,
                   const std::vector<EngineBudget>& engines,
                   std::map<std::string, std::int64_t> weights,
                   EligibleFn eligible);

/// \brief Takes one gateway's message; returns what to send, to it and to others.
[[nodiscard]] std::vector<GrantBatch> HandleDemand(Broker& broker,
                                                   const GatewayDemand& demand,
                                                   Instant now);

/// \brief To be called every few milliseconds: expiry, floor, grants.
[[nodiscard]] std::vector<GrantBatch> TickBroker(Broker& broker, Instant now);

/// \brief Requests waiting over all gateways, by tier.
[[nodiscard]] TierCounts Backlog(const Broker& broker);

/// \brief Requests the pool finishes a second at its present concurrency; 0 if not yet known.
[[nodiscard]] double DrainRate(const Broker& broker);

/// \brief Engines whose planning rate is under half the median of all.
[[nodiscard]] std::vector<std::string> SlowEngines(const Broker& broker);

namespace impl {

/// \brief Frees what a credit holds and forgets it.
void ReleaseCredit(Broker& broker, std::map<CreditId, IssuedCredit>::iterator credit);

/// \brief Issues a credit on `engine`.
Credit IssueCredit(Broker& broker,
                   const std::string& gateway,
                   const WaitingRequest& request,
                   std::uint32_t engine,
                   Instant now);

/// \brief Age of the oldest credit on each engine that still awaits its first token, with the work
/// that was ahead of it.
struct Overdue {
  Duration m_age{};
  std::int64_t m_tokens = 0;
};
[[nodiscard]] std::vector<Overdue> OldestUnanswered(const Broker& broker, Instant now);

/// \brief Grants to waiting requests, highest tier first; appends to `batches` by gateway.
void GrantWaiting(Broker& broker, Instant now, std::map<std::string, GrantBatch>& batches);

/// \brief Tops up standing credits where nothing waits.
void GrantPregranted(Broker& broker, Instant now, std::map<std::string, GrantBatch>& batches);

}  // namespace impl
}  // namespace poppyway
