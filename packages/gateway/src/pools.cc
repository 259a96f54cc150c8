// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "relay.h"

namespace poppyway::impl {
namespace {

/// Carries out the dispatches and refusals that the policy decided on.
void ApplyActions(GatewayState& state, const PoolActions& actions) {
  for (const PoolActions::Dispatch& dispatch : actions.m_dispatches) {
    Exchange& exchange = *state.m_exchanges.at(dispatch.m_ref);
    exchange.m_credit = dispatch.m_credit;
    if (dispatch.m_credit.m_id < 0)
      state.m_metrics.Add("poppyway_fair_share_dispatches_total");
    Dispatch(state, exchange);
  }
  for (const PoolActions::Refusal& refusal : actions.m_refusals) {
    const auto found = state.m_exchanges.find(refusal.m_ref);
    if (found != state.m_exchanges.end() && found->second->m_stage == Stage::kWaiting)
      Refuse(state, *found->second, refusal.m_code, refusal.m_reason);
  }
}

std::vector<EngineBudget> BudgetsOf(const GatewayState& state,
                                    const std::vector<std::string>& ids) {
  std::vector<EngineBudget> budgets;
  for (const std::string& id : ids) {
    const EngineDeclaration& engine = FindEngine(*state.m_catalogue, id)->m_engine;
    budgets.push_back({id, engine.m_slots, engine.m_prefill_tokens});
  }
  return budgets;
}

}  // namespace

PoolClient& PoolOf(GatewayState& state, const Exchange& exchange) {
  return state.m_pools[exchange.m_event->m_pool];
}

WaitingRequest ToWaiting(const Exchange& exchange) {
  WaitingRequest waiting;
  waiting.m_ref = exchange.m_ref;
  waiting.m_tier = TierOf(exchange);
  waiting.m_workspace = exchange.m_workspace;
  waiting.m_event = exchange.m_event->m_name;
  waiting.m_model = exchange.m_model;
  waiting.m_prompt_tokens = exchange.m_prompt_tokens;
  waiting.m_prefixes = exchange.m_prefixes;
  waiting.m_tried = exchange.m_tried;
  waiting.m_arrived = exchange.m_arrived;
  waiting.m_deadline = exchange.m_deadline;
  return waiting;
}

const std::vector<std::string>& AllowedEngines(GatewayState& state, const Exchange& exchange) {
  const auto [entry, added] =
      state.m_eligible.try_emplace({exchange.m_event->m_name, exchange.m_model});
  if (!added)
    return entry->second;
  const Catalogue& catalogue = *state.m_catalogue;
  const auto current = std::find_if(
      catalogue.m_events.begin(), catalogue.m_events.end(),
      [&](const EventDeclaration& event) { return event.m_name == exchange.m_event->m_name; });
  // The selectors of the newest configuration apply; an event that was removed keeps the selectors
  // that the exchange was matched with.
  const EventDeclaration& event =
      current == catalogue.m_events.end() ? *exchange.m_event : *current;
  for (const EngineIndex index : EligibleEngines(catalogue, event, exchange.m_model)) {
    const CatalogueEngine& engine = catalogue.m_engines[index];
    if (!state.m_leaving.contains(catalogue.m_servers[engine.m_server].m_name))
      entry->second.push_back(engine.m_id);
  }
  return entry->second;
}

std::vector<std::string> UsableEngines(GatewayState& state, const Exchange& exchange) {
  std::vector<std::string> usable = AllowedEngines(state, exchange);
  std::erase_if(usable, [&exchange](const std::string& id) {
    return std::find(exchange.m_tried.begin(), exchange.m_tried.end(), id) !=
           exchange.m_tried.end();
  });
  return usable;
}

void SendDueDemand(GatewayState& state, const std::string& name, PoolClient& pool, Instant now) {
  const Duration lease = std::chrono::milliseconds(state.m_settings.m_lease_ms);
  std::optional<GatewayDemand> demand = DueDemand(pool, state.m_incarnation, lease, now);
  if (demand)
    state.m_to_control(SendDemand{name, std::move(*demand), pool.m_session});
}

void OnGrants(GatewayState& state, const GrantsReceived& grants) {
  ApplyActions(state, HandleGrants(state.m_pools[grants.m_pool], grants.m_batch, grants.m_lease_end,
                                   ReadClock()));
}

void TickPool(GatewayState& state, const std::string& name, PoolClient& pool, Instant now) {
  const auto rank = static_cast<std::uint32_t>(Hash(state.m_incarnation));
  const BudgetsFn budgets = [&state](const WaitingRequest& request) {
    return BudgetsOf(state, UsableEngines(state, *state.m_exchanges.at(request.m_ref)));
  };
  ApplyActions(state, TickPoolClient(pool, rank, budgets, now));
  SendDueDemand(state, name, pool, now);
}

int RetryAfterSeconds(GatewayState& state, const Exchange& exchange) {
  if (exchange.m_event == nullptr)
    return RetryAfter(0, 1, state.m_random());
  const PoolClient& pool = PoolOf(state, exchange);
  return RetryAfter(BacklogAhead(pool, TierOf(exchange)), pool.m_drain_per_s, state.m_random());
}

}  // namespace poppyway::impl
