// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// A request is rejected once it has waited this share of its latency target, early enough for the
// caller's retry to be useful.
constexpr double kQueueTimeShare = 0.22;
// The retry delay is at most this share of the time until the caller's deadline, or
// `kMinRetryAfter` if that is longer.
constexpr double kRetryAfterShare = 0.3;
constexpr Duration kMinRetryAfter{150'000};  // Earlier, nothing will have changed.
constexpr Duration kMaxRetryAfter{2'000'000};
// A quarantined request is rejected for much longer, by all instances.
constexpr Duration kQuarantineRetryAfter{60'000'000};
// An instance without a broker tries to reach a member each 500 ms or more often.
constexpr Duration kCutOffAfter{750'000};
// After this many requests without a free slot, the rest of the queue is not tried.
constexpr int kMaxUnplaceable = 8;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Returns true if no member has responded for a while. Other instances likely reach them and serve
/// what this one must refuse; during a change of leader, members respond that don't lead.
bool IsCutOffFromMembers(const ForwarderState& state, Instant now) {
  const BrokerLink& link = state.m_broker;
  const bool responds = link.m_active && !IsBrokerOverdue(link);
  if (responds || !link.m_port.m_last_member_contact)
    return false;
  const Instant last = link.m_port.m_last_member_contact();
  return last != Instant{} && now - last >= kCutOffAfter;
}

/// Returns true while the request's API key is known to be valid.
bool IsKeyConfirmed(const ForwarderState& state, const Forwarding& forwarding, Instant now) {
  return forwarding.m_workspace == nullptr || now < state.m_confirmed_until;
}

}  // namespace

WaitingOrder OrderOf(const Forwarding& forwarding) noexcept {
  return {forwarding.m_tier, forwarding.m_route->m_tier, forwarding.m_length_class,
          forwarding.m_ref};
}

Duration InitialQueueTimeout(const Forwarding& forwarding) noexcept {
  return Scale(forwarding.m_route->m_latency_target, kQueueTimeShare);
}

void PutInQueue(ForwarderState& state, Forwarding& forwarding, Instant until) {
  forwarding.m_stage = ForwardingStage::kWaiting;
  forwarding.m_wait_until = std::min(until, forwarding.m_deadline);
  forwarding.m_called_software = 0;
  state.m_pools[forwarding.m_pool->m_name].m_waiting[OrderOf(forwarding)] = forwarding.m_ref;
  if (state.m_broker.m_active && !IsBrokerOverdue(state.m_broker))
    RequestSlot(state, forwarding);
}

void ServeQueue(ForwarderState& state, const std::string& pool) {
  const Instant now = ReadClock();
  WaitingQueue& waiting = state.m_pools[pool].m_waiting;
  int unplaceable = 0;
  Tier most_urgent = kTiers;
  for (auto it = waiting.begin(); it != waiting.end() && unplaceable < kMaxUnplaceable;) {
    Forwarding* forwarding = Find(state, it->second);
    if (forwarding == nullptr) {
      it = waiting.erase(it);
      continue;
    }
    if (forwarding->m_slot_request != 0) {
      ++it;  // The broker places it.
      continue;
    }
    if (NoServerInHomeRegion(state, *forwarding)) {
      ++it;
      Refuse(state, *forwarding,
             forwarding->m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNoBackend,
             "the pool has no server in a home region");
      continue;
    }
    if (NoServerToContinue(state, *forwarding)) {
      ++it;
      Refuse(state, *forwarding,
             forwarding->m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNoBackend,
             WhyNoServer(*forwarding));
      continue;
    }
    if (!ChargeQuotaWithoutBroker(state, *forwarding, now)) {
      ++it;
      Refuse(
          state, *forwarding,
          forwarding->m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kQuotaSpent,
          "the workspace has used up its limit");
      continue;
    }
    const Tier route_tier = forwarding->m_route->m_tier;
    const std::optional<std::string> server =
        ChooseBackend(state, *forwarding, route_tier > most_urgent);
    const bool may = server && IsKeyConfirmed(state, *forwarding, now);
    if (!may) {
      // A continuation waits for few servers; others may have room for those behind it.
      if (!ContinuationOf(*forwarding).m_continues) {
        ++unplaceable;
        most_urgent = std::min(most_urgent, route_tier);
      }
      ++it;
      continue;
    }
    if (!ChargeRetryWithoutBroker(state.m_pools[pool], *forwarding)) {
      ++it;
      RefuseRetry(state, *forwarding);
      continue;
    }
    it = waiting.erase(it);
    Dispatch(state, *forwarding, *server);
  }
}

void ExpireWaiting(ForwarderState& state, Instant now) {
  std::vector<ForwardingRef> expired;
  for (const auto& [pool, pool_state] : state.m_pools) {
    for (const auto& [order, ref] : pool_state.m_waiting) {
      const Forwarding* forwarding = Find(state, ref);
      if (forwarding == nullptr)
        continue;
      // The broker times out its own queue, so only the deadline applies here to a request with a
      // pending slot request.
      const Instant until =
          forwarding->m_slot_request != 0 ? forwarding->m_deadline : forwarding->m_wait_until;
      const bool unservable = forwarding->m_slot_request == 0 &&
                              (HasOnlyEvacuatedServers(state, *forwarding) ||
                               RemainingBackOff(state, *forwarding, now) > until - now);
      if (now >= until || unservable)
        expired.push_back(ref);
    }
  }
  for (const ForwardingRef ref : expired) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr)
      continue;
    const bool any = !state.m_pools[forwarding->m_pool->m_name].m_servers.empty() &&
                     !HasOnlyEvacuatedServers(state, *forwarding);
    forwarding->m_estimated_wait =
        RemainingBackOff(state, *forwarding, now).value_or(forwarding->m_estimated_wait);
    const Continuation continuation = ContinuationOf(*forwarding);
    if (forwarding->m_possible_runs > 0)
      Refuse(state, *forwarding, ResultCode::kOutcomeUnknown, "no other server had room");
    else if (continuation.m_continues && continuation.m_software == 0)
      Refuse(state, *forwarding, ResultCode::kStreamUnknown, kWhyStreamUnknown);
    else
      Refuse(state, *forwarding, any ? ResultCode::kOverload : ResultCode::kNoBackend,
             "no server had room in time");
  }
}

Duration RetryDelay(ForwarderState& state, const Forwarding& forwarding, ResultCode code) {
  if (code == ResultCode::kQuarantined)
    return kQuarantineRetryAfter;
  const Instant now = ReadClock();
  const bool served_elsewhere =
      code == ResultCode::kStopping || state.m_paths.m_cut_off || IsCutOffFromMembers(state, now);
  if (served_elsewhere)
    return Duration(0);  // Any other instance can serve the request now.
  const Duration left = forwarding.m_deadline - now;
  const double spread =
      0.5 + 0.5 * static_cast<double>(state.m_random() >> 11) / 9007199254740992.0;
  if (forwarding.m_estimated_wait > Duration(0))
    return std::clamp(Scale(forwarding.m_estimated_wait, 2 * spread), kMinRetryAfter,
                      std::max(kMinRetryAfter, Scale(left, kRetryAfterShare)));
  const Duration most = std::min(kMaxRetryAfter, Scale(left, kRetryAfterShare));
  return std::max(kMinRetryAfter, Scale(most, spread));
}

}  // namespace poppyway::impl
