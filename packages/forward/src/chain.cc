// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "steps.h"

namespace poppyway::impl {
namespace {

// A stopping instance serves all that still comes for this long: the balancer needs two checks a
// second apart to take it out. Later it serves only what ends before the stop's limit: half as many
// callers are refused in a rolling restart as without that (200 in place of 428 of 8,000).
constexpr Duration kServeWhileStopping{2'500'000};

/// The share of a workspace's limit that a request leaves to more urgent ones of the workspace.
double ReserveOf(const Forwarding& forwarding, double cost, const QuotaLimit& limit) {
  // Steps far enough apart that an average prompt of a more urgent rank fits between them.
  constexpr double kReserveByRank[kTiers] = {0, 0.1, 0.2};
  constexpr double kCheap = 0.01;  // Of the burst: taking so little sheds nothing else.
  if (cost <= kCheap * limit.m_burst)
    return 0;
  return kReserveByRank[static_cast<std::size_t>(
      std::clamp(forwarding.m_route->m_tier, 0, kTiers - 1))];
}

/// How many times the expected answer is twice as long as usual for its rank, up to a bound.
int LengthClass(PoolState& pool, const Forwarding& forwarding) {
  constexpr double kGain = 0.02;  // The usual length is that of some fifty requests.
  constexpr int kLongest = 3;
  if (forwarding.m_request.m_expected_tokens <= 0)
    return 0;
  const auto rank = static_cast<std::size_t>(std::clamp(forwarding.m_route->m_tier, 0, kTiers - 1));
  const double length = std::log2(static_cast<double>(forwarding.m_request.m_expected_tokens));
  double& usual = pool.m_usual_length[rank];
  usual = usual == 0 ? length : usual + kGain * (length - usual);
  return std::clamp(static_cast<int>(length - usual), 0, kLongest);
}

}  // namespace

// The way of one request, top to bottom. From `Enqueue` on the queue, the call's events and the
// clock drive it; `Close` ends it.
void RunChain(ForwarderState& state, Forwarding& forwarding) {
  if (CheckInForce(state, forwarding) == Step::kEnded)
    return;
  if (MatchRoute(state, forwarding) == Step::kEnded)
    return;
  if (CheckStop(state, forwarding) == Step::kEnded)
    return;
  if (IdentifyWorkspace(state, forwarding) == Step::kEnded)
    return;
  if (CheckQuota(state, forwarding) == Step::kEnded)
    return;
  Enqueue(state, forwarding);
}

Step CheckInForce(ForwarderState& state, Forwarding& forwarding) {
  forwarding.m_table = state.m_table;
  return Step::kContinue;
}

Step CheckStop(ForwarderState& state, Forwarding& forwarding) {
  if (!state.m_stopping || forwarding.m_arrived - state.m_stop_begun <= kServeWhileStopping)
    return Step::kContinue;
  if (forwarding.m_deadline < StopEnd(state))
    return Step::kContinue;
  Refuse(state, forwarding, ResultCode::kStopping, "the instance stops");
  return Step::kEnded;
}

Step MatchRoute(ForwarderState& state, Forwarding& forwarding) {
  const bool confirmed = forwarding.m_arrived < state.m_confirmed_until;
  forwarding.m_route = FindRoute(*forwarding.m_table, forwarding.m_host, forwarding.m_target);
  if (forwarding.m_route == nullptr) {
    // Without contact a newer configuration may have the route: then nothing is said about it.
    Refuse(state, forwarding, confirmed ? ResultCode::kNoRoute : ResultCode::kNotConfirmed,
           "no route serves this host and path");
    return Step::kEnded;
  }
  const Route& route = *forwarding.m_route;
  forwarding.m_tier = route.m_tier;
  forwarding.m_deadline = forwarding.m_arrived + route.m_timeout;
  if (forwarding.m_request.m_patience)
    forwarding.m_deadline =
        std::min(forwarding.m_deadline, forwarding.m_arrived + *forwarding.m_request.m_patience);
  return Step::kContinue;
}

Step IdentifyWorkspace(ForwarderState& state, Forwarding& forwarding) {
  const RouteTable& table = *forwarding.m_table;
  if (forwarding.m_route->m_anonymous || table.m_workspaces.empty())
    return Step::kContinue;
  if (forwarding.m_arrived >= state.m_confirmed_until) {
    Refuse(state, forwarding, ResultCode::kNotConfirmed, "keys can't be relied on without contact");
    return Step::kEnded;
  }
  forwarding.m_workspace = FindWorkspace(table, forwarding.m_request.m_key);
  if (forwarding.m_workspace == nullptr) {
    Refuse(state, forwarding, ResultCode::kUnknownKey, "no workspace holds the key");
    return Step::kEnded;
  }
  forwarding.m_tier = forwarding.m_workspace->m_tier.value_or(forwarding.m_route->m_tier);
  return Step::kContinue;
}

Step CheckQuota(ForwarderState& state, Forwarding& forwarding) {
  const Workspace* workspace = forwarding.m_workspace;
  if (workspace == nullptr)
    return Step::kContinue;
  std::optional<std::int64_t> tokens;
  if (forwarding.m_request.m_names_tokens)
    tokens = forwarding.m_request.m_prompt_tokens + forwarding.m_request.m_most_tokens;
  if (workspace->m_limit.m_rate_per_s <= 0)
    return Step::kContinue;
  const QuotaLimit limit = Loosen(workspace->m_limit, state.m_settings.m_quota_tolerance);
  const double cost = CostOf(*workspace, tokens);
  const QuotaRequest request{cost, ReserveOf(forwarding, cost, limit)};
  if (Spend(state.m_quotas[workspace->m_name], limit, request, state.m_sharers,
            forwarding.m_arrived)) {
    forwarding.m_quota_cost = cost;
    return Step::kContinue;
  }
  const QuotaBucket& bucket = state.m_quotas[workspace->m_name];
  POPPYWAY_LOG(info, "limit_spent")
      .Field("request", forwarding.m_request.m_id)
      .Field("workspace", workspace->m_name)
      .Field("cost", cost)
      .Field("rate_per_s", limit.m_rate_per_s)
      .Field("burst", limit.m_burst)
      .Field("left", bucket.m_tokens)
      .Field("own_left", bucket.m_period_left)
      .Field("own_part", bucket.m_own_part)
      .Field("heard_ms_ago", (forwarding.m_arrived - bucket.m_heard).count() / 1000)
      .Field("sharers", state.m_sharers.m_instances)
      .Field("silent", state.m_sharers.m_silent);
  Refuse(state, forwarding, ResultCode::kQuotaSpent, "the workspace has used up its limit");
  return Step::kEnded;
}

void Enqueue(ForwarderState& state, Forwarding& forwarding) {
  const std::string& pool = PickPool(*forwarding.m_route, state.m_random());
  forwarding.m_pool = FindPool(*forwarding.m_table, pool);
  PoolState& waiting = state.m_pools[pool];
  waiting.m_retries = Deposit(
      waiting.m_retries, {state.m_settings.m_retry_limit.m_ratio,
                          state.m_settings.m_retry_limit.m_burst, state.m_sharers.m_instances});
  forwarding.m_length = LengthClass(waiting, forwarding);
  PutInQueue(state, forwarding, ReadClock() + FirstWait(forwarding));
  ServeQueue(state, pool);
}

}  // namespace poppyway::impl
