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

/// Returns the document in which each request is sent to one server at most.
std::string OneAttempt() {
  constexpr std::string_view kTwo = "\"max_attempts\":2";
  std::string document = Document(1, "key");
  for (std::size_t at = document.find(kTwo); at != std::string::npos; at = document.find(kTwo))
    document.replace(at, kTwo.size(), "\"max_attempts\":1");
  return document;
}

// Guards against callers who are refused because a server that an instance knew is gone, and
// another one answers at its address: the request was sent to no server yet.
TEST_CASE("a request that reached another server than it was meant for goes on to a third one") {
  const std::string path = GENERATE("/safe/", "/once/");
  ScriptedServer replaced(OnlyFor("new"));
  ScriptedServer sound(OnlyFor("sound"));
  ForwarderFixture fixture(OneAttempt());
  Tell(fixture, {MakeRecord(fixture, "old", replaced, 3, 3)});
  const auto call = std::make_unique<BackgroundCall>(fixture, Request(path, "r1"));
  fixture.RunUntil([&] { return !replaced.requests().empty(); });
  Tell(fixture, {MakeRecord(fixture, "sound", sound, 9, 9)});
  CHECK(call->AwaitResponse(fixture).status() == 200);
  CHECK(replaced.requests().size() == 1);
  CHECK(sound.requests().size() == 1);
}

// Guards against an instance that sends request after request to a server of which it has just
// learned that it is gone: the broker doesn't know that until the server at its address has
// registered.
TEST_CASE("a slot at a server that is known to be gone is returned, and another one asked for") {
  ScriptedServer replaced(OnlyFor("new"));
  ScriptedServer sound(OnlyFor("sound"));
  ForwarderFixture fixture;
  Tell(fixture,
       {MakeRecord(fixture, "old", replaced, 3, 3), MakeRecord(fixture, "sound", sound, 4, 4)});
  FakeBroker broker(fixture);
  std::size_t asked = 0;
  const auto place = [&](const std::string& server) {
    ++asked;
    fixture.RunUntil([&] { return broker.SlotRequests().size() >= asked; });
    REQUIRE(broker.SlotRequests().size() == asked);
    SendSlotResponse(fixture, broker.SlotRequests().back().m_ref, SlotVerdict::kPlaced, server);
  };
  for (const std::string id : {"r1", "r2"}) {
    const auto call = std::make_unique<BackgroundCall>(fixture, Request("/safe/", id));
    place("old");
    place("sound");
    CHECK(call->AwaitResponse(fixture).status() == 200);
  }
  CHECK(replaced.requests().size() == 1);
  CHECK(sound.requests().size() == 2);
}

TEST_CASE("a request goes on for as often as two servers that are gone, not without end") {
  ScriptedServer replaced(OnlyFor("new"));
  ForwarderFixture fixture(OneAttempt());
  ScriptedServer sound(OnlyFor("sound"));
  Tell(fixture, {MakeRecord(fixture, "sound", sound, 2, 2)});
  (void)RequestsAfterCalls(fixture, sound);  // They let the limit of retries allow some.
  Tell(fixture, {MakeRecord(fixture, "sound", sound, 2, 3, wire::ServerStage::GONE)});
  Tell(fixture, {MakeRecord(fixture, "a", replaced, 3, 3)});
  std::vector<std::unique_ptr<ScriptedServer>> more;
  for (int i = 0; i < 5; ++i) {
    more.push_back(std::make_unique<ScriptedServer>(OnlyFor("other")));
    Tell(fixture, {MakeRecord(fixture, "s" + std::to_string(i), *more.back(), 4 + i, 4 + i)});
  }
  CHECK(Call(fixture, Request("/once/", "r1")).status() == 503);
  std::size_t sent = replaced.requests().size();
  for (const auto& server : more)
    sent += server->requests().size();
  CHECK(sent == 3);
}

}  // namespace
}  // namespace poppyway
