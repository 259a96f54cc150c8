// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Guards against callers who get one stream from two software versions: what these write doesn't
// fit together, and servers don't check it.
#include "fake_broker.h"

namespace poppyway {
namespace {

constexpr const char* kStreamHead =
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Begins a stream with one event and breaks it off.
std::vector<ScriptStep> BreakOffAfterOneEvent(const std::string& request) {
  return {Send(MakeResponseHead(request, kStreamHead) + Chunk(Event(1))), Wait(30), ResetNow()};
}

/// Writes the second event, which is the last.
std::vector<ScriptStep> WriteTheRest(const std::string& request) {
  return {Send(MakeResponseHead(request, kStreamHead) + Chunk(Event(2)) + "0\r\n\r\n")};
}

void RegisterVersion(ForwarderFixture& fixture,
                     const std::string& version,
                     const std::string& id,
                     const ScriptedServer& server) {
  wire::ServerRecord record = fixture.Record(id, server);
  record.version = version;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
}

/// The request of a caller that has one event of the stream that its attempt `first` began.
std::string TakeUp(const std::string& id, const std::string& first) {
  return Request("/stream/", id, "Last-Event-Id: 1\r\nResumes: " + first + "\r\n");
}

}  // namespace

// Guards against a retry within one response that joins events of two software versions.
TEST_CASE("a stream that breaks off doesn't go on at a server of another software version") {
  ScriptedServer first(&BreakOffAfterOneEvent);
  ScriptedServer other(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  const auto call = std::make_unique<BackgroundCall>(fixture, Request("/stream/", "a1"));
  fixture.RunUntil([&] { return !first.requests().empty(); });
  RegisterVersion(fixture, "v2", "s1", other);
  const CallResult seen = call->AwaitResponse(fixture);
  CHECK(other.requests().empty());
  CHECK(seen.m_closed);
  CHECK(seen.m_bytes.ends_with(Chunk(Event(1))));
}

// Guards against a take-up through another attempt that joins events of two software versions.
TEST_CASE("a stream that its caller takes up goes on only at the software version that began it") {
  ScriptedServer first(&BreakOffAfterOneEvent);
  ScriptedServer other(&WriteTheRest);
  ScriptedServer same(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  const CallResult begun = Call(fixture, Request("/stream/", "a1"));
  CHECK(begun.m_bytes.ends_with(Chunk(Event(1))));
  RegisterVersion(fixture, "v1", "s0-gone", first);
  RegisterVersion(fixture, "v2", "s1", other);
  wire::ServerRecord gone = fixture.Record("s0", first, wire::ServerStage::GONE);
  wire::ServerRecord gone_too = fixture.Record("s0-gone", first, wire::ServerStage::GONE);
  fixture.m_forwarder->HandleMessage(ServersChanged{{gone, gone_too}});
  const CallResult refused = Call(fixture, TakeUp("a2", "a1"));
  CHECK(refused.status() == 503);
  CHECK(other.requests().empty());
  RegisterVersion(fixture, "v1", "s2", same);
  const CallResult seen = Call(fixture, TakeUp("a3", "a1"));
  CHECK(seen.status() == 200);
  CHECK(same.requests().size() == 1);
  CHECK(other.requests().empty());
}

}  // namespace poppyway
