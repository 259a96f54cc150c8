// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr Duration kFlushInterval{2'000};  // Demands are batched for this long under load.
constexpr std::size_t kMaxItems = 64;      // Waiting requests named in one demand.
constexpr int kKeepAlivesPerLease = 4;
constexpr double kServiceWeight = 0.1;

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

Duration ServiceOf(const PoolClient& pool, const std::string& event) {
  const auto found = pool.m_service_s.find(event);
  return found == pool.m_service_s.end() ? Duration(0) : FromSeconds(found->second);
}

Duration WaitOf(const PoolClient& pool, Tier tier, int ahead_here) {
  if (!pool.m_contended)
    return Duration(0);
  return ExpectedWait(
      {pool.m_backlog, pool.m_queue.counts(), pool.m_drain_per_s, tier, ahead_here});
}

std::string MillisText(Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

void DispatchByFairShare(PoolClient& pool,
                         std::uint32_t rank,
                         const BudgetsFn& budgets,
                         PoolActions& actions) {
  for (const WaitingRequest* head : pool.m_queue.Heads(kMaxItems)) {
    const RequestRef ref = head->m_ref;
    const std::optional<Credit> credit =
        TakeFairShare(pool.m_book, budgets(*head), rank, head->m_prompt_tokens);
    if (!credit)
      return;
    (void)pool.m_queue.Remove(ref);
    NoteDispatch(pool.m_book, *credit);
    actions.m_dispatches.push_back({ref, *credit});
  }
}

void RefuseHopeless(const PoolClient& pool, Instant now, PoolActions& actions) {
  TierCounts ahead{};
  for (const WaitingRequest* request : pool.m_queue.Heads(pool.m_queue.size())) {
    const Duration wait = WaitOf(pool, request->m_tier, ahead[request->m_tier]++);
    const Duration service = pool.m_contended ? ServiceOf(pool, request->m_event) : Duration(0);
    if (now + wait + service < request->m_deadline)
      continue;
    actions.m_refusals.push_back({request->m_ref, ResultCode::kDeadlineUnreachable,
                                  "the backlog of " + MillisText(wait) + " passes the deadline"});
  }
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
  const Duration wait = WaitOf(pool, tier, pool.m_queue.counts()[tier]);
  const Duration service = ServiceOf(pool, request.m_event);
  if (now + wait + service > request.m_deadline)
    return {ResultCode::kDeadlineUnreachable,
            "expected wait " + MillisText(wait) + " and service " + MillisText(service) +
                " pass the deadline",
            {}};
  if (pool.m_queue.size() < max_queue)
    return {};
  const std::optional<RequestRef> lowest = pool.m_queue.LowestBelow(tier);
  if (!lowest)
    return {ResultCode::kQueueFull, "this instance's queue is full", {}};
  return {ResultCode::kOk, "", lowest};
}

std::optional<Credit> ArriveRequest(PoolClient& pool,
                                    WaitingRequest request,
                                    const std::vector<std::string>& engines,
                                    Instant now) {
  if (!pool.m_contended && pool.m_queue.size() == 0) {
    std::optional<Credit> credit =
        TakeStanding(pool.m_book, engines, request.m_prompt_tokens, now);
    if (credit) {
      NoteDispatch(pool.m_book, *credit);
      return credit;
    }
  }
  pool.m_queue.Push(std::move(request));
  pool.m_dirty = true;
  return std::nullopt;
}

PoolActions AcceptGrants(PoolClient& pool, const GrantBatch& batch, Instant lease_end) {
  pool.m_book.m_lease_end = std::max(pool.m_book.m_lease_end, lease_end);
  pool.m_book.m_gateways = batch.m_gateways;
  if (batch.m_floor_epoch > pool.m_floor_epoch) {
    pool.m_floor = batch.m_floor;
    pool.m_floor_epoch = batch.m_floor_epoch;
    pool.m_dirty = true;  // The acknowledgement is owed.
  }
  pool.m_contended = batch.m_contended;
  pool.m_drain_per_s = batch.m_drain_per_s;
  pool.m_backlog = batch.m_backlog;
  PoolActions actions;
  for (const Credit& credit : batch.m_credits) {
    if (credit.m_ref == 0) {
      pool.m_book.m_standing[credit.m_id] = credit;
    } else if (pool.m_queue.Remove(credit.m_ref)) {
      NoteDispatch(pool.m_book, credit);
      actions.m_dispatches.push_back({credit.m_ref, credit});
    } else {
      NoteUse(pool, credit, UseStage::kReturned, Duration(0));
    }
  }
  for (const RequestRef ref : batch.m_unreachable) {
    if (pool.m_queue.Find(ref) != nullptr)
      actions.m_refusals.push_back({ref, ResultCode::kDeadlineUnreachable,
                                    "no engine can answer before the deadline"});
  }
  if (pool.m_contended) {
    for (const CreditId id : DropStanding(pool.m_book))
      NoteUse(pool, Credit{id, 0, "", 0}, UseStage::kReturned, Duration(0));
  }
  return actions;
}

PoolActions TickPoolClient(PoolClient& pool,
                           std::uint32_t rank,
                           const BudgetsFn& budgets,
                           Instant now) {
  PoolActions actions;
  if (now >= pool.m_book.m_lease_end && pool.m_queue.size() > 0)
    DispatchByFairShare(pool, rank, budgets, actions);
  RefuseHopeless(pool, now, actions);
  return actions;
}

std::optional<GatewayDemand> DueDemand(PoolClient& pool,
                                       const std::string& gateway,
                                       Duration lease,
                                       Instant now) {
  const Duration since = now - pool.m_last_demand;
  const bool due = (pool.m_dirty && since >= kFlushInterval) || since >= lease / kKeepAlivesPerLease;
  if (!due)
    return std::nullopt;
  GatewayDemand demand;
  demand.m_gateway = gateway;
  demand.m_resync = pool.m_resync;
  if (pool.m_resync)
    demand.m_held = HeldCredits(pool.m_book);
  for (const WaitingRequest* head : pool.m_queue.Heads(kMaxItems))
    demand.m_items.push_back(*head);
  demand.m_waiting = pool.m_queue.counts();
  demand.m_uses = std::move(pool.m_uses);
  demand.m_floor_ack = pool.m_floor_epoch;
  pool.m_uses.clear();
  pool.m_resync = false;
  pool.m_dirty = false;
  pool.m_last_demand = now;
  return demand;
}

void NoteUse(PoolClient& pool, const Credit& credit, UseStage stage, Duration elapsed) {
  if (credit.m_id == 0)
    return;
  pool.m_uses.push_back({credit.m_id, stage, elapsed});
  pool.m_dirty = true;
}

void LearnService(PoolClient& pool, const std::string& event, Duration service) {
  double& mean = pool.m_service_s[event];
  mean += (mean == 0 ? 1.0 : kServiceWeight) * (Seconds(service) - mean);
}

std::int64_t BacklogAhead(const PoolClient& pool, Tier tier) {
  std::int64_t backlog = 0;
  for (Tier t = 0; t <= tier; ++t)
    backlog += pool.m_backlog[t];
  return backlog;
}

}  // namespace poppyway
