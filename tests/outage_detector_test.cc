// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Detection of a data centre that is lost or unreachable as a whole: from single reports, and under
// load at the broker.
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

OutageDetector MakeDetector(const std::map<std::string, int>& servers) {
  OutageDetector detector;
  SetWatched(detector, servers);
  return detector;
}

ReachabilityReport Unreachable(const std::string& centre,
                               const std::string& server,
                               const std::string& reporter) {
  return {centre, server, reporter, false, {}};
}

ReachabilityReport Reachable(const std::string& centre, const std::string& server) {
  return {centre, server, "a", true, {}};
}

/// East's last response was at the start, west's 300 ms later.
OutageDetector SilentEast() {
  OutageDetector detector = MakeDetector({{"east", 30}, {"west", 30}});
  (void)RecordReport(detector, Reachable("east", "e9"), kStart);
  (void)RecordReport(detector, Reachable("west", "w1"), kStart + 300 * kMs);
  return detector;
}

/// East has been suspect since 300 ms after the start.
OutageDetector SuspectEast() {
  OutageDetector detector = SilentEast();
  const Instant now = kStart + 300 * kMs;
  for (const std::string server : {"e1", "e2", "e3"})
    (void)RecordReport(detector, Unreachable("east", server, server == "e1" ? "a" : "b"), now);
  return detector;
}

TEST_CASE("three silent servers by the word of two instances make a data centre suspect") {
  OutageDetector detector = SilentEast();
  const Instant now = kStart + 300 * kMs;
  CHECK(RecordReport(detector, Unreachable("east", "e1", "a"), now).m_transition ==
        OutageTransition::kNone);
  CHECK(RecordReport(detector, Unreachable("east", "e2", "b"), now).m_transition ==
        OutageTransition::kNone);
  CHECK_FALSE(IsDataCentreSuspect(detector, "east"));
  const OutageEvent event = RecordReport(detector, Unreachable("east", "e3", "b"), now);
  CHECK(event.m_transition == OutageTransition::kSuspect);
  CHECK(event.m_unreachable_servers == 3);
  CHECK(event.m_reporters == 2);
  CHECK(IsDataCentreSuspect(detector, "east"));
  CHECK(IsServerSuspect(detector, "east", "e7"));
  CHECK_FALSE(IsDataCentreSuspect(detector, "west"));
}

TEST_CASE("the word of one instance isn't enough for a broker, and is for the instance itself") {
  const Instant now = kStart + 300 * kMs;
  OutageDetector pooled = SilentEast();
  OutageDetector own = SilentEast();
  own.m_min_reporters = LocalOutageDetector().m_min_reporters;
  for (const std::string server : {"e1", "e2", "e3", "e4"}) {
    (void)RecordReport(pooled, Unreachable("east", server, "a"), now);
    (void)RecordReport(own, Unreachable("east", server, "a"), now);
  }
  CHECK_FALSE(IsDataCentreSuspect(pooled, "east"));
  CHECK(IsDataCentreSuspect(own, "east"));
}

TEST_CASE("a data centre that is heard meanwhile isn't lost") {
  OutageDetector detector = SilentEast();
  for (int i = 0; i < 60; ++i) {
    const Instant now = kStart + (300 + 10 * i) * kMs;
    (void)RecordReport(
        detector, Unreachable("east", "e" + std::to_string(i % 29), i % 2 == 0 ? "a" : "b"), now);
    (void)RecordReport(detector, Reachable("west", "w1"), now);
    if (i % 10 == 0)
      (void)RecordReport(detector, Reachable("east", "e29"), now);
  }
  CHECK_FALSE(IsDataCentreSuspect(detector, "east"));
}

TEST_CASE("two crashed servers are no lost data centre, however often they are met") {
  OutageDetector detector = MakeDetector({{"east", 2}, {"west", 30}});
  (void)RecordReport(detector, Reachable("east", "e1"), kStart);
  for (int i = 1; i < 50; ++i) {
    const Instant now = kStart + 100 * i * kMs;
    (void)RecordReport(detector, Reachable("west", "w1"), now);
    (void)RecordReport(detector,
                       Unreachable("east", i % 2 == 0 ? "e1" : "e2", i % 3 == 0 ? "a" : "b"), now);
  }
  CHECK_FALSE(IsDataCentreSuspect(detector, "east"));
}

TEST_CASE("without another data centre that is heard none is held to be lost") {
  OutageDetector detector = MakeDetector({{"east", 30}, {"west", 30}});
  (void)RecordReport(detector, Reachable("east", "e1"), kStart);
  (void)RecordReport(detector, Reachable("west", "w1"), kStart);
  for (int i = 0; i < 40; ++i) {
    const Instant now = kStart + (300 + i) * kMs;
    const std::string centre = i % 2 == 0 ? "east" : "west";
    (void)RecordReport(
        detector, Unreachable(centre, centre + std::to_string(i), i % 3 == 0 ? "a" : "b"), now);
  }
  CHECK(detector.m_suspect_count == 0);
}

TEST_CASE("old losses count for nothing") {
  OutageDetector detector = SilentEast();
  const Instant late = kStart + 4 * kSecond;
  (void)RecordReport(detector, Unreachable("east", "e1", "a"), kStart + 300 * kMs);
  (void)RecordReport(detector, Unreachable("east", "e2", "b"), kStart + 300 * kMs);
  (void)RecordReport(detector, Reachable("west", "w1"), late);
  (void)RecordReport(detector, Unreachable("east", "e3", "b"), late);
  CHECK_FALSE(IsDataCentreSuspect(detector, "east"));
}

TEST_CASE("a suspect data centre gets one trial at a time until one of its servers answers") {
  OutageDetector detector = SuspectEast();
  const Instant due = kStart + kSecond;
  CHECK_FALSE(MayProbe(detector, "east", "e1", kStart + 301 * kMs));
  REQUIRE(MayProbe(detector, "east", "e1", due));
  BeginProbe(detector, "east", "e1", due);
  CHECK_FALSE(MayProbe(detector, "east", "e2", due));
  (void)RecordReport(detector, Unreachable("east", "e1", "a"), due + 300 * kMs);
  CHECK_FALSE(MayProbe(detector, "east", "e2", due + 301 * kMs));
  CHECK(MayProbe(detector, "east", "e2", due + 501 * kMs));
  // A probe whose end isn't reported doesn't block others for long.
  BeginProbe(detector, "east", "e2", due + 501 * kMs);
  CHECK(MayProbe(detector, "east", "e3", due + 2 * kSecond));
}

TEST_CASE("after its first answer a data centre opens server by server") {
  OutageDetector detector = SuspectEast();
  const Instant now = kStart + kSecond;
  BeginProbe(detector, "east", "e1", now);
  CHECK(RecordReport(detector, Reachable("east", "e1"), now + 50 * kMs).m_transition ==
        OutageTransition::kServerResponded);
  const Instant next = now + 51 * kMs;
  CHECK_FALSE(IsServerSuspect(detector, "east", "e1"));
  CHECK(IsServerSuspect(detector, "east", "e2"));
  int trials = 0;
  for (int i = 2; i <= 30; ++i) {
    const std::string server = "e" + std::to_string(i);
    if (!MayProbe(detector, "east", server, next))
      continue;
    BeginProbe(detector, "east", server, next);
    ++trials;
  }
  CHECK(trials == 2);
}

TEST_CASE("once all servers answered, or no loss was met for a second, the suspicion is over") {
  OutageEvent event;
  OutageDetector all = MakeDetector({{"east", 4}, {"west", 30}});
  (void)RecordReport(all, Reachable("west", "w1"), kStart);
  for (const std::string server : {"e1", "e2", "e3"})
    (void)RecordReport(all, Unreachable("east", server, server == "e1" ? "a" : "b"), kStart);
  REQUIRE(IsDataCentreSuspect(all, "east"));
  for (int i = 1; i <= 4; ++i)
    (void)RecordReport(all, Reachable("east", "e" + std::to_string(i)), kStart + 500 * kMs);
  CHECK(EndRecoveredOutage(all, kStart + 501 * kMs, event));
  CHECK(event.m_transition == OutageTransition::kRecovered);
  CHECK_FALSE(EndRecoveredOutage(all, kStart + 501 * kMs, event));

  OutageDetector some = SuspectEast();
  CHECK_FALSE(EndRecoveredOutage(some, kStart + 5 * kSecond, event));
  (void)RecordReport(some, Reachable("east", "e1"), kStart + kSecond);
  CHECK_FALSE(EndRecoveredOutage(some, kStart + kSecond, event));
  (void)RecordReport(some, Reachable("east", "e1"), kStart + 1'900 * kMs);
  CHECK(EndRecoveredOutage(some, kStart + 2'100 * kMs, event));
}

TEST_CASE("a failure of a request sent before its server came back says nothing of it") {
  OutageDetector detector = SuspectEast();
  const Instant back = kStart + kSecond;
  (void)RecordReport(detector, Reachable("east", "e1"), back);
  CHECK(SentBeforeRecovery(detector, "east", "e1", back - 100 * kMs));
  CHECK_FALSE(SentBeforeRecovery(detector, "east", "e1", back + 100 * kMs));
  CHECK_FALSE(SentBeforeRecovery(detector, "east", "e2", back - 100 * kMs));
  CHECK_FALSE(SentBeforeRecovery(detector, "east", "e1", Instant{}));
}

TEST_CASE("a server that registers anew while its data centre is suspect is in use") {
  OutageDetector detector = SuspectEast();
  Appear(detector, "east", "e31");
  Appear(detector, "west", "w31");
  CHECK_FALSE(IsServerSuspect(detector, "east", "e31"));
  CHECK(IsServerSuspect(detector, "east", "e30"));
  CHECK(IsDataCentreSuspect(detector, "east"));
  // It isn't evidence on the others: they get one probe at a time, and their failures don't count
  // against it; its own do.
  const Instant now = kStart + 600 * kMs;
  (void)RecordReport(detector, Reachable("west", "w1"), now);
  REQUIRE(MayProbe(detector, "east", "e4", now));
  BeginProbe(detector, "east", "e4", now);
  CHECK_FALSE(MayProbe(detector, "east", "e5", now));
  for (const std::string server : {"e4", "e5", "e6"})
    CHECK(RecordReport(detector, Unreachable("east", server, "b"), now).m_transition ==
          OutageTransition::kNone);
  CHECK_FALSE(IsServerSuspect(detector, "east", "e31"));
  (void)RecordReport(detector, Unreachable("east", "e31", "b"), now);
  CHECK(IsServerSuspect(detector, "east", "e31"));
}

TEST_CASE("a data centre that is lost again while it returns is suspect as a whole again") {
  OutageDetector detector = SuspectEast();
  (void)RecordReport(detector, Reachable("east", "e1"), kStart + kSecond);
  const Instant now = kStart + 1'500 * kMs;
  (void)RecordReport(detector, Reachable("west", "w1"), now);
  OutageEvent event;
  for (const std::string server : {"e1", "e2", "e3"})
    event = RecordReport(detector,
                         {"east", server, server == "e1" ? "a" : "b", false, now - 300 * kMs}, now);
  CHECK(event.m_transition == OutageTransition::kSuspect);
  CHECK(IsServerSuspect(detector, "east", "e1"));
  CHECK(detector.m_suspect_count == 1);
}

// ---- Broker under load --------------------------------------------------------------------------

/// How a request that is sent to a server now ends.
enum class RequestOutcome : std::uint8_t { kAnswers, kNotConnected, kFails };

/// A report that reaches the broker later.
struct DueReport {
  std::string m_instance;
  std::string m_server;
  SlotReport m_report;
};

struct Load {
  SlotBroker m_broker;
  std::string m_silent_data_centre;  ///< Servers of this data centre don't respond.
  std::mt19937 m_random{1};
  std::multimap<Instant, DueReport> m_due;
  std::map<std::string, int> m_sent;  ///< Requests by data centre.
  SlotRef m_next = 1;
  std::optional<Instant> m_suspected;
  int m_false_alarms = 0;
};

std::string CentreOf(const std::string& server) {
  return server.substr(0, server.find('-'));
}

/// Returns a broker with 95 servers in three data centres; instances of all three report.
Load BeginLoad() {
  Load load;
  load.m_broker = MakeSlotBroker(1, 7, Duration(4'500'000), kStart - 2 * kSecond);
  std::vector<BackendServer> servers;
  for (const auto& [centre, count] :
       std::map<std::string, int>{{"east", 32}, {"north", 32}, {"west", 31}}) {
    for (int i = 0; i < count; ++i)
      servers.push_back({centre + "-" + std::to_string(i), "engines", centre, 8, false});
  }
  SetServers(load.m_broker, servers);
  for (int i = 0; i < 80; ++i)
    ForgetInstance(load.m_broker, "i" + std::to_string(i), 80, kStart - 2 * kSecond);
  return load;
}

void SendTo(Load& load, const SlotResponse& placed, RequestOutcome outcome, Instant now) {
  ++load.m_sent[CentreOf(placed.m_server)];
  SlotReport end;
  end.m_ref = placed.m_ref;
  end.m_ended = true;
  if (outcome == RequestOutcome::kNotConnected) {
    end.m_may_have_run = false;
    end.m_health_signal = HealthSignal::kUnreachable;
    load.m_due.insert({now + 300 * kMs, {placed.m_instance, placed.m_server, end}});
    return;
  }
  SlotReport first;
  first.m_ref = placed.m_ref;
  first.m_time_to_first_event = 60 * kMs;
  first.m_tokens_read = 600;
  if (outcome == RequestOutcome::kAnswers)
    load.m_due.insert({now + 60 * kMs, {placed.m_instance, placed.m_server, first}});
  end.m_health_signal =
      outcome == RequestOutcome::kFails ? HealthSignal::kFailure : HealthSignal::kSuccess;
  end.m_failed = outcome == RequestOutcome::kFails;
  end.m_service = outcome == RequestOutcome::kFails ? Duration(0) : 400 * kMs;
  load.m_due.insert({now + (outcome == RequestOutcome::kFails ? 20 : 400) * kMs,
                     {placed.m_instance, placed.m_server, end}});
}

void SendSlotRequest(Load& load, Instant now, std::vector<SlotResponse>& out) {
  SlotRequest slot_request;
  slot_request.m_ref = load.m_next++;
  slot_request.m_pool = "engines";
  const auto holder = std::uniform_int_distribution<int>(0, 79)(load.m_random);
  slot_request.m_data_centre = holder < 30 ? "east" : (holder < 54 ? "north" : "west");
  slot_request.m_shape.m_prompt_tokens = 600;
  slot_request.m_shape.m_latency_target = 600 * kMs;
  slot_request.m_shape.m_left = 10 * kSecond;
  slot_request.m_expected_tokens = 100;
  slot_request.m_wait = 200 * kMs;
  RequestSlot(load.m_broker, "i" + std::to_string(holder), slot_request, now, out);
}

void RecordOutageEvents(Load& load, Instant now) {
  for (const OutageEvent& event : load.m_broker.m_outage_events) {
    if (event.m_transition == OutageTransition::kSuspect && !load.m_suspected)
      load.m_suspected = now;
    if (event.m_transition == OutageTransition::kSuspect)
      ++load.m_false_alarms;
  }
  load.m_broker.m_outage_events.clear();
}

/// Returns true if a report is of a response that no longer arrives, since its server stopped
/// responding. The connection then times out after 1.5 s.
bool StoppedResponding(Load& load, const DueReport& due, Instant now) {
  const SlotReport& report = due.m_report;
  if (load.m_silent_data_centre.empty() || CentreOf(due.m_server) != load.m_silent_data_centre)
    return false;
  if (report.m_health_signal == HealthSignal::kUnreachable ||
      report.m_health_signal == HealthSignal::kFailure)
    return false;
  if (!report.m_ended)
    return true;
  SlotReport silent;
  silent.m_ref = report.m_ref;
  silent.m_ended = true;
  silent.m_health_signal = HealthSignal::kFailure;
  load.m_due.insert({now + 1'500 * kMs, {due.m_instance, due.m_server, silent}});
  return true;
}

void DeliverReports(Load& load, Instant now, std::vector<SlotResponse>& out) {
  while (!load.m_due.empty() && load.m_due.begin()->first <= now) {
    const DueReport due = load.m_due.begin()->second;
    load.m_due.erase(load.m_due.begin());
    if (!StoppedResponding(load, due, now))
      ApplyReport(load.m_broker, due.m_instance, due.m_report, now, out);
  }
}

/// Sends 350 requests a second from `from` until `until`, in steps of one ms.
template <typename OutcomeOf>
void Play(Load& load, Duration from, Duration until, OutcomeOf outcome_of) {
  for (Instant now = kStart + from; now < kStart + until; now += kMs) {
    std::vector<SlotResponse> out;
    DeliverReports(load, now, out);
    if (std::bernoulli_distribution(0.35)(load.m_random))
      SendSlotRequest(load, now, out);
    if ((now - kStart) % (20 * kMs) == Duration(0))
      TickBroker(load.m_broker, now, out);
    for (const SlotResponse& answer : out) {
      const bool dark = CentreOf(answer.m_server) == load.m_silent_data_centre;
      if (answer.m_verdict == SlotVerdict::kPlaced)
        SendTo(load, answer,
               dark ? RequestOutcome::kNotConnected : outcome_of(load, answer.m_server), now);
    }
    RecordOutageEvents(load, now);
  }
}

RequestOutcome Answers(Load& /*load*/, const std::string& /*server*/) {
  return RequestOutcome::kAnswers;
}

TEST_CASE("under load a dark data centre is known within 400 ms and gets few requests more") {
  Load load = BeginLoad();
  Play(load, Duration(0), 2 * kSecond, Answers);
  REQUIRE(load.m_sent["east"] > 100);
  load.m_silent_data_centre = "east";
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

/// Counts the servers that get no work because of failures, their own or their data centre's.
int CountExcluded(const Load& load, Instant now) {
  const SlotPool& pool = load.m_broker.m_pools.at("engines");
  int excluded = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const BackendServer& server = pool.m_servers[i];
    const bool lost = IsServerSuspect(load.m_broker.m_outages, server.m_data_centre, server.m_id);
    excluded += lost || IsEjected(pool.m_health[i], now) ? 1 : 0;
  }
  return excluded;
}

TEST_CASE("under load a data centre that answers again is all in use within a second and a half") {
  for (const Duration dark : {1'500 * kMs, 2 * kSecond, 6 * kSecond}) {
    Load load = BeginLoad();
    Play(load, Duration(0), 2 * kSecond, Answers);
    load.m_silent_data_centre = "east";
    Play(load, 2 * kSecond, 2 * kSecond + dark, Answers);
    load.m_silent_data_centre.clear();
    load.m_sent.clear();
    Duration all_after{};
    for (Duration at{}; at < 1'500 * kMs; at += 10 * kMs) {
      const Duration from = 2 * kSecond + dark + at;
      Play(load, from, from + 10 * kMs, Answers);
      if (CountExcluded(load, kStart + from + 10 * kMs) > 0)
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
    // One of the two packets that open a connection is lost.
    const bool lost =
        CentreOf(server) == "east" && std::bernoulli_distribution(0.0975)(load.m_random);
    return lost ? RequestOutcome::kNotConnected : RequestOutcome::kAnswers;
  };
  const auto failing = [](Load& /*load*/, const std::string& server) {
    return server.back() <= '2' ? RequestOutcome::kFails : RequestOutcome::kAnswers;
  };
  const auto all_failing = [](Load& /*load*/, const std::string& /*server*/) {
    return RequestOutcome::kFails;
  };
  const auto crashed = [](Load& /*load*/, const std::string& server) {
    const bool down = server == "east-3" || server == "east-4";
    return down ? RequestOutcome::kNotConnected : RequestOutcome::kAnswers;
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
