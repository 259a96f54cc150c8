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

TEST_CASE("a broken stream whose version has no server left is cut at once") {
  ScriptedServer first(&BreakOffAfterOneEvent);
  ScriptedServer other(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  const auto call = std::make_unique<BackgroundCall>(fixture, Request("/stream/", "a1"));
  fixture.RunUntil([&] { return !first.requests().empty(); });
  RegisterVersion(fixture, "v2", "s1", other);
  wire::ServerRecord leaving = fixture.Record("s0", first, wire::ServerStage::LEAVING);
  leaving.version = "v1";
  fixture.m_forwarder->HandleMessage(ServersChanged{{leaving}});
  const CallResult seen = call->AwaitResponse(fixture);
  CHECK(seen.m_closed);
  CHECK(seen.m_elapsed_ms < 500);
  CHECK(other.requests().empty());
}

// Guards against callers who are refused the rest of a stream that was written whole, but not to
// them: an instance that stood still learns of the stream's end before it learns that the caller
// left.
TEST_CASE("a stream that ended is taken up by a caller who didn't get all of it") {
  ScriptedServer server([](const std::string& request) {
    const bool taken_up = request.find("last-event-id") != std::string::npos;
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request, kStreamHead) +
             (taken_up ? Chunk(Event(2)) : Chunk(Event(1)) + Chunk(Event(2))) + "0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", server);
  CHECK(IsCompleteResponse(Call(fixture, Request("/stream/", "a1")).m_bytes));
  const CallResult seen = Call(fixture, TakeUp("a2", "a1"));
  CHECK(seen.status() == 200);
  CHECK(seen.body() == Chunk(Event(2)) + "0\r\n\r\n");
}

// Guards against an instance that goes on with a stream of which it knows nothing, since the
// instance that began it is gone.
TEST_CASE("without a broker a stream that another instance began waits, then is refused unrun") {
  ScriptedServer server(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", server);
  const CallResult seen = Call(fixture, TakeUp("a2", "a1"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("stream_unknown") != std::string::npos);
  CHECK(seen.m_bytes.find("retry-after") != std::string::npos);
  CHECK(server.requests().empty());
}

TEST_CASE("the broker is told what began a stream and asked for the same at a take-up") {
  ScriptedServer first(&BreakOffAfterOneEvent);
  ScriptedServer same(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  FakeBroker broker(fixture);
  const SoftwareId software = SoftwareIdOf("app", "v1");
  const StreamKey stream = StreamKeyOf("north", "a1");
  const auto begins = std::make_unique<BackgroundCall>(fixture, Request("/stream/", "a1"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 1; });
  CHECK(broker.SlotRequests()[0].m_continuation == Continuation{});
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  CHECK(broker.SlotRequests()[1].m_continuation == Continuation{true, stream, software});
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kNoServer);
  (void)begins->AwaitResponse(fixture);
  std::vector<StreamOrigin> told;
  for (const SlotBatch& batch : broker.m_batches)
    told.insert(told.end(), batch.m_begun_streams.begin(), batch.m_begun_streams.end());
  CHECK(told == std::vector<StreamOrigin>{{stream, software}});
  FakeBroker next(fixture, 2);
  REQUIRE_FALSE(next.m_batches.empty());
  CHECK(next.m_batches[0].m_begun_streams == std::vector<StreamOrigin>{{stream, software}});
}

// Guards against what a registry tells late: the version of the server that answers counts.
TEST_CASE("a take-up isn't sent to a server whose record has another version by then") {
  ScriptedServer changed(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", changed);
  FakeBroker broker(fixture);
  const auto call = std::make_unique<BackgroundCall>(fixture, TakeUp("a2", "a1"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 1; });
  CHECK(broker.SlotRequests()[0].m_continuation ==
        Continuation{true, StreamKeyOf("north", "a1"), 0});
  RegisterVersion(fixture, "v2", "s0", changed);
  SlotResponse answer;
  answer.m_ref = broker.SlotRequests()[0].m_ref;
  answer.m_server = "s0";
  answer.m_software = SoftwareIdOf("app", "v1");
  fixture.m_forwarder->HandleMessage(SlotResponses{1, {answer}});
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kUnknownStream);
  const CallResult seen = call->AwaitResponse(fixture);
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("stream_unknown") != std::string::npos);
  CHECK(changed.requests().empty());
}

// Guards against a server that starts again under its id as another version during a call.
TEST_CASE("a stream whose server changed its version meanwhile is not gone on with") {
  ScriptedServer first([](const std::string& request) {
    return std::vector<ScriptStep>{Send(MakeResponseHead(request, kStreamHead) + Chunk(Event(1))),
                                   Wait(150), ResetNow()};
  });
  ScriptedServer same(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  const auto call = std::make_unique<BackgroundCall>(fixture, Request("/stream/", "a1"));
  fixture.RunUntil([&] { return !first.requests().empty(); });
  fixture.m_loop.RunFor(50);
  RegisterVersion(fixture, "v2", "s0", first);
  RegisterVersion(fixture, "v1", "s1", same);
  const CallResult seen = call->AwaitResponse(fixture);
  CHECK(seen.m_closed);
  CHECK(same.requests().empty());
  const StreamOrigins& origins = fixture.m_forwarder->state().m_origins;
  CHECK(FindOrigin(origins, StreamKeyOf("north", "a1")) == 0);
}

TEST_CASE("a take-up that names two first attempts is refused as malformed") {
  ScriptedServer server(&WriteTheRest);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", server);
  const std::string fields = "Last-Event-Id: 1\r\nResumes: a1\r\nResumes: b1\r\n";
  const CallResult seen = Call(fixture, Request("/stream/", "a2", fields));
  CHECK(seen.status() == 400);
  CHECK(server.requests().empty());
}

// Guards against events that a caller gets twice: without ids nobody knows where to go on.
TEST_CASE("a stream whose events have no ids is cut when it breaks off") {
  const auto script = [](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request, kStreamHead) + Chunk("data: x\n\n")), Wait(30), ResetNow()};
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  RegisterVersion(fixture, "v1", "s1", second);
  const CallResult seen = Call(fixture, Request("/stream/", "a1"));
  CHECK(seen.m_closed);
  CHECK(seen.m_bytes.ends_with(Chunk("data: x\n\n")));
  CHECK(first.requests().size() + second.requests().size() == 1);
}

// Guards against a gap or a repeat between what the caller has and what the server goes on with.
TEST_CASE("a take-up that doesn't go on with the next event is cut") {
  ScriptedServer first(&BreakOffAfterOneEvent);
  ScriptedServer gap([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request, kStreamHead) + Chunk(Event(3)) + "0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  RegisterVersion(fixture, "v1", "s0", first);
  (void)Call(fixture, Request("/stream/", "a1"));
  fixture.m_forwarder->HandleMessage(
      ServersChanged{{fixture.Record("s0", first, wire::ServerStage::GONE)}});
  RegisterVersion(fixture, "v1", "s1", gap);
  const CallResult seen = Call(fixture, TakeUp("a2", "a1"));
  CHECK(seen.m_bytes.find("id: 3") == std::string::npos);
  CHECK(seen.status() == 502);
}

}  // namespace poppyway
