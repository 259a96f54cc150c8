// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {
namespace {

constexpr int kFailuresToEject = 3;
constexpr Duration kFirstEjection{1'000'000};
constexpr int kMaxEjectionDoublings = 5;
constexpr int kEpochShift = 32;
constexpr double kHoldWeight = 0.1;
constexpr std::int64_t kFinishesToKnow = 8;  // Fewer finished requests give no drain rate.

bool IsRecovering(const Broker& broker, Instant now) {
  const bool all_here = broker.m_live_gateways > 0 &&
                        static_cast<int>(broker.m_gateways.size()) >= broker.m_live_gateways;
  return now < broker.m_recovering_until && !all_here;
}

bool AllAcknowledged(const Broker& broker) {
  if (!broker.m_settings.m_wait_for_acknowledgement)
    return true;
  return std::all_of(broker.m_gateways.begin(), broker.m_gateways.end(), [&](const auto& entry) {
    return entry.second.m_floor_ack >= broker.m_floor.m_epoch;
  });
}

void RecordFailure(Broker& broker, BrokerEngine& engine, Instant now) {
  ++engine.m_failures;
  if (engine.m_failures < kFailuresToEject)
    return;
  const auto ejected =
      std::count_if(broker.m_engines.begin(), broker.m_engines.end(),
                    [now](const BrokerEngine& other) { return other.m_ejected_until > now; });
  const double limit =
      broker.m_settings.m_ejected_share * static_cast<double>(broker.m_engines.size());
  if (static_cast<double>(ejected) + 1 > limit)
    return;  // A pool must keep most of its engines.
  const int doublings = std::min(engine.m_failures - kFailuresToEject, kMaxEjectionDoublings);
  engine.m_ejected_until = now + kFirstEjection * (1 << doublings);
}

void RecordFirstToken(Broker& broker, IssuedCredit& credit, Duration elapsed) {
  if (credit.m_first_token)
    return;
  BrokerEngine& engine = broker.m_engines[credit.m_engine];
  credit.m_first_token = true;
  engine.m_used_prefill -= credit.m_new_tokens;
  engine.m_failures = 0;
  const std::int64_t prefilled = credit.m_ahead_tokens + credit.m_new_tokens;
  engine.m_rate = Observe(engine.m_rate, prefilled, std::max(elapsed, Duration(1)));
}

void ApplyUse(Broker& broker, const CreditUse& use, Instant now) {
  const auto found = broker.m_credits.find(use.m_id);
  if (found == broker.m_credits.end())
    return;
  BrokerEngine& engine = broker.m_engines[found->second.m_engine];
  switch (use.m_stage) {
    case UseStage::kFirstToken:
      RecordFirstToken(broker, found->second, use.m_elapsed);
      return;
    case UseStage::kFinished: {
      const double held = Seconds(use.m_elapsed);
      const bool first = broker.m_finished++ == 0;
      broker.m_mean_hold_s += (first ? 1.0 : kHoldWeight) * (held - broker.m_mean_hold_s);
      engine.m_failures = 0;
      break;
    }
    case UseStage::kFailed:
      RecordFailure(broker, engine, now);
      break;
    case UseStage::kReturned:
      break;
  }
  impl::ReleaseCredit(broker, found);
}

/// Releases the credits of a gateway that its resync doesn't list.
void ReleaseUnlisted(Broker& broker, const GatewayDemand& demand) {
  std::set<CreditId> held;
  for (const Credit& credit : demand.m_held)
    held.insert(credit.m_id);
  for (auto it = broker.m_credits.begin(); it != broker.m_credits.end();) {
    const auto next = std::next(it);
    if (it->second.m_gateway == demand.m_gateway && !held.contains(it->first))
      impl::ReleaseCredit(broker, it);
    it = next;
  }
}

/// Adopts the credits that a gateway holds from another broker or by fair share.
void AdoptHeld(Broker& broker, const GatewayDemand& demand, Instant now) {
  for (const Credit& credit : demand.m_held) {
    const auto engine = broker.m_engine_index.find(credit.m_engine);
    if (broker.m_credits.contains(credit.m_id) || engine == broker.m_engine_index.end())
      continue;
    IssuedCredit adopted;
    adopted.m_gateway = demand.m_gateway;
    adopted.m_ref = credit.m_ref;
    adopted.m_engine = engine->second;
    adopted.m_issued = now;
    adopted.m_first_token = true;  // Its prefill is over or unknown; only the slot is counted.
    ++broker.m_engines[engine->second].m_used_slots;
    if (credit.m_ref != 0)
      broker.m_by_ref[{demand.m_gateway, credit.m_ref}] = credit.m_id;
    else
      ++broker.m_gateways[demand.m_gateway].m_pregranted;
    broker.m_credits.emplace(credit.m_id, adopted);
  }
}

void ObservePatience(Broker& broker, const WaitingRequest& item) {
  constexpr double kWeight = 0.02;
  double& mean = broker.m_patience_s[item.m_tier];
  const double sample = Seconds(item.m_deadline - item.m_arrived);
  mean += (mean == 0 ? 1.0 : kWeight) * (sample - mean);
}

void ExpireGateways(Broker& broker, Instant now) {
  std::set<std::string> expired;
  for (const auto& [name, gateway] : broker.m_gateways) {
    if (gateway.m_expires <= now)
      expired.insert(name);
  }
  if (expired.empty())
    return;
  for (auto it = broker.m_credits.begin(); it != broker.m_credits.end();) {
    const auto next = std::next(it);
    if (expired.contains(it->second.m_gateway))
      impl::ReleaseCredit(broker, it);
    it = next;
  }
  for (const std::string& name : expired)
    broker.m_gateways.erase(name);
}

/// Moves the floor if its rule says so; a moved floor is sent to every gateway.
void UpdateFloor(Broker& broker,
                 const TierCounts& backlog,
                 Instant now,
                 std::map<std::string, GrantBatch>& batches) {
  if (DrainRate(broker) <= 0)
    return;
  const std::int64_t epoch_before = broker.m_floor.m_epoch;
  broker.m_floor = MoveFloor(broker.m_floor, {now, AllAcknowledged(broker), backlog,
                                              DrainRate(broker), broker.m_patience_s});
  if (broker.m_floor.m_epoch == epoch_before)
    return;
  for (const auto& [name, gateway] : broker.m_gateways)
    batches[name];
}

std::vector<GrantBatch> Decide(Broker& broker, Instant now, const std::string& reply_to) {
  std::map<std::string, GrantBatch> batches;
  if (!reply_to.empty())
    batches[reply_to];
  if (!IsRecovering(broker, now)) {
    impl::GrantWaiting(broker, now, batches);
    impl::GrantPregranted(broker, now, batches);
  }
  // Only requests that still wait after granting are contention.
  const TierCounts backlog = Backlog(broker);
  UpdateFloor(broker, backlog, now, batches);
  const bool contended = backlog[0] + backlog[1] + backlog[2] > 0;
  std::vector<GrantBatch> result;
  for (auto& [name, batch] : batches) {
    batch.m_gateway = name;
    batch.m_floor = broker.m_floor.m_floor;
    batch.m_floor_epoch = broker.m_floor.m_epoch;
    batch.m_contended = contended;
    batch.m_drain_per_s = DrainRate(broker);
    batch.m_gateways = std::max<int>(1, static_cast<int>(broker.m_gateways.size()));
    batch.m_backlog = backlog;
    result.push_back(std::move(batch));
  }
  return result;
}

}  // namespace

namespace impl {

void ReleaseCredit(Broker& broker, std::map<CreditId, IssuedCredit>::iterator credit) {
  const IssuedCredit& issued = credit->second;
  BrokerEngine& engine = broker.m_engines[issued.m_engine];
  --engine.m_used_slots;
  if (!issued.m_first_token)
    engine.m_used_prefill -= issued.m_new_tokens;
  if (issued.m_ref != 0)
    broker.m_by_ref.erase({issued.m_gateway, issued.m_ref});
  const auto gateway = broker.m_gateways.find(issued.m_gateway);
  if (issued.m_ref == 0 && gateway != broker.m_gateways.end())
    --gateway->second.m_pregranted;
  broker.m_credits.erase(credit);
}

Credit IssueCredit(Broker& broker,
                   const std::string& gateway,
                   const WaitingRequest& request,
                   std::uint32_t engine_index,
                   Instant now) {
  BrokerEngine& engine = broker.m_engines[engine_index];
  IssuedCredit issued;
  issued.m_gateway = gateway;
  issued.m_ref = request.m_ref;
  issued.m_engine = engine_index;
  issued.m_prompt_tokens = request.m_prompt_tokens;
  const std::int64_t cached = broker.m_settings.m_use_affinity
                                  ? broker.m_prefixes.Known(engine_index, request.m_prefixes)
                                  : 0;
  issued.m_new_tokens = std::max<std::int64_t>(1, request.m_prompt_tokens - cached);
  issued.m_ahead_tokens = engine.m_used_prefill;
  issued.m_issued = now;
  ++engine.m_used_slots;
  engine.m_used_prefill += issued.m_new_tokens;
  broker.m_prefixes.Record(engine_index, request.m_prefixes);
  const CreditId id = (broker.m_epoch << kEpochShift) | broker.m_next_credit++;
  if (request.m_ref != 0)
    broker.m_by_ref[{gateway, request.m_ref}] = id;
  broker.m_credits.emplace(id, issued);
  return {id, request.m_ref, engine.m_budget.m_id, request.m_prompt_tokens};
}

std::vector<Overdue> OldestAwaitingFirstToken(const Broker& broker, Instant now) {
  std::vector<Overdue> oldest(broker.m_engines.size());
  for (const auto& [id, credit] : broker.m_credits) {
    // A pregranted credit may be unspent: its age says nothing about the engine.
    if (credit.m_first_token || credit.m_ref == 0)
      continue;
    Overdue& entry = oldest[credit.m_engine];
    const Duration age = now - credit.m_issued;
    if (age > entry.m_age)
      entry = {age, credit.m_ahead_tokens + credit.m_new_tokens};
  }
  return oldest;
}

}  // namespace impl

Broker MakeBroker(const BrokerSettings& settings, std::int64_t epoch, Instant now) {
  Broker broker;
  broker.m_settings = settings;
  broker.m_epoch = epoch;
  broker.m_recovering_until = now + settings.m_lease + settings.m_lease_margin;
  broker.m_floor.m_epoch = (epoch << kEpochShift) + 1;  // Floor epochs increase across brokers.
  broker.m_floor.m_moved = now;
  broker.m_prefixes = PrefixIndex(settings.m_prefix_capacity);
  return broker;
}

void UpdateEngines(Broker& broker,
                   const std::vector<EngineBudget>& engines,
                   std::map<std::string, std::int64_t> weights,
                   EligibleFn eligible) {
  for (BrokerEngine& engine : broker.m_engines)
    engine.m_withdrawn = true;
  for (const EngineBudget& budget : engines) {
    const auto [entry, added] = broker.m_engine_index.emplace(
        budget.m_id, static_cast<std::uint32_t>(broker.m_engines.size()));
    if (added)
      broker.m_engines.emplace_back();
    BrokerEngine& engine = broker.m_engines[entry->second];
    engine.m_budget = budget;
    engine.m_withdrawn = false;
  }
  broker.m_weights = std::move(weights);
  broker.m_eligible = std::move(eligible);
}

std::vector<GrantBatch> HandleDemand(Broker& broker, const GatewayDemand& demand, Instant now) {
  BrokerGateway& gateway = broker.m_gateways[demand.m_gateway];
  gateway.m_expires = now + broker.m_settings.m_lease + broker.m_settings.m_lease_margin;
  gateway.m_floor_ack = std::max(gateway.m_floor_ack, demand.m_floor_ack);
  gateway.m_waiting = demand.m_waiting;
  if (demand.m_resync)
    ReleaseUnlisted(broker, demand);
  AdoptHeld(broker, demand, now);
  for (const CreditUse& use : demand.m_uses)
    ApplyUse(broker, use, now);
  gateway.m_items.clear();
  for (const WaitingRequest& item : demand.m_items) {
    ObservePatience(broker, item);
    if (!broker.m_by_ref.contains({demand.m_gateway, item.m_ref}))
      gateway.m_items.push_back(item);
  }
  return Decide(broker, now, demand.m_gateway);
}

std::vector<GrantBatch> TickBroker(Broker& broker, Instant now) {
  ExpireGateways(broker, now);
  return Decide(broker, now, "");
}

TierCounts Backlog(const Broker& broker) {
  TierCounts backlog{};
  for (const auto& [name, gateway] : broker.m_gateways) {
    for (Tier t = 0; t < kTiers; ++t)
      backlog[t] += gateway.m_waiting[t];
  }
  return backlog;
}

double DrainRate(const Broker& broker) {
  if (broker.m_finished < kFinishesToKnow || broker.m_mean_hold_s <= 0)
    return 0;
  std::int64_t used = 0;
  for (const BrokerEngine& engine : broker.m_engines)
    used += engine.m_used_slots;
  return static_cast<double>(used) / broker.m_mean_hold_s;
}

std::vector<std::string> SlowEngines(const Broker& broker) {
  std::vector<double> rates;
  for (const BrokerEngine& engine : broker.m_engines) {
    if (engine.m_rate.m_samples > 0)
      rates.push_back(engine.m_rate.m_tokens_per_s);
  }
  std::vector<std::string> slow;
  if (rates.empty())
    return slow;
  std::nth_element(rates.begin(), rates.begin() + static_cast<long>(rates.size() / 2), rates.end());
  const double median = rates[rates.size() / 2];
  for (const BrokerEngine& engine : broker.m_engines) {
    if (engine.m_rate.m_samples > 0 && engine.m_rate.m_tokens_per_s < median / 2)
      slow.push_back(engine.m_budget.m_id);
  }
  return slow;
}

}  // namespace poppyway
