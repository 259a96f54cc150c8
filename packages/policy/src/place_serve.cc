// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which server a place request gets, and who is served when a place comes free.
#include <algorithm>
#include <cmath>

#include "place_internal.h"

namespace poppyway {
namespace {

constexpr std::size_t kDepth = 64;     // Of the queue that a free place is offered to.
constexpr std::size_t kTickDepth = 8;  // Of the queue that all servers are tried for.
constexpr Duration kTypicalAge{100'000};

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
             const WaitingAsk& waiting,
             const RoundTrips& trips,
             double told,
             bool kept,
             Instant now) {
  const PlaceServer& server = pool.m_servers[i];
  ServerView& view = pool.m_views[i];
  const ServerBar bar = BarOf(outages, pool, i, waiting, kept, now);
  view.m_usable = bar == ServerBar::kNone;
  pool.m_ramps[i].m_full = bar == ServerBar::kCold && !IsSuspect(outages, pool, i, now);
  view.m_same_data_centre = server.m_data_centre == waiting.m_ask.m_data_centre;
  view.m_round_trip = trips.empty() ? Duration(0) : RoundTripTo(trips, server.m_region);
  view.m_open = static_cast<int>(std::ceil(view.m_slots * told)) - view.m_others;
  view.m_kept_tokens = 0;
}

/// Half of a pool stays in use, whatever failures say: of the suspects those that fail least.
/// `lost`: whether those of lost data centres count too.
void UseSuspects(const OutageWatch& outages,
                 PlacePool& pool,
                 const WaitingAsk& waiting,
                 WorkingSide side,
                 bool lost,
                 Instant now) {
  std::vector<std::size_t> suspects;
  std::size_t present = 0;
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    if (!lost && IsLost(outages, pool.m_servers[i].m_data_centre, pool.m_servers[i].m_id))
      continue;
    const ServerBar bar = BarOf(outages, pool, i, waiting, KeptFromWork(pool, side, i), now);
    // A cold server that has got as much as it may is in use; one that is suspect too isn't.
    const bool cold_in_use = bar == ServerBar::kCold && !IsSuspect(outages, pool, i, now);
    if (bar != ServerBar::kNone && bar != ServerBar::kSuspect && !cold_in_use)
      continue;
    ++present;
    if (bar == ServerBar::kSuspect)
      suspects.push_back(i);
    else
      ++usable;
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

RoundTrips TripsOf(const PlaceBroker& broker, const PlaceAsk& ask) {
  return RoundTripsFrom(broker.m_reach, RegionOf(broker.m_regions, ask.m_data_centre));
}

void SetViews(PlaceBroker& broker, PlacePool& pool, const WaitingAsk& waiting, Instant now) {
  const double told = ToldShare(broker, now);
  const WorkingSide side = SideAtWork(pool);
  const RoundTrips trips = TripsOf(broker, waiting.m_ask);
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    SetView(broker.m_outages, pool, i, waiting, trips, told, KeptFromWork(pool, side, i), now);
    usable += pool.m_views[i].m_usable ? 1 : 0;
  }
  if (usable * 2 < pool.m_servers.size())
    UseSuspects(broker.m_outages, pool, waiting, side, false, now);
  const bool none = broker.m_outages.m_suspects > 0 &&
                    std::none_of(pool.m_views.begin(), pool.m_views.end(),
                                 [](const ServerView& view) { return view.m_usable; });
  if (none)
    UseSuspects(broker.m_outages, pool, waiting, side, true, now);
  SetKeptTokens(pool, waiting.m_ask);
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
  const PlaceServer& server = pool.m_servers[i];
  held.m_server = server.m_id;
  held.m_version = server.m_version;
  held.m_born = server.m_born;
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
  NoteSent(pool.m_ramps[i], pool.m_cold, now);
  held.m_route = ask.m_route;
  held.m_from = RegionOf(broker.m_regions, ask.m_data_centre);
  if (!waiting.m_order.m_owed)
    CountServed(pool.m_shares, waiting.m_group, now);
  PlaceAnswer answer;
  answer.m_holder = waiting.m_holder;
  answer.m_ref = ask.m_ref;
  answer.m_verdict = PlaceVerdict::kPlaced;
  answer.m_server = held.m_server;
  answer.m_born = server.m_born;
  answer.m_address = server.m_address;
  answer.m_port = server.m_port;
  answer.m_first = first;
  if (!ask.m_workspace.empty())
    answer.m_left = broker.m_limits[ask.m_workspace].m_tokens;
  broker.m_holders[waiting.m_holder].m_held.insert_or_assign(ask.m_ref, std::move(held));
  return answer;
}

/// Places that come free for others; those at evacuated servers don't.
bool AnyColdFull(const PlacePool& pool) {
  return std::any_of(pool.m_ramps.begin(), pool.m_ramps.end(),
                     [](const ColdRamp& ramp) { return ramp.m_full; });
}

}  // namespace

ServerBar BarOf(const OutageWatch& outages,
                const PlacePool& pool,
                std::size_t i,
                const WaitingAsk& waiting,
                bool kept,
                Instant now) {
  const PlaceServer& server = pool.m_servers[i];
  const PlaceAsk& ask = waiting.m_ask;
  ServerStanding standing;
  standing.m_leaving = server.m_leaving;
  standing.m_evacuated = server.m_evacuated;
  standing.m_kept_by_rollout = kept;
  standing.m_backs_off = BackOffLeft(pool.m_words[i], waiting.m_holder, now) > Duration(0);
  standing.m_cold_full = ColdFull(pool.m_ramps[i], pool.m_cold, now);
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
  SetViews(broker, pool, waiting, now);
  const RequestShape shape = ShapeNow(waiting, yields, now);
  if (const auto i = ChooseTrialServer(broker.m_outages, pool, waiting, shape, now)) {
    const Duration first = PredictFirst(pool.m_views[*i], shape, pool.m_typical);
    return Take(broker, pool, *i, waiting, first, now);
  }
  if (const auto i = ChooseOutageTrial(broker, pool, waiting, shape, now)) {
    const Duration first = PredictFirst(pool.m_views[*i], shape, pool.m_typical);
    return Take(broker, pool, *i, waiting, first, now);
  }
  const std::optional<ServerChoice> choice =
      ChooseServer(pool.m_views, shape, pool.m_typical, NextRandom(broker));
  if (choice)
    return Take(broker, pool, choice->m_index, waiting, choice->m_first, now);
  if (AnyColdFull(pool))
    ++broker.m_cold_waits[waiting.m_ask.m_pool];
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
    SetView(broker.m_outages, pool, i, waiting, TripsOf(broker, waiting.m_ask), told, false, now);
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

}  // namespace poppyway
