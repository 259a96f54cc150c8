// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "place_internal.h"

namespace poppyway {
namespace {

// After a change of broker instances find the new one within some heartbeats; who is silent for
// longer holds little that others could run into.
constexpr Duration kResyncTime{1'000'000};
constexpr double kEventGain = 0.02;          // Of the size of events: some fifty answers back.
constexpr Duration kHeardLately{1'200'000};  // Two heartbeats and some delay.

/// The pool and index of a server; a null pool if it is not known (any more).
std::pair<PlacePool*, std::size_t> FindServer(PlaceBroker& broker, const std::string& id) {
  const auto found = broker.m_server_index.find(id);
  if (found == broker.m_server_index.end())
    return {nullptr, 0};
  return {&broker.m_pools[found->second.first], found->second.second};
}

/// True if `born` is the birth of the server's life that is known. A birth that one side doesn't
/// tell is that of the life known.
bool IsSameLife(std::int64_t born, const PlaceServer& server) {
  return born == 0 || server.m_born == 0 || born == server.m_born;
}

/// True if the place is at the life of its server that is known.
bool AtThisLife(const HeldPlace& held, const PlaceServer& server) {
  return IsSameLife(held.m_born, server);
}

/// Counts places that are held at a later life than was known until now, and gives those at a life
/// whose birth is told only now that birth.
void TakeBirth(PlaceBroker& broker, const std::string& id, std::int64_t before) {
  const auto [pool, i] = FindServer(broker, id);
  const std::int64_t born = pool->m_servers[i].m_born;
  for (auto& [name, holder] : broker.m_holders) {
    for (auto& [ref, held] : holder.m_held) {
      if (held.m_server != id)
        continue;
      if (before == 0 && held.m_born == 0)
        held.m_born = born;
      if (before == 0 || held.m_born != born)
        continue;
      ++pool->m_views[i].m_others;
      pool->m_views[i].m_reading_tokens += held.m_reading_tokens;
      CountPlaced(*pool, i);
    }
  }
}

/// What is known of a server's new life from its earlier one: nothing but its pace, which its
/// engine will likely have again.
ServerView ViewOfNewLife(const ServerView& earlier, bool same_pool) {
  ServerView view;
  if (same_pool)
    view.m_pace = earlier.m_pace;
  return view;
}

/// Frees what is kept of times that are over. A server that has asked all instances once and never
/// again would keep one for each.
void DropBackOffs(PlacePool& pool, Instant now) {
  if (pool.m_back_off_until == Instant{} || now < pool.m_back_off_until)
    return;
  pool.m_back_off_until = {};
  for (ServerWords& words : pool.m_words)
    words.m_back_off_until.clear();
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
  if (pool == nullptr || !AtThisLife(held, pool->m_servers[i]))
    return;
  // A place at an evacuated server comes free for nobody.
  if (held.m_taken != Instant{} && !pool->m_servers[i].m_evacuated)
    pool->m_flow = CountFreed(pool->m_flow, now - held.m_taken, now);
  --pool->m_views[i].m_others;
  pool->m_views[i].m_reading_tokens -= held.m_reading_tokens;
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
  constexpr int kLongest = kLengthClasses - 1;
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
    kept.m_flow = pool.m_flow;
    kept.m_shares = std::move(pool.m_shares);
    kept.m_trial = std::move(pool.m_trial);
    kept.m_cold = pool.m_cold;
    kept.m_back_off_until = pool.m_back_off_until;
    // Parts go by index, which changes: what engines keep is found again by use.
  }
  std::vector<std::pair<std::string, std::int64_t>> births;  // Told since, with what was known.
  for (const PlaceServer& server : servers) {
    PlacePool& pool = broker.m_pools[server.m_pool];
    ServerView view;
    ServerHealth health;
    ServerWords words;
    ColdRamp ramp;
    const auto known = index_before.find(server.m_id);
    bool appeared = known == index_before.end();
    if (!appeared) {
      PlacePool& old = before[known->second.first];
      view = old.m_views[known->second.second];
      health = old.m_health[known->second.second];
      words = std::move(old.m_words[known->second.second]);
      ramp = std::move(old.m_ramps[known->second.second]);
      const std::int64_t born = old.m_servers[known->second.second].m_born;
      appeared = server.m_born != born;
      if (server.m_born > born)
        births.emplace_back(server.m_id, born);
      if (born > 0 && server.m_born > born) {
        view = ViewOfNewLife(view, known->second.first == server.m_pool);
        health = {};
        words = {};
      }
    }
    if (appeared)
      Appear(broker.m_outages, server.m_data_centre, server.m_id);
    view.m_slots = std::max(1, server.m_slots);
    view.m_own = 0;
    broker.m_server_index[server.m_id] = {server.m_pool, pool.m_servers.size()};
    pool.m_servers.push_back(server);
    // The registry's word may be of before.
    pool.m_servers.back().m_leaving = server.m_leaving || words.m_leaving;
    pool.m_views.push_back(view);
    pool.m_health.push_back(health);
    pool.m_words.push_back(std::move(words));
    pool.m_ramps.push_back(std::move(ramp));
  }
  for (const auto& [id, before] : births)
    TakeBirth(broker, id, before);
  WatchServers(broker);
}

void SetRegions(PlaceBroker& broker, RegionMap regions) {
  broker.m_regions = std::move(regions);
}

void SetColdLimits(PlaceBroker& broker, const std::map<std::string, ColdLimit>& limits) {
  for (auto& [name, pool] : broker.m_pools)
    pool.m_cold = {};
  for (const auto& [name, limit] : limits)
    broker.m_pools[name].m_cold = limit;
}

void TakeBatch(PlaceBroker& broker,
               const std::string& holder,
               PlaceBatch batch,
               Instant now,
               std::vector<PlaceAnswer>& out) {
  if (batch.m_resync)
    Resync(broker, holder, batch.m_instances, now);
  for (const LimitReport& word : batch.m_limits)
    HearLimit(broker, word, now);
  for (const ServerWord& word : batch.m_words)
    HearWord(broker, holder, word, now);
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
  broker.m_holders[holder].m_data_centre = ask.m_data_centre;
  PlacePool& pool = broker.m_pools[ask.m_pool];
  ShareGroup group{ask.m_shape.m_tier, 0, ask.m_workspace};
  const bool limited = !ask.m_workspace.empty() && ask.m_limit.m_rate_per_s > 0;
  if (limited) {
    SharedLimit& limit =
        broker.m_limits.try_emplace(ask.m_workspace, BeginLimit(ask.m_limit, broker.m_began))
            .first->second;
    const double share = HeardShare(broker);
    Withhold(limit, ask.m_limit, share, broker.m_may_serve, now);
    const QuotaLimit heard{ask.m_limit.m_rate_per_s * share, ask.m_limit.m_burst};
    if (!Spend(limit, heard, ask.m_quota, now)) {
      out.push_back(RefusalOf(holder, ask.m_ref, PlaceVerdict::kOverLimit, limit.m_tokens));
      return;
    }
  } else {
    ask.m_workspace.clear();
  }
  if (pool.m_servers.empty() || NoneMayServe(pool, ask.m_homes)) {
    GiveBack(broker, ask);
    out.push_back(RefusalOf(holder, ask.m_ref, PlaceVerdict::kNoServer, 0));
    return;
  }
  RefreshTypical(pool, now);
  if (broker.m_tokens_per_event > 0)
    ask.m_shape.m_events = static_cast<double>(ask.m_expected_tokens) / broker.m_tokens_per_event;
  const Tier rank = ask.m_shape.m_tier;
  group.m_length = LengthClass(pool.m_usual_length[RankIndex(rank)], ask.m_expected_tokens);
  pool.m_flow = CountAsked(pool.m_flow, rank, now);
  CountAsked(pool.m_shares, group, now);
  const bool owed = OwedPlace(pool.m_shares, group);
  if (owed)
    CountServed(pool.m_shares, group, now);
  const PlaceOrder order{owed, ask.m_tier, rank, group.m_length, broker.m_next_number++};
  WaitingAsk waiting{holder, std::move(ask), std::move(group), order, now, {}, false};
  const bool yields = !owed && Yields(pool, rank);
  if (std::optional<PlaceAnswer> answer = TryAll(broker, pool, waiting, yields, now)) {
    out.push_back(std::move(*answer));
    return;
  }
  WaitOrRefuse(broker, pool, std::move(waiting), now, out);
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
  if (waiting->first.m_owed)
    CountUnserved(pool.m_shares, waiting->second.m_group, pool.m_shares.m_all.m_at);
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
  const bool counts = pool != nullptr && AtThisLife(held, pool->m_servers[i]);
  if (pool != nullptr) {
    const PlaceReport at_server = LearnReach(broker, held, pool->m_servers[i].m_region, report);
    LearnVersion(*pool, held, at_server, now);
    if (counts)
      pool->m_views[i].m_pace = LearnPace(pool->m_views[i].m_pace, at_server);
  }
  if (counts) {
    LearnPath(broker, holder, held, report, now);
    const bool old = BeforeReturn(broker.m_outages, pool->m_servers[i].m_data_centre, held.m_server,
                                  held.m_taken);
    // A failure of a request that was sent before the server's return says nothing of it now.
    const bool tells = report.m_sign && (!old || report.m_sign == ServerSign::kGood);
    if (tells) {
      LearnHealth(broker, *pool, i, {holder, *report.m_sign}, now);
      NoteColdSign(*pool, i, report, now);
    }
    if (report.m_first > Duration(0)) {
      pool->m_views[i].m_reading_tokens -= held.m_reading_tokens;
      held.m_reading_tokens = 0;
    }
  }
  broker.m_tokens_per_event = LearnEventSize(broker.m_tokens_per_event, held.m_expected_tokens,
                                             report.m_events, kEventGain);
  if (!report.m_ended)
    return;
  const auto limit = broker.m_limits.find(held.m_workspace);
  if (!report.m_ran && limit != broker.m_limits.end())
    Refund(limit->second, held.m_cost);
  FreePlace(broker, held, now);
  known.m_held.erase(found);
  if (counts && !pool->m_waiting.empty())
    ServeServer(broker, *pool, i, now, out);
}

void Hold(PlaceBroker& broker, const std::string& holder, const HeldPlace& held, Instant now) {
  PlaceHolder& known = broker.m_holders[holder];
  known.m_heard = now;
  const auto [place, added] = known.m_held.emplace(held.m_ref, held);
  if (!added)
    return;
  const auto [pool, i] = FindServer(broker, held.m_server);
  if (pool == nullptr)
    return;
  place->second.m_version = pool->m_servers[i].m_version;
  if (!AtThisLife(held, pool->m_servers[i]))
    return;
  if (held.m_born == 0)
    place->second.m_born = pool->m_servers[i].m_born;
  ++pool->m_views[i].m_others;
  pool->m_views[i].m_reading_tokens += held.m_reading_tokens;
  CountPlaced(*pool, i);
}

void HearWord(PlaceBroker& broker, const std::string& holder, const ServerWord& word, Instant now) {
  broker.m_holders[holder].m_heard = now;
  const auto [pool, i] = FindServer(broker, word.m_server);
  if (pool == nullptr || !IsSameLife(word.m_born, pool->m_servers[i]))
    return;
  TakeWord(pool->m_words[i], holder, word, now);
  pool->m_back_off_until = std::max(pool->m_back_off_until, now + word.m_back_off);
  PlaceServer& server = pool->m_servers[i];
  if (!word.m_leaving || server.m_leaving)
    return;
  server.m_leaving = true;
  broker.m_leaving_news.push_back({server.m_id, holder});
  WatchServers(broker);
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

void HearLimit(PlaceBroker& broker, const LimitReport& word, Instant now) {
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
  SettleOutages(broker, now);
  for (auto& [name, pool] : broker.m_pools) {
    DropBackOffs(pool, now);
    if (pool.m_waiting.empty())
      continue;
    RefuseUnservable(broker, pool, now, out);
    ExpirePool(broker, pool, now, out);
    ServePool(broker, pool, now, out);
  }
}

}  // namespace poppyway
