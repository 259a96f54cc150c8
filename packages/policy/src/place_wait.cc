// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How long a place request waits, and when it is refused.
#include <algorithm>

#include "place_internal.h"

namespace poppyway {
namespace {

constexpr double kInTimeShare = 0.85;  // Of the aim: forecasts are some tens of ms off.
constexpr int kForecastSlack =
    2;  // Places come free in clusters: a wait may take twice its forecast.
constexpr Duration kLeastWait{40'000};  // Some places come free in it even where few do.

int TakenOf(const PlacePool& pool) {
  int taken = 0;
  for (std::size_t i = 0; i < pool.m_views.size(); ++i)
    taken += pool.m_servers[i].m_evacuated ? 0 : pool.m_views[i].m_others;
  return taken;
}

/// When a place comes free for what has `ahead` others before it. What is owed a place waits for
/// nothing more urgent.
std::optional<Duration> ForecastOf(const PlacePool& pool, const PlaceOrder& order, int ahead) {
  const Tier rank = order.m_owed ? 0 : order.m_rank;
  const std::optional<Duration> free = ForecastWait(pool.m_flow, rank, ahead, TakenOf(pool));
  const std::optional<Duration> cold = ColdForecast(pool, ahead);
  return free && cold ? std::min(*free, *cold) : free;
}

/// When the first of the servers that could serve the request wants something from its instance
/// again, if all of them have asked it to send nothing for a while.
std::optional<Duration> AllBackOff(const PlaceBroker& broker,
                                   const PlacePool& pool,
                                   const WaitingAsk& waiting,
                                   Instant now) {
  if (now >= pool.m_back_off_until)
    return std::nullopt;
  const WorkingSide side = SideAtWork(pool);
  const auto bar_of = [&](std::size_t i) {
    return BarOf(broker.m_outages, pool, i, waiting, KeptFromWork(pool, side, i), now);
  };
  const auto left_of = [&](std::size_t i) {
    return BackOffLeft(pool.m_words[i], waiting.m_holder, now);
  };
  return UntilOneWants(pool.m_servers.size(), bar_of, left_of);
}

/// When a place comes free for a request that finds none now.
std::optional<Duration> ForecastFor(const PlaceBroker& broker,
                                    const PlacePool& pool,
                                    const WaitingAsk& waiting,
                                    int ahead,
                                    Instant now) {
  const std::optional<Duration> free = ForecastOf(pool, waiting.m_order, ahead);
  const std::optional<Duration> wanted = AllBackOff(broker, pool, waiting, now);
  // Places that come free meanwhile are of no use to it.
  return wanted ? std::max(free.value_or(Duration(0)), *wanted) : free;
}

int CountAhead(const PlacePool& pool, const PlaceOrder& order) {
  return static_cast<int>(std::distance(pool.m_waiting.begin(), pool.m_waiting.lower_bound(order)));
}

using WaitingAsks = std::map<PlaceOrder, WaitingAsk>;

/// Refuses a place request that waits. \return what waits behind it.
WaitingAsks::iterator RefuseWaiting(PlaceBroker& broker,
                                    PlacePool& pool,
                                    WaitingAsks::iterator it,
                                    PlaceAnswer refusal,
                                    Instant now,
                                    std::vector<PlaceAnswer>& out) {
  const WaitingAsk& waiting = it->second;
  GiveBack(broker, waiting.m_ask);
  if (it->first.m_owed)
    CountUnserved(pool.m_shares, waiting.m_group, now);
  broker.m_holders[waiting.m_holder].m_waiting.erase(waiting.m_ask.m_ref);
  out.push_back(std::move(refusal));
  return pool.m_waiting.erase(it);
}

}  // namespace

bool NoneMayServe(const PlacePool& pool, const HomeRegions& homes) noexcept {
  bool present = false;
  for (const PlaceServer& server : pool.m_servers) {
    if (server.m_leaving || !ServesAtHome(homes, server.m_region))
      continue;
    if (!server.m_evacuated)
      return false;
    present = true;
  }
  // Servers that leave are made up for by others soon, unless the request is bound to regions.
  return present || homes.m_bound;
}

void GiveBack(PlaceBroker& broker, const PlaceAsk& ask) {
  const auto limit = broker.m_limits.find(ask.m_workspace);
  if (limit != broker.m_limits.end())
    Refund(limit->second, ask.m_quota.m_cost);
}

void ExpirePool(PlaceBroker& broker, PlacePool& pool, Instant now, std::vector<PlaceAnswer>& out) {
  int ahead = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end(); ++ahead) {
    const WaitingAsk& waiting = it->second;
    if (now < waiting.m_until) {
      ++it;
      continue;
    }
    PlaceAnswer refusal =
        RefusalOf(waiting.m_holder, waiting.m_ask.m_ref, PlaceVerdict::kNoRoom, 0);
    refusal.m_come_back = ForecastFor(broker, pool, waiting, ahead, now).value_or(Duration(0));
    it = RefuseWaiting(broker, pool, it, std::move(refusal), now, out);
  }
}

void RefuseUnservable(PlaceBroker& broker,
                      PlacePool& pool,
                      Instant now,
                      std::vector<PlaceAnswer>& out) {
  const bool none = NoneMayServe(pool, {});
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end();) {
    const WaitingAsk& waiting = it->second;
    const HomeRegions& homes = waiting.m_ask.m_homes;
    if (!none && !(homes.m_bound && NoneMayServe(pool, homes))) {
      ++it;
      continue;
    }
    it = RefuseWaiting(broker, pool, it,
                       RefusalOf(waiting.m_holder, waiting.m_ask.m_ref, PlaceVerdict::kNoServer, 0),
                       now, out);
  }
}

Duration LongestUsefulWait(const PlacePool& pool, const WaitingAsk& waiting, Instant now) {
  const RequestShape& shape = waiting.m_ask.m_shape;
  Duration fastest = kLongestWait;
  for (std::size_t i = 0; i < pool.m_views.size(); ++i) {
    // A cold server that is full now has room within the next second, and one that backs off may
    // want something again in time.
    const bool backs_off = BackOffLeft(pool.m_words[i], waiting.m_holder, now) > Duration(0);
    if (pool.m_views[i].m_usable || pool.m_ramps[i].m_full || backs_off)
      fastest = std::min(fastest, PredictAlone(pool.m_views[i], shape, pool.m_typical));
  }
  const auto aim = static_cast<double>(shape.m_aim.count());
  const Duration in_time =
      Duration(static_cast<std::int64_t>(kInTimeShare * aim)) - shape.m_waited - fastest;
  return std::clamp(in_time, Duration(0), waiting.m_ask.m_wait);
}

void WaitOrRefuse(PlaceBroker& broker,
                  PlacePool& pool,
                  WaitingAsk waiting,
                  Instant now,
                  std::vector<PlaceAnswer>& out) {
  const std::string holder = waiting.m_holder;
  const PlaceRef ref = waiting.m_ask.m_ref;
  const PlaceOrder order = waiting.m_order;
  const std::optional<Duration> forecast =
      ForecastFor(broker, pool, waiting, CountAhead(pool, order), now);
  const Duration most = LongestUsefulWait(pool, waiting, now);
  if (forecast && *forecast > most) {
    GiveBack(broker, waiting.m_ask);
    if (order.m_owed)
      CountUnserved(pool.m_shares, waiting.m_group, now);
    out.push_back(RefusalOf(holder, ref, PlaceVerdict::kNoRoom, 0));
    out.back().m_come_back = *forecast;
    return;
  }
  const Duration wait = forecast ? kForecastSlack * *forecast : most;
  waiting.m_until = now + std::clamp(wait, std::min(kLeastWait, most), most);
  out.push_back(RefusalOf(holder, ref, PlaceVerdict::kQueued, 0));
  broker.m_holders[holder].m_waiting[ref] = {waiting.m_ask.m_pool, order};
  pool.m_waiting.emplace(order, std::move(waiting));
}

}  // namespace poppyway
