// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Evacuation of a data centre, which then gets no new work: orders, the broker, instances.
#include <catch2/catch.hpp>

#include "fake_broker.h"
#include "forwarder_fixture.h"
#include "poppyway/state.h"
#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

wire::EvacuationOrder Order(const std::string& data_centre, bool ends = false) {
  wire::EvacuationOrder order;
  order.data_centre = data_centre;
  order.ends = ends;
  return order;
}

wire::Evacuation Evacuated(const std::string& data_centre, std::int64_t number, bool ended) {
  wire::Evacuation evacuation;
  evacuation.data_centre = data_centre;
  evacuation.number = number;
  evacuation.ended = ended;
  return evacuation;
}

// ---- The replicated state -----------------------------------------------------------------------

TEST_CASE("an evacuation that is ordered twice counts once, and so does its end") {
  HostedState state;
  ApplyEvacuation(state, Order("east"), 7);
  CHECK(IsEvacuated(state, "east"));
  CHECK_FALSE(IsEvacuated(state, "west"));
  CHECK(state.m_servers_index == 7);
  ApplyEvacuation(state, Order("east"), 8);
  CHECK(LastEvacuationNumber(state, "east") == 1);
  CHECK(LastEvacuationIndex(state) == 7);
  ApplyEvacuation(state, Order("east", true), 9);
  ApplyEvacuation(state, Order("east", true), 10);
  CHECK_FALSE(IsEvacuated(state, "east"));
  CHECK(LastEvacuationNumber(state, "east") == 2);
  CHECK(LastEvacuationIndex(state) == 9);
}

TEST_CASE("the end of an evacuation that nobody ordered changes nothing") {
  HostedState state;
  ApplyEvacuation(state, Order("east", true), 7);
  CHECK(state.m_evacuations.empty());
  CHECK(state.m_servers_index == 0);
}

TEST_CASE("an order that arrives after others were given doesn't undo them") {
  HostedState state;
  wire::EvacuationOrder first = Order("east");
  first.__set_known(LastEvacuationNumber(state, "east"));
  ApplyEvacuation(state, Order("east"), 7);        // The same order through another member.
  ApplyEvacuation(state, Order("east", true), 8);  // The order is revoked.
  ApplyEvacuation(state, first, 9);                // The first order arrives late.
  CHECK_FALSE(IsEvacuated(state, "east"));
  CHECK(LastEvacuationNumber(state, "east") == 2);
  wire::EvacuationOrder next = Order("east");
  next.__set_known(LastEvacuationNumber(state, "east"));
  ApplyEvacuation(state, next, 10);
  CHECK(IsEvacuated(state, "east"));
}

TEST_CASE("an order for one data centre makes none for another late") {
  HostedState state;
  wire::EvacuationOrder west = Order("west");
  west.__set_known(LastEvacuationNumber(state, "west"));
  ApplyEvacuation(state, Order("east"), 7);
  ApplyEvacuation(state, west, 8);
  CHECK(IsEvacuated(state, "west"));
}

TEST_CASE("evacuations survive a snapshot") {
  StateMachine machine;
  ApplyEvacuation(machine.m_hosted, Order("east"), 4);
  ApplyEvacuation(machine.m_hosted, Order("west"), 5);
  ApplyEvacuation(machine.m_hosted, Order("west", true), 6);
  wire::Snapshot snapshot;
  snapshot.index = 6;
  snapshot.state = SerializeStateMachine(machine);
  StateMachine loaded;
  REQUIRE(RestoreStateMachine(loaded, snapshot));
  CHECK(loaded.m_hosted.m_evacuations == machine.m_hosted.m_evacuations);
  CHECK(IsEvacuated(loaded.m_hosted, "east"));
  CHECK(loaded.m_hosted.m_servers_index == 6);
}

TEST_CASE("a data centre is known once a server has registered from it, also when that is gone") {
  HostedState state;
  CHECK_FALSE(KnowsDataCentre(state, "east"));
  wire::ServerRecord server;
  server.id = "s0";
  server.pool = "app";
  server.data_centre = "east";
  server.stage = wire::ServerStage::READY;
  server.sequence = 1;
  ApplyServer(state, server, 3);
  CHECK(KnowsDataCentre(state, "east"));
  CHECK_FALSE(KnowsDataCentre(state, ""));
  state.m_servers.clear();
  ApplyEvacuation(state, Order("east"), 4);
  CHECK(KnowsDataCentre(state, "east"));  // Otherwise nobody could revoke the order.
}

// ---- Control calls of the platform --------------------------------------------------------------

TEST_CASE("calls that order an evacuation and its end are decoded") {
  using platform::ControlRequest;
  using platform::DecodeControlRequest;
  const ControlRequest order = DecodeControlRequest("POST", "/-/evacuations/perth-a", "").value();
  CHECK(order.m_kind == ControlRequest::Kind::kOrderEvacuation);
  CHECK(order.m_evacuation == Order("perth-a"));
  const ControlRequest end = DecodeControlRequest("DELETE", "/-/evacuations/perth-a", "").value();
  CHECK(end.m_kind == ControlRequest::Kind::kOrderEvacuation);
  CHECK(end.m_evacuation == Order("perth-a", true));
  for (const char* method : {"GET", "PUT"})
    CHECK(DecodeControlRequest(method, "/-/evacuations/perth-a", "")->m_kind ==
          ControlRequest::Kind::kUnknown);
  for (const char* target : {"/-/evacuations", "/-/evacuations/"})
    CHECK(DecodeControlRequest("POST", target, "")->m_kind == ControlRequest::Kind::kUnknown);
}

TEST_CASE("an order for a data centre that nobody knows is told apart from one to be sent again") {
  const platform::ControlRequest call =
      platform::DecodeControlRequest("POST", "/-/evacuations/nowhere", "").value();
  wire::Body done;
  done.__set_done(true);
  CHECK(platform::EncodeControlResponse(call, done).m_status == 200);
  wire::ErrorReply unknown;
  unknown.code = static_cast<std::int32_t>(ResultCode::kNotFound);
  unknown.message = "data centre 'nowhere' is not in the settings";
  wire::Body rejected;
  rejected.__set_error(unknown);
  const platform::ControlResponse response = platform::EncodeControlResponse(call, rejected);
  CHECK(response.m_status == 404);
  CHECK(response.m_body.find("nowhere") != std::string::npos);
  wire::ErrorReply none;
  none.code = static_cast<std::int32_t>(ResultCode::kNoMajority);
  wire::Body later;
  later.__set_error(none);
  CHECK(platform::EncodeControlResponse(call, later).m_status == 503);
}

// ---- The slot broker ----------------------------------------------------------------------------

BackendServer Server(const std::string& id, const std::string& data_centre, bool evacuated) {
  BackendServer server = Engine(id, data_centre);
  server.m_region = data_centre;
  server.m_evacuated = evacuated;
  return server;
}

SlotRequest WantedSlot(SlotRef ref) {
  SlotRequest slot_request = WantedPlace(ref);
  slot_request.m_wait = kSecond;
  return slot_request;
}

SlotBroker Broker(const std::vector<BackendServer>& servers) {
  return BrokerFor({"a"}, servers, kStart - 10 * kSecond);
}

SlotResponse AskFor(SlotBroker& broker, SlotRequest slot_request, Instant now = kStart) {
  return AskOnce(broker, "a", std::move(slot_request), now);
}

TEST_CASE("servers of an evacuated data centre get nothing new, and what they run still counts") {
  SlotBroker broker = Broker({Server("e", "east", false), Server("w", "west", false)});
  for (SlotRef ref = 1; ref <= 4; ++ref)
    CHECK(AskFor(broker, WantedSlot(ref)).m_verdict == SlotVerdict::kPlaced);
  SetServers(broker, {Server("e", "east", true), Server("w", "west", false)});
  const SlotPool& pool = broker.m_pools.at("engines");
  CHECK(pool.m_views[0].m_other_in_flight == 2);
  // Both slots at the evacuated server come free; the waiting request gets neither.
  CHECK(AskFor(broker, WantedSlot(5)).m_verdict == SlotVerdict::kQueued);
  for (const auto& [ref, held] : std::unordered_map(broker.m_instance_slots.at("a").m_held)) {
    if (held.m_server != "e")
      continue;
    SlotReport report;
    report.m_ref = ref;
    report.m_ended = true;
    std::vector<SlotResponse> out;
    ApplyReport(broker, "a", report, kStart, out);
    CHECK(out.empty());
  }
  CHECK(broker.m_pools.at("engines").m_views[0].m_other_in_flight == 0);
  // Those slots don't count in the rate at which slots come free.
  CHECK(broker.m_pools.at("engines").m_turnover.m_freed == 0);
  std::vector<SlotResponse> out;
  SetServers(broker, {Server("e", "east", false), Server("w", "west", false)});
  TickBroker(broker, kStart, out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_server == "e");
}

TEST_CASE("a pool that an evacuation has left no server refuses at once, also what waits") {
  SlotBroker broker = Broker({Server("e", "east", false)});
  (void)AskFor(broker, WantedSlot(1));
  (void)AskFor(broker, WantedSlot(2));
  CHECK(AskFor(broker, WantedSlot(3)).m_verdict == SlotVerdict::kQueued);
  SetServers(broker, {Server("e", "east", true)});
  std::vector<SlotResponse> out;
  TickBroker(broker, kStart, out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_ref == 3);
  CHECK(out[0].m_verdict == SlotVerdict::kNoServer);
  CHECK(broker.m_instance_slots.at("a").m_waiting.empty());
  CHECK(AskFor(broker, WantedSlot(4)).m_verdict == SlotVerdict::kNoServer);
}

TEST_CASE("a server that leaves doesn't stand for what an evacuation has left") {
  BackendServer leaving = Server("w", "west", false);
  leaving.m_leaving = true;
  SlotBroker broker = Broker({Server("e", "east", true), leaving});
  CHECK(AskFor(broker, WantedSlot(1)).m_verdict == SlotVerdict::kNoServer);
}

TEST_CASE("what may be served only where all is evacuated is refused at once, other work goes on") {
  SlotBroker broker = Broker({Server("e", "east", true), Server("w", "west", false)});
  SlotRequest bound = WantedSlot(1);
  bound.m_allowed_regions = {true, {"east"}};
  CHECK(AskFor(broker, bound).m_verdict == SlotVerdict::kNoServer);
  CHECK(AskFor(broker, WantedSlot(2)).m_server == "w");
}

TEST_CASE("what waits and may be served only where all is evacuated is refused at once") {
  SlotBroker broker = Broker({Server("e", "east", false), Server("w", "west", false)});
  SlotRef ref = 1;
  while (AskFor(broker, WantedSlot(ref)).m_verdict == SlotVerdict::kPlaced)
    ++ref;
  SlotRequest bound = WantedSlot(ref + 1);
  bound.m_allowed_regions = {true, {"east"}};
  REQUIRE(AskFor(broker, bound).m_verdict == SlotVerdict::kQueued);
  SetServers(broker, {Server("e", "east", true), Server("w", "west", false)});
  std::vector<SlotResponse> out;
  TickBroker(broker, kStart, out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_ref == ref + 1);
  CHECK(out[0].m_verdict == SlotVerdict::kNoServer);
}

TEST_CASE("half of what an evacuation has left stays in use, not half of the whole pool") {
  std::vector<BackendServer> servers;
  for (int i = 0; i < 6; ++i)
    servers.push_back(Server("e" + std::to_string(i), "east", true));
  servers.push_back(Server("w0", "west", false));
  servers.push_back(Server("w1", "west", false));
  SlotBroker broker = Broker(servers);
  SlotPool& pool = broker.m_pools.at("engines");
  pool.m_health[6].m_failures = 9;
  pool.m_health[6].m_ejected_until = kStart + 5 * kSecond;
  REQUIRE(IsEjected(pool.m_health[6], kStart));
  for (SlotRef ref = 1; ref <= 2; ++ref)
    CHECK(AskFor(broker, WantedSlot(ref)).m_server == "w1");
  CHECK(AskFor(broker, WantedSlot(3)).m_verdict == SlotVerdict::kQueued);
}

TEST_CASE("work that moves to a version whose servers are all evacuated goes on with the others") {
  BackendServer target = Server("e", "east", true);
  target.m_version = "v2";
  BackendServer other = Server("w", "west", false);
  other.m_version = "v1";
  SlotBroker broker = Broker({target, other});
  SetRollouts(broker, {{"engines", {1, "v2", true, 0, 0}}}, ExposureBounds{});
  CHECK(AskFor(broker, WantedSlot(1)).m_server == "w");
}

TEST_CASE("an evacuated server of a version on trial gets no trial request either") {
  BackendServer target = Server("e", "east", false);
  target.m_version = "v2";
  BackendServer other = Server("w", "west", false);
  other.m_version = "v1";
  other.m_slots = 100;
  for (const bool evacuated : {false, true}) {
    CAPTURE(evacuated);
    target.m_evacuated = evacuated;
    SlotBroker broker = Broker({target, other});
    SetRollouts(broker, {{"engines", {1, "v2", false, 0, 0}}}, ExposureBounds{});
    broker.m_pools.at("engines").m_trial->m_allowed = 5;
    int trials = 0;
    for (SlotRef ref = 1; ref <= 20; ++ref)
      trials += AskFor(broker, WantedSlot(ref)).m_server == "e" ? 1 : 0;
    CHECK((trials > 0) == !evacuated);
  }
}

TEST_CASE("evacuating all other servers doesn't give a version on trial the whole work") {
  BackendServer target = Server("w", "west", false);
  target.m_version = "v2";
  target.m_slots = 100;
  BackendServer other = Server("e", "east", true);
  other.m_version = "v1";
  SlotBroker broker = Broker({target, other});
  SetRollouts(broker, {{"engines", {1, "v2", false, 0, 0}}}, ExposureBounds{});
  for (SlotRef ref = 1; ref <= 20; ++ref)
    CHECK(AskFor(broker, WantedSlot(ref)).m_verdict != SlotVerdict::kPlaced);
}

// ---- An instance --------------------------------------------------------------------------------

void Evacuate(ForwarderFixture& fixture, std::int64_t number, bool ended = false) {
  fixture.m_forwarder->HandleMessage(EvacuationsChanged{{Evacuated("east", number, ended)}});
}

TEST_CASE("a call whose connection comes up after the order sends nothing and goes elsewhere") {
  ScriptedServer east(&MakeOkResponse);
  ScriptedServer west(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterIn(fixture, "east", "e", east);
  RegisterIn(fixture, "west", "w", west);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "e");
  Evacuate(fixture, 1);
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  REQUIRE(broker.SlotRequests().size() == 2);
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "w");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(east.requests().empty());
  CHECK(west.requests().size() == 1);
  // The first slot is returned with a report that the server executed nothing.
  REQUIRE(!broker.Reports().empty());
  CHECK(broker.Reports()[0].m_ended);
  CHECK_FALSE(broker.Reports()[0].m_may_have_run);
}

TEST_CASE("a place that was given before the order and arrives after it isn't used") {
  ScriptedServer east(&MakeOkResponse);
  ScriptedServer west(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterIn(fixture, "east", "e", east);
  RegisterIn(fixture, "west", "w", west);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  Evacuate(fixture, 1);
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "e");
  REQUIRE(broker.SlotRequests().size() == 2);
  CHECK(broker.SlotRequests()[1].m_tried == std::vector<std::string>{"e"});
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "w");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(east.requests().empty());
}

TEST_CASE("an instance alone keeps to an evacuation, refuses where nothing is left, and returns") {
  ScriptedServer east(&MakeOkResponse);
  ScriptedServer west(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterIn(fixture, "east", "e", east);
  Evacuate(fixture, 1);
  const CallResult rejected = Call(fixture, Request("/safe/", "i"));
  CHECK(rejected.status() == 503);
  CHECK(rejected.m_elapsed_ms < 80);  // Its latency target would allow a wait of 88 ms.
  CHECK(fixture.Refusals(std::string(ResultInfoOf(ResultCode::kNoBackend).m_name)) == 1);
  RegisterIn(fixture, "west", "w", west);
  CHECK(Call(fixture, Request("/safe/", "j")).status() == 200);
  CHECK(east.requests().empty());
  CHECK(west.requests().size() == 1);
  fixture.m_forwarder->HandleMessage(
      ServersChanged{{fixture.Record("w", west, wire::ServerStage::GONE)}});
  Evacuate(fixture, 2, true);
  CHECK(Call(fixture, Request("/safe/", "k")).status() == 200);
  CHECK(east.requests().size() == 1);
}

TEST_CASE("news of an evacuation that is older than what is known changes nothing") {
  ScriptedServer east(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterIn(fixture, "east", "e", east);
  Evacuate(fixture, 2, true);
  Evacuate(fixture, 1);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 200);
}

/// Keeps its connection open until the instance closes it.
std::vector<ScriptStep> OkAndStay(const std::string& request) {
  return {Wait(100), MakeResponse(request, "ok")[0], AwaitClose()};
}

TEST_CASE("connections that rest at an evacuated server are closed") {
  ScriptedServer east(&OkAndStay);
  ForwarderFixture fixture;
  RegisterIn(fixture, "east", "e", east);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 200);
  CHECK(east.peer_closes() == 0);
  Evacuate(fixture, 1);
  fixture.RunUntil([&] { return east.peer_closes() == 1; });
  CHECK(east.peer_closes() == 1);
}

TEST_CASE("what runs at an evacuated server ends there, and its connection isn't kept") {
  ScriptedServer east(&OkAndStay);
  ForwarderFixture fixture;
  RegisterIn(fixture, "east", "e", east);
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return east.requests().size() == 1; });
  Evacuate(fixture, 1);
  CHECK(call.AwaitResponse(fixture).status() == 200);
  fixture.RunUntil([&] { return east.peer_closes() == 1; });
  CHECK(east.peer_closes() == 1);
}

TEST_CASE("a stream that breaks isn't resumed in an evacuated data centre") {
  ScriptedServer east(&MakeOkResponse);
  ScriptedServer west([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n") +
             Chunk(Event(1))),
        Wait(100), ResetNow()};
  });
  ForwarderFixture fixture;
  RegisterIn(fixture, "west", "w", west);
  BackgroundCall call(fixture, Request("/stream/", "i"));
  fixture.RunUntil([&] { return west.requests().size() == 1; });
  RegisterIn(fixture, "east", "e", east);
  Evacuate(fixture, 1);
  (void)call.AwaitResponse(fixture);
  CHECK(east.requests().empty());
}

}  // namespace
}  // namespace poppyway
