// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How long a place request waits, and when it is refused.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {
namespace {

constexpr double kInTimeShare = 0.85;  // Of the aim: forecasts are some tens of ms off.
constexpr int kForecastSlack =
    2;  // Places come free in clusters: a wait may take twice its forecast.
constexpr Duration kLeastWait{40'000};  // Some places come free in it even where few do.

int TakenOf(const SlotPool& pool) {
  int taken = 0;
  for (std::size_t i = 0; i < pool.m_views.size(); ++i)
    taken += pool.m_servers[i].m_evacuated ? 0 : pool.m_views[i].m_other_in_flight;
  return taken;
}

/// When a place comes free for what has `ahead` others before it. What is owed a place waits for
/// nothing more urgent.
std::optional<Duration> ForecastOf(const SlotPool& pool, const SlotQueueOrder& order, int ahead) {
  const Tier route_tier = order.m_owed ? 0 : order.m_route_tier;
  const std::optional<Duration> free = ForecastWait(pool.m_flow, route_tier, ahead, TakenOf(pool));
  const std::optional<Duration> cold = ColdForecast(pool, ahead);
  return free && cold ? std::min(*free, *cold) : free;
}

/// When the first of the servers that could serve the request wants something from its instance
/// again, if all of them have asked it to send nothing for a while.
std::optional<Duration> AllBackOff(const SlotBroker& broker,
                                   const SlotPool& pool,
                                   const QueuedSlotRequest& waiting,
                                   Instant now) {
  if (now >= pool.m_back_off_until)
    return std::nullopt;
  const ServingGroup side = ServingGroupOf(pool);
  const auto bar_of = [&](std::size_t i) {
    return CheckServerEligibility(broker.m_outages, pool, i, waiting, KeptFromWork(pool, side, i),
                                  now);
  };
  const auto left_of = [&](std::size_t i) {
    return BackOffLeft(pool.m_notices[i], waiting.m_instance, now);
  };
  return ShortestBackOff(pool.m_servers.size(), bar_of, left_of);
}

/// When a place comes free for a request that finds none now.
std::optional<Duration> ForecastFor(const SlotBroker& broker,
                                    const SlotPool& pool,
                                    const QueuedSlotRequest& waiting,
                                    int ahead,
                                    Instant now) {
  const std::optional<Duration> free = ForecastOf(pool, waiting.m_order, ahead);
  const std::optional<Duration> wanted = AllBackOff(broker, pool, waiting, now);
  // Places that come free meanwhile are of no use to it.
  return wanted ? std::max(free.value_or(Duration(0)), *wanted) : free;
}

int CountAhead(const SlotPool& pool, const SlotQueueOrder& order) {
  return static_cast<int>(std::distance(pool.m_waiting.begin(), pool.m_waiting.lower_bound(order)));
}

using WaitingAsks = std::map<SlotQueueOrder, QueuedSlotRequest>;

/// Refuses a place request that waits. \return what waits behind it.
WaitingAsks::iterator RefuseWaiting(SlotBroker& broker,
                                    SlotPool& pool,
                                    WaitingAsks::iterator it,
                                    SlotResponse refusal,
                                    Instant now,
                                    std::vector<SlotResponse>& out) {
  const QueuedSlotRequest& waiting = it->second;
  GiveBack(broker, waiting.m_request);
  if (it->first.m_owed)
    CountUnserved(pool.m_shares, waiting.m_group, now);
  broker.m_instance_slots[waiting.m_instance].m_waiting.erase(waiting.m_request.m_ref);
  out.push_back(std::move(refusal));
  return pool.m_waiting.erase(it);
}

}  // namespace

bool NoneMayServe(const SlotPool& pool, const HomeRegions& homes) noexcept {
  bool present = false;
  for (const BackendServer& server : pool.m_servers) {
    if (server.m_leaving || !IsInHomeRegion(homes, server.m_region))
      continue;
    if (!server.m_evacuated)
      return false;
    present = true;
  }
  // Servers that leave are made up for by others soon, unless the request is bound to regions.
  return present || homes.m_restricted;
}

void GiveBack(SlotBroker& broker, const SlotRequest& slot_request) {
  const auto limit = broker.m_limits.find(slot_request.m_workspace);
  if (limit != broker.m_limits.end())
    Refund(limit->second, slot_request.m_quota.m_cost);
}

void ExpirePool(SlotBroker& broker, SlotPool& pool, Instant now, std::vector<SlotResponse>& out) {
  int ahead = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end(); ++ahead) {
    const QueuedSlotRequest& waiting = it->second;
    if (now < waiting.m_until) {
      ++it;
      continue;
    }
    SlotResponse refusal =
        RefusalOf(waiting.m_instance, waiting.m_request.m_ref, SlotVerdict::kNoRoom, 0);
    refusal.m_estimated_wait = ForecastFor(broker, pool, waiting, ahead, now).value_or(Duration(0));
    it = RefuseWaiting(broker, pool, it, std::move(refusal), now, out);
  }
}

void RefuseUnservable(SlotBroker& broker,
                      SlotPool& pool,
                      Instant now,
                      std::vector<SlotResponse>& out) {
  const bool none = NoneMayServe(pool, {});
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end();) {
    const QueuedSlotRequest& waiting = it->second;
    const HomeRegions& homes = waiting.m_request.m_home_regions;
    if (!none && !(homes.m_restricted && NoneMayServe(pool, homes))) {
      ++it;
      continue;
    }
    it = RefuseWaiting(
        broker, pool, it,
        RefusalOf(waiting.m_instance, waiting.m_request.m_ref, SlotVerdict::kNoServer, 0), now,
        out);
  }
}

Duration LongestUsefulWait(const SlotPool& pool, const QueuedSlotRequest& waiting, Instant now) {
  const RequestShape& shape = waiting.m_request.m_shape;
  Duration fastest = kLongestWait;
  for (std::size_t i = 0; i < pool.m_views.size(); ++i) {
    // A cold server that is full now has room within the next second, and one that backs off may
    // want something again in time.
    const bool backs_off = BackOffLeft(pool.m_notices[i], waiting.m_instance, now) > Duration(0);
    if (pool.m_views[i].m_usable || pool.m_slow_starts[i].m_full || backs_off)
      fastest = std::min(fastest,
                         PredictUnloadedTimeToFirstEvent(pool.m_views[i], shape, pool.m_typical));
  }
  const auto aim = static_cast<double>(shape.m_latency_target.count());
  const Duration in_time =
      Duration(static_cast<std::int64_t>(kInTimeShare * aim)) - shape.m_waited - fastest;
  return std::clamp(in_time, Duration(0), waiting.m_request.m_wait);
}

void WaitOrRefuse(SlotBroker& broker,
                  SlotPool& pool,
                  QueuedSlotRequest waiting,
                  Instant now,
                  std::vector<SlotResponse>& out) {
  const std::string instance = waiting.m_instance;
  const SlotRef ref = waiting.m_request.m_ref;
  const SlotQueueOrder order = waiting.m_order;
  const std::optional<Duration> forecast =
      ForecastFor(broker, pool, waiting, CountAhead(pool, order), now);
  const Duration most = LongestUsefulWait(pool, waiting, now);
  if (forecast && *forecast > most) {
    GiveBack(broker, waiting.m_request);
    if (order.m_owed)
      CountUnserved(pool.m_shares, waiting.m_group, now);
    out.push_back(RefusalOf(instance, ref, SlotVerdict::kNoRoom, 0));
    out.back().m_estimated_wait = *forecast;
    return;
  }
  const Duration wait = forecast ? kForecastSlack * *forecast : most;
  waiting.m_until = now + std::clamp(wait, std::min(kLeastWait, most), most);
  out.push_back(RefusalOf(instance, ref, SlotVerdict::kQueued, 0));
  broker.m_instance_slots[instance].m_waiting[ref] = {waiting.m_request.m_pool, order};
  pool.m_waiting.emplace(order, std::move(waiting));
}

}  // namespace poppyway
