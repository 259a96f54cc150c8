// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// An instance that shuts down serves all new requests for this long, since the balancer needs two
// checks a second apart to remove it. Later it serves only requests whose deadline is before the
// end of the shutdown. This halves the callers rejected in a rolling restart (200 instead of 428 of
// 8,000).
constexpr Duration kServeDuringShutdown{2'500'000};

/// Returns the share of the burst that a request must leave to more urgent ones of its workspace.
double ReserveOf(const Forwarding& forwarding, double cost, const QuotaLimit& limit) {
  // The steps are wide enough for an average prompt of a more urgent tier to fit between them.
  constexpr double kReserveByRank[kTiers] = {0, 0.1, 0.2};
  constexpr double kCheap = 0.01;  // Share of the burst; so small a cost rejects no other request.
  if (cost <= kCheap * limit.m_burst)
    return 0;
  return kReserveByRank[static_cast<std::size_t>(
      std::clamp(forwarding.m_route->m_tier, 0, kTiers - 1))];
}

}  // namespace

// After `Enqueue`, the request is driven by the queue, the callbacks of its call and the timer;
// `Close` ends it.
void RunChain(ForwarderState& state, Forwarding& forwarding) {
  if (MatchRoute(state, forwarding) == Step::kEnded)
    return;
  if (CheckShutdown(state, forwarding) == Step::kEnded)
    return;
  if (CheckMemory(state, forwarding) == Step::kEnded)
    return;
  if (IdentifyWorkspace(state, forwarding) == Step::kEnded)
    return;
  SetFingerprint(forwarding);
  if (SetStream(state, forwarding) == Step::kEnded)
    return;
  if (CheckQuarantine(state, forwarding) == Step::kEnded)
    return;
  if (SetHomeRegions(state, forwarding) == Step::kEnded)
    return;
  PriceRequest(state, forwarding);
  Enqueue(state, forwarding);
}

Step CheckShutdown(ForwarderState& state, Forwarding& forwarding) {
  const Instant begun = EarliestShutdown(state);
  if (!state.m_stopping || forwarding.m_arrived - begun <= kServeDuringShutdown)
    return Step::kContinue;
  if (forwarding.m_deadline < ShutdownEnd(state) - state.m_signal_delay)
    return Step::kContinue;
  Refuse(state, forwarding, ResultCode::kStopping, "the instance stops");
  return Step::kEnded;
}

Step CheckMemory(ForwarderState& state, Forwarding& forwarding) {
  // A request without a body takes no memory worth counting.
  if (forwarding.m_body.empty() || IsWithinBudget(state.m_held))
    return Step::kContinue;
  Refuse(state, forwarding, ResultCode::kOverload, "the instance holds too many bytes");
  return Step::kEnded;
}

Step MatchRoute(ForwarderState& state, Forwarding& forwarding) {
  const bool confirmed = forwarding.m_arrived < state.m_confirmed_until;
  forwarding.m_table_version = state.m_table->m_version;
  forwarding.m_route =
      state.m_routes.Get(FindRoute(*state.m_table, forwarding.m_host, forwarding.m_target));
  if (forwarding.m_route == nullptr) {
    // Without a confirmation, a newer configuration may have the route, so this isn't `kNoRoute`.
    Refuse(state, forwarding, confirmed ? ResultCode::kNoRoute : ResultCode::kNotConfirmed,
           "no route serves this host and path");
    return Step::kEnded;
  }
  const Route& route = *forwarding.m_route;
  forwarding.m_tier = route.m_tier;
  forwarding.m_deadline = forwarding.m_arrived + route.m_timeout;
  if (forwarding.m_request.m_timeout)
    forwarding.m_deadline =
        std::min(forwarding.m_deadline, forwarding.m_arrived + *forwarding.m_request.m_timeout);
  return Step::kContinue;
}

Step IdentifyWorkspace(ForwarderState& state, Forwarding& forwarding) {
  const RouteTable& table = *state.m_table;
  if (forwarding.m_route->m_anonymous || table.m_workspaces.empty())
    return Step::kContinue;
  if (forwarding.m_arrived >= state.m_confirmed_until) {
    Refuse(state, forwarding, ResultCode::kNotConfirmed, "keys can't be relied on without contact");
    return Step::kEnded;
  }
  forwarding.m_workspace = state.m_workspaces.Get(FindWorkspace(table, forwarding.m_request.m_key));
  if (forwarding.m_workspace == nullptr) {
    Refuse(state, forwarding, ResultCode::kUnknownKey, "no workspace holds the key");
    return Step::kEnded;
  }
  forwarding.m_tier = forwarding.m_workspace->m_tier.value_or(forwarding.m_route->m_tier);
  return Step::kContinue;
}

void SetFingerprint(Forwarding& forwarding) {
  const Workspace* workspace = forwarding.m_workspace.get();
  forwarding.m_fingerprint =
      FingerprintOf(forwarding.m_method, forwarding.m_host, forwarding.m_target,
                    workspace == nullptr ? "" : workspace->m_name, forwarding.m_body);
}

void PriceRequest(ForwarderState& state, Forwarding& forwarding) {
  const Workspace* workspace = forwarding.m_workspace.get();
  if (workspace == nullptr || workspace->m_limit.m_rate_per_s <= 0)
    return;
  std::optional<std::int64_t> tokens;
  if (forwarding.m_request.m_names_tokens)
    tokens = forwarding.m_request.m_prompt_tokens + forwarding.m_request.m_most_tokens;
  forwarding.m_limit = WithTolerance(workspace->m_limit, state.m_settings.m_quota_tolerance);
  const double cost = CostOf(*workspace, tokens);
  state.m_broker.m_costs = Add(state.m_broker.m_costs, cost);
  forwarding.m_quota = {cost, ReserveOf(forwarding, cost, forwarding.m_limit)};
}

void Enqueue(ForwarderState& state, Forwarding& forwarding) {
  // Whoever takes a stream up again comes to the pool that began it.
  const std::uint64_t draw = forwarding.m_stream != 0 ? forwarding.m_stream : state.m_random();
  const std::string& pool = PickPool(*forwarding.m_route, draw);
  forwarding.m_pool = state.m_table_pools.Get(FindPool(*state.m_table, pool));
  PoolState& waiting = state.m_pools[pool];
  CountNewRequest(state, waiting);
  const auto rank = static_cast<std::size_t>(std::clamp(forwarding.m_route->m_tier, 0, kTiers - 1));
  forwarding.m_length_class =
      LengthClass(waiting.m_mean_log_tokens[rank], forwarding.m_request.m_expected_tokens);
  if (ContinuationOf(forwarding).m_continues)
    forwarding.m_length_class = 0;  // Other requests can go to any server.
  PutInQueue(state, forwarding, ReadClock() + QueueTimeout(forwarding));
  ServeQueue(state, pool);
}

}  // namespace poppyway::impl
