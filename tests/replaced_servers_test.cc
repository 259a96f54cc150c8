// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which of the servers that registered at one address an instance sends requests to.
#include "fake_broker.h"

namespace poppyway {
namespace {

/// Returns a script of a server that answers only requests which are meant for `id`.
ScriptedServer::Script OnlyFor(const std::string& id) {
  return [id](const std::string& request) {
    if (request.find("x-expect-instance: " + id + "\r\n") != std::string::npos)
      return MakeResponse(request, "ok");
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-instance-id: " + id + "\r\ncontent-length: 0\r\n\r\n")};
  };
}

wire::ServerRecord MakeRecord(ForwarderFixture& fixture,
                              const std::string& id,
                              const ScriptedServer& server,
                              std::int64_t present_index,
                              std::int64_t index,
                              wire::ServerStage::type stage = wire::ServerStage::READY) {
  wire::ServerRecord record = fixture.Record(id, server, stage);
  record.present_index = present_index;
  record.index = index;
  return record;
}

void Tell(ForwarderFixture& fixture, std::vector<wire::ServerRecord> records) {
  fixture.m_forwarder->HandleMessage(ServersChanged{std::move(records)});
}

/// Sends some requests. Returns how many the server got, those for others included.
std::size_t RequestsAfterCalls(ForwarderFixture& fixture, const ScriptedServer& server) {
  constexpr int kCalls = 4;
  for (int i = 0; i < kCalls; ++i)
    CHECK(Call(fixture, Request("/once/", "i" + std::to_string(i))).status() == 200);
  return server.requests().size();
}

// Guards against a late heartbeat of an ended server that hides the running one at its address.
TEST_CASE("a later change of the record of an ended server hides no running one") {
  ScriptedServer server(OnlyFor("running"));
  ForwarderFixture fixture;
  Tell(fixture, {MakeRecord(fixture, "ended", server, 3, 3)});
  Tell(fixture, {MakeRecord(fixture, "running", server, 9, 9)});
  Tell(fixture, {MakeRecord(fixture, "ended", server, 3, 12)});
  CHECK(RequestsAfterCalls(fixture, server) == 4);
}

TEST_CASE("an instance that starts knows which server was last shown at an address") {
  ScriptedServer server(OnlyFor("running"));
  ForwarderFixture fixture;
  Tell(fixture,
       {MakeRecord(fixture, "ended", server, 3, 12), MakeRecord(fixture, "running", server, 9, 9)});
  CHECK(RequestsAfterCalls(fixture, server) == 4);
}

TEST_CASE("a server that is shown at its address again takes its requests back") {
  ScriptedServer server(OnlyFor("running"));
  ForwarderFixture fixture;
  Tell(fixture, {MakeRecord(fixture, "running", server, 9, 9)});
  Tell(fixture, {MakeRecord(fixture, "ended", server, 12, 12)});
  Tell(fixture, {MakeRecord(fixture, "running", server, 14, 14)});
  CHECK(RequestsAfterCalls(fixture, server) == 4);
}

TEST_CASE("the first word of an ended server that drains hides no running one") {
  ScriptedServer server(OnlyFor("running"));
  ForwarderFixture fixture;
  Tell(fixture, {MakeRecord(fixture, "running", server, 9, 9)});
  Tell(fixture, {MakeRecord(fixture, "ended", server, -1, 12, wire::ServerStage::LEAVING)});
  CHECK(RequestsAfterCalls(fixture, server) == 4);
}

TEST_CASE("the server before one that is gone gets no requests at an instance that starts") {
  ScriptedServer server(OnlyFor("nobody"));
  ForwarderFixture fixture;
  Tell(fixture, {MakeRecord(fixture, "before", server, 3, 12),
                 MakeRecord(fixture, "gone", server, 9, 9, wire::ServerStage::GONE)});
  CHECK(Call(fixture, Request("/once/", "i")).status() == 503);
  CHECK(server.requests().empty());
}

// Guards against what one instance learns and the broker doesn't.
TEST_CASE("the broker is told once which server responded in place of another") {
  ScriptedServer server(OnlyFor("running"));
  ForwarderFixture fixture;
  Tell(fixture, {MakeRecord(fixture, "running", server, 9, 9)});
  Tell(fixture, {MakeRecord(fixture, "ended", server, 12, 12)});
  FakeBroker broker(fixture);
  std::vector<ServerResponded> told;
  for (int i = 0; i < 2; ++i) {
    BackgroundCall call(fixture, Request("/safe/", "i" + std::to_string(i)));
    const std::size_t before = broker.SlotRequests().size();
    fixture.RunUntil([&] { return broker.SlotRequests().size() > before; });
    REQUIRE(broker.SlotRequests().size() > before);
    SendSlotResponse(fixture, broker.SlotRequests().back().m_ref, SlotVerdict::kPlaced, "ended");
    fixture.RunUntil([&] { return broker.SlotRequests().size() > before + 1; });
    SendSlotResponse(fixture, broker.SlotRequests().back().m_ref, SlotVerdict::kPlaced, "running");
    CHECK(call.AwaitResponse(fixture).status() == 200);
  }
  for (const SlotBatch& batch : broker.m_batches)
    told.insert(told.end(), batch.m_responded.begin(), batch.m_responded.end());
  CHECK(told == std::vector<ServerResponded>{{"running", "ended"}});
}

}  // namespace
}  // namespace poppyway
