// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Home regions, which restrict where requests of a route or a workspace may be served.
#include <catch2/catch.hpp>

#include "fake_broker.h"
#include "forwarder_fixture.h"
#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

/// Returns the document of all tests with home regions; each argument is a JSON list or "null".
std::string DocumentWithHomes(int version,
                              const std::string& route,
                              const std::string& workspace = "null") {
  std::string text = Document(version, "key");
  for (const std::string name : {"safe", "once", "stream"}) {
    const std::string at = "{\"name\":\"" + name + "\",";
    text.replace(text.find(at), at.size(), at + "\"home_regions\":" + route + ",");
  }
  const std::string at = R"({"name":"north",)";
  text.replace(text.find(at), at.size(), at + "\"home_regions\":" + workspace + ",");
  return text;
}

/// \brief An instance in data centre e1 of region east; data centre w1 is in region west.
struct TwoRegions : ForwarderFixture {
  explicit TwoRegions(const std::string& document) : ForwarderFixture(document) {
    ForwarderSettings& settings = m_forwarder->state().m_settings;
    settings.m_data_centre = "e1";
    settings.m_regions = {{"e1", "east"}, {"w1", "west"}};
  }
};

TEST_CASE("homes of routes and workspaces are read from the document") {
  const auto decode = [](const std::string& text) { return platform::DecodeDocument(text); };
  const Result<RouteTable> table =
      decode(DocumentWithHomes(1, R"(["east","west"])", R"(["west"])"));
  REQUIRE(table);
  CHECK(table->m_routes[0].m_allowed_regions == HomeRegions{true, {"east", "west"}});
  CHECK(table->m_workspaces[0].m_allowed_regions == HomeRegions{true, {"west"}});
  for (const std::string none : {"null", "[]"}) {
    const Result<RouteTable> unbound = decode(DocumentWithHomes(1, none, none));
    REQUIRE(unbound);
    CHECK(unbound->m_routes[0].m_allowed_regions == HomeRegions{});
    CHECK(unbound->m_workspaces[0].m_allowed_regions == HomeRegions{});
  }
  CHECK(decode(Document(1, "key"))->m_routes[0].m_allowed_regions == HomeRegions{});
  for (const std::string bad : {"\"east\"", "[1]", "[\"\"]", "{}", "[null]"}) {
    const Result<RouteTable> refused = decode(DocumentWithHomes(1, bad));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().m_message.find("home_regions") != std::string::npos);
  }
}

TEST_CASE("an instance alone sends a request only to servers at home, of route and workspace") {
  for (const auto& [route, workspace] : {std::pair<std::string, std::string>{R"(["west"])", "null"},
                                         {"null", R"(["west"])"},
                                         {R"(["east","west"])", R"(["west","south"])"}}) {
    ScriptedServer east_server(MakeOkResponse);
    ScriptedServer west_server(MakeOkResponse);
    TwoRegions fixture(DocumentWithHomes(1, route, workspace));
    RegisterIn(fixture, "e1", "s0", east_server);
    RegisterIn(fixture, "w1", "s1", west_server);
    for (int i = 0; i < 6; ++i)
      CHECK(Call(fixture, Request("/once/", "i" + std::to_string(i))).status() == 200);
    CHECK(east_server.requests().empty());
    CHECK(west_server.requests().size() == 6);
  }
}

TEST_CASE("a server of a region that isn't known serves only what isn't bound") {
  ScriptedServer server(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["west"])"));
  RegisterIn(fixture, "nowhere", "s0", server);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 503);
  CHECK(server.requests().empty());
  fixture.Adopt(2, Document(2, "key"));
  CHECK(Call(fixture, Request("/safe/", "j")).status() == 200);
}

TEST_CASE("what route and workspace share no home for is refused at once and runs nowhere") {
  ScriptedServer east_server(MakeOkResponse);
  ScriptedServer west_server(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["east"])", R"(["west"])"));
  RegisterIn(fixture, "e1", "s0", east_server);
  RegisterIn(fixture, "w1", "s1", west_server);
  const CallResult seen = Call(fixture, Request("/once/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.body().starts_with("no_home"));
  CHECK(seen.m_elapsed_ms < 80);
  CHECK(fixture.Refusals("no_home") == 1);
  CHECK(east_server.requests().empty());
  CHECK(west_server.requests().empty());
}

TEST_CASE("without a server at home a request is refused at once, alone and by the broker") {
  ScriptedServer east_server(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["west"])"));
  RegisterIn(fixture, "e1", "s0", east_server);
  const CallResult seen = Call(fixture, Request("/safe/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.body().starts_with("no_backend"));
  CHECK(seen.m_elapsed_ms < 80);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/safe/", "j"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  CHECK(broker.SlotRequests()[0].m_allowed_regions == HomeRegions{true, {"west"}});
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kNoServer);
  CHECK(call.AwaitResponse(fixture).body().starts_with("no_backend"));
  CHECK(east_server.requests().empty());
}

TEST_CASE("another try of a request stays at home, and ends where home has no other server") {
  ScriptedServer east_server(MakeOkResponse);
  ScriptedServer bad([](const std::string&) { return std::vector<ScriptStep>{CloseNow()}; });
  ScriptedServer good(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["west"])"));
  RegisterIn(fixture, "e1", "s0", east_server);
  RegisterIn(fixture, "w1", "s1", bad);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 502);
  RegisterIn(fixture, "w1", "s2", good);
  for (int i = 0; i < 6; ++i)
    CHECK(Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(east_server.requests().empty());
}

TEST_CASE("a stream goes on by homes of the document in force, not only of its arrival") {
  std::atomic<bool> changed{false};
  std::atomic<int> calls{0};
  const auto script = [&](const std::string& request) {
    const std::string head = MakeResponseHead(
        request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    if (++calls > 1)
      return std::vector<ScriptStep>{Send(head + Chunk(Event(2)) + "0\r\n\r\n")};
    return std::vector<ScriptStep>{Send(head + Chunk(Event(1))), Wait(250), ResetNow()};
  };
  ScriptedServer first(script);
  ScriptedServer out_of_home(script);
  ScriptedServer at_home(script);
  TwoRegions fixture(DocumentWithHomes(1, R"(["west"])"));
  RegisterIn(fixture, "w1", "s0", first);
  BackgroundCall call(fixture, Request("/stream/", "i"));
  fixture.RunUntil([&] { return first.requests().size() == 1; });
  // The home regions are widened while the stream runs; the ones at its arrival still apply.
  fixture.Adopt(2, DocumentWithHomes(2, R"(["west","east"])"));
  RegisterIn(fixture, "e1", "s1", out_of_home);
  RegisterIn(fixture, "w1", "s2", at_home);
  const CallResult seen = call.AwaitResponse(fixture);
  CHECK(IsCompleteResponse(seen.m_bytes));
  CHECK(out_of_home.requests().empty());
  CHECK(at_home.requests().size() == 1);
}

TEST_CASE("a stream whose home moved away while it ran goes on nowhere else") {
  const auto script = [](const std::string& request) {
    const std::string head = MakeResponseHead(
        request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    return std::vector<ScriptStep>{Send(head + Chunk(Event(1))), Wait(250), ResetNow()};
  };
  ScriptedServer first(script);
  ScriptedServer former_home(script);
  ScriptedServer new_home(script);
  TwoRegions fixture(DocumentWithHomes(1, R"(["west"])"));
  RegisterIn(fixture, "w1", "s0", first);
  BackgroundCall call(fixture, Request("/stream/", "i"));
  fixture.RunUntil([&] { return first.requests().size() == 1; });
  fixture.Adopt(2, DocumentWithHomes(2, R"(["east"])"));
  RegisterIn(fixture, "w1", "s1", former_home);
  RegisterIn(fixture, "e1", "s2", new_home);
  const CallResult seen = call.AwaitResponse(fixture);
  CHECK_FALSE(IsCompleteResponse(seen.m_bytes));
  CHECK(former_home.requests().empty());
  CHECK(new_home.requests().empty());
}

TEST_CASE("what waits at the broker is asked for anew when its homes change") {
  ScriptedServer east_server(MakeOkResponse);
  ScriptedServer west_server(MakeOkResponse);
  TwoRegions fixture(Document(1, "key"));
  RegisterIn(fixture, "e1", "s0", east_server);
  RegisterIn(fixture, "w1", "s1", west_server);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kQueued);
  fixture.Adopt(2, DocumentWithHomes(2, "null", R"(["west"])"));
  CHECK(broker.Withdrawn() == std::vector<SlotRef>{broker.SlotRequests()[0].m_ref});
  REQUIRE(broker.SlotRequests().size() == 2);
  CHECK(broker.SlotRequests()[1].m_allowed_regions == HomeRegions{true, {"west"}});
  // A slot for the cancelled request is returned unused.
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  REQUIRE(broker.Reports().size() == 1);
  CHECK(broker.Reports()[0].m_ended);
  CHECK_FALSE(broker.Reports()[0].m_may_have_run);
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "s1");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(east_server.requests().empty());
  CHECK(west_server.requests().size() == 1);
}

TEST_CASE("what waits is refused at once when a change leaves it no home") {
  ScriptedServer east_server(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["east"])"));
  RegisterIn(fixture, "e1", "s0", east_server);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  fixture.Adopt(2, DocumentWithHomes(2, R"(["west"])"));
  CHECK(call.AwaitResponse(fixture).body().starts_with("no_home"));
  CHECK(east_server.requests().empty());
}

TEST_CASE("a request waits at an instance alone by its new homes") {
  ScriptedServer east_server(MakeOkResponse);
  ScriptedServer west_server(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["east","west"])"));
  RegisterIn(fixture, "e1", "s0", east_server);
  RegisterIn(fixture, "w1", "s1", west_server);
  // No server has a free slot until the home regions have changed.
  for (auto& [id, backend] : fixture.m_forwarder->state().m_backends)
    backend.m_in_flight = 1000;
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&] {
    const PoolState& pool = fixture.m_forwarder->state().m_pools["app"];
    return !pool.m_waiting.empty();
  });
  for (auto& [id, backend] : fixture.m_forwarder->state().m_backends)
    backend.m_in_flight = 0;
  fixture.Adopt(2, DocumentWithHomes(2, R"(["west"])"));
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(east_server.requests().empty());
  CHECK(west_server.requests().size() == 1);
}

TEST_CASE("a place that a broker gives outside the homes goes back unused") {
  ScriptedServer east_server(MakeOkResponse);
  ScriptedServer west_server(MakeOkResponse);
  TwoRegions fixture(DocumentWithHomes(1, R"(["west"])"));
  RegisterIn(fixture, "e1", "s0", east_server);
  RegisterIn(fixture, "w1", "s1", west_server);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  REQUIRE(broker.SlotRequests().size() == 2);
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "s1");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(east_server.requests().empty());
  CHECK(west_server.requests().size() == 1);
}

TEST_CASE("a connection that comes up after the homes changed carries nothing") {
  ScriptedServer east_server(MakeOkResponse);
  ScriptedServer west_server(MakeOkResponse);
  TwoRegions fixture(Document(1, "key"));
  RegisterIn(fixture, "e1", "s0", east_server);
  RegisterIn(fixture, "w1", "s1", west_server);
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  REQUIRE(broker.SlotRequests().size() == 1);
  // The connection attempt to s0 begins here and completes when the loop runs next.
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  fixture.Adopt(2, DocumentWithHomes(2, R"(["west"])"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  REQUIRE(broker.SlotRequests().size() == 2);
  CHECK(broker.SlotRequests()[1].m_allowed_regions == HomeRegions{true, {"west"}});
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "s1");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(east_server.requests().empty());
}

// ---- Home regions at the broker ----------------------------------------------------------------

BackendServer ServerAt(const std::string& id, const std::string& data_centre) {
  BackendServer server = Engine(id, data_centre);
  server.m_region = data_centre == "e1" ? "east" : "west";
  return server;
}

SlotBroker BrokerWith(const std::vector<BackendServer>& servers) {
  return BrokerFor({"a"}, servers);
}

SlotRequest Bound(SlotRef ref, const std::string& region) {
  SlotRequest slot_request = WantedPlace(ref);
  slot_request.m_data_centre = "e1";
  slot_request.m_allowed_regions = {true, {region}};
  return slot_request;
}

SlotResponse AskFor(SlotBroker& broker, const SlotRequest& slot_request, Instant now = kStart) {
  std::vector<SlotResponse> out;
  RequestSlot(broker, "a", slot_request, now, out);
  return out.at(0);
}

TEST_CASE("the broker gives places at home only, and has the rest wait for one there") {
  SlotBroker broker = BrokerWith({ServerAt("s0", "e1"), ServerAt("s1", "w1")});
  CHECK(AskFor(broker, Bound(1, "west")).m_server == "s1");
  CHECK(AskFor(broker, Bound(2, "west")).m_server == "s1");
  CHECK(AskFor(broker, Bound(3, "west")).m_verdict == SlotVerdict::kQueued);
  SlotReport end;
  end.m_ref = 1;
  end.m_ended = true;
  std::vector<SlotResponse> out;
  ApplyReport(broker, "a", end, kStart, out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_ref == 3);
  CHECK(out[0].m_server == "s1");
}

TEST_CASE("the broker refuses at once what has no server at home, and charges nothing") {
  SlotBroker broker = BrokerWith({ServerAt("s0", "e1")});
  SlotRequest slot_request = Bound(1, "east");
  slot_request.m_workspace = "north";
  slot_request.m_quota.m_cost = 100;
  slot_request.m_limit = {1'000, 1'000};
  CHECK(AskFor(broker, slot_request).m_verdict == SlotVerdict::kPlaced);
  const double left = broker.m_limits.at("north").m_tokens;
  slot_request.m_ref = 2;
  slot_request.m_allowed_regions = {true, {"west"}};
  CHECK(AskFor(broker, slot_request).m_verdict == SlotVerdict::kNoServer);
  CHECK(broker.m_limits.at("north").m_tokens == left);
  BackendServer leaving = ServerAt("s1", "w1");
  leaving.m_leaving = true;
  SetServers(broker, {ServerAt("s0", "e1"), leaving});
  CHECK(AskFor(broker, Bound(3, "west")).m_verdict == SlotVerdict::kNoServer);
}

TEST_CASE("half of the servers at home stay in use, whatever the rest of the pool does") {
  SlotBroker broker = BrokerWith(
      {ServerAt("s0", "e1"), ServerAt("s1", "e1"), ServerAt("s2", "w1"), ServerAt("s3", "w1")});
  SlotPool& pool = broker.m_pools.at("engines");
  for (std::size_t i = 2; i < 4; ++i)
    pool.m_health[i] = Observe(pool.m_health[i], HealthSignal::kUnreachable, kStart);
  const SlotResponse answer = AskFor(broker, Bound(1, "west"));
  CHECK(answer.m_verdict == SlotVerdict::kPlaced);
  CHECK((answer.m_server == "s2" || answer.m_server == "s3"));
}

TEST_CASE("a version under trial gets only requests that are at home where it runs") {
  BackendServer target = ServerAt("s1", "e1");
  target.m_version = "v2";
  BackendServer other = ServerAt("s0", "w1");
  other.m_version = "v1";
  SlotBroker broker = BrokerWith({other, target});
  SetRollouts(broker, {{"engines", {1, "v2", false, 0, 100}}}, {0.5, 100});
  broker.m_pools.at("engines").m_trial->m_sent = 0;
  CHECK(AskFor(broker, Bound(1, "west")).m_server == "s0");
  CHECK(AskFor(broker, Bound(2, "east")).m_server == "s1");
}

}  // namespace
}  // namespace poppyway
