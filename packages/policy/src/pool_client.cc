// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <cmath>

namespace poppyway {
namespace {

constexpr Duration kFlushInterval{2'000};  // Changes are batched for this long under load.
constexpr std::size_t kMaxItems = 64;      // Maximum of waiting requests listed in one demand.
constexpr int kKeepAlivesPerLease = 4;
constexpr double kServiceWeight = 0.1;
// Time without a response after which the broker is unavailable.
constexpr Duration kBrokerTimeout{100'000};
// Wait for a first broker before fair share applies.
constexpr Duration kFirstBrokerWait{3'000'000};
// Share of an estimated wait that counts: since it is only an estimate, it must exceed the deadline
// clearly before a request is rejected.
constexpr double kWaitConfidence = 0.7;
// Deviations of the service time allowed for before dispatch.
constexpr double kDispatchDeviations = 2.0;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

Duration EstimateService(const PoolClient& pool, const std::string& event, double deviations) {
  const auto found = pool.m_service.find(event);
  if (found == pool.m_service.end())
    return Duration(0);
  return FromSeconds(found->second.m_mean_s + deviations * found->second.m_deviation_s);
}

Duration EstimateWait(const PoolClient& pool, Tier tier, int ahead_here) {
  if (!pool.m_contended)
    return Duration(0);
  const Duration wait =
      ExpectedWait({pool.m_backlog, pool.m_queue.counts(), pool.m_drain_per_s, tier, ahead_here});
  return FromSeconds(kWaitConfidence * Seconds(wait));
}

bool IsBrokerUnavailable(const PoolClient& pool, Instant now) {
  return pool.m_unanswered_since != Instant{} && now - pool.m_unanswered_since >= kBrokerTimeout;
}

std::vector<std::string> IdsOf(const std::vector<EngineBudget>& budgets) {
  std::vector<std::string> ids;
  for (const EngineBudget& budget : budgets)
    ids.push_back(budget.m_id);
  return ids;
}

/// While the broker doesn't respond, dispatches waiting requests with the pregranted credits that
/// this gateway holds, which include those of finished requests.
void DispatchPregranted(PoolClient& pool,
                        const BudgetsFn& budgets,
                        Instant now,
                        PoolActions& actions) {
  for (const WaitingRequest* head : pool.m_queue.FirstToServe(kMaxItems)) {
    if (pool.m_book.m_pregranted.empty())
      return;
    const RequestRef ref = head->m_ref;
    std::optional<Credit> credit =
        TakePregranted(pool.m_book, IdsOf(budgets(*head)), head->m_prompt_tokens, now);
    if (!credit)
      continue;
    (void)pool.m_queue.Remove(ref);
    RecordDispatch(pool.m_book, *credit);
    actions.m_dispatches.push_back({ref, *credit});
  }
}

std::string MillisText(Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

void DispatchByFairShare(PoolClient& pool,
                         std::uint32_t rank,
                         const BudgetsFn& budgets,
                         PoolActions& actions) {
  for (const WaitingRequest* head : pool.m_queue.FirstToServe(kMaxItems)) {
    const RequestRef ref = head->m_ref;
    std::optional<Credit> credit =
        TakeFairShare(pool.m_book, budgets(*head), rank, head->m_prompt_tokens);
    if (!credit)
      return;
    credit->m_ref = ref;
    (void)pool.m_queue.Remove(ref);
    RecordDispatch(pool.m_book, *credit);
    pool.m_unreported.push_back(*credit);
    pool.m_dirty = true;
    actions.m_dispatches.push_back({ref, *credit});
  }
}

/// Returns true if requests of a tier may be rejected for their backlog: only while every lower
/// tier is closed.
bool MayRejectForBacklog(const PoolClient& pool, Tier tier) {
  return tier + 1 >= kTiers || !Admits(pool.m_floor, tier + 1);
}

void RejectInfeasible(const PoolClient& pool, Instant now, PoolActions& actions) {
  TierCounts ahead{};
  for (const WaitingRequest* request : pool.m_queue.FirstToServe(pool.m_queue.size())) {
    const Duration wait = EstimateWait(pool, request->m_tier, ahead[request->m_tier]++);
    const Duration service =
        pool.m_contended ? EstimateService(pool, request->m_event, 0) : Duration(0);
    if (now >= request->m_deadline) {
      actions.m_refusals.push_back({request->m_ref, ResultCode::kDeadlineUnreachable,
                                    "the deadline passed while the request waited"});
    } else if (MayRejectForBacklog(pool, request->m_tier) &&
               now + wait + service > request->m_deadline) {
      actions.m_refusals.push_back({request->m_ref, ResultCode::kOverload,
                                    "the backlog of " + MillisText(wait) + " passes the deadline"});
    }
  }
}

/// Returns true if, under contention, a request would hardly end in time and should leave its slot
/// to another one.
bool TooLateToStart(const PoolClient& pool, const WaitingRequest& request, Instant now) {
  return pool.m_contended &&
         now + EstimateService(pool, request.m_event, kDispatchDeviations) > request.m_deadline;
}

void ApplyGrant(PoolClient& pool, const Credit& credit, Instant now, PoolActions& actions) {
  const WaitingRequest* request = pool.m_queue.Find(credit.m_ref);
  if (request == nullptr || TooLateToStart(pool, *request, now)) {
    RecordUse(pool, credit, UseStage::kReturned, Duration(0));
    if (request != nullptr)
      actions.m_refusals.push_back(
          {credit.m_ref, ResultCode::kDeadlineUnreachable, "too little time is left to serve it"});
    return;
  }
  (void)pool.m_queue.Remove(credit.m_ref);
  RecordDispatch(pool.m_book, credit);
  actions.m_dispatches.push_back({credit.m_ref, credit});
}

}  // namespace

Admission AdmitRequest(PoolClient& pool,
                       const WaitingRequest& request,
                       std::size_t max_queue,
                       Instant now) {
  pool.m_retries = Deposit(pool.m_retries);
  const Tier tier = request.m_tier;
  if (!Admits(pool.m_floor, tier))
    return {ResultCode::kOverload, "tier " + std::to_string(tier) + " is shed for overload", {}};
  const Duration wait = EstimateWait(pool, tier, pool.m_queue.counts()[tier]);
  const Duration service = EstimateService(pool, request.m_event, 0);
  if (now + service > request.m_deadline)
    return {ResultCode::kDeadlineUnreachable,
            "the usual service time of " + MillisText(service) + " passes the deadline",
            {}};
  if (MayRejectForBacklog(pool, tier) && now + wait + service > request.m_deadline)
    return {
        ResultCode::kOverload, "the backlog of " + MillisText(wait) + " passes the deadline", {}};
  if (pool.m_queue.size() < max_queue)
    return {};
  const std::optional<RequestRef> lowest = pool.m_queue.LowestBelow(tier);
  if (!lowest)
    return {ResultCode::kQueueFull, "this instance's queue is full", {}};
  return {ResultCode::kOk, "", lowest};
}

std::optional<Credit> DispatchOrEnqueue(PoolClient& pool,
                                        WaitingRequest request,
                                        const std::vector<std::string>& engines,
                                        Instant now) {
  if (!pool.m_contended && pool.m_queue.size() == 0) {
    std::optional<Credit> credit =
        TakePregranted(pool.m_book, engines, request.m_prompt_tokens, now);
    if (credit) {
      RecordDispatch(pool.m_book, *credit);
      return credit;
    }
  }
  pool.m_queue.Push(std::move(request));
  pool.m_dirty = true;
  pool.m_urgent = !pool.m_contended;
  return std::nullopt;
}

PoolActions HandleGrants(PoolClient& pool,
                         const GrantBatch& batch,
                         Instant lease_end,
                         Instant now) {
  pool.m_book.m_lease_end = std::max(pool.m_book.m_lease_end, lease_end);
  pool.m_book.m_gateways = batch.m_gateways;
  pool.m_fair_share_from = pool.m_book.m_lease_end;
  pool.m_unanswered_since = {};
  if (batch.m_floor_epoch > pool.m_floor_epoch) {
    pool.m_floor = batch.m_floor;
    pool.m_floor_epoch = batch.m_floor_epoch;
    pool.m_dirty = true;  // The floor's epoch has to be acknowledged.
  }
  pool.m_contended = batch.m_contended;
  pool.m_drain_per_s = batch.m_drain_per_s;
  pool.m_backlog = batch.m_backlog;
  PoolActions actions;
  for (const Credit& credit : batch.m_credits) {
    if (credit.m_ref == 0)
      pool.m_book.m_pregranted[credit.m_id] = credit;
    else
      ApplyGrant(pool, credit, now, actions);
  }
  for (const RequestRef ref : batch.m_infeasible) {
    if (pool.m_queue.Find(ref) != nullptr)
      actions.m_refusals.push_back(
          {ref, ResultCode::kDeadlineUnreachable, "no engine can answer before the deadline"});
  }
  if (pool.m_contended) {
    for (const CreditId id : DropPregranted(pool.m_book))
      RecordUse(pool, Credit{id, 0, "", 0}, UseStage::kReturned, Duration(0));
  }
  return actions;
}

PoolActions TickPoolClient(PoolClient& pool,
                           std::uint32_t rank,
                           const BudgetsFn& budgets,
                           Instant now) {
  PoolActions actions;
  if (pool.m_fair_share_from == Instant{})
    pool.m_fair_share_from = now + kFirstBrokerWait;
  if (IsBrokerUnavailable(pool, now) && pool.m_queue.size() > 0)
    DispatchPregranted(pool, budgets, now, actions);
  if (now >= pool.m_fair_share_from && pool.m_queue.size() > 0)
    DispatchByFairShare(pool, rank, budgets, actions);
  RejectInfeasible(pool, now, actions);
  return actions;
}

std::optional<GatewayDemand> DueDemand(PoolClient& pool,
                                       const std::string& gateway,
                                       Duration lease,
                                       Instant now) {
  const Duration since = now - pool.m_last_demand;
  const bool due = pool.m_urgent || (pool.m_dirty && since >= kFlushInterval) ||
                   since >= lease / kKeepAlivesPerLease;
  if (!due)
    return std::nullopt;
  GatewayDemand demand;
  demand.m_gateway = gateway;
  demand.m_resync = pool.m_resync;
  demand.m_held = pool.m_resync ? HeldCredits(pool.m_book) : pool.m_unreported;
  pool.m_unreported.clear();
  if (pool.m_unanswered_since == Instant{})
    pool.m_unanswered_since = now;
  for (const WaitingRequest* head : pool.m_queue.FirstToServe(kMaxItems))
    demand.m_items.push_back(*head);
  demand.m_waiting = pool.m_queue.counts();
  demand.m_uses = std::move(pool.m_uses);
  demand.m_floor_ack = pool.m_floor_epoch;
  pool.m_uses.clear();
  pool.m_resync = false;
  pool.m_dirty = false;
  pool.m_urgent = false;
  pool.m_last_demand = now;
  return demand;
}

void RecordUse(PoolClient& pool, const Credit& credit, UseStage stage, Duration elapsed) {
  pool.m_uses.push_back({credit.m_id, stage, elapsed});
  pool.m_dirty = true;
}

void EndDispatch(PoolClient& pool,
                 const Credit& credit,
                 UseStage stage,
                 Duration elapsed,
                 Instant now) {
  RecordEnd(pool.m_book, credit);
  const bool keep = stage == UseStage::kFinished && credit.m_id > 0 &&
                    IsBrokerUnavailable(pool, now) && now < pool.m_book.m_lease_end;
  if (!keep) {
    RecordUse(pool, credit, stage, elapsed);
    return;
  }
  Credit pregranted = credit;
  pregranted.m_ref = 0;
  pool.m_book.m_pregranted[pregranted.m_id] = pregranted;
}

void LearnService(PoolClient& pool, const std::string& event, Duration service) {
  ServiceEstimate& estimate = pool.m_service[event];
  const double sample = Seconds(service);
  const bool first = estimate.m_mean_s == 0;
  estimate.m_mean_s += (first ? 1.0 : kServiceWeight) * (sample - estimate.m_mean_s);
  estimate.m_deviation_s +=
      kServiceWeight * (std::abs(sample - estimate.m_mean_s) - estimate.m_deviation_s);
}

std::int64_t BacklogAhead(const PoolClient& pool, Tier tier) {
  std::int64_t backlog = 0;
  for (Tier t = 0; t <= tier; ++t)
    backlog += pool.m_backlog[t];
  return backlog;
}

}  // namespace poppyway
