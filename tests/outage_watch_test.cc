// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// A data centre that is lost or cut off as a whole: from signs alone, and under load at the broker.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr Duration kMs{1'000};
constexpr Duration kSecond{1'000'000};
const Instant kStart{100 * kSecond};

OutageWatch WatchOf(const std::map<std::string, int>& servers) {
  OutageWatch watch;
  SetWatched(watch, servers);
  return watch;
}

PathSign Lost(const std::string& centre, const std::string& server, const std::string& teller) {
  return {centre, server, teller, false, {}};
}

PathSign Heard(const std::string& centre, const std::string& server) {
  return {centre, server, "a", true, {}};
}

/// East was heard at the start, west 300 ms later.
OutageWatch QuietEast() {
  OutageWatch watch = WatchOf({{"east", 30}, {"west", 30}});
  (void)Note(watch, Heard("east", "e9"), kStart);
  (void)Note(watch, Heard("west", "w1"), kStart + 300 * kMs);
  return watch;
}

/// East is suspect since 300 ms after the start.
OutageWatch SuspectEast() {
  OutageWatch watch = QuietEast();
  const Instant now = kStart + 300 * kMs;
  for (const std::string server : {"e1", "e2", "e3"})
    (void)Note(watch, Lost("east", server, server == "e1" ? "a" : "b"), now);
  return watch;
}

TEST_CASE("three silent servers by the word of two instances make a data centre suspect") {
  OutageWatch watch = QuietEast();
  const Instant now = kStart + 300 * kMs;
  CHECK(Note(watch, Lost("east", "e1", "a"), now).m_change == OutageChange::kNone);
  CHECK(Note(watch, Lost("east", "e2", "b"), now).m_change == OutageChange::kNone);
  CHECK_FALSE(IsSuspect(watch, "east"));
  const OutageNews news = Note(watch, Lost("east", "e3", "b"), now);
  CHECK(news.m_change == OutageChange::kSuspect);
  CHECK(news.m_lost == 3);
  CHECK(news.m_tellers == 2);
  CHECK(IsSuspect(watch, "east"));
  CHECK(IsLost(watch, "east", "e7"));
  CHECK_FALSE(IsSuspect(watch, "west"));
}

TEST_CASE("the word of one instance isn't enough for a broker, and is for the instance itself") {
  const Instant now = kStart + 300 * kMs;
  OutageWatch pooled = QuietEast();
  OutageWatch own = QuietEast();
  own.m_least_tellers = OwnOutageWatch().m_least_tellers;
  for (const std::string server : {"e1", "e2", "e3", "e4"}) {
    (void)Note(pooled, Lost("east", server, "a"), now);
    (void)Note(own, Lost("east", server, "a"), now);
  }
  CHECK_FALSE(IsSuspect(pooled, "east"));
  CHECK(IsSuspect(own, "east"));
}

TEST_CASE("a data centre that is heard meanwhile isn't lost") {
  OutageWatch watch = QuietEast();
  for (int i = 0; i < 60; ++i) {
    const Instant now = kStart + (300 + 10 * i) * kMs;
    (void)Note(watch, Lost("east", "e" + std::to_string(i % 29), i % 2 == 0 ? "a" : "b"), now);
    (void)Note(watch, Heard("west", "w1"), now);
    if (i % 10 == 0)
      (void)Note(watch, Heard("east", "e29"), now);
  }
  CHECK_FALSE(IsSuspect(watch, "east"));
}

TEST_CASE("two crashed servers are no lost data centre, however often they are met") {
  OutageWatch watch = WatchOf({{"east", 2}, {"west", 30}});
  (void)Note(watch, Heard("east", "e1"), kStart);
  for (int i = 1; i < 50; ++i) {
    const Instant now = kStart + 100 * i * kMs;
    (void)Note(watch, Heard("west", "w1"), now);
    (void)Note(watch, Lost("east", i % 2 == 0 ? "e1" : "e2", i % 3 == 0 ? "a" : "b"), now);
  }
  CHECK_FALSE(IsSuspect(watch, "east"));
}

TEST_CASE("without another data centre that is heard none is held to be lost") {
  OutageWatch watch = WatchOf({{"east", 30}, {"west", 30}});
  (void)Note(watch, Heard("east", "e1"), kStart);
  (void)Note(watch, Heard("west", "w1"), kStart);
  for (int i = 0; i < 40; ++i) {
    const Instant now = kStart + (300 + i) * kMs;
    const std::string centre = i % 2 == 0 ? "east" : "west";
    (void)Note(watch, Lost(centre, centre + std::to_string(i), i % 3 == 0 ? "a" : "b"), now);
  }
  CHECK(watch.m_suspects == 0);
}

TEST_CASE("old losses count for nothing") {
  OutageWatch watch = QuietEast();
  const Instant late = kStart + 4 * kSecond;
  (void)Note(watch, Lost("east", "e1", "a"), kStart + 300 * kMs);
  (void)Note(watch, Lost("east", "e2", "b"), kStart + 300 * kMs);
  (void)Note(watch, Heard("west", "w1"), late);
  (void)Note(watch, Lost("east", "e3", "b"), late);
  CHECK_FALSE(IsSuspect(watch, "east"));
}

TEST_CASE("a suspect data centre gets one trial at a time until one of its servers answers") {
  OutageWatch watch = SuspectEast();
  const Instant due = kStart + kSecond;
  CHECK_FALSE(MayTry(watch, "east", "e1", kStart + 301 * kMs));
  REQUIRE(MayTry(watch, "east", "e1", due));
  BeginTrial(watch, "east", "e1", due);
  CHECK_FALSE(MayTry(watch, "east", "e2", due));
  (void)Note(watch, Lost("east", "e1", "a"), due + 300 * kMs);
  CHECK_FALSE(MayTry(watch, "east", "e2", due + 301 * kMs));
  CHECK(MayTry(watch, "east", "e2", due + 501 * kMs));
  // One whose end nobody tells doesn't keep others out for long.
  BeginTrial(watch, "east", "e2", due + 501 * kMs);
  CHECK(MayTry(watch, "east", "e3", due + 2 * kSecond));
}

TEST_CASE("after its first answer a data centre opens server by server") {
  OutageWatch watch = SuspectEast();
  const Instant now = kStart + kSecond;
  BeginTrial(watch, "east", "e1", now);
  CHECK(Note(watch, Heard("east", "e1"), now + 50 * kMs).m_change == OutageChange::kHeard);
  const Instant next = now + 51 * kMs;
  CHECK_FALSE(IsLost(watch, "east", "e1"));
  CHECK(IsLost(watch, "east", "e2"));
  int trials = 0;
  for (int i = 2; i <= 30; ++i) {
    const std::string server = "e" + std::to_string(i);
    if (!MayTry(watch, "east", server, next))
      continue;
    BeginTrial(watch, "east", server, next);
    ++trials;
  }
  CHECK(trials == 2);
}

TEST_CASE("once all servers answered, or no loss was met for a second, the suspicion is over") {
  OutageNews news;
  OutageWatch all = WatchOf({{"east", 4}, {"west", 30}});
  (void)Note(all, Heard("west", "w1"), kStart);
  for (const std::string server : {"e1", "e2", "e3"})
    (void)Note(all, Lost("east", server, server == "e1" ? "a" : "b"), kStart);
  REQUIRE(IsSuspect(all, "east"));
  for (int i = 1; i <= 4; ++i)
    (void)Note(all, Heard("east", "e" + std::to_string(i)), kStart + 500 * kMs);
  CHECK(Settle(all, kStart + 501 * kMs, news));
  CHECK(news.m_change == OutageChange::kOver);
  CHECK_FALSE(Settle(all, kStart + 501 * kMs, news));

  OutageWatch some = SuspectEast();
  CHECK_FALSE(Settle(some, kStart + 5 * kSecond, news));
  (void)Note(some, Heard("east", "e1"), kStart + kSecond);
  CHECK_FALSE(Settle(some, kStart + kSecond, news));
  (void)Note(some, Heard("east", "e1"), kStart + 1'900 * kMs);
  CHECK(Settle(some, kStart + 2'100 * kMs, news));
}

TEST_CASE("a failure of a request sent before its server came back says nothing of it") {
  OutageWatch watch = SuspectEast();
  const Instant back = kStart + kSecond;
  (void)Note(watch, Heard("east", "e1"), back);
  CHECK(BeforeReturn(watch, "east", "e1", back - 100 * kMs));
  CHECK_FALSE(BeforeReturn(watch, "east", "e1", back + 100 * kMs));
  CHECK_FALSE(BeforeReturn(watch, "east", "e2", back - 100 * kMs));
  CHECK_FALSE(BeforeReturn(watch, "east", "e1", Instant{}));
}

TEST_CASE("a server that registers anew while its data centre is suspect is in use") {
  OutageWatch watch = SuspectEast();
  Appear(watch, "east", "e31");
  Appear(watch, "west", "w31");
  CHECK_FALSE(IsLost(watch, "east", "e31"));
  CHECK(IsLost(watch, "east", "e30"));
  CHECK(IsSuspect(watch, "east"));
  // It says nothing of the others: they get one trial at a time, and their losses don't count
  // against it; its own do.
  const Instant now = kStart + 600 * kMs;
  (void)Note(watch, Heard("west", "w1"), now);
  REQUIRE(MayTry(watch, "east", "e4", now));
  BeginTrial(watch, "east", "e4", now);
  CHECK_FALSE(MayTry(watch, "east", "e5", now));
  for (const std::string server : {"e4", "e5", "e6"})
    CHECK(Note(watch, Lost("east", server, "b"), now).m_change == OutageChange::kNone);
  CHECK_FALSE(IsLost(watch, "east", "e31"));
  (void)Note(watch, Lost("east", "e31", "b"), now);
  CHECK(IsLost(watch, "east", "e31"));
}

TEST_CASE("a data centre that is lost again while it returns is suspect as a whole again") {
  OutageWatch watch = SuspectEast();
  (void)Note(watch, Heard("east", "e1"), kStart + kSecond);
  const Instant now = kStart + 1'500 * kMs;
  (void)Note(watch, Heard("west", "w1"), now);
  OutageNews news;
  for (const std::string server : {"e1", "e2", "e3"})
    news = Note(watch, {"east", server, server == "e1" ? "a" : "b", false, now - 300 * kMs}, now);
  CHECK(news.m_change == OutageChange::kSuspect);
  CHECK(IsLost(watch, "east", "e1"));
  CHECK(watch.m_suspects == 1);
}

// ---- The broker under load --------------------------------------------------------------------

/// How a server meets a request that is sent to it now.
enum class Fate : std::uint8_t { kAnswers, kNotConnected, kFails };

/// A report on its way to the broker.
struct DueReport {
  std::string m_holder;
  std::string m_server;
  PlaceReport m_report;
};

struct Load {
  PlaceBroker m_broker;
  std::string m_dark;  ///< Nothing comes from servers of this data centre.
  std::mt19937 m_random{1};
  std::multimap<Instant, DueReport> m_due;
  std::map<std::string, int> m_sent;  ///< By data centre.
  PlaceRef m_next = 1;
  std::optional<Instant> m_suspected;
  int m_false_alarms = 0;
};

std::string CentreOf(const std::string& server) {
  return server.substr(0, server.find('-'));
}

/// 95 servers in three data centres; instances of all three report.
Load BeginLoad() {
  Load load;
  load.m_broker = BeginBroker(1, 7, Duration(4'500'000), kStart - 2 * kSecond);
  std::vector<PlaceServer> servers;
  for (const auto& [centre, count] :
       std::map<std::string, int>{{"east", 32}, {"north", 32}, {"west", 31}}) {
    for (int i = 0; i < count; ++i)
      servers.push_back({centre + "-" + std::to_string(i), "engines", centre, 8, false});
  }
  SetServers(load.m_broker, servers);
  for (int i = 0; i < 80; ++i)
    Resync(load.m_broker, "i" + std::to_string(i), 80, kStart - 2 * kSecond);
  return load;
}

void SendTo(Load& load, const PlaceAnswer& placed, Fate fate, Instant now) {
  ++load.m_sent[CentreOf(placed.m_server)];
  PlaceReport end;
  end.m_ref = placed.m_ref;
  end.m_ended = true;
  if (fate == Fate::kNotConnected) {
    end.m_ran = false;
    end.m_sign = ServerSign::kUnreachable;
    load.m_due.insert({now + 300 * kMs, {placed.m_holder, placed.m_server, end}});
    return;
  }
  PlaceReport first;
  first.m_ref = placed.m_ref;
  first.m_first = 60 * kMs;
  first.m_tokens_read = 600;
  if (fate == Fate::kAnswers)
    load.m_due.insert({now + 60 * kMs, {placed.m_holder, placed.m_server, first}});
  end.m_sign = fate == Fate::kFails ? ServerSign::kBad : ServerSign::kGood;
  end.m_failed = fate == Fate::kFails;
  end.m_service = fate == Fate::kFails ? Duration(0) : 400 * kMs;
  load.m_due.insert(
      {now + (fate == Fate::kFails ? 20 : 400) * kMs, {placed.m_holder, placed.m_server, end}});
}

void AskOnce(Load& load, Instant now, std::vector<PlaceAnswer>& out) {
  PlaceAsk ask;
  ask.m_ref = load.m_next++;
  ask.m_pool = "engines";
  const auto holder = std::uniform_int_distribution<int>(0, 79)(load.m_random);
  ask.m_data_centre = holder < 30 ? "east" : (holder < 54 ? "north" : "west");
  ask.m_shape.m_prompt_tokens = 600;
  ask.m_shape.m_aim = 600 * kMs;
  ask.m_shape.m_left = 10 * kSecond;
  ask.m_expected_tokens = 100;
  ask.m_wait = 200 * kMs;
  Ask(load.m_broker, "i" + std::to_string(holder), ask, now, out);
}

void TakeNews(Load& load, Instant now) {
  for (const OutageNews& news : load.m_broker.m_outage_news) {
    if (news.m_change == OutageChange::kSuspect && !load.m_suspected)
      load.m_suspected = now;
    if (news.m_change == OutageChange::kSuspect)
      ++load.m_false_alarms;
  }
  load.m_broker.m_outage_news.clear();
}

/// What was on its way from a server that fell silent: its connection is given up after 1.5 s.
bool FellSilent(Load& load, const DueReport& due, Instant now) {
  const PlaceReport& report = due.m_report;
  if (load.m_dark.empty() || CentreOf(due.m_server) != load.m_dark)
    return false;
  if (report.m_sign == ServerSign::kUnreachable || report.m_sign == ServerSign::kBad)
    return false;
  if (!report.m_ended)
    return true;
  PlaceReport silent;
  silent.m_ref = report.m_ref;
  silent.m_ended = true;
  silent.m_sign = ServerSign::kBad;
  load.m_due.insert({now + 1'500 * kMs, {due.m_holder, due.m_server, silent}});
  return true;
}

void TakeReports(Load& load, Instant now, std::vector<PlaceAnswer>& out) {
  while (!load.m_due.empty() && load.m_due.begin()->first <= now) {
    const DueReport due = load.m_due.begin()->second;
    load.m_due.erase(load.m_due.begin());
    if (!FellSilent(load, due, now))
      Report(load.m_broker, due.m_holder, due.m_report, now, out);
  }
}

/// 350 requests a second from `from` until `until`, in steps of a ms.
template <typename FateOf>
void Play(Load& load, Duration from, Duration until, FateOf fate_of) {
  for (Instant now = kStart + from; now < kStart + until; now += kMs) {
    std::vector<PlaceAnswer> out;
    TakeReports(load, now, out);
    if (std::bernoulli_distribution(0.35)(load.m_random))
      AskOnce(load, now, out);
    if ((now - kStart) % (20 * kMs) == Duration(0))
      TickBroker(load.m_broker, now, out);
    for (const PlaceAnswer& answer : out) {
      const bool dark = CentreOf(answer.m_server) == load.m_dark;
      if (answer.m_verdict == PlaceVerdict::kPlaced)
        SendTo(load, answer, dark ? Fate::kNotConnected : fate_of(load, answer.m_server), now);
    }
    TakeNews(load, now);
  }
}

Fate Answers(Load& /*load*/, const std::string& /*server*/) {
  return Fate::kAnswers;
}

TEST_CASE("under load a dark data centre is known within 400 ms and gets few requests more") {
  Load load = BeginLoad();
  Play(load, Duration(0), 2 * kSecond, Answers);
  REQUIRE(load.m_sent["east"] > 100);
  load.m_dark = "east";
  Play(load, 2 * kSecond, 2'400 * kMs, Answers);
  REQUIRE(load.m_suspected);
  const Duration after = *load.m_suspected - (kStart + 2 * kSecond);
  CHECK(after < 400 * kMs);
  load.m_sent.clear();
  Play(load, 2'400 * kMs, 8 * kSecond, Answers);
  WARN("known after ms: " << after.count() / 1000
                          << ", sent there in 5.6 s then: " << load.m_sent["east"]);
  CHECK(load.m_sent["east"] <= 14);
}

/// How many servers are kept from work for failures, their own or their data centre's.
int CountKept(const Load& load, Instant now) {
  const PlacePool& pool = load.m_broker.m_pools.at("engines");
  int kept = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const PlaceServer& server = pool.m_servers[i];
    const bool lost = IsLost(load.m_broker.m_outages, server.m_data_centre, server.m_id);
    kept += lost || Avoided(pool.m_health[i], now) ? 1 : 0;
  }
  return kept;
}

TEST_CASE("under load a data centre that answers again is all in use within a second and a half") {
  for (const Duration dark : {1'500 * kMs, 2 * kSecond, 6 * kSecond}) {
    Load load = BeginLoad();
    Play(load, Duration(0), 2 * kSecond, Answers);
    load.m_dark = "east";
    Play(load, 2 * kSecond, 2 * kSecond + dark, Answers);
    load.m_dark.clear();
    load.m_sent.clear();
    Duration all_after{};
    for (Duration at{}; at < 1'500 * kMs; at += 10 * kMs) {
      const Duration from = 2 * kSecond + dark + at;
      Play(load, from, from + 10 * kMs, Answers);
      if (CountKept(load, kStart + from + 10 * kMs) > 0)
        all_after = at + 10 * kMs;
    }
    WARN("dark for ms: " << dark.count() / 1000 << ", a server was kept out until ms: "
                         << all_after.count() / 1000 << ", sent there: " << load.m_sent["east"]);
    CHECK(all_after < 1'500 * kMs);
    CHECK(load.m_sent["east"] > 60);
  }
}

TEST_CASE("under load neither lost packets nor failing or crashed servers are a lost data centre") {
  const auto lossy = [](Load& load, const std::string& server) {
    // A packet of the two that open a connection is lost.
    const bool lost =
        CentreOf(server) == "east" && std::bernoulli_distribution(0.0975)(load.m_random);
    return lost ? Fate::kNotConnected : Fate::kAnswers;
  };
  const auto failing = [](Load& /*load*/, const std::string& server) {
    return server.back() <= '2' ? Fate::kFails : Fate::kAnswers;
  };
  const auto all_failing = [](Load& /*load*/, const std::string& /*server*/) {
    return Fate::kFails;
  };
  const auto crashed = [](Load& /*load*/, const std::string& server) {
    const bool down = server == "east-3" || server == "east-4";
    return down ? Fate::kNotConnected : Fate::kAnswers;
  };
  for (int kind = 0; kind < 4; ++kind) {
    Load load = BeginLoad();
    Play(load, Duration(0), 2 * kSecond, Answers);
    const Duration end = 12 * kSecond;
    if (kind == 0)
      Play(load, 2 * kSecond, end, lossy);
    else if (kind == 1)
      Play(load, 2 * kSecond, end, failing);
    else if (kind == 2)
      Play(load, 2 * kSecond, end, all_failing);
    else
      Play(load, 2 * kSecond, end, crashed);
    INFO("kind " << kind);
    CHECK(load.m_false_alarms == 0);
  }
}

}  // namespace
}  // namespace poppyway
