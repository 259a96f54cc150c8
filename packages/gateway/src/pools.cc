// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "relay.h"

namespace poppyway::impl {
namespace {

constexpr Duration kFlushInterval{2'000};  // Demands are batched for this long under load.
constexpr std::size_t kMaxItems = 64;      // Waiting requests named in one demand.
constexpr int kKeepAlivesPerLease = 4;

void DispatchOn(GatewayState& state, PoolSide& pool, RequestRef ref, const Credit& credit) {
  (void)pool.m_queue.Remove(ref);
  Exchange& exchange = *state.m_exchanges.at(ref);
  exchange.m_credit = credit;
  if (CallerLeft(exchange)) {
    NoteUse(pool, credit, UseStage::kReturned, Duration(0));
    Refuse(state, exchange, ResultCode::kCallerGone, "the caller left while it waited");
    return;
  }
  Dispatch(state, exchange);
}

std::vector<EngineBudget> BudgetsOf(const GatewayState& state,
                                    const std::vector<std::string>& ids) {
  std::vector<EngineBudget> budgets;
  for (const CatalogueEngine& engine : state.m_catalogue->m_engines) {
    if (std::find(ids.begin(), ids.end(), engine.m_id) != ids.end())
      budgets.push_back({engine.m_id, engine.m_engine.m_slots, engine.m_engine.m_prefill_tokens});
  }
  return budgets;
}

/// Without a broker each gateway keeps to its share of the slots it last knew of.
void DispatchByFairShare(GatewayState& state, PoolSide& pool) {
  const auto rank = static_cast<std::uint32_t>(Hash(state.m_incarnation));
  for (const WaitingRequest* head : pool.m_queue.Heads(kMaxItems)) {
    const RequestRef ref = head->m_ref;
    const Exchange& exchange = *state.m_exchanges.at(ref);
    const std::optional<Credit> credit =
        TakeFairShare(pool.m_book, BudgetsOf(state, UsableEngines(state, exchange)), rank,
                      exchange.m_prompt_tokens);
    if (!credit)
      return;
    state.m_metrics.Add("poppyway_fair_share_dispatches_total");
    DispatchOn(state, pool, ref, *credit);
  }
}

void RefuseUnreachable(GatewayState& state, PoolSide& pool, Instant now) {
  for (const RequestRef ref : pool.m_queue.Unreachable(now, Duration(0)))
    Refuse(state, *state.m_exchanges.at(ref), ResultCode::kDeadlineUnreachable,
           "the deadline passed while the request waited");
  if (!pool.m_contended)
    return;
  TierCounts ahead{};
  std::vector<RequestRef> hopeless;
  for (const WaitingRequest* request : pool.m_queue.Heads(pool.m_queue.size())) {
    const Duration wait =
        ExpectedWait({pool.m_backlog, pool.m_queue.counts(), pool.m_drain_per_s, request->m_tier,
                      ahead[request->m_tier]++});
    const Duration service(static_cast<std::int64_t>(pool.m_service_s[request->m_event] * 1e6));
    if (now + wait + service > request->m_deadline)
      hopeless.push_back(request->m_ref);
  }
  for (const RequestRef ref : hopeless)
    Refuse(state, *state.m_exchanges.at(ref), ResultCode::kDeadlineUnreachable,
           "the backlog would pass the deadline");
}

}  // namespace

PoolSide& PoolOf(GatewayState& state, const Exchange& exchange) {
  return state.m_pools[exchange.m_event->m_pool];
}

std::vector<std::string> UsableEngines(const GatewayState& state, const Exchange& exchange) {
  const Catalogue& catalogue = *state.m_catalogue;
  std::vector<std::string> usable;
  const auto current = std::find_if(
      catalogue.m_events.begin(), catalogue.m_events.end(),
      [&](const EventDeclaration& event) { return event.m_name == exchange.m_event->m_name; });
  // The newest selectors decide; an event that was removed keeps those it was matched with.
  const EventDeclaration& event =
      current == catalogue.m_events.end() ? *exchange.m_event : *current;
  for (const EngineIndex index : EligibleEngines(catalogue, event, exchange.m_model)) {
    const std::string& id = catalogue.m_engines[index].m_id;
    const bool avoided = std::find(exchange.m_avoid.begin(), exchange.m_avoid.end(), id) !=
                         exchange.m_avoid.end();
    if (!avoided && !state.m_leaving_engines.contains(id))
      usable.push_back(id);
  }
  return usable;
}

void NoteUse(PoolSide& pool, const Credit& credit, UseStage stage, Duration elapsed) {
  if (credit.m_id == 0)
    return;
  pool.m_uses.push_back({credit.m_id, stage, elapsed});
  pool.m_dirty = true;
}

void FlushDemand(GatewayState& state, const std::string& name, PoolSide& pool, Instant now) {
  const Duration keep_alive =
      std::chrono::milliseconds(state.m_settings.m_lease_ms / kKeepAlivesPerLease);
  const Duration since = now - pool.m_last_demand;
  const bool due = (pool.m_dirty && since >= kFlushInterval) || since >= keep_alive;
  if (!due)
    return;
  SendDemand message;
  message.m_pool = name;
  GatewayDemand& demand = message.m_demand;
  demand.m_gateway = state.m_incarnation;
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
  state.m_to_control(std::move(message));
}

void OnGrants(GatewayState& state, const TakeGrants& grants) {
  const GrantBatch& batch = grants.m_batch;
  PoolSide& pool = state.m_pools[grants.m_pool];
  pool.m_book.m_lease_end = std::max(pool.m_book.m_lease_end, grants.m_lease_end);
  pool.m_book.m_gateways = batch.m_gateways;
  if (batch.m_floor_epoch > pool.m_floor_epoch) {
    pool.m_floor = batch.m_floor;
    pool.m_floor_epoch = batch.m_floor_epoch;
    pool.m_dirty = true;  // The acknowledgement is owed.
  }
  pool.m_contended = batch.m_contended;
  pool.m_drain_per_s = batch.m_drain_per_s;
  pool.m_backlog = batch.m_backlog;
  for (const Credit& credit : batch.m_credits) {
    if (credit.m_ref == 0) {
      pool.m_book.m_standing[credit.m_id] = credit;
    } else if (pool.m_queue.Find(credit.m_ref) != nullptr) {
      DispatchOn(state, pool, credit.m_ref, credit);
    } else {
      NoteUse(pool, credit, UseStage::kReturned, Duration(0));
    }
  }
  for (const RequestRef ref : batch.m_unreachable) {
    if (pool.m_queue.Find(ref) != nullptr)
      Refuse(state, *state.m_exchanges.at(ref), ResultCode::kDeadlineUnreachable,
             "no engine can answer before the deadline");
  }
  if (pool.m_contended) {
    for (const CreditId id : DropStanding(pool.m_book))
      NoteUse(pool, Credit{id, 0, "", 0}, UseStage::kReturned, Duration(0));
  }
}

void TickPool(GatewayState& state, const std::string& name, PoolSide& pool, Instant now) {
  RefuseUnreachable(state, pool, now);
  if (now >= pool.m_book.m_lease_end && pool.m_queue.size() > 0)
    DispatchByFairShare(state, pool);
  FlushDemand(state, name, pool, now);
}

int ComeBackAfter(GatewayState& state, const Exchange& exchange) {
  if (exchange.m_event == nullptr)
    return RetryAfter(0, 1, state.m_random());
  const PoolSide& pool = PoolOf(state, exchange);
  std::int64_t backlog = 0;
  for (Tier t = 0; t <= TierOf(exchange); ++t)
    backlog += pool.m_backlog[t];
  return RetryAfter(backlog, pool.m_drain_per_s, state.m_random());
}

}  // namespace poppyway::impl
