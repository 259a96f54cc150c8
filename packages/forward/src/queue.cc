// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// A request is refused once it has waited this share of its aim: early enough that a caller who
// comes back and is served then still has something of it.
constexpr double kWaitShare = 0.22;
// A caller told to come back uses up at most this share of the time it has left.
constexpr double kComeBackShare = 0.3;
constexpr Duration kComeBackLeast{150'000};  // Sooner, nothing will have changed.
constexpr Duration kComeBackMost{2'000'000};
constexpr int kDepthWithoutRoom = 8;  // After so many that find no room the rest is not tried.

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// True while its key may still be relied on.
bool StillConfirmed(const ForwarderState& state, const Forwarding& forwarding, Instant now) {
  return forwarding.m_workspace == nullptr || now < state.m_confirmed_until;
}

}  // namespace

WaitingOrder OrderOf(const Forwarding& forwarding) noexcept {
  return {forwarding.m_tier, forwarding.m_route->m_tier, forwarding.m_length_class,
          forwarding.m_ref};
}

Duration FirstWait(const Forwarding& forwarding) noexcept {
  return Scale(forwarding.m_route->m_latency_target, kWaitShare);
}

void PutInQueue(ForwarderState& state, Forwarding& forwarding, Instant until) {
  forwarding.m_stage = ForwardingStage::kWaiting;
  forwarding.m_wait_until = std::min(until, forwarding.m_deadline);
  state.m_pools[forwarding.m_pool->m_name].m_waiting[OrderOf(forwarding)] = forwarding.m_ref;
  if (state.m_broker.m_active && !IsQuiet(state.m_broker))
    AskBroker(state, forwarding);
}

void ServeQueue(ForwarderState& state, const std::string& pool) {
  const Instant now = ReadClock();
  WaitingQueue& waiting = state.m_pools[pool].m_waiting;
  int without_room = 0;
  Tier most_urgent = kTiers;
  for (auto it = waiting.begin(); it != waiting.end() && without_room < kDepthWithoutRoom;) {
    Forwarding* forwarding = Find(state, it->second);
    if (forwarding == nullptr) {
      it = waiting.erase(it);
      continue;
    }
    if (forwarding->m_slot_request != 0) {
      ++it;  // The broker decides.
      continue;
    }
    if (NoneAtHome(state, *forwarding)) {
      ++it;
      Refuse(state, *forwarding,
             forwarding->m_unsure > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNoBackend,
             "the pool has no server in a home region");
      continue;
    }
    if (!ChargeQuotaWithoutBroker(state, *forwarding, now)) {
      ++it;
      Refuse(state, *forwarding,
             forwarding->m_unsure > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kQuotaSpent,
             "the workspace has used up its limit");
      continue;
    }
    const Tier route_tier = forwarding->m_route->m_tier;
    const std::optional<std::string> server =
        ChooseBackend(state, *forwarding, route_tier > most_urgent);
    const bool may = server && StillConfirmed(state, *forwarding, now);
    if (!may) {
      ++without_room;
      most_urgent = std::min(most_urgent, route_tier);
      ++it;
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
      // What the broker has is refused by the broker.
      const Instant until =
          forwarding->m_slot_request != 0 ? forwarding->m_deadline : forwarding->m_wait_until;
      const bool nowhere =
          forwarding->m_slot_request == 0 &&
          (EvacuatedAway(state, *forwarding) || AllBackOff(state, *forwarding, now) > until - now);
      if (now >= until || nowhere)
        expired.push_back(ref);
    }
  }
  for (const ForwardingRef ref : expired) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr)
      continue;
    const bool any = !state.m_pools[forwarding->m_pool->m_name].m_servers.empty() &&
                     !EvacuatedAway(state, *forwarding);
    forwarding->m_estimated_wait =
        AllBackOff(state, *forwarding, now).value_or(forwarding->m_estimated_wait);
    if (forwarding->m_unsure > 0)
      Refuse(state, *forwarding, ResultCode::kOutcomeUnknown, "no other server had room");
    else
      Refuse(state, *forwarding, any ? ResultCode::kOverload : ResultCode::kNoBackend,
             "no server had room in time");
  }
}

Duration ComeBackAfter(ForwarderState& state, const Forwarding& forwarding, ResultCode code) {
  if (code == ResultCode::kStopping)
    return Duration(0);  // Any other instance can serve it now.
  const Duration left = forwarding.m_deadline - ReadClock();
  const double spread =
      0.5 + 0.5 * static_cast<double>(state.m_random() >> 11) / 9007199254740992.0;
  if (forwarding.m_estimated_wait > Duration(0))
    return std::clamp(Scale(forwarding.m_estimated_wait, 2 * spread), kComeBackLeast,
                      std::max(kComeBackLeast, Scale(left, kComeBackShare)));
  const Duration most = std::min(kComeBackMost, Scale(left, kComeBackShare));
  return std::max(kComeBackLeast, Scale(most, spread));
}

}  // namespace poppyway::impl
