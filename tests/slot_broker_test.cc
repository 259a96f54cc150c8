// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The slot broker: exact counts, one order of service, one slot for each request.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

BackendServer Server(const std::string& id, int slots) {
  return {id, "engines", "east", slots, false};
}

SlotBroker BrokerWith(const std::vector<BackendServer>& servers) {
  return BrokerFor({"a", "b"}, servers);
}

SlotRequest WantedSlot(SlotRef ref, Tier route_tier = 0) {
  SlotRequest slot_request = WantedPlace(ref);
  slot_request.m_tier = route_tier;
  slot_request.m_shape.m_tier = route_tier;
  slot_request.m_expected_tokens = 100;
  return slot_request;
}

SlotRequest Costly(SlotRef ref, double cost, double rate) {
  SlotRequest slot_request = WantedSlot(ref);
  slot_request.m_workspace = "north";
  slot_request.m_quota.m_cost = cost;
  slot_request.m_limit = {rate, rate};
  return slot_request;
}

SlotReport End(SlotRef ref, bool ran = true) {
  SlotReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_may_have_run = ran;
  return report;
}

std::vector<SlotResponse> AskFor(SlotBroker& broker,
                                 const std::string& instance,
                                 SlotRequest slot_request) {
  std::vector<SlotResponse> out;
  RequestSlot(broker, instance, std::move(slot_request), kStart, out);
  return out;
}

int Taken(const SlotBroker& broker) {
  int taken = 0;
  for (const ServerView& view : broker.m_pools.at("engines").m_views)
    taken += view.m_other_in_flight;
  return taken;
}

TEST_CASE("an engine's places are given out once each, whoever asks") {
  SlotBroker broker = BrokerWith({Server("s0", 2), Server("s1", 1)});
  int placed = 0;
  for (SlotRef ref = 1; ref <= 6; ++ref) {
    const auto responses = AskFor(broker, ref % 2 == 0 ? "a" : "b", WantedSlot(ref));
    REQUIRE(responses.size() == 1);
    placed += responses[0].m_verdict == SlotVerdict::kPlaced ? 1 : 0;
  }
  CHECK(placed == 3);
  CHECK(Taken(broker) == 3);
  for (const ServerView& view : broker.m_pools.at("engines").m_views)
    CHECK(view.m_other_in_flight == view.m_slots);
}

TEST_CASE("a place that comes free goes at once to what is most urgent, then to what came first") {
  SlotBroker broker = BrokerWith({Server("s0", 1)});
  (void)AskFor(broker, "a", WantedSlot(1));
  CHECK(AskFor(broker, "a", WantedSlot(2, 1))[0].m_verdict == SlotVerdict::kQueued);
  CHECK(AskFor(broker, "b", WantedSlot(3, 0))[0].m_verdict == SlotVerdict::kQueued);
  CHECK(AskFor(broker, "a", WantedSlot(4, 0))[0].m_verdict == SlotVerdict::kQueued);
  std::vector<SlotRef> order;
  SlotRef running = 1;
  std::string instance = "a";
  for (int i = 0; i < 3; ++i) {
    std::vector<SlotResponse> out;
    ApplyReport(broker, instance, End(running), kStart + Duration(1'000), out);
    REQUIRE(out.size() == 1);
    CHECK(out[0].m_verdict == SlotVerdict::kPlaced);
    order.push_back(out[0].m_ref);
    running = out[0].m_ref;
    instance = out[0].m_instance;
  }
  CHECK(order == std::vector<SlotRef>{3, 4, 2});
}

TEST_CASE("a place request that was withdrawn gets no place") {
  SlotBroker broker = BrokerWith({Server("s0", 1)});
  (void)AskFor(broker, "a", WantedSlot(1));
  (void)AskFor(broker, "b", WantedSlot(2));
  CancelRequest(broker, "b", 2);
  std::vector<SlotResponse> out;
  ApplyReport(broker, "a", End(1), kStart, out);
  CHECK(out.empty());
  CHECK(Taken(broker) == 0);
}

TEST_CASE("what finds no room in its time is refused, and costs its workspace nothing") {
  SlotBroker broker = BrokerWith({Server("s0", 1)});
  (void)AskFor(broker, "a", WantedSlot(1));
  (void)AskFor(broker, "a", Costly(2, 100, 1'000));
  const double left = broker.m_limits.at("north").m_tokens;
  std::vector<SlotResponse> out;
  TickBroker(broker, kStart + Duration(199'000), out);
  CHECK(out.empty());
  TickBroker(broker, kStart + Duration(200'000), out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_verdict == SlotVerdict::kNoRoom);
  CHECK(broker.m_limits.at("north").m_tokens == Approx(left + 100));
}

TEST_CASE("a limit is charged with the place and given back only where no server ran the request") {
  SlotBroker broker = BrokerWith({Server("s0", 4)});
  (void)AskFor(broker, "a", Costly(1, 100, 1'000));
  (void)AskFor(broker, "a", Costly(2, 100, 1'000));
  const double left = broker.m_limits.at("north").m_tokens;
  std::vector<SlotResponse> out;
  ApplyReport(broker, "a", End(1, true), kStart, out);
  CHECK(broker.m_limits.at("north").m_tokens == Approx(left));
  ApplyReport(broker, "a", End(2, false), kStart, out);
  CHECK(broker.m_limits.at("north").m_tokens == Approx(left + 100));
  // A second report on the same slot changes nothing.
  ApplyReport(broker, "a", End(2, false), kStart, out);
  CHECK(broker.m_limits.at("north").m_tokens == Approx(left + 100));
  CHECK(Taken(broker) == 0);
}

TEST_CASE("the places of an instance that is gone come free") {
  SlotBroker broker = BrokerWith({Server("s0", 1)});
  (void)AskFor(broker, "a", WantedSlot(1));
  (void)AskFor(broker, "b", WantedSlot(2));
  std::vector<SlotResponse> out;
  RemoveInstance(broker, "a", kStart + Duration(1'000), out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_instance == "b");
  CHECK(out[0].m_verdict == SlotVerdict::kPlaced);
  CHECK(Taken(broker) == 1);
}

TEST_CASE("an instance that tells anew what it holds is counted once") {
  SlotBroker broker = BrokerWith({Server("s0", 4)});
  (void)AskFor(broker, "a", WantedSlot(1));
  (void)AskFor(broker, "a", WantedSlot(2));
  SlotBatch batch;
  batch.m_epoch = 1;
  batch.m_resync = true;
  batch.m_instances = 2;
  batch.m_held = {{.m_ref = 2, .m_server = "s0"}};
  std::vector<SlotResponse> out;
  ApplyBatch(broker, "a", batch, kStart, out);
  ApplyBatch(broker, "a", batch, kStart, out);
  CHECK(Taken(broker) == 1);
}

TEST_CASE("a new broker gives out only the part of places whose holders have told") {
  SlotBroker broker = MakeSlotBroker(2, 7, Duration(4'500'000), kStart);
  SetServers(broker, {Server("s0", 8)});
  ForgetInstance(broker, "a", 4, kStart);
  int placed = 0;
  for (SlotRef ref = 1; ref <= 8; ++ref)
    placed += AskFor(broker, "a", WantedSlot(ref))[0].m_verdict == SlotVerdict::kPlaced ? 1 : 0;
  CHECK(placed == 2);
  for (const std::string instance : {"b", "c", "d"})
    ForgetInstance(broker, instance, 4, kStart);
  std::vector<SlotResponse> out;
  TickBroker(broker, kStart + Duration(20'000), out);
  CHECK(out.size() == 6);
}

TEST_CASE("a broker that hears only some instances grants only their share of a limit's rate") {
  SlotBroker broker = MakeSlotBroker(2, 7, Duration(4'500'000), kStart);
  SetServers(broker, {Server("s0", 8)});
  for (const std::string instance : {"a", "b", "c", "d"})
    ForgetInstance(broker, instance, 4, kStart);
  CHECK(ReachableShare(broker) == 1);
  std::vector<SlotResponse> out;
  broker.m_instance_slots.at("a").m_last_heard = kStart + 2 * kSecond;
  TickBroker(broker, kStart + 2 * kSecond, out);
  CHECK(ReachableShare(broker) == 0.25);
  // An instance that is unreachable for longer than it may serve no longer counts.
  broker.m_instance_slots.at("a").m_last_heard = kStart + 7 * kSecond;
  TickBroker(broker, kStart + 7 * kSecond, out);
  CHECK(ReachableShare(broker) == 1);
}

TEST_CASE("what an earlier broker said to be left is taken over, its own word is not") {
  SlotBroker broker = MakeSlotBroker(2, 7, Duration(4'500'000), kStart);
  LimitReport report{"north", {1'000, 1'000}, 300, Duration(100'000), 1, 0};
  ApplyLimitReport(broker, report, kStart);
  CHECK(broker.m_limits.at("north").m_tokens == Approx(400));
  report.m_age = Duration(200'000);
  report.m_limit_left = 900;
  ApplyLimitReport(broker, report, kStart);  // An older level.
  CHECK(broker.m_limits.at("north").m_tokens == Approx(400));
  report.m_age = Duration(0);
  report.m_epoch = 2;
  ApplyLimitReport(broker, report, kStart);  // A level that this broker reported itself.
  CHECK(broker.m_limits.at("north").m_tokens == Approx(400));
  report.m_charged_without_broker = 150;
  ApplyLimitReport(broker, report, kStart);
  CHECK(broker.m_limits.at("north").m_tokens == Approx(250));
}

TEST_CASE("a server that fails is found by all instances' answers together") {
  SlotBroker broker = BrokerWith({Server("s0", 8), Server("s1", 8)});
  std::vector<SlotResponse> out;
  int failures = 0;
  for (SlotRef ref = 1; ref <= 40; ++ref) {
    const std::string instance = ref % 2 == 0 ? "a" : "b";
    const SlotResponse response = AskFor(broker, instance, WantedSlot(ref))[0];
    REQUIRE(response.m_verdict == SlotVerdict::kPlaced);
    SlotReport report = End(ref);
    const bool bad = response.m_server == "s0";
    failures += bad ? 1 : 0;
    report.m_health_signal = bad ? HealthSignal::kFailure : HealthSignal::kSuccess;
    ApplyReport(broker, instance, report, kStart, out);
  }
  CHECK(failures == 3);
}

TEST_CASE("a server that failed is tried out with one request at a time, ever more slowly") {
  SlotBroker broker = BrokerWith({Server("s0", 8), Server("s1", 8), Server("s2", 8)});
  std::vector<SlotResponse> out;
  std::vector<Instant> tries;
  Instant now = kStart;
  SlotRef ref = 0;
  for (int step = 0; step < 2'000; ++step, now += Duration(5'000)) {
    RequestSlot(broker, "a", WantedSlot(++ref), now, out);
    const SlotResponse response = out.back();
    REQUIRE(response.m_verdict == SlotVerdict::kPlaced);
    SlotReport report = End(ref);
    report.m_health_signal =
        response.m_server == "s0" ? HealthSignal::kFailure : HealthSignal::kSuccess;
    if (response.m_server == "s0")
      tries.push_back(now);
    ApplyReport(broker, "a", report, now, out);
  }
  REQUIRE(tries.size() >= 6);
  CHECK(tries.size() <= 9);
  for (std::size_t i = 4; i < tries.size(); ++i)
    CHECK(tries[i] - tries[i - 1] >= 1.5 * (tries[i - 1] - tries[i - 2]) - Duration(10'000));
}

TEST_CASE("while a trial is under way no other request goes to the server") {
  SlotBroker broker = BrokerWith({Server("s0", 8), Server("s1", 1), Server("s2", 1)});
  broker.m_pools.at("engines").m_health[0] =
      ServerHealth{.m_failures = 3, .m_ejected_until = kStart - Duration(1)};
  int at_suspect = 0;
  for (SlotRef ref = 1; ref <= 4; ++ref)
    at_suspect += AskFor(broker, "a", WantedSlot(ref))[0].m_server == "s0" ? 1 : 0;
  CHECK(at_suspect == 1);
}

TEST_CASE("half of a pool stays in use however many servers fail") {
  SlotBroker broker =
      BrokerWith({Server("s0", 1), Server("s1", 1), Server("s2", 1), Server("s3", 1)});
  SlotPool& pool = broker.m_pools.at("engines");
  for (std::size_t i = 0; i < 4; ++i) {
    pool.m_health[i].m_failures = 5;
    pool.m_health[i].m_failure_rate = 0.9 - 0.1 * static_cast<double>(i);
    pool.m_health[i].m_ejected_until = kStart + kSecond;
  }
  std::set<std::string> used;
  for (SlotRef ref = 1; ref <= 4; ++ref)
    used.insert(AskFor(broker, "a", WantedSlot(ref))[0].m_server);
  CHECK(used == std::set<std::string>{"", "s2", "s3"});
}

TEST_CASE("a server that begins to leave gets nothing more, and what it has is still counted") {
  SlotBroker broker = BrokerWith({Server("s0", 2)});
  (void)AskFor(broker, "a", WantedSlot(1));
  BackendServer leaving = Server("s0", 2);
  leaving.m_leaving = true;
  SetServers(broker, {leaving, Server("s1", 2)});
  CHECK(Taken(broker) == 1);
  for (SlotRef ref = 2; ref <= 3; ++ref)
    CHECK(AskFor(broker, "a", WantedSlot(ref))[0].m_server == "s1");
  std::vector<SlotResponse> out;
  ApplyReport(broker, "a", End(1), kStart, out);
  CHECK(Taken(broker) == 2);
}

TEST_CASE("a prompt goes where its parts are kept, if that costs no wait") {
  SlotBroker broker = BrokerWith({Server("s0", 8), Server("s1", 8), Server("s2", 8)});
  SlotRequest first = WantedSlot(1);
  first.m_prompt_segments = {{11, 60}, {12, 500}};
  const std::string server = AskFor(broker, "a", first)[0].m_server;
  std::vector<SlotResponse> out;
  SlotReport end = End(1);
  end.m_time_to_first_event = Duration(40'000);
  end.m_tokens_read = 600;
  ApplyReport(broker, "a", end, kStart, out);
  for (SlotRef ref = 2; ref <= 4; ++ref) {
    SlotRequest again = first;
    again.m_ref = ref;
    CHECK(AskFor(broker, "b", again)[0].m_server == server);
    ApplyReport(broker, "b", End(ref), kStart, out);
  }
}

TEST_CASE("how fast places come free is still known after a change of servers") {
  // In a full pool whose slots come free at a known rate, a request that can't be served in time is
  // rejected at once, with an estimated wait.
  const auto verdict_of_last = [](bool servers_change) {
    SlotBroker broker = BrokerWith({Server("s0", 4), Server("s1", 4)});
    BackendServer leaving = Server("s2", 4);
    leaving.m_leaving = true;
    std::vector<SlotResponse> out;
    Instant now = kStart;
    SlotRef ref = 0;
    for (int i = 0; i < 8; ++i)
      RequestSlot(broker, "a", WantedSlot(++ref), now, out);
    for (SlotRef ended = 1; ended <= 24; ++ended) {
      now += Duration(100'000);
      ApplyReport(broker, "a", End(ended), now, out);
      RequestSlot(broker, "a", WantedSlot(++ref), now, out);
    }
    for (int i = 0; i < 40; ++i)
      RequestSlot(broker, "b", WantedSlot(++ref), now, out);
    if (servers_change)
      SetServers(broker, {Server("s0", 4), Server("s1", 4), leaving});
    RequestSlot(broker, "b", WantedSlot(++ref), now, out);
    return out.back();
  };
  CHECK(verdict_of_last(false).m_verdict == SlotVerdict::kNoRoom);
  CHECK(verdict_of_last(true).m_verdict == SlotVerdict::kNoRoom);
}

/// Returns a broker for a pool of two versions with a roll-out to v2 in progress.
SlotBroker InRollout(bool moving, std::int64_t allowed) {
  std::vector<BackendServer> servers;
  for (int i = 0; i < 8; ++i) {
    servers.push_back(Server("s" + std::to_string(i), 8));
    servers.back().m_version = i < 4 ? "v1" : "v2";
  }
  SlotBroker broker = BrokerWith(servers);
  SetRollouts(broker, {{"engines", {1, "v2", moving, 0, 0}}}, {0.1, 50});
  broker.m_pools.at("engines").m_trial->m_allowed = allowed;
  return broker;
}

bool IsTarget(const std::string& server) {
  return server >= "s4";
}

int AtTarget(SlotBroker& broker, int requests) {
  int at_target = 0;
  std::vector<SlotResponse> out;
  for (SlotRef ref = 1; ref <= requests; ++ref) {
    const SlotResponse response = AskFor(broker, "a", WantedSlot(ref))[0];
    at_target += IsTarget(response.m_server) ? 1 : 0;
    ApplyReport(broker, "a", End(ref), kStart, out);
  }
  return at_target;
}

TEST_CASE("a version on trial gets as many requests as the log allows, and no more") {
  SlotBroker none = InRollout(false, 0);
  CHECK(AtTarget(none, 40) == 0);
  SlotBroker some = InRollout(false, 5);
  CHECK(AtTarget(some, 40) == 5);
  CHECK(some.m_pools.at("engines").m_trial->m_requests == 40);
}

TEST_CASE("while work moves all that is new goes to the target version") {
  SlotBroker broker = InRollout(true, 0);
  CHECK(AtTarget(broker, 20) == 20);
}

TEST_CASE("a version that is found bad gets nothing more, on trial or while work moves") {
  for (const bool moving : {false, true}) {
    SlotBroker broker = InRollout(moving, 100);
    broker.m_pools.at("engines").m_trial->m_finding = TrialFinding::kFails;
    CHECK(AtTarget(broker, 20) == 0);
  }
}

TEST_CASE("a version on trial does the work where no other server is left") {
  SlotBroker broker = InRollout(false, 0);
  std::vector<BackendServer> servers = broker.m_pools.at("engines").m_servers;
  for (std::size_t i = 0; i < 4; ++i)
    servers[i].m_leaving = true;
  SetServers(broker, servers);
  CHECK(AtTarget(broker, 10) == 10);
}

TEST_CASE("answers with failures are told apart by version and route") {
  SlotBroker broker = InRollout(false, 0);
  RolloutTrial& trial = *broker.m_pools.at("engines").m_trial;
  std::vector<SlotResponse> out;
  for (SlotRef ref = 1; ref <= 600; ++ref) {
    // The leader raises the allowed number of trial requests in steps.
    trial.m_allowed = std::min<std::int64_t>(ref / 8, AllowedBy({0.1, 50}, trial.m_requests));
    SlotRequest slot_request = WantedSlot(ref);
    slot_request.m_route = 7;
    const SlotResponse response = AskFor(broker, "a", slot_request)[0];
    if (response.m_verdict != SlotVerdict::kPlaced)
      continue;
    SlotReport report = End(ref);
    report.m_failed = IsTarget(response.m_server) && ref % 5 < 2;
    report.m_health_signal = report.m_failed ? HealthSignal::kFailure : HealthSignal::kSuccess;
    ApplyReport(broker, "a", report, kStart + Duration(ref * 10'000), out);
  }
  CAPTURE(trial.m_runs, trial.m_bad_runs, trial.m_sent, trial.m_target_routes.at(7).m_against);
  CHECK(IsBad(trial.m_finding));
  CHECK(trial.m_target_routes.at(7).m_bad > 0);
  CHECK(trial.m_other_routes.at(7).m_bad == 0);
  CHECK(trial.m_sent < 50);
}

TEST_CASE("a trial outlasts a change of servers and ends with its roll-out") {
  SlotBroker broker = InRollout(false, 5);
  CHECK(AtTarget(broker, 10) == 5);
  SetServers(broker, broker.m_pools.at("engines").m_servers);
  SetRollouts(broker, {{"engines", {1, "v2", false, 4, 9}}}, {0.1, 50});
  CHECK(broker.m_pools.at("engines").m_trial->m_sent == 5);
  CHECK(broker.m_pools.at("engines").m_trial->m_allowed == 9);
  SetRollouts(broker, {}, {0.1, 50});
  CHECK_FALSE(broker.m_pools.at("engines").m_trial.has_value());
}

}  // namespace
}  // namespace poppyway
