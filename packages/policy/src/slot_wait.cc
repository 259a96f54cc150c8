// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How long a slot request waits, and when it is rejected.
#include <algorithm>
#include <numeric>

#include "slot_internal.h"

namespace poppyway {
namespace {

// Share of the latency target that forecasts may use up, since they are some tens of ms off.
constexpr double kInTimeShare = 0.85;
constexpr int kForecastSlack =
    2;  // Slots come free in clusters, so a wait may take twice its forecast.
// A queued request may wait at least this long if its longest useful wait allows: some slots come
// free in this time even at a low rate.
constexpr Duration kMinWait{40'000};

int CountTakenSlots(const SlotPool& pool) {
  if (IsOrdered(pool) && !pool.m_any_evacuated)
    return pool.m_order.m_taken;
  int taken = 0;
  for (std::size_t i = 0; i < pool.m_views.size(); ++i)
    taken += pool.m_servers[i].m_evacuated ? 0 : pool.m_views[i].m_other_in_flight;
  return taken;
}

/// Forecasts the time until a slot comes free for a request behind `ahead` others. A request of an
/// underserved group waits for no more urgent ones. Returns nullopt while too few slots have come
/// free for a forecast.
std::optional<Duration> ForecastFreeSlot(const SlotPool& pool,
                                         const SlotQueueOrder& order,
                                         int ahead) {
  const Tier route_tier = order.m_underserved ? 0 : order.m_route_tier;
  const std::optional<Duration> free =
      ForecastWait(pool.m_turnover, route_tier, ahead, CountTakenSlots(pool));
  const std::optional<Duration> paced = ForecastPacedWait(pool, ahead);
  return free && paced ? std::min(*free, *paced) : free;
}

/// Returns the shortest remaining back-off if all servers that could serve the request have asked
/// its instance to back off.
std::optional<Duration> AllBackOff(const SlotBroker& broker,
                                   const SlotPool& pool,
                                   const QueuedSlotRequest& waiting,
                                   Instant now) {
  if (now >= pool.m_back_off_until)
    return std::nullopt;
  const ServingGroup group = ServingGroupOf(pool);
  const auto reason_of = [&](std::size_t i) {
    return CheckServerEligibility(broker.m_outages, pool, i, waiting,
                                  IsExcludedByRollout(pool, group, i), now);
  };
  const auto left_of = [&](std::size_t i) {
    return BackOffLeft(pool.m_notices[i], waiting.m_instance, now);
  };
  return ShortestBackOff(pool.m_servers.size(), reason_of, left_of);
}

/// Forecasts the time until a request without a slot gets one, back-offs of the servers included.
/// Returns nullopt while too little is known for a forecast.
std::optional<Duration> ForecastWaitForSlot(const SlotBroker& broker,
                                            const SlotPool& pool,
                                            const QueuedSlotRequest& waiting,
                                            int ahead,
                                            Instant now) {
  const std::optional<Duration> free = ForecastFreeSlot(pool, waiting.m_order, ahead);
  const std::optional<Duration> back_off = AllBackOff(broker, pool, waiting, now);
  // Slots that come free before the back-off ends are of no use to the request.
  return back_off ? std::max(free.value_or(Duration(0)), *back_off) : free;
}

SlotQueueOrder ClassOf(const SlotQueueOrder& order) noexcept {
  SlotQueueOrder kind = order;
  kind.m_number = 0;
  return kind;
}

/// Returns how many requests wait ahead of one that arrives now.
int CountAhead(const SlotPool& pool, const SlotQueueOrder& order) {
  const auto end = pool.m_waiting_by_class.upper_bound(ClassOf(order));
  return std::accumulate(pool.m_waiting_by_class.begin(), end, 0,
                         [](int sum, const auto& entry) { return sum + entry.second; });
}

/// Rejects a waiting request. Returns the one behind it.
SlotQueue::iterator RejectQueued(SlotBroker& broker,
                                 SlotPool& pool,
                                 SlotQueue::iterator it,
                                 SlotResponse rejection,
                                 Instant now,
                                 std::vector<SlotResponse>& out) {
  const QueuedSlotRequest& waiting = it->second;
  RefundRequest(broker, waiting.m_request);
  if (it->first.m_underserved)
    CountUnserved(pool.m_shares, waiting.m_group, now);
  broker.m_instance_slots[waiting.m_instance].m_waiting.erase(waiting.m_request.m_ref);
  out.push_back(std::move(rejection));
  return EraseWaiting(pool, it);
}

}  // namespace

void AddWaiting(SlotPool& pool, QueuedSlotRequest waiting) {
  ++pool.m_waiting_by_class[ClassOf(waiting.m_order)];
  const SlotQueueOrder order = waiting.m_order;
  pool.m_waiting.emplace(order, std::move(waiting));
}

SlotQueue::iterator EraseWaiting(SlotPool& pool, SlotQueue::iterator it) {
  const auto count = pool.m_waiting_by_class.find(ClassOf(it->first));
  if (--count->second == 0)
    pool.m_waiting_by_class.erase(count);
  return pool.m_waiting.erase(it);
}

bool NoServerMayServe(const SlotPool& pool, const HomeRegions& homes) noexcept {
  bool present = false;
  for (const BackendServer& server : pool.m_servers) {
    if (server.m_leaving || !AllowsRegion(homes, server.m_region))
      continue;
    if (!server.m_evacuated)
      return false;
    present = true;
  }
  // Other servers soon replace those that leave, so the request may wait unless it is restricted to
  // regions.
  return present || homes.m_restricted;
}

void RefundRequest(SlotBroker& broker, const SlotRequest& slot_request) {
  const auto limit = broker.m_limits.find(slot_request.m_workspace);
  if (limit != broker.m_limits.end())
    Refund(limit->second, slot_request.m_quota.m_cost);
}

void RejectExpired(SlotBroker& broker,
                   SlotPool& pool,
                   Instant now,
                   std::vector<SlotResponse>& out) {
  int ahead = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end(); ++ahead) {
    const QueuedSlotRequest& waiting = it->second;
    if (now < waiting.m_deadline) {
      ++it;
      continue;
    }
    const SlotVerdict verdict =
        IsUnknownStream(waiting.m_request) ? SlotVerdict::kUnknownStream : SlotVerdict::kNoRoom;
    SlotResponse rejection = MakeRejection(waiting.m_instance, waiting.m_request.m_ref, verdict, 0);
    rejection.m_estimated_wait =
        ForecastWaitForSlot(broker, pool, waiting, ahead, now).value_or(Duration(0));
    it = RejectQueued(broker, pool, it, std::move(rejection), now, out);
  }
}

void RejectUnservable(SlotBroker& broker,
                      SlotPool& pool,
                      Instant now,
                      std::vector<SlotResponse>& out) {
  const bool none = NoServerMayServe(pool, {});
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end();) {
    const QueuedSlotRequest& waiting = it->second;
    const HomeRegions& homes = waiting.m_request.m_allowed_regions;
    const bool servable = !none && !(homes.m_restricted && NoServerMayServe(pool, homes)) &&
                          HasServerToContinue(pool, waiting.m_request);
    if (servable) {
      ++it;
      continue;
    }
    it = RejectQueued(
        broker, pool, it,
        MakeRejection(waiting.m_instance, waiting.m_request.m_ref, SlotVerdict::kNoServer, 0), now,
        out);
  }
}

Duration LongestUsefulWait(const SlotPool& pool, const QueuedSlotRequest& waiting, Instant now) {
  const RequestShape& shape = waiting.m_request.m_shape;
  Duration fastest = kLongestWait;
  const auto look_at = [&](std::size_t i) {
    // A server at its limit takes requests again soon, and a back-off may end in time.
    const bool paced = pool.m_slow_starts[i].m_full || pool.m_limits[i].m_per_s.has_value() ||
                       pool.m_brittleness[i].m_max_rejections.has_value();
    const bool backs_off = BackOffLeft(pool.m_notices[i], waiting.m_instance, now) > Duration(0);
    if (pool.m_views[i].m_usable || paced || backs_off)
      fastest = std::min(fastest,
                         PredictUnloadedTimeToFirstEvent(pool.m_views[i], shape, pool.m_typical));
  };
  if (IsFull(pool)) {
    std::for_each(pool.m_order.m_fastest.begin(), pool.m_order.m_fastest.end(), look_at);
  } else {
    for (std::size_t i = 0; i < pool.m_views.size(); ++i)
      look_at(i);
  }
  const auto target = static_cast<double>(shape.m_latency_target.count());
  const Duration in_time =
      Duration(static_cast<std::int64_t>(kInTimeShare * target)) - shape.m_waited - fastest;
  return std::clamp(in_time, Duration(0), waiting.m_request.m_wait);
}

void QueueOrReject(SlotBroker& broker,
                   SlotPool& pool,
                   QueuedSlotRequest waiting,
                   Instant now,
                   std::vector<SlotResponse>& out) {
  const std::string instance = waiting.m_instance;
  const SlotRef ref = waiting.m_request.m_ref;
  const SlotQueueOrder order = waiting.m_order;
  const bool continues = waiting.m_request.m_continuation.m_continues;
  // Forecasts are about slots of all servers, of which a continuation may use few.
  const std::optional<Duration> forecast =
      continues ? std::nullopt
                : ForecastWaitForSlot(broker, pool, waiting, CountAhead(pool, order), now);
  const Duration max_wait =
      continues ? MaxContinuationWait(waiting.m_request) : LongestUsefulWait(pool, waiting, now);
  if (forecast && *forecast > max_wait) {
    RefundRequest(broker, waiting.m_request);
    if (order.m_underserved)
      CountUnserved(pool.m_shares, waiting.m_group, now);
    out.push_back(MakeRejection(instance, ref, SlotVerdict::kNoRoom, 0));
    out.back().m_estimated_wait = *forecast;
    return;
  }
  const Duration wait = forecast ? kForecastSlack * *forecast : max_wait;
  waiting.m_deadline = now + std::clamp(wait, std::min(kMinWait, max_wait), max_wait);
  out.push_back(MakeRejection(instance, ref, SlotVerdict::kQueued, 0));
  broker.m_instance_slots[instance].m_waiting[ref] = {waiting.m_request.m_pool, order};
  AddWaiting(pool, std::move(waiting));
}

}  // namespace poppyway
