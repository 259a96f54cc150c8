// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The slot broker and servers that restart under the same id.
#include <catch2/catch.hpp>

#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

constexpr Duration kMilli{1'000};

BackendServer Server(std::int64_t started_ms, const std::string& address = "10.0.0.1") {
  BackendServer server = Engine("s0");
  server.m_started_ms = started_ms;
  server.m_address = address;
  server.m_port = 80;
  return server;
}

SlotBroker BrokerWith(const BackendServer& server) {
  return BrokerFor({"a"}, {server});
}

SlotResponse AskFor(SlotBroker& broker, SlotRef ref) {
  SlotRequest slot_request = WantedPlace(ref);
  slot_request.m_expected_tokens = 100;
  slot_request.m_prompt_segments = {{77, 600}};
  return AskOnce(broker, "a", std::move(slot_request));
}

SlotReport End(SlotRef ref, HealthSignal sign) {
  SlotReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_health_signal = sign;
  report.m_service = 300 * kMilli;
  return report;
}

void SendReport(SlotBroker& broker, const SlotReport& report) {
  std::vector<SlotResponse> out;
  ApplyReport(broker, "a", report, kStart + kMilli, out);
}

const ServerView& ViewOf(const SlotBroker& broker) {
  return broker.m_pools.at("engines").m_views[0];
}

const ServerHealth& HealthOf(const SlotBroker& broker) {
  return broker.m_pools.at("engines").m_health[0];
}

TEST_CASE("a place says at which life of its server it is, and where that is") {
  SlotBroker broker = BrokerWith(Server(5));
  const SlotResponse response = AskFor(broker, 1);
  CHECK(response.m_verdict == SlotVerdict::kPlaced);
  CHECK(response.m_started_ms == 5);
  CHECK(response.m_address == "10.0.0.1");
  CHECK(response.m_port == 80);
}

TEST_CASE("a server that started again is empty, whatever is held at its earlier life") {
  for (const std::string address : {"10.0.0.1", "10.0.0.2"}) {
    SlotBroker broker = BrokerWith(Server(5));
    (void)AskFor(broker, 1);
    (void)AskFor(broker, 2);
    CHECK(AskFor(broker, 3).m_verdict == SlotVerdict::kQueued);
    CancelRequest(broker, "a", 3);
    SetServers(broker, {Server(9, address)});
    CHECK(ViewOf(broker).m_other_in_flight == 0);
    CHECK(ViewOf(broker).m_pending_prefill_tokens == 0);
    const SlotResponse response = AskFor(broker, 4);
    CHECK(response.m_verdict == SlotVerdict::kPlaced);
    CHECK(response.m_started_ms == 9);
    CHECK(response.m_address == address);
  }
}

TEST_CASE("what ends at an earlier life frees no place at the later one and teaches nothing") {
  SlotBroker broker = BrokerWith(Server(5));
  (void)AskFor(broker, 1);
  (void)AskFor(broker, 2);
  SetServers(broker, {Server(9)});
  (void)AskFor(broker, 3);
  const ServerPerformance performance = ViewOf(broker).m_performance;
  SlotReport first;
  first.m_ref = 1;
  first.m_time_to_first_event = 90 * kMilli;
  first.m_tokens_read = 600;
  SendReport(broker, first);
  CHECK(ViewOf(broker).m_pending_prefill_tokens == 600);
  for (const SlotRef ref : {1, 2})
    SendReport(broker, End(ref, HealthSignal::kUnreachable));
  CHECK(ViewOf(broker).m_other_in_flight == 1);
  CHECK(ViewOf(broker).m_pending_prefill_tokens == 600);
  CHECK(ViewOf(broker).m_performance == performance);
  CHECK(HealthOf(broker) == ServerHealth{});
  SendReport(broker, End(3, HealthSignal::kSuccess));
  CHECK(ViewOf(broker).m_other_in_flight == 0);
  CHECK(ViewOf(broker).m_pending_prefill_tokens == 0);
  CHECK_FALSE(ViewOf(broker).m_performance == performance);
}

TEST_CASE("of an earlier life only the pace stays known") {
  SlotBroker broker = BrokerWith(Server(5));
  (void)AskFor(broker, 1);
  SendReport(broker, End(1, HealthSignal::kSuccess));
  const ServerPerformance performance = ViewOf(broker).m_performance;
  REQUIRE_FALSE(performance == ServerPerformance{});
  for (const SlotRef ref : {2, 3}) {
    (void)AskFor(broker, ref);
    SendReport(broker, End(ref, HealthSignal::kUnreachable));
  }
  REQUIRE(IsEjected(HealthOf(broker), kStart + kMilli));
  SetServers(broker, {Server(9)});
  CHECK(HealthOf(broker) == ServerHealth{});
  (void)AskFor(broker, 4);
  CHECK(ViewOf(broker).m_cached_tokens == 0);
}

TEST_CASE("an instance that goes tells nothing of the later life either") {
  SlotBroker broker = BrokerWith(Server(5));
  (void)AskFor(broker, 1);
  SetServers(broker, {Server(9)});
  (void)AskFor(broker, 2);
  std::vector<SlotResponse> out;
  RemoveInstance(broker, "a", kStart, out);
  CHECK(ViewOf(broker).m_other_in_flight == 0);
  CHECK(ViewOf(broker).m_pending_prefill_tokens == 0);
}

TEST_CASE("a place told anew counts only at the life where it is held") {
  HeldSlot held;
  held.m_server = "s0";
  held.m_pending_prefill_tokens = 50;
  SlotBroker broker = BrokerWith(Server(9));
  held.m_ref = 1;
  held.m_started_ms = 5;
  Hold(broker, "a", held, kStart);
  CHECK(ViewOf(broker).m_other_in_flight == 0);
  held.m_ref = 2;
  held.m_started_ms = 9;
  Hold(broker, "a", held, kStart);
  held.m_ref = 3;
  held.m_started_ms = 0;  // The instance doesn't know the process start time.
  Hold(broker, "a", held, kStart);
  CHECK(ViewOf(broker).m_other_in_flight == 2);
  held.m_ref = 4;
  held.m_started_ms = 12;  // The instance learned of the next process before the broker.
  Hold(broker, "a", held, kStart);
  CHECK(ViewOf(broker).m_other_in_flight == 2);
  SetServers(broker, {Server(12)});
  CHECK(ViewOf(broker).m_other_in_flight == 1);
  CHECK(ViewOf(broker).m_pending_prefill_tokens == 50);
  for (const SlotRef ref : {1, 2, 3, 4})
    SendReport(broker, End(ref, HealthSignal::kSuccess));
  CHECK(ViewOf(broker).m_other_in_flight == 0);
  CHECK(ViewOf(broker).m_pending_prefill_tokens == 0);
}

TEST_CASE("places stay counted when a birth is told for the first time, and not after the next") {
  SlotBroker broker = BrokerWith(Server(0));
  (void)AskFor(broker, 1);
  (void)AskFor(broker, 2);
  SetServers(broker, {Server(5)});
  CHECK(ViewOf(broker).m_other_in_flight == 2);
  SendReport(broker, End(1, HealthSignal::kSuccess));
  CHECK(ViewOf(broker).m_other_in_flight == 1);
  SetServers(broker, {Server(9)});
  CHECK(ViewOf(broker).m_other_in_flight == 0);
  SendReport(broker, End(2, HealthSignal::kSuccess));
  CHECK(ViewOf(broker).m_other_in_flight == 0);
}

TEST_CASE("a version under trial answers for what its earlier lives did") {
  BackendServer server = Server(5);
  server.m_version = "v2";
  BackendServer other = Server(1);
  other.m_id = "s1";
  other.m_version = "v1";
  SlotBroker broker = MakeSlotBroker(1, 7, Duration(4'500'000), kStart);
  SetServers(broker, {server, other});
  SetRollouts(broker, {{"engines", {1, "v2", false, 0, 1'000}}}, {});
  ForgetInstance(broker, "a", 1, kStart);
  HeldSlot held;
  held.m_ref = 1;
  held.m_server = "s0";
  held.m_started_ms = 5;
  Hold(broker, "a", held, kStart);
  server.m_started_ms = 9;
  server.m_version = "v1";
  SetServers(broker, {server, other});
  REQUIRE(broker.m_pools.at("engines").m_trial);
  const auto bad = broker.m_pools.at("engines").m_trial->m_bad_runs;
  SlotReport report = End(1, HealthSignal::kFailure);
  report.m_failed = true;
  SendReport(broker, report);
  CHECK(broker.m_pools.at("engines").m_trial->m_bad_runs == bad + 1);
}

}  // namespace
}  // namespace poppyway
