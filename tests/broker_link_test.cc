// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// An instance and the slot broker: slot requests, operation without a broker, and reconnecting.
#include <catch2/catch.hpp>

#include "fake_broker.h"
#include "forwarder_fixture.h"

namespace poppyway {
namespace {

TEST_CASE("a request goes where the broker says, and its place is given back when it ends") {
  ScriptedServer wrong([](const std::string& request) { return MakeResponse(request, "wrong"); });
  ScriptedServer right([](const std::string& request) { return MakeResponse(request, "right"); });
  ForwarderFixture fixture;
  fixture.Register("s0", wrong);
  fixture.Register("s1", right);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s1");
  CHECK(call.AwaitResponse(fixture).body() == "right");
  CHECK(wrong.requests().empty());
  REQUIRE(broker.Reports().size() == 1);
  const SlotReport report = broker.Reports()[0];
  CHECK(report.m_ref == broker.SlotRequests()[0].m_ref);
  CHECK(report.m_ended);
  CHECK(report.m_may_have_run);
  CHECK(report.m_health_signal == HealthSignal::kSuccess);
}

TEST_CASE("what the broker refuses gets its answer at once and runs nowhere") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  const std::pair<SlotVerdict, int> cases[] = {
      {SlotVerdict::kNoRoom, 503}, {SlotVerdict::kNoServer, 503}, {SlotVerdict::kOverLimit, 429}};
  for (const auto& [verdict, status] : cases) {
    broker.m_batches.clear();
    BackgroundCall call(fixture, Request("/safe/", "i"));
    fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
    REQUIRE(broker.SlotRequests().size() == 1);
    SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, verdict);
    const CallResult seen = call.AwaitResponse(fixture);
    CHECK(seen.status() == status);
    CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
  }
  CHECK(server.requests().empty());
}

// Guards against callers that wait two seconds for a fleet that could serve them at once: a cut-off
// instance's part of a limit is less than one request.
TEST_CASE("a cut-off instance sends callers to other instances at once") {
  const bool cut_off = GENERATE(true, false);
  CAPTURE(cut_off);
  ScriptedServer server(&MakeOkResponse);
  ForwarderFixture fixture(Document(1, "key", 36'000));
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  const Instant contact = ReadClock() - (cut_off ? Duration(800'000) : Duration(0));
  fixture.m_forwarder->SetBrokerPort(
      {[](const SlotBatch&) {}, [] {}, [contact] { return contact; }});
  fixture.m_forwarder->HandleMessage(LiveInstanceCount{2'000'000});
  fixture.m_forwarder->HandleMessage(BrokerDisconnected{});
  CallResult seen;
  for (int i = 0; i < 20 && seen.status() != 429; ++i)
    seen = Call(fixture, Request("/safe/", "i" + std::to_string(i)));
  REQUIRE(seen.status() == 429);
  const std::size_t at = seen.m_bytes.find("retry-after: ");
  REQUIRE(at != std::string::npos);
  const double seconds = std::stod(seen.m_bytes.substr(at + std::string("retry-after: ").size()));
  CHECK((seconds < 0.1) == cut_off);
}

TEST_CASE(
    "a request without the broker's answer is decided here after some tens of ms, and the next "
    "ones at once") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  const Instant begun = ReadClock();
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 200);
  CHECK(ReadClock() - begun >= Duration(100'000));
  CHECK(ReadClock() - begun < Duration(300'000));
  const Instant again = ReadClock();
  CHECK(Call(fixture, Request("/safe/", "j")).status() == 200);
  CHECK(ReadClock() - again < Duration(90'000));
}

TEST_CASE("a broker that is quiet for as long as one lost packet takes is kept") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 200);
  const Instant quiet = ReadClock();
  while (ReadClock() - quiet < Duration(500'000))
    fixture.m_loop.RunFor(5);
  CHECK(broker.m_unresponsive_count == 0);
  // The late response ends the outage: its slot is returned, and the next request goes to the
  // broker.
  REQUIRE(broker.SlotRequests().size() == 1);
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  BackgroundCall call(fixture, Request("/safe/", "j"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  REQUIRE(broker.SlotRequests().size() == 2);
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "s0");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(broker.m_unresponsive_count == 0);
  const std::vector<SlotReport> reports = broker.Reports();
  const auto returned = [&](const SlotReport& report) {
    return report.m_ref == broker.SlotRequests()[0].m_ref && report.m_ended &&
           !report.m_may_have_run;
  };
  CHECK(std::count_if(reports.begin(), reports.end(), returned) == 1);
  // The held slots are not reported a second time.
  const auto resyncs = [](const SlotBatch& batch) { return batch.m_resync; };
  CHECK(std::count_if(broker.m_batches.begin(), broker.m_batches.end(), resyncs) == 1);
}

TEST_CASE("a broker that stays silent is given up") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 200);
  fixture.RunUntil([&] { return broker.m_unresponsive_count == 1; });
  fixture.RunUntil([&] { return broker.m_unresponsive_count == 1; });
  CHECK(broker.m_unresponsive_count == 1);
}

TEST_CASE("a request that waits at the broker is decided here once the broker is lost") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(Document(1, "key"));
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kQueued);
  fixture.m_forwarder->HandleMessage(BrokerDisconnected{});
  CHECK(call.AwaitResponse(fixture).status() == 200);
}

TEST_CASE("a place that comes too late goes back, and nothing runs there") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  const SlotRef ref = broker.SlotRequests()[0].m_ref;
  SendSlotResponse(fixture, ref, SlotVerdict::kNoRoom);
  CHECK(call.AwaitResponse(fixture).status() == 503);
  SendSlotResponse(fixture, ref, SlotVerdict::kPlaced, "s0");
  REQUIRE(broker.Reports().size() == 1);
  CHECK(broker.Reports()[0].m_ref == ref);
  CHECK(broker.Reports()[0].m_ended);
  CHECK_FALSE(broker.Reports()[0].m_may_have_run);
  CHECK(server.requests().empty());
}

TEST_CASE("a place at a server that is leaving goes back, and another one is asked for") {
  ScriptedServer leaving([](const std::string& request) { return MakeResponse(request, "old"); });
  ScriptedServer other([](const std::string& request) { return MakeResponse(request, "new"); });
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  fixture.Register("s1", other);
  fixture.Register("s0", leaving, wire::ServerStage::LEAVING);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  REQUIRE(broker.SlotRequests().size() == 2);
  CHECK(broker.SlotRequests()[1].m_tried == std::vector<std::string>{"s0"});
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "s1");
  CHECK(call.AwaitResponse(fixture).body() == "new");
  CHECK(leaving.requests().empty());
}

TEST_CASE("a broker that is found anew is told what is held and asked for what waits") {
  ScriptedServer server([](const std::string& request) {
    std::vector<ScriptStep> steps = {Wait(300)};
    for (const ScriptStep& step : MakeResponse(request, "ok"))
      steps.push_back(step);
    return steps;
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  BackgroundCall running(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 1; });
  const SlotRef held = broker.SlotRequests()[0].m_ref;
  SendSlotResponse(fixture, held, SlotVerdict::kPlaced, "s0");
  BackgroundCall waiting(fixture, Request("/safe/", "j"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  broker.m_batches.clear();
  fixture.m_forwarder->HandleMessage(BrokerConnected{2});
  REQUIRE_FALSE(broker.m_batches.empty());
  const SlotBatch& first = broker.m_batches[0];
  CHECK(first.m_resync);
  CHECK(first.m_epoch == 2);
  CHECK(first.m_instances == 4);
  REQUIRE(first.m_held.size() == 1);
  CHECK(first.m_held[0].m_ref == held);
  CHECK(first.m_held[0].m_server == "s0");
  REQUIRE(broker.SlotRequests().size() == 1);
  CHECK(running.AwaitResponse(fixture).status() == 200);
}

TEST_CASE("a caller that leaves withdraws its place request") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  FakeBroker broker(fixture);
  SlotRef ref = 0;
  {
    BackgroundCall call(fixture, Request("/safe/", "i"));
    fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
    ref = broker.SlotRequests()[0].m_ref;
    SendSlotResponse(fixture, ref, SlotVerdict::kQueued);
    call.Leave();
  }
  const auto withdrawn = [&] {
    return std::any_of(broker.m_batches.begin(), broker.m_batches.end(),
                       [ref](const SlotBatch& batch) {
                         return batch.m_cancelled_requests == std::vector<SlotRef>{ref};
                       });
  };
  fixture.RunUntil(withdrawn);
  CHECK(withdrawn());
}

// Guards against callers who are refused while servers have room: an instance that stood still
// returns the slots at servers that joined meanwhile, and never asked for one there again.
TEST_CASE("servers that the broker chose before they were known here may be chosen again") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ScriptedServer other([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("other", other);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 1; });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "late");
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  REQUIRE(broker.SlotRequests().size() == 2);
  CHECK(broker.SlotRequests()[1].m_tried == std::vector<std::string>{"late"});
  const SlotRef waiting = broker.SlotRequests()[1].m_ref;
  SendSlotResponse(fixture, waiting, SlotVerdict::kQueued);
  fixture.Register("late", server);
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 3; });
  REQUIRE(broker.SlotRequests().size() == 3);
  CHECK(broker.Withdrawn() == std::vector<SlotRef>{waiting});
  CHECK(broker.SlotRequests()[2].m_tried.empty());
  SendSlotResponse(fixture, broker.SlotRequests()[2].m_ref, SlotVerdict::kPlaced, "late");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(server.requests().size() == 1);
  CHECK(other.requests().empty());
}

}  // namespace
}  // namespace poppyway
