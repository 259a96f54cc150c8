// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>
#include <optional>

#include "place_parts.h"
#include "poppyway/policy.h"

namespace poppyway {
namespace {

// After a change of broker instances find the new one within some heartbeats; who is silent for
// longer holds little that others could run into.
constexpr Duration kResyncTime{1'000'000};
constexpr Duration kHeardLately{1'200'000};  // Two heartbeats and some delay.
constexpr std::size_t kDepth = 64;           // Of the queue that a free place is offered to.
constexpr std::size_t kTickDepth = 8;        // Of the queue that all servers are tried for.
constexpr Duration kTypicalAge{100'000};
constexpr double kInTimeShare = 0.85;  // Of the aim: forecasts are some tens of ms off.
constexpr int kForecastSlack =
    2;  // Places come free in clusters: a wait may take twice its forecast.
constexpr Duration kLeastWait{40'000};  // Some places come free in it even where few do.
constexpr double kEventGain = 0.02;     // Of the size of events: some fifty answers back.

std::size_t RankIndex(Tier rank) {
  return static_cast<std::size_t>(std::clamp(rank, 0, kTiers - 1));
}

std::uint64_t NextRandom(PlaceBroker& broker) {
  broker.m_random = broker.m_random * 6364136223846793005ULL + 1442695040888963407ULL;
  return broker.m_random;
}

void RefreshTypical(PlacePool& pool, Instant now) {
  if (pool.m_typical_at != Instant{} && now - pool.m_typical_at < kTypicalAge)
    return;
  pool.m_typical = TypicalPace(pool.m_views);
  pool.m_typical_at = now;
}

bool Tried(const PlaceAsk& ask, const std::string& server) {
  return std::find(ask.m_tried.begin(), ask.m_tried.end(), server) != ask.m_tried.end();
}

/// Sets what of a server's view depends on who asks and on the time.
void SetView(PlacePool& pool, std::size_t i, const PlaceAsk& ask, double told, Instant now) {
  const PlaceServer& server = pool.m_servers[i];
  ServerView& view = pool.m_views[i];
  const bool tried = !ask.m_tried.empty() && Tried(ask, server.m_id);
  view.m_usable = !server.m_leaving && !tried && !Avoided(pool.m_health[i], now);
  view.m_same_data_centre = server.m_data_centre == ask.m_data_centre;
  view.m_open = static_cast<int>(std::ceil(view.m_slots * told)) - view.m_others;
  view.m_kept_tokens = 0;
}

/// Half of a pool stays in use, whatever failures say: of the suspects those that fail least.
void UseSuspects(PlacePool& pool, const PlaceAsk& ask) {
  std::vector<std::size_t> suspects;
  std::size_t present = 0;
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    if (pool.m_servers[i].m_leaving || Tried(ask, pool.m_servers[i].m_id))
      continue;
    ++present;
    if (pool.m_views[i].m_usable)
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
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    SetView(pool, i, ask, told, now);
    usable += pool.m_views[i].m_usable ? 1 : 0;
  }
  if (usable * 2 < pool.m_servers.size())
    UseSuspects(pool, ask);
  SetKeptTokens(pool, ask);
}

/// The wish as it stands after it has waited since `asked`.
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
  if (OnTrial(pool.m_health[i]))
    pool.m_health[i] = BeginTrial(pool.m_health[i], now);
  RememberParts(pool, i, ask, now);
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

PlaceAnswer RefusalOf(const std::string& holder, PlaceRef ref, PlaceVerdict verdict, double left) {
  PlaceAnswer answer;
  answer.m_holder = holder;
  answer.m_ref = ref;
  answer.m_verdict = verdict;
  answer.m_left = left;
  return answer;
}

/// True if something more urgent than `rank` waits for the pool.
bool Yields(const PlacePool& pool, Tier rank) {
  return std::any_of(pool.m_waiting.begin(), pool.m_waiting.end(),
                     [rank](const auto& entry) { return entry.first.m_rank < rank; });
}

std::optional<PlaceAnswer> TryAll(PlaceBroker& broker,
                                  PlacePool& pool,
                                  WaitingAsk& waiting,
                                  bool yields,
                                  Instant now) {
  SetViews(broker, pool, waiting.m_ask, now);
  const RequestShape shape = ShapeNow(waiting, yields, now);
  const std::optional<ServerChoice> choice =
      ChooseServer(pool.m_views, shape, pool.m_typical, NextRandom(broker));
  if (choice)
    return Take(broker, pool, choice->m_index, waiting, choice->m_first, now);
  waiting.m_choosy = AnySuits(pool.m_views, shape, pool.m_typical);
  return std::nullopt;
}

/// Offers what came free at server `i` to what waits, in order.
void ServeServer(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 Instant now,
                 std::vector<PlaceAnswer>& out) {
  const double told = ToldShare(broker, now);
  Tier most_urgent = kTiers;
  std::size_t depth = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end() && depth < kDepth; ++depth) {
    WaitingAsk& waiting = it->second;
    const Tier rank = it->first.m_rank;
    SetView(pool, i, waiting.m_ask, told, now);
    const ServerView& view = pool.m_views[i];
    const RequestShape shape = ShapeNow(waiting, rank > most_urgent, now);
    const bool fits = view.m_usable && HasRoom(view, shape, pool.m_typical) &&
                      (!waiting.m_choosy || Suits(view, shape, pool.m_typical));
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

/// Tries all servers for the first that wait.
void ServePool(PlaceBroker& broker, PlacePool& pool, Instant now, std::vector<PlaceAnswer>& out) {
  RefreshTypical(pool, now);
  Tier most_urgent = kTiers;
  std::size_t without_room = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end() && without_room < kTickDepth;) {
    const Tier rank = it->first.m_rank;
    std::optional<PlaceAnswer> answer = TryAll(broker, pool, it->second, rank > most_urgent, now);
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

int TakenOf(const PlacePool& pool) {
  int taken = 0;
  for (const ServerView& view : pool.m_views)
    taken += view.m_others;
  return taken;
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
    broker.m_holders[waiting.m_holder].m_waiting.erase(waiting.m_ask.m_ref);
    out.push_back(RefusalOf(waiting.m_holder, waiting.m_ask.m_ref, PlaceVerdict::kNoRoom, 0));
    out.back().m_come_back =
        ForecastWait(pool.m_flow, it->first.m_rank, ahead, TakenOf(pool)).value_or(Duration(0));
    it = pool.m_waiting.erase(it);
  }
}

int CountAhead(const PlacePool& pool, const PlaceOrder& order) {
  return static_cast<int>(std::distance(pool.m_waiting.begin(), pool.m_waiting.lower_bound(order)));
}

/// After it a place would be of no use for an answer in time, or its caller is gone.
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

/// The pool and index of a server; a null pool if it is not known (any more).
std::pair<PlacePool*, std::size_t> FindServer(PlaceBroker& broker, const std::string& id) {
  const auto found = broker.m_server_index.find(id);
  if (found == broker.m_server_index.end())
    return {nullptr, 0};
  return {&broker.m_pools[found->second.first], found->second.second};
}

void CountHeard(PlaceBroker& broker, Instant now) {
  const auto heard = [now](const auto& entry) {
    return now - entry.second.m_heard <= kHeardLately;
  };
  broker.m_heard =
      static_cast<int>(std::count_if(broker.m_holders.begin(), broker.m_holders.end(), heard));
  broker.m_instances = CountInstances(broker.m_instances, broker.m_heard, broker.m_may_serve, now);
}

void FreePlace(PlaceBroker& broker, const HeldPlace& held, Instant now) {
  const auto [pool, i] = FindServer(broker, held.m_server);
  if (pool == nullptr)
    return;
  if (held.m_taken != Instant{})
    pool->m_flow = CountFreed(pool->m_flow, now - held.m_taken, now);
  --pool->m_views[i].m_others;
  pool->m_views[i].m_reading_tokens -= held.m_reading_tokens;
}

/// Learns how many tokens one event carries, from streams that ran to their end.
void LearnEventSize(PlaceBroker& broker, std::int64_t expected_tokens, std::int64_t events) {
  if (expected_tokens <= 0 || events <= 0)
    return;
  const double sample =
      std::log(static_cast<double>(expected_tokens) / static_cast<double>(events));
  // Estimates are right in the median but off by factors: their logarithms are averaged.
  const double before =
      broker.m_tokens_per_event > 0 ? std::log(broker.m_tokens_per_event) : sample;
  broker.m_tokens_per_event = std::exp(before + kEventGain * (sample - before));
}

/// What an instance says of a server's health.
struct Word {
  std::string m_holder;
  ServerSign m_sign;
};

void LearnHealth(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 const Word& word,
                 Instant now) {
  ServerHealth& health = pool.m_health[i];
  const bool avoided = Avoided(health, now);
  health = Observe(health, word.m_sign, now);
  if (!avoided && Avoided(health, now))
    broker.m_avoided.push_back({pool.m_servers[i].m_id, word.m_holder, health});
}

ServerPace LearnPace(const ServerPace& before, const PlaceReport& report) {
  ServerPace pace = before;
  if (report.m_first > Duration(0))
    pace = ObserveFirst(pace, report.m_tokens_read, report.m_first);
  if (report.m_service > Duration(0))
    pace = ObserveService(pace, report.m_service);
  if (report.m_events > 1)
    pace = ObserveEvents(pace, report.m_events - 1, report.m_span, report.m_pause);
  return pace;
}

}  // namespace

std::string_view PlaceVerdictName(PlaceVerdict verdict) noexcept {
  switch (verdict) {
    case PlaceVerdict::kPlaced:
      return "placed";
    case PlaceVerdict::kQueued:
      return "queued";
    case PlaceVerdict::kNoRoom:
      return "no_room";
    case PlaceVerdict::kOverLimit:
      return "over_limit";
    case PlaceVerdict::kNoServer:
      return "no_server";
  }
  return "unknown";
}

int LengthClass(double& usual, std::int64_t expected_tokens) noexcept {
  constexpr double kGain = 0.02;  // The usual length is that of some fifty requests.
  constexpr int kLongest = 3;
  if (expected_tokens <= 0)
    return 0;
  const double length = std::log2(static_cast<double>(expected_tokens));
  usual = usual == 0 ? length : usual + kGain * (length - usual);
  return std::clamp(static_cast<int>(length - usual), 0, kLongest);
}

PlaceBroker BeginBroker(std::int64_t epoch, std::uint64_t seed, Duration may_serve, Instant now) {
  PlaceBroker broker;
  broker.m_epoch = epoch;
  broker.m_may_serve = may_serve;
  broker.m_began = now;
  broker.m_random = seed | 1;
  return broker;
}

double ToldShare(const PlaceBroker& broker, Instant now) noexcept {
  return now - broker.m_began >= kResyncTime ? 1 : HeardShare(broker);
}

double HeardShare(const PlaceBroker& broker) noexcept {
  const int most = std::max(1, broker.m_instances.m_most);
  return std::min(1.0, static_cast<double>(std::max(1, broker.m_heard)) / most);
}

void SetServers(PlaceBroker& broker, const std::vector<PlaceServer>& servers) {
  std::map<std::string, PlacePool> before;
  before.swap(broker.m_pools);
  const auto index_before = std::move(broker.m_server_index);
  broker.m_server_index.clear();
  for (auto& [name, pool] : before) {
    PlacePool& kept = broker.m_pools[name];
    kept.m_waiting = std::move(pool.m_waiting);
    kept.m_usual_length = pool.m_usual_length;
    // Parts go by index, which changes: what engines keep is found again by use.
  }
  for (const PlaceServer& server : servers) {
    PlacePool& pool = broker.m_pools[server.m_pool];
    ServerView view;
    ServerHealth health;
    const auto known = index_before.find(server.m_id);
    if (known != index_before.end()) {
      const PlacePool& old = before[known->second.first];
      view = old.m_views[known->second.second];
      health = old.m_health[known->second.second];
    }
    view.m_slots = std::max(1, server.m_slots);
    view.m_own = 0;
    broker.m_server_index[server.m_id] = {server.m_pool, pool.m_servers.size()};
    pool.m_servers.push_back(server);
    pool.m_views.push_back(view);
    pool.m_health.push_back(health);
  }
}

void TakeBatch(PlaceBroker& broker,
               const std::string& holder,
               PlaceBatch batch,
               Instant now,
               std::vector<PlaceAnswer>& out) {
  if (batch.m_resync)
    Resync(broker, holder, batch.m_instances, now);
  for (const LimitWord& word : batch.m_limits)
    HearLimit(broker, word, now);
  for (const HeldPlace& held : batch.m_held)
    Hold(broker, holder, held, now);
  for (const PlaceRef ref : batch.m_withdrawn)
    Withdraw(broker, holder, ref);
  for (const PlaceReport& report : batch.m_reports)
    Report(broker, holder, report, now, out);
  for (PlaceAsk& ask : batch.m_asks)
    Ask(broker, holder, std::move(ask), now, out);
}

void Ask(PlaceBroker& broker,
         const std::string& holder,
         PlaceAsk ask,
         Instant now,
         std::vector<PlaceAnswer>& out) {
  broker.m_holders[holder].m_heard = now;
  PlacePool& pool = broker.m_pools[ask.m_pool];
  const bool limited = !ask.m_workspace.empty() && ask.m_limit.m_rate_per_s > 0;
  if (limited) {
    SharedLimit& limit =
        broker.m_limits.try_emplace(ask.m_workspace, BeginLimit(ask.m_limit, broker.m_began))
            .first->second;
    const QuotaLimit heard{ask.m_limit.m_rate_per_s * HeardShare(broker), ask.m_limit.m_burst};
    if (!Spend(limit, heard, ask.m_quota, now)) {
      out.push_back(RefusalOf(holder, ask.m_ref, PlaceVerdict::kOverLimit, limit.m_tokens));
      return;
    }
  } else {
    ask.m_workspace.clear();
  }
  if (pool.m_servers.empty()) {
    GiveBack(broker, ask);
    out.push_back(RefusalOf(holder, ask.m_ref, PlaceVerdict::kNoServer, 0));
    return;
  }
  RefreshTypical(pool, now);
  if (broker.m_tokens_per_event > 0)
    ask.m_shape.m_events = static_cast<double>(ask.m_expected_tokens) / broker.m_tokens_per_event;
  const Tier rank = ask.m_shape.m_tier;
  const PlaceOrder order{ask.m_tier, rank,
                         LengthClass(pool.m_usual_length[RankIndex(rank)], ask.m_expected_tokens),
                         broker.m_next_number++};
  pool.m_flow = CountAsked(pool.m_flow, rank, now);
  WaitingAsk waiting{holder, std::move(ask), now, {}, false};
  if (std::optional<PlaceAnswer> answer = TryAll(broker, pool, waiting, Yields(pool, rank), now)) {
    out.push_back(std::move(*answer));
    return;
  }
  const PlaceRef ref = waiting.m_ask.m_ref;
  const std::optional<Duration> forecast =
      ForecastWait(pool.m_flow, rank, CountAhead(pool, order), TakenOf(pool));
  const Duration most = LongestUsefulWait(pool, waiting);
  if (forecast && *forecast > most) {
    GiveBack(broker, waiting.m_ask);
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

void Withdraw(PlaceBroker& broker, const std::string& holder, PlaceRef ref) {
  PlaceHolder& known = broker.m_holders[holder];
  const auto found = known.m_waiting.find(ref);
  if (found == known.m_waiting.end())
    return;
  PlacePool& pool = broker.m_pools[found->second.first];
  const auto waiting = pool.m_waiting.find(found->second.second);
  known.m_waiting.erase(found);
  if (waiting == pool.m_waiting.end())
    return;
  GiveBack(broker, waiting->second.m_ask);
  pool.m_waiting.erase(waiting);
}

void Report(PlaceBroker& broker,
            const std::string& holder,
            const PlaceReport& report,
            Instant now,
            std::vector<PlaceAnswer>& out) {
  PlaceHolder& known = broker.m_holders[holder];
  known.m_heard = now;
  const auto found = known.m_held.find(report.m_ref);
  if (found == known.m_held.end())
    return;
  HeldPlace& held = found->second;
  const auto [pool, i] = FindServer(broker, held.m_server);
  if (pool != nullptr) {
    pool->m_views[i].m_pace = LearnPace(pool->m_views[i].m_pace, report);
    if (report.m_sign)
      LearnHealth(broker, *pool, i, {holder, *report.m_sign}, now);
    if (report.m_first > Duration(0)) {
      pool->m_views[i].m_reading_tokens -= held.m_reading_tokens;
      held.m_reading_tokens = 0;
    }
  }
  LearnEventSize(broker, held.m_expected_tokens, report.m_events);
  if (!report.m_ended)
    return;
  const auto limit = broker.m_limits.find(held.m_workspace);
  if (!report.m_ran && limit != broker.m_limits.end())
    Refund(limit->second, held.m_cost);
  FreePlace(broker, held, now);
  known.m_held.erase(found);
  if (pool != nullptr && !pool->m_waiting.empty())
    ServeServer(broker, *pool, i, now, out);
}

void Hold(PlaceBroker& broker, const std::string& holder, const HeldPlace& held, Instant now) {
  PlaceHolder& known = broker.m_holders[holder];
  known.m_heard = now;
  if (!known.m_held.emplace(held.m_ref, held).second)
    return;
  const auto [pool, i] = FindServer(broker, held.m_server);
  if (pool == nullptr)
    return;
  ++pool->m_views[i].m_others;
  pool->m_views[i].m_reading_tokens += held.m_reading_tokens;
}

void Resync(PlaceBroker& broker, const std::string& holder, int instances, Instant now) {
  std::vector<PlaceAnswer> none;
  broker.m_instances = CountInstances(broker.m_instances, instances, broker.m_may_serve, now);
  const auto found = broker.m_holders.find(holder);
  if (found != broker.m_holders.end()) {
    for (const auto& [ref, held] : found->second.m_held)
      FreePlace(broker, held, now);
    const std::unordered_map<PlaceRef, std::pair<std::string, PlaceOrder>> waiting =
        found->second.m_waiting;
    for (const auto& [ref, where] : waiting)
      Withdraw(broker, holder, ref);
  }
  broker.m_holders[holder] = {};
  broker.m_holders[holder].m_heard = now;
  CountHeard(broker, now);
}

void HearLimit(PlaceBroker& broker, const LimitWord& word, Instant now) {
  SharedLimit& limit =
      broker.m_limits.try_emplace(word.m_workspace, BeginLimit(word.m_limit, broker.m_began))
          .first->second;
  // What this broker said itself is no news.
  if (word.m_epoch != 0 && word.m_epoch < broker.m_epoch)
    TakeOver(limit, word.m_limit, word.m_left, now - word.m_age, now);
  ChargeLate(limit, word.m_limit, word.m_spent_alone);
}

void DropHolder(PlaceBroker& broker,
                const std::string& holder,
                Instant now,
                std::vector<PlaceAnswer>& out) {
  Resync(broker, holder, 0, now);
  broker.m_holders.erase(holder);
  for (auto& [name, pool] : broker.m_pools)
    ServePool(broker, pool, now, out);
}

void TickBroker(PlaceBroker& broker, Instant now, std::vector<PlaceAnswer>& out) {
  CountHeard(broker, now);
  for (auto& [name, pool] : broker.m_pools) {
    if (pool.m_waiting.empty())
      continue;
    ExpirePool(broker, pool, now, out);
    ServePool(broker, pool, now, out);
  }
}

}  // namespace poppyway
