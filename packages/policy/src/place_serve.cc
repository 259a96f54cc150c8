// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which server a place request gets, how long it waits for one, and who is served when a place
// comes free.
#include <algorithm>
#include <cmath>

#include "place_internal.h"

namespace poppyway {
namespace {

constexpr std::size_t kDepth = 64;     // Of the queue that a free place is offered to.
constexpr std::size_t kTickDepth = 8;  // Of the queue that all servers are tried for.
constexpr Duration kTypicalAge{100'000};
constexpr double kInTimeShare = 0.85;  // Of the aim: forecasts are some tens of ms off.
constexpr int kForecastSlack =
    2;  // Places come free in clusters: a wait may take twice its forecast.
constexpr Duration kLeastWait{40'000};  // Some places come free in it even where few do.

std::uint64_t NextRandom(PlaceBroker& broker) {
  broker.m_random = broker.m_random * 6364136223846793005ULL + 1442695040888963407ULL;
  return broker.m_random;
}

bool Tried(const PlaceAsk& ask, const std::string& server) {
  return std::find(ask.m_tried.begin(), ask.m_tried.end(), server) != ask.m_tried.end();
}

/// Sets what of a server's view depends on who asks and on the time.
/// `kept`: whether a roll-out keeps the server from work.
void SetView(const OutageWatch& outages,
             PlacePool& pool,
             std::size_t i,
             const PlaceAsk& ask,
             double told,
             bool kept,
             Instant now) {
  const PlaceServer& server = pool.m_servers[i];
  ServerView& view = pool.m_views[i];
  view.m_usable = BarOf(outages, pool, i, ask, kept, now) == ServerBar::kNone;
  view.m_same_data_centre = server.m_data_centre == ask.m_data_centre;
  view.m_open = static_cast<int>(std::ceil(view.m_slots * told)) - view.m_others;
  view.m_kept_tokens = 0;
}

/// Half of a pool stays in use, whatever failures say: of the suspects those that fail least.
/// `lost`: whether those of lost data centres count too.
void UseSuspects(const OutageWatch& outages,
                 PlacePool& pool,
                 const PlaceAsk& ask,
                 WorkingSide side,
                 bool lost,
                 Instant now) {
  std::vector<std::size_t> suspects;
  std::size_t present = 0;
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    if (!lost && IsLost(outages, pool.m_servers[i].m_data_centre, pool.m_servers[i].m_id))
      continue;
    const ServerBar bar = BarOf(outages, pool, i, ask, KeptFromWork(pool, side, i), now);
    if (bar != ServerBar::kNone && bar != ServerBar::kSuspect)
      continue;
    ++present;
    if (bar == ServerBar::kNone)
      ++usable;
    else
      suspects.push_back(i);
  }
  if (usable * 2 >= present)
    return;
  const auto less = [&pool](std::size_t a, std::size_t b) {
    return pool.m_health[a].m_failed_share < pool.m_health[b].m_failed_share;
  };
  std::sort(suspects.begin(), suspects.end(), less);
  for (std::size_t k = 0; usable * 2 < present; ++k, ++usable)
    pool.m_views[suspects[k]].m_usable = true;
}

void SetViews(PlaceBroker& broker, PlacePool& pool, const PlaceAsk& ask, Instant now) {
  const double told = ToldShare(broker, now);
  const WorkingSide side = SideAtWork(pool);
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    SetView(broker.m_outages, pool, i, ask, told, KeptFromWork(pool, side, i), now);
    usable += pool.m_views[i].m_usable ? 1 : 0;
  }
  if (usable * 2 < pool.m_servers.size())
    UseSuspects(broker.m_outages, pool, ask, side, false, now);
  const bool none = broker.m_outages.m_suspects > 0 &&
                    std::none_of(pool.m_views.begin(), pool.m_views.end(),
                                 [](const ServerView& view) { return view.m_usable; });
  if (none)
    UseSuspects(broker.m_outages, pool, ask, side, true, now);
  SetKeptTokens(pool, ask);
}

/// The place request as it stands after it has waited since `asked`.
RequestShape ShapeNow(const WaitingAsk& waiting, bool yields, Instant now) {
  RequestShape shape = waiting.m_ask.m_shape;
  const Duration since = now - waiting.m_asked;
  shape.m_waited += since;
  shape.m_left -= since;
  shape.m_yields = yields;
  return shape;
}

/// Takes the place at server `i` of the pool.
PlaceAnswer Take(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 const WaitingAsk& waiting,
                 Duration first,
                 Instant now) {
  const PlaceAsk& ask = waiting.m_ask;
  ServerView& view = pool.m_views[i];
  HeldPlace held;
  held.m_ref = ask.m_ref;
  held.m_server = pool.m_servers[i].m_id;
  held.m_reading_tokens = ask.m_shape.m_prompt_tokens;
  held.m_expected_tokens = ask.m_expected_tokens;
  held.m_workspace = ask.m_workspace;
  held.m_cost = ask.m_quota.m_cost;
  held.m_taken = now;
  ++view.m_others;
  view.m_reading_tokens += held.m_reading_tokens;
  BeginTrial(broker.m_outages, pool.m_servers[i].m_data_centre, held.m_server, now);
  if (OnTrial(pool.m_health[i]))
    pool.m_health[i] = BeginTrial(pool.m_health[i], now);
  RememberParts(pool, i, ask, now);
  CountPlaced(pool, i);
  held.m_route = ask.m_route;
  if (!waiting.m_order.m_owed)
    CountServed(pool.m_shares, waiting.m_group, now);
  PlaceAnswer answer;
  answer.m_holder = waiting.m_holder;
  answer.m_ref = ask.m_ref;
  answer.m_verdict = PlaceVerdict::kPlaced;
  answer.m_server = held.m_server;
  answer.m_first = first;
  if (!ask.m_workspace.empty())
    answer.m_left = broker.m_limits[ask.m_workspace].m_tokens;
  broker.m_holders[waiting.m_holder].m_held.insert_or_assign(ask.m_ref, std::move(held));
  return answer;
}

int TakenOf(const PlacePool& pool) {
  int taken = 0;
  for (const ServerView& view : pool.m_views)
    taken += view.m_others;
  return taken;
}

/// When a place comes free for what has `ahead` others before it. What is owed a place waits for
/// nothing more urgent.
std::optional<Duration> ForecastOf(const PlacePool& pool, const PlaceOrder& order, int ahead) {
  const Tier rank = order.m_owed ? 0 : order.m_rank;
  return ForecastWait(pool.m_flow, rank, ahead, TakenOf(pool));
}

int CountAhead(const PlacePool& pool, const PlaceOrder& order) {
  return static_cast<int>(std::distance(pool.m_waiting.begin(), pool.m_waiting.lower_bound(order)));
}

}  // namespace

ServerBar BarOf(const OutageWatch& outages,
                const PlacePool& pool,
                std::size_t i,
                const PlaceAsk& ask,
                bool kept,
                Instant now) {
  const PlaceServer& server = pool.m_servers[i];
  ServerStanding standing;
  standing.m_leaving = server.m_leaving;
  standing.m_evacuated = server.m_evacuated;
  standing.m_kept_by_rollout = kept;
  standing.m_suspect = IsSuspect(outages, pool, i, now);
  standing.m_region = server.m_region;
  return BarFor(standing, ask.m_homes, !ask.m_tried.empty() && Tried(ask, server.m_id));
}

std::size_t RankIndex(Tier rank) {
  return static_cast<std::size_t>(std::clamp(rank, 0, kTiers - 1));
}

void RefreshTypical(PlacePool& pool, Instant now) {
  if (pool.m_typical_at != Instant{} && now - pool.m_typical_at < kTypicalAge)
    return;
  pool.m_typical = TypicalPace(pool.m_views);
  pool.m_typical_at = now;
}

bool Yields(const PlacePool& pool, Tier rank) {
  return std::any_of(pool.m_waiting.begin(), pool.m_waiting.end(),
                     [rank](const auto& entry) { return entry.first.m_rank < rank; });
}

PlaceAnswer RefusalOf(const std::string& holder, PlaceRef ref, PlaceVerdict verdict, double left) {
  PlaceAnswer answer;
  answer.m_holder = holder;
  answer.m_ref = ref;
  answer.m_verdict = verdict;
  answer.m_left = left;
  return answer;
}

std::optional<PlaceAnswer> TryAll(PlaceBroker& broker,
                                  PlacePool& pool,
                                  WaitingAsk& waiting,
                                  bool yields,
                                  Instant now) {
  SetViews(broker, pool, waiting.m_ask, now);
  const RequestShape shape = ShapeNow(waiting, yields, now);
  if (const auto i = ChooseTrialServer(pool, waiting.m_ask, shape, now)) {
    const Duration first = PredictFirst(pool.m_views[*i], shape, pool.m_typical);
    return Take(broker, pool, *i, waiting, first, now);
  }
  if (const auto i = ChooseOutageTrial(broker, pool, waiting.m_ask, shape, now)) {
    const Duration first = PredictFirst(pool.m_views[*i], shape, pool.m_typical);
    return Take(broker, pool, *i, waiting, first, now);
  }
  const std::optional<ServerChoice> choice =
      ChooseServer(pool.m_views, shape, pool.m_typical, NextRandom(broker));
  if (choice)
    return Take(broker, pool, choice->m_index, waiting, choice->m_first, now);
  waiting.m_needs_suitable = AnySuits(pool.m_views, shape, pool.m_typical);
  return std::nullopt;
}

void ServeServer(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 Instant now,
                 std::vector<PlaceAnswer>& out) {
  const double told = ToldShare(broker, now);
  if (KeptFromWork(pool, SideAtWork(pool), i))
    return;  // A trial takes new requests, and what waits at the next look at all servers.
  Tier most_urgent = kTiers;
  std::size_t depth = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end() && depth < kDepth; ++depth) {
    WaitingAsk& waiting = it->second;
    const Tier rank = it->first.m_rank;
    const bool yields = !it->first.m_owed && rank > most_urgent;
    SetView(broker.m_outages, pool, i, waiting.m_ask, told, false, now);
    const ServerView& view = pool.m_views[i];
    const RequestShape shape = ShapeNow(waiting, yields, now);
    const bool fits = view.m_usable && HasRoom(view, shape, pool.m_typical) &&
                      (!waiting.m_needs_suitable || Suits(view, shape, pool.m_typical));
    if (!fits) {
      most_urgent = std::min(most_urgent, rank);
      ++it;
      continue;
    }
    const Duration first = PredictFirst(view, shape, pool.m_typical);
    out.push_back(Take(broker, pool, i, waiting, first, now));
    broker.m_holders[waiting.m_holder].m_waiting.erase(waiting.m_ask.m_ref);
    it = pool.m_waiting.erase(it);
  }
}

void ServePool(PlaceBroker& broker, PlacePool& pool, Instant now, std::vector<PlaceAnswer>& out) {
  RefreshTypical(pool, now);
  Tier most_urgent = kTiers;
  std::size_t without_room = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end() && without_room < kTickDepth;) {
    const Tier rank = it->first.m_rank;
    const bool yields = !it->first.m_owed && rank > most_urgent;
    std::optional<PlaceAnswer> answer = TryAll(broker, pool, it->second, yields, now);
    if (!answer) {
      most_urgent = std::min(most_urgent, rank);
      ++without_room;
      ++it;
      continue;
    }
    out.push_back(std::move(*answer));
    broker.m_holders[it->second.m_holder].m_waiting.erase(it->second.m_ask.m_ref);
    it = pool.m_waiting.erase(it);
  }
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
    GiveBack(broker, waiting.m_ask);
    if (it->first.m_owed)
      CountUnserved(pool.m_shares, waiting.m_group, now);
    broker.m_holders[waiting.m_holder].m_waiting.erase(waiting.m_ask.m_ref);
    out.push_back(RefusalOf(waiting.m_holder, waiting.m_ask.m_ref, PlaceVerdict::kNoRoom, 0));
    out.back().m_come_back = ForecastOf(pool, it->first, ahead).value_or(Duration(0));
    it = pool.m_waiting.erase(it);
  }
}

Duration LongestUsefulWait(const PlacePool& pool, const WaitingAsk& waiting) {
  const RequestShape& shape = waiting.m_ask.m_shape;
  Duration fastest = kLongestWait;
  for (const ServerView& view : pool.m_views) {
    if (view.m_usable)
      fastest = std::min(fastest, PredictAlone(view, shape, pool.m_typical));
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
  const std::optional<Duration> forecast = ForecastOf(pool, order, CountAhead(pool, order));
  const Duration most = LongestUsefulWait(pool, waiting);
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
