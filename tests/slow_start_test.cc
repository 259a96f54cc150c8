// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Requests that cold servers get within any second, from the broker and from instances without it.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>

#include "poppyway/platform.h"
#include "poppyway/policy.h"
#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr Duration kSecond{1'000'000};
constexpr Duration kTick{20'000};
constexpr Duration kLongAgo{60'000'000};
const Instant kStart{Duration(100'000'000)};
const SlowStartLimit kLimit = WithTolerance({12, 8 * kSecond, 0}, {1.5, 5});
constexpr int kMost = 23;

struct Sent {
  std::string m_server;
  Instant m_at{};
};

/// Returns the most requests that one server got within any second.
int MostInASecond(const std::vector<Sent>& all) {
  std::map<std::string, std::vector<Instant>> by_server;
  for (const Sent& sent : all)
    by_server[sent.m_server].push_back(sent.m_at);
  int most = 0;
  for (auto& [server, times] : by_server) {
    std::sort(times.begin(), times.end());
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
      while (times[i] - times[first] >= kSecond)
        ++first;
      most = std::max(most, static_cast<int>(i - first) + 1);
    }
  }
  return most;
}

BackendServer ServerNamed(const std::string& id, Duration cold_left = {}) {
  BackendServer server;
  server.m_id = id;
  server.m_pool = "apps";
  server.m_data_centre = "east";
  server.m_slots = 40;
  server.m_cold_left = cold_left;
  return server;
}

std::vector<BackendServer> Servers(int count, Duration cold_left = {}) {
  std::vector<BackendServer> servers;
  for (int i = 0; i < count; ++i)
    servers.push_back(ServerNamed("s" + std::to_string(i), cold_left));
  return servers;
}

/// A broker whose callers always have more requests than there are slots. It began long before.
struct Rush {
  SlotBroker m_broker;
  Instant m_now = kStart;
  std::vector<Sent> m_sent;
  std::map<SlotVerdict, int> m_verdicts;
  std::deque<std::pair<Instant, SlotRef>> m_ends;
  SlotRef m_next = 1;
  int m_per_tick = 40;
  Duration m_held{200'000};

  explicit Rush(const std::vector<BackendServer>& servers,
                Instant began = kStart - kLongAgo,
                bool limited = true)
      : m_broker(MakeSlotBroker(1, 7, Duration(4'500'000), began)) {
    ForgetInstance(m_broker, "a", 1, began);
    Take(servers, limited, std::max(began, kStart));
  }

  void Take(const std::vector<BackendServer>& servers, bool limited, Instant now) {
    SetServers(m_broker, servers);
    if (limited)
      SetSlowStartLimits(m_broker, {{"apps", kLimit}});
    UpdateSlowStart(m_broker, now);
  }
  void Take(const std::vector<BackendServer>& servers) { Take(servers, true, m_now); }

  [[nodiscard]] const SlowStartState& SlowStartOf(std::size_t i) const {
    return m_broker.m_pools.at("apps").m_slow_starts[i];
  }

  void Note(const std::vector<SlotResponse>& responses) {
    for (const SlotResponse& response : responses) {
      ++m_verdicts[response.m_verdict];
      if (response.m_verdict != SlotVerdict::kPlaced)
        continue;
      m_sent.push_back({response.m_server, m_now});
      m_ends.emplace_back(m_now + m_held, response.m_ref);
    }
  }

  void RequestOne(Duration wait = 2 * kSecond) {
    SlotRequest slot_request;
    slot_request.m_ref = m_next++;
    slot_request.m_pool = "apps";
    slot_request.m_data_centre = "east";
    slot_request.m_shape.m_latency_target = 4 * kSecond;
    slot_request.m_shape.m_left = 4 * kSecond;
    slot_request.m_wait = wait;
    std::vector<SlotResponse> out;
    RequestSlot(m_broker, "a", slot_request, m_now, out);
    Note(out);
  }

  void EndCalls() {
    while (!m_ends.empty() && m_ends.front().first <= m_now) {
      SlotReport report;
      report.m_ref = m_ends.front().second;
      report.m_ended = true;
      report.m_health_signal = HealthSignal::kSuccess;
      report.m_service = m_held;
      m_ends.pop_front();
      std::vector<SlotResponse> out;
      ApplyReport(m_broker, "a", report, m_now, out);
      Note(out);
    }
  }

  void Run(Duration time) {
    for (const Instant end = m_now + time; m_now < end; m_now += kTick) {
      EndCalls();
      for (int i = 0; i < m_per_tick; ++i)
        RequestOne();
      std::vector<SlotResponse> out;
      TickBroker(m_broker, m_now, out);
      Note(out);
    }
  }
};

/// An instance without a broker that always has a request for a cold server.
struct InstanceWithoutBroker {
  SlowStartState m_slow_start;
  void Step(int instances, std::mt19937& random, Instant now, std::vector<Sent>& sent) {
    std::uniform_real_distribution<double> part(0, 1);
    BeginSendsWithoutBroker(m_slow_start, kLimit, instances, part(random), now);
    if (!MaySendWithoutBroker(m_slow_start, kLimit, now))
      return;
    sent.push_back({"s0", now});
    RecordSendWithoutBroker(m_slow_start, kLimit, instances, now);
  }
};

std::vector<Sent> SentWithoutBroker(int count, int instances, unsigned seed) {
  std::mt19937 random(seed);
  std::vector<InstanceWithoutBroker> senders(static_cast<std::size_t>(count));
  for (InstanceWithoutBroker& sender : senders)
    sender.m_slow_start.m_cold_until = kStart + kLongAgo;
  std::vector<Sent> sent;
  for (Instant now = kStart; now < kStart + 8 * kSecond; now += kTick) {
    for (InstanceWithoutBroker& sender : senders)
      sender.Step(instances, random, now, sent);
  }
  return sent;
}

TEST_CASE("32 servers that come back cold at once get what they handle, with the queue full") {
  Rush rush(Servers(32, 8 * kSecond), kStart);
  rush.m_now = kStart + kSecond;
  rush.Run(5 * kSecond);
  CHECK(MostInASecond(rush.m_sent) <= 12);
  // No capacity is left unused, and no request is rejected for lack of servers.
  CHECK(rush.m_sent.size() >= 32 * 12 * 5 * 9 / 10);
  CHECK(rush.m_verdicts[SlotVerdict::kNoServer] == 0);
}

TEST_CASE("a new empty server that is cold doesn't draw everything") {
  Rush rush(Servers(4));
  rush.m_per_tick = 8;
  rush.Run(kSecond);
  std::vector<BackendServer> more = Servers(4);
  more.push_back(ServerNamed("new", 8 * kSecond));
  rush.Take(more);
  rush.m_sent.clear();
  rush.Run(3 * kSecond);
  std::erase_if(rush.m_sent, [](const Sent& sent) { return sent.m_server != "new"; });
  CHECK(MostInASecond(rush.m_sent) <= 12);
  CHECK(rush.m_sent.size() >= 30);
}

TEST_CASE("a request that finds all servers cold and full waits and is served within the second") {
  Rush rush(Servers(2, 8 * kSecond));
  rush.m_now = kStart;
  for (int i = 0; i < 24; ++i)
    rush.RequestOne();
  CHECK(rush.m_verdicts[SlotVerdict::kPlaced] == 6);  // A quarter of what two servers handle.
  CHECK(rush.m_verdicts[SlotVerdict::kQueued] == 18);
  rush.m_per_tick = 0;
  rush.Run(kSecond);
  CHECK(rush.m_verdicts[SlotVerdict::kPlaced] == 24);
  CHECK(rush.m_verdicts[SlotVerdict::kNoRoom] == 0);
}

TEST_CASE("cold servers that are full aren't made up for by suspect ones") {
  Rush rush(Servers(4, 8 * kSecond));
  ServerHealth suspect;
  suspect.m_ejected_until = kStart + 4 * kSecond;
  rush.m_broker.m_pools.at("apps").m_health[3] = suspect;
  rush.m_per_tick = 0;
  for (int i = 0; i < 30; ++i)
    rush.RequestOne();
  CHECK(std::none_of(rush.m_sent.begin(), rush.m_sent.end(),
                     [](const Sent& sent) { return sent.m_server == "s3"; }));
  CHECK(rush.m_sent.size() == 9);
}

TEST_CASE("a broker that takes over gives cold servers nothing for the second it can't know") {
  Rush before(Servers(32, 8 * kSecond));
  before.Run(2 * kSecond);
  Rush after(Servers(32, 8 * kSecond), before.m_now);
  after.m_now = before.m_now;
  after.Run(3 * kSecond);
  CHECK(after.m_sent.size() > 32 * 12);
  std::vector<Sent> all = before.m_sent;
  all.insert(all.end(), after.m_sent.begin(), after.m_sent.end());
  CHECK(MostInASecond(all) <= 12);
}

TEST_CASE("broker and a third of 80 instances that decide alone keep to the bound together") {
  Rush rush(Servers(1, 10 * kSecond));
  rush.Run(8 * kSecond);
  std::size_t sent_without_broker = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::vector<Sent> all = SentWithoutBroker(27, 80, seed);
    sent_without_broker += all.size();
    all.insert(all.end(), rush.m_sent.begin(), rush.m_sent.end());
    CHECK(MostInASecond(all) <= kMost);
  }
  // Of about 15 in the 8 s: instances without a broker get their share too.
  CHECK(sent_without_broker / 200 >= 12);
}

TEST_CASE("80 instances that all decide alone keep to the bound") {
  for (unsigned seed = 1; seed <= 200; ++seed)
    CHECK(MostInASecond(SentWithoutBroker(80, 80, seed)) <= kMost);
}

/// Returns the requests sent by `count` of 80 instances, none with a broker. For 15 s warm servers
/// take all requests; then each instance has one for the cold server.
std::vector<Sent> SentOnceWarmAreFull(int count, unsigned seed) {
  constexpr int kInstances = 80;
  std::mt19937 random(seed);
  std::vector<InstanceWithoutBroker> senders(static_cast<std::size_t>(count));
  for (InstanceWithoutBroker& sender : senders) {
    sender.m_slow_start.m_cold_until = kStart + kLongAgo;
    BeginSendsWithoutBroker(sender.m_slow_start, kLimit, kInstances,
                            std::uniform_real_distribution<>(0, 1)(random), kStart);
  }
  std::vector<Sent> sent;
  const Instant full = kStart + 15 * kSecond;
  for (Instant now = full; now < full + 2 * kSecond; now += kTick) {
    for (InstanceWithoutBroker& sender : senders)
      sender.Step(kInstances, random, now, sent);
  }
  return sent;
}

TEST_CASE("turns that nobody used are not kept for the moment in which all have work") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CHECK(MostInASecond(SentOnceWarmAreFull(80, seed)) <= 23);  // No broker sends any.
    CHECK(MostInASecond(SentOnceWarmAreFull(27, seed)) <= 11);  // The broker may send 12 besides.
  }
}

TEST_CASE("sends held up by as much as half a second reach a cold server within the bound") {
  Rush rush(Servers(8, 10 * kSecond));
  rush.Run(8 * kSecond);
  std::mt19937 random(3);
  std::uniform_int_distribution<std::int64_t> late(0, 500'000);
  std::vector<Sent> scattered = rush.m_sent;
  for (Sent& sent : scattered)
    sent.m_at += Duration(late(random));
  CHECK(MostInASecond(scattered) <= kMost);
  // Worst case: no request arrives for half a second, then all arrive at once.
  int most = 0;
  for (int phase = 0; phase < 50; ++phase) {
    std::vector<Sent> bunched = rush.m_sent;
    const Instant stop = kStart + 3 * kSecond + phase * kTick;
    for (Sent& sent : bunched) {
      if (sent.m_at >= stop && sent.m_at < stop + kSecond / 2)
        sent.m_at = stop + kSecond / 2;
    }
    most = std::max(most, MostInASecond(bunched));
  }
  CHECK(most <= kMost);
}

TEST_CASE("a server that turned cold since its last word gets the less for what it got before") {
  // Doesn't cover requests sent before its report arrives, up to 1.2 s and the log's delay later.
  Rush rush(Servers(1));
  rush.m_held = Duration(50'000);
  rush.Run(2 * kSecond);
  REQUIRE(MostInASecond(rush.m_sent) > kMost);
  const Instant reported_at = rush.m_now;
  rush.Take(Servers(1, 7 * kSecond));
  rush.Run(Duration(900'000));
  CHECK(rush.m_sent.back().m_at < reported_at);
  rush.Run(3 * kSecond);
  std::erase_if(rush.m_sent, [reported_at](const Sent& sent) { return sent.m_at < reported_at; });
  CHECK(MostInASecond(rush.m_sent) <= 12);
  CHECK(rush.m_sent.size() >= 30);
}

TEST_CASE("a server is warm by its own word or when its time is over") {
  Rush rush(Servers(1, 2 * kSecond));
  rush.Run(2 * kSecond);
  rush.m_sent.clear();
  rush.Run(kSecond);
  CHECK(MostInASecond(rush.m_sent) > kMost);
  rush.Take(Servers(1, 8 * kSecond));
  rush.Take(Servers(1));
  CHECK_FALSE(IsCold(rush.SlowStartOf(0), rush.m_now));
}

TEST_CASE("a pool that says nothing of cold servers is served as before") {
  Rush plain(Servers(3), kStart - kLongAgo, false);
  Rush reporting(Servers(3, 8 * kSecond), kStart - kLongAgo, false);
  plain.Run(2 * kSecond);
  reporting.Run(2 * kSecond);
  CHECK(MostInASecond(reporting.m_sent) > kMost);
  REQUIRE(plain.m_sent.size() == reporting.m_sent.size());
  for (std::size_t i = 0; i < plain.m_sent.size(); ++i)
    CHECK(plain.m_sent[i].m_server == reporting.m_sent[i].m_server);
}

TEST_CASE("a server that gave no connection is presumed cold from its next answer on") {
  Rush rush(Servers(2));
  rush.Run(kSecond);
  SlotPool& pool = rush.m_broker.m_pools.at("apps");
  SlotReport report;
  std::vector<SlotResponse> out;
  const auto held = [&rush](const std::string& server) {
    for (const auto& [ref, slot] : rush.m_broker.m_instance_slots["a"].m_held) {
      if (slot.m_server == server)
        return ref;
    }
    return SlotRef{0};
  };
  report.m_ref = held("s0");
  report.m_health_signal = HealthSignal::kFailure;
  ApplyReport(rush.m_broker, "a", report, rush.m_now, out);
  // A single failed response isn't taken for a restart.
  CHECK_FALSE(IsCold(pool.m_slow_starts[0], rush.m_now));
  report.m_ref = held("s1");
  report.m_health_signal = HealthSignal::kUnreachable;
  ApplyReport(rush.m_broker, "a", report, rush.m_now, out);
  CHECK(IsCold(pool.m_slow_starts[1], rush.m_now + kLongAgo));
  report.m_health_signal = HealthSignal::kSuccess;
  ApplyReport(rush.m_broker, "a", report, rush.m_now, out);
  CHECK(IsCold(pool.m_slow_starts[1], rush.m_now + 7 * kSecond));
  CHECK_FALSE(IsCold(pool.m_slow_starts[1], rush.m_now + 8 * kSecond));
}

TEST_CASE("an answer that is whole but a failure presumes nothing") {
  Rush rush(Servers(1));
  rush.Run(kSecond);
  SlotReport report;
  report.m_health_signal = HealthSignal::kFailure;
  report.m_failed = true;
  std::vector<SlotResponse> out;
  for (const auto& [ref, slot] : rush.m_broker.m_instance_slots["a"].m_held) {
    report.m_ref = ref;
    ApplyReport(rush.m_broker, "a", report, rush.m_now, out);
  }
  REQUIRE(IsEjected(rush.m_broker.m_pools.at("apps").m_health[0], rush.m_now));
  CHECK_FALSE(IsCold(rush.SlowStartOf(0), rush.m_now));
}

TEST_CASE("a server that is new while requests come, or lives anew, is presumed cold") {
  Rush rush(Servers(2));
  CHECK_FALSE(IsCold(rush.SlowStartOf(0), kStart));
  rush.Run(kSecond);
  std::vector<BackendServer> servers = Servers(3);
  servers[0].m_started_ms = 7;
  rush.Take(servers);
  CHECK(IsCold(rush.SlowStartOf(0), rush.m_now + 7 * kSecond));
  CHECK_FALSE(IsCold(rush.SlowStartOf(1), rush.m_now));
  CHECK(IsCold(rush.SlowStartOf(2), rush.m_now + 7 * kSecond));
}

TEST_CASE("servers of a data centre whose evacuation ends are presumed cold") {
  Rush rush(Servers(2));
  rush.Run(kSecond);
  std::vector<BackendServer> servers = Servers(2);
  servers[1].m_evacuated = true;
  rush.Take(servers);
  CHECK_FALSE(IsCold(rush.SlowStartOf(1), rush.m_now));
  rush.Take(Servers(2));
  CHECK(IsCold(rush.SlowStartOf(1), rush.m_now + 7 * kSecond));
  CHECK_FALSE(IsCold(rush.SlowStartOf(0), rush.m_now));
}

TEST_CASE("where servers tell, a presumption lasts until their own word must have come") {
  CHECK(PresumedTime(kLimit, false) == 8 * kSecond);
  CHECK(PresumedTime(kLimit, true) == 3 * kSecond);
  CHECK(PresumedTime({12, kSecond, 23}, true) == kSecond);
}

TEST_CASE("a limit too small to share gives those who decide alone nothing") {
  const SlowStartLimit strict = WithTolerance({12, 8 * kSecond, 0}, {});
  SlowStartState slow_start;
  slow_start.m_cold_until = kStart + kSecond;
  BeginSendsWithoutBroker(slow_start, strict, 8, 0, kStart);
  CHECK_FALSE(MaySendWithoutBroker(slow_start, strict, kStart));
  CHECK(MaySendWithoutBroker(slow_start, strict, kStart + kSecond));  // The server is warm.
}

wire::ServerRecord Record(int sequence, int cold_for_ms) {
  wire::ServerRecord record;
  record.id = "s0";
  record.pool = "apps";
  record.slots = 4;
  record.stage = wire::ServerStage::READY;
  record.sequence = sequence;
  record.cold_for_ms = cold_for_ms;
  return record;
}

TEST_CASE("the log hears that a server turns cold and warm, not how its time runs down") {
  HostedState state;
  ApplyServer(state, Record(1, 8'000), 5);
  CHECK_FALSE(ChangesServer(state, Record(2, 6'800)));
  CHECK(ChangesServer(state, Record(3, 0)));
  ApplyServer(state, Record(3, 0), 6);
  CHECK(state.m_servers.at("s0").cold_for_ms == 0);
  CHECK(state.m_servers_index == 6);
  CHECK(ChangesServer(state, Record(4, 7'500)));
  CHECK_FALSE(ChangesServer(state, Record(2, 6'800)));  // The record is late.
}

TEST_CASE("a server that is cold for longer than it said is taken in if a member proposes it") {
  HostedState state;
  ApplyServer(state, Record(1, 8'000), 5);
  CHECK(ChangesColdTime(state, Record(2, 7'900)));
  ApplyServer(state, Record(2, 7'900), 6);
  CHECK(state.m_servers.at("s0").cold_for_ms == 7'900);
  CHECK_FALSE(ChangesColdTime(state, Record(1, 8'000)));
}

TEST_CASE("the late word of an earlier life that it is cold changes nothing") {
  HostedState state;
  wire::ServerRecord later = Record(1, 0);
  later.born = 2'000;
  later.address = "10.0.0.2";
  ApplyServer(state, later, 5);
  wire::ServerRecord earlier = Record(9, 8'000);
  earlier.born = 1'000;
  CHECK_FALSE(ChangesColdTime(state, earlier));
  ApplyServer(state, earlier, 6);
  CHECK(state.m_servers.at("s0").address == "10.0.0.2");
  CHECK(state.m_servers_index == 5);
}

std::string DocumentWith(const std::string& cold) {
  return R"({"version":1,"routes":[],"services":[{"name":"apps")" + cold + "}]}";
}

TEST_CASE("the document says what a cold server handles") {
  const auto table = platform::DecodeDocument(DocumentWith(R"(,"cold_s":8,"cold_per_s":12)"));
  REQUIRE(table);
  CHECK(table->m_pools[0].m_slow_start_limit == SlowStartLimit{12, 8 * kSecond, 0});
  CHECK(WithTolerance(table->m_pools[0].m_slow_start_limit, {1.5, 5}).m_most_per_s == kMost);
  for (const std::string never : {"", R"(,"cold_s":0,"cold_per_s":12)", R"(,"cold_s":8)"})
    CHECK(platform::DecodeDocument(DocumentWith(never))->m_pools[0].m_slow_start_limit ==
          SlowStartLimit{});
  CHECK_FALSE(platform::DecodeDocument(DocumentWith(R"(,"cold_s":-1,"cold_per_s":12)")));
  CHECK_FALSE(platform::DecodeDocument(DocumentWith(R"(,"cold_s":8,"cold_per_s":-12)")));
}

}  // namespace
}  // namespace poppyway
