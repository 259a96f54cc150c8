// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Responses of backend servers whose head stops before its end: none may look like a response.
//
// Guards against a cut head that is taken for a whole one: callers get a success with an empty or
// short body, framed as whole.
#include "cut_heads.h"

#include "peer_relay_fixture.h"

namespace poppyway {
namespace {

constexpr const char* kStreamHead =
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

ScriptedServer::Script Cut(const CutHead& head, const ScriptStep& end) {
  return [head, end](const std::string& request) { return CutHeadSteps(head, IdOf(request), end); };
}

/// Calls an instance before two servers that respond as the script says.
CallResult CallBeforeTwo(const ScriptedServer::Script& script, const std::string& path) {
  ScriptedServer first(script);
  ScriptedServer second(script);
  ForwarderFixture fixture;
  fixture.Register("s0", first);
  fixture.Register("s1", second);
  return Call(fixture, Request(path, "r1"));
}

bool LooksComplete(const CallResult& seen) {
  return seen.status() / 100 == 2 && IsCompleteResponse(seen.m_bytes);
}

TEST_CASE("a head that stops before its end is never a response, for requests of each kind") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    for (const std::string path : {"/safe/x", "/once/x", "/stream/x"}) {
      INFO(path);
      ScriptedServer server(Cut(head, end));
      ForwarderFixture fixture;
      fixture.Register("s", server);
      CHECK(Call(fixture, Request(path, "r1")).status() == 502);
    }
  });
}

TEST_CASE("a request whose second server cuts the head gets none of the bytes of either") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    std::atomic<int> calls{0};
    const auto script = [&](const std::string& request) {
      if (++calls == 1)
        return std::vector<ScriptStep>{
            Send(MakeResponseHead(request, "content-length: 9\r\n") + "part"), ResetNow()};
      return CutHeadSteps(head, IdOf(request), end);
    };
    const CallResult seen = CallBeforeTwo(script, "/safe/x");
    CHECK_FALSE(LooksComplete(seen));
    CHECK(calls == 2);
  });
}

TEST_CASE("a request whose first server cuts the head gets the whole response of the second") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    std::atomic<int> calls{0};
    const auto script = [&](const std::string& request) {
      return ++calls == 1 ? CutHeadSteps(head, IdOf(request), end) : MakeResponse(request, "whole");
    };
    const CallResult seen = CallBeforeTwo(script, "/safe/x");
    CHECK(seen.status() == 200);
    CHECK(seen.body() == "whole");
  });
}

TEST_CASE("a stream whose next server cuts the head ends after its last event, not as complete") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    std::atomic<int> calls{0};
    const auto script = [&](const std::string& request) {
      if (++calls == 1)
        return std::vector<ScriptStep>{
            Send(MakeResponseHead(request, kStreamHead) + Chunk(Event(1))), Wait(30), ResetNow()};
      return CutHeadSteps(head, IdOf(request), end);
    };
    const CallResult seen = CallBeforeTwo(script, "/stream/x");
    CHECK(calls == 2);
    CHECK(seen.m_closed);
    CHECK(seen.m_bytes.ends_with(Chunk(Event(1))));
  });
}

TEST_CASE("a helper says that a server may have run what it answered with a cut head") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    ScriptedServer server(Cut(head, end));
    HelperInstance helper;
    helper.Register("s", server.port());
    helper.Run();
    const CallResult seen = Ask(helper.endpoint(), RelayRequest(server.port(), "GET", ""));
    CHECK(seen.status() == 502);
    CHECK(seen.m_bytes.find(FaultLine(RelayFault::kBroken)) != std::string::npos);
  });
}

TEST_CASE("a helper that cuts its own head is no response of the server") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    SilentListener silent;
    ScriptedServer helper([&](const std::string& request) {
      if (request.find(kRelayCheck) != std::string::npos)
        return std::vector<ScriptStep>{Send("HTTP/1.1 204 No Content\r\n\r\n")};
      return CutHeadSteps(head, IdOf(request), end);
    });
    ForwarderFixture fixture;
    fixture.m_forwarder->HandleMessage(HelpersChanged{{{"127.0.0.1", helper.port()}}});
    fixture.m_forwarder->HandleMessage(
        ServersChanged{{RecordAt("s", silent.port(), ++fixture.m_index)}});
    CHECK_FALSE(LooksComplete(Call(fixture, Request("/once/x", "r1"))));
  });
}

}  // namespace
}  // namespace poppyway
