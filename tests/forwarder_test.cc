// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "forwarder_fixture.h"

namespace poppyway {
namespace {

TEST_CASE("an answer passes through unchanged, and the server learns the workspace, not the key") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "hello"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const CallResult seen =
      Call(fixture, Request("/safe/%41?q=%20&r", "id1", "X-Other: v\r\nX-Tenant: forged\r\n"));
  CHECK(seen.status() == 200);
  CHECK(seen.body() == "hello");
  CHECK(seen.m_bytes.find("x-response-seal: s\r\n") != std::string::npos);
  CHECK(seen.m_bytes.find("x-attempt-id: id1\r\n") != std::string::npos);
  REQUIRE(server.requests().size() == 1);
  const std::string got = server.requests()[0];
  CHECK(got.starts_with("GET /safe/%41?q=%20&r HTTP/1.1\r\nhost: a.example\r\n"));
  CHECK(got.find("x-tenant: north\r\n") != std::string::npos);
  CHECK(got.find("forged") == std::string::npos);
  CHECK(got.find("key") == std::string::npos);
  CHECK(got.find("x-expect-instance: s0\r\n") != std::string::npos);
  CHECK(got.find("x-other: v\r\n") != std::string::npos);
}

TEST_CASE("bodies with a length or in chunks reach the server byte for byte") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const std::string head =
      "POST /once/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: i\r\n"
      "Authorization: Bearer key\r\n";
  CHECK(Call(fixture, head + "Content-Length: 4\r\n\r\nab\r\n").status() == 200);
  CHECK(Call(fixture, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\n\r\n\r\n0\r\n\r\n")
            .status() == 200);
  REQUIRE(server.requests().size() == 2);
  for (const std::string& request : server.requests())
    CHECK(request.ends_with("content-length: 4\r\n\r\nab\r\n"));
}

TEST_CASE("unknown routes and keys are refused only while the configuration is confirmed") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  CHECK(Call(fixture, Request("/nowhere/", "i")).status() == 404);
  const std::string wrong_key =
      "GET /safe/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer other\r\n\r\n";
  CHECK(Call(fixture, wrong_key).status() == 401);
  fixture.m_forwarder->state().m_confirmed_until = ReadClock();
  CHECK(Call(fixture, wrong_key).status() == 503);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 503);
  CHECK(Call(fixture, Request("/nowhere/", "i")).status() == 503);
  CHECK(server.requests().empty());
}

TEST_CASE("an instance that knows no configuration says so and never 404") {
  ForwarderFixture fixture;
  fixture.m_forwarder->state().m_table = nullptr;
  const CallResult seen = Call(fixture, Request("/safe/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
}

TEST_CASE(
    "a removed key is refused as soon as the configuration is in force, which never goes back") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 200);
  fixture.Adopt(3, Document(3, "other"));
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 401);
  fixture.Adopt(2, Document(2, "key"));
  CHECK(Call(fixture, Request("/safe/", "i")).status() == 401);
}

TEST_CASE("a repeatable request goes on at another server after a failure") {
  ScriptedServer bad([](const std::string&) { return std::vector<ScriptStep>{CloseNow()}; });
  ScriptedServer good([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", bad);
  fixture.Register("s1", good);
  for (int i = 0; i < 6; ++i)
    CHECK(Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200);
}

TEST_CASE(
    "what may run once is never sent again after a byte went out, and is not called 'not run'") {
  for (const ScriptStep& fault : {CloseNow(), ResetNow()}) {
    const auto script = [&fault](const std::string&) { return std::vector<ScriptStep>{fault}; };
    ScriptedServer bad(script);
    ScriptedServer also_bad(script);
    ForwarderFixture fixture;
    fixture.Register("s0", bad);
    fixture.Register("s1", also_bad);
    const CallResult seen = Call(fixture, Request("/once/", "i"));
    CHECK(seen.status() == 502);
    CHECK(bad.requests().size() + also_bad.requests().size() == 1);
  }
}

TEST_CASE("what a server declined may go to another one, and is 'not run' if that declines too") {
  const auto decline = [](const std::string&) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n")};
  };
  ScriptedServer full(decline);
  ScriptedServer also_full(decline);
  ForwarderFixture fixture;
  fixture.Register("s0", full);
  fixture.Register("s1", also_full);
  const CallResult seen = Call(fixture, Request("/once/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
  CHECK(full.requests().size() == 1);
  CHECK(also_full.requests().size() == 1);
}

TEST_CASE("an answer of another server at the place is no answer of the meant one") {
  ScriptedServer other([](const std::string&) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-instance-id: zz\r\ncontent-length: 0\r\n\r\n")};
  });
  ScriptedServer good([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", other);
  fixture.Register("s1", good);
  for (int i = 0; i < 8; ++i)
    CHECK(Call(fixture, Request("/once/", "i" + std::to_string(i))).status() == 200);
  CHECK(other.requests().size() <= 1);
}

TEST_CASE("of servers that are told of at once at one place the one that came last is used") {
  ScriptedServer server([](const std::string& request) {
    const bool meant = request.find("x-expect-instance: a-new") != std::string::npos;
    if (meant)
      return MakeResponse(request, "ok");
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-instance-id: a-new\r\ncontent-length: 0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  // A full list is sorted by id, so that the older server comes last.
  wire::ServerRecord newer = fixture.Record("a-new", server);
  newer.index = 9;
  wire::ServerRecord older = fixture.Record("z-old", server);
  older.index = 3;
  fixture.m_forwarder->HandleMessage(ServersChanged{{newer, older}});
  for (int i = 0; i < 4; ++i)
    CHECK(Call(fixture, Request("/once/", "i" + std::to_string(i))).status() == 200);
  CHECK(server.requests().size() == 4);
}

TEST_CASE("a server that was taken for replaced serves again once it answers at its place") {
  ScriptedServer server([](const std::string& request) {
    const bool meant = request.find("x-expect-instance: alive") != std::string::npos;
    if (meant)
      return MakeResponse(request, "ok");
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-instance-id: alive\r\ncontent-length: 0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  fixture.Register("alive", server);
  fixture.Register("dead", server);  // Its registration arrives late.
  CHECK(Call(fixture, Request("/once/", "i")).status() == 200);
  CHECK(Call(fixture, Request("/once/", "j")).status() == 200);
  CHECK(server.requests().size() == 3);
}

TEST_CASE("a success without the server's signature or for another request is not passed on") {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nx-attempt-id: i\r\n", "HTTP/1.1 200 OK\r\nx-response-seal: s\r\n",
        "HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: other\r\n"}) {
    ScriptedServer server([&head](const std::string&) {
      return std::vector<ScriptStep>{Send(head + "content-length: 2\r\n\r\nno"), Wait(100),
                                     CloseNow()};
    });
    ForwarderFixture fixture;
    fixture.Register("s0", server);
    const CallResult seen = Call(fixture, Request("/once/", "i"));
    CHECK(seen.status() == 502);
    CHECK(seen.m_bytes.find("no\r\n") == std::string::npos);
  }
}

TEST_CASE("a failure of the server passes through with its signature") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 500 Broken\r\nx-response-seal: s\r\nx-attempt-id: " + IdOf(request) +
             "\r\ncontent-length: 3\r\n\r\nbad")};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const CallResult seen = Call(fixture, Request("/once/", "i"));
  CHECK(seen.status() == 500);
  CHECK(seen.body() == "bad");
  CHECK(seen.m_bytes.find("x-response-seal: s\r\n") != std::string::npos);
}

TEST_CASE("each event is passed on as it comes") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")),
        Send(Chunk(Event(1))), Wait(150), Send(Chunk(Event(2)) + "0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const CallResult early = Call(fixture, Request("/stream/", "i"), 100);
  CHECK(early.m_bytes.find(Event(1)) != std::string::npos);
  CHECK(early.m_bytes.find("id: 2") == std::string::npos);
  const CallResult whole = Call(fixture, Request("/stream/", "j"));
  CHECK(whole.m_bytes.find(Event(2)) != std::string::npos);
  CHECK(IsCompleteResponse(whole.m_bytes));
}

TEST_CASE("a stream that breaks within an event goes on at another server without gap or repeat") {
  std::atomic<int> calls{0};
  const auto script = [&calls](const std::string& request) {
    const std::string head = MakeResponseHead(
        request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    if (++calls == 1)
      return std::vector<ScriptStep>{Send(head + Chunk(Event(1) + Event(2) + "id: 3\nda")),
                                     Wait(50), ResetNow()};
    return std::vector<ScriptStep>{Send(head + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n")};
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  ForwarderFixture fixture;
  fixture.Register("s0", first);
  fixture.Register("s1", second);
  const CallResult seen = Call(fixture, Request("/stream/", "i"));
  std::string events;
  for (int id = 1; id <= 4; ++id)
    events += Event(id);
  std::string body = seen.body();
  std::string joined;
  while (!body.empty()) {
    const std::size_t size = std::stoul(body, nullptr, 16);
    const std::size_t at = body.find("\r\n") + 2;
    joined += body.substr(at, size);
    body.erase(0, at + size + 2);
  }
  CHECK(joined == events);
  CHECK(IsCompleteResponse(seen.m_bytes));
  const std::vector<std::string> resumed = first.requests().empty() || second.requests().empty()
                                               ? std::vector<std::string>{}
                                               : std::vector<std::string>{"both"};
  CHECK(resumed.size() == 1);
  const std::string one = first.requests()[0];
  const std::string two = second.requests()[0];
  const bool named = one.find("last-event-id: 2\r\n") != std::string::npos ||
                     two.find("last-event-id: 2\r\n") != std::string::npos;
  CHECK(named);
}

TEST_CASE("a stream that can't go on is cut and doesn't look complete") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n") +
             Chunk(Event(1))),
        Wait(50), CloseNow()};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const CallResult seen = Call(fixture, Request("/stream/", "i"));
  CHECK(seen.m_closed);
  CHECK(seen.m_bytes.ends_with(Chunk(Event(1))));
}

TEST_CASE("events out of order are never passed on") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n") +
             Chunk(Event(1)) + Chunk(Event(3)) + "0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const CallResult seen = Call(fixture, Request("/stream/", "i"));
  CHECK(seen.m_bytes.find("id: 3") == std::string::npos);
  CHECK_FALSE(IsCompleteResponse(seen.m_bytes));
}

TEST_CASE("the work of a caller that left is stopped within half a second") {
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{AwaitClose()}; });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  (void)Call(fixture, Request("/safe/", "i"), 100);
  fixture.m_loop.RunFor(300);
  for (int i = 0; i < 100 && server.peer_closes() == 0; ++i)
    fixture.m_loop.RunFor(5);
  CHECK(server.peer_closes() == 1);
  CHECK(fixture.m_forwarder->state().m_backends.at("s0").m_in_flight == 0);
}

TEST_CASE("a leaving server gets no new work and finishes what it has") {
  ScriptedServer leaving([](const std::string& request) {
    std::vector<ScriptStep> steps = MakeResponse(request, "done");
    steps.insert(steps.begin(), Wait(200));
    return steps;
  });
  ScriptedServer other([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  std::thread drain;
  const CallResult first = Call(fixture, Request("/once/", "i"));
  CHECK(first.body() == "done");
  fixture.Register("s1", other);
  fixture.Register("s0", leaving, wire::ServerStage::LEAVING);
  for (int i = 0; i < 8; ++i)
    CHECK(Call(fixture, Request("/once/", "j" + std::to_string(i))).body() == "ok");
  CHECK(leaving.requests().size() == 1);
}

TEST_CASE("without a server a request is refused early, with a time to come back") {
  ForwarderFixture fixture;
  const CallResult seen = Call(fixture, Request("/safe/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_elapsed_ms < 150);  // The latency target is 400 ms.
  CHECK(seen.m_bytes.find("retry-after: 0.") != std::string::npos);
  CHECK(fixture.Refusals("no_backend") == 1);
}

TEST_CASE("at its deadline a request gets its final answer, whatever its server does") {
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{AwaitClose()}; });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const CallResult patient = Call(fixture, Request("/once/", "i", "X-Deadline-Ms: 300\r\n"));
  CHECK(patient.status() == 504);
  CHECK(patient.m_elapsed_ms < 500);
  const CallResult route = Call(fixture, Request("/once/", "j"));
  CHECK(route.status() == 504);
  CHECK(route.m_elapsed_ms < 1'800);
}

TEST_CASE("a workspace over its limit gets 429 and nothing runs for it") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(Document(1, "key", 100));
  fixture.Register("s0", server);
  CHECK(Call(fixture, Request("/safe/", "i", "X-Token-Count: 400,100\r\n")).status() == 200);
  const CallResult seen = Call(fixture, Request("/safe/", "j"));
  CHECK(seen.status() == 429);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
  CHECK(server.requests().size() == 1);
}

TEST_CASE("what waits in the queue is served by its route's urgency") {
  Forwarding urgent;
  Forwarding other;
  Route first;
  Route second;
  second.m_tier = 2;
  urgent.m_route = std::make_shared<const Route>(first);
  urgent.m_ref = 9;
  other.m_route = std::make_shared<const Route>(second);
  other.m_ref = 1;
  const WaitingOrder a{urgent.m_tier, first.m_tier, 0, urgent.m_ref};
  const WaitingOrder b{other.m_tier, second.m_tier, 0, other.m_ref};
  CHECK(a < b);
}

// Guards against gateways that run out of memory while large configurations follow each other and
// requests last: each kept the whole configuration of its arrival.
TEST_CASE("a request in progress doesn't keep a configuration that was replaced") {
  ScriptedServer server([](const std::string& request) {
    std::vector<ScriptStep> steps = MakeResponse(request, "ok");
    steps.insert(steps.begin(), Wait(200));
    return steps;
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  const std::weak_ptr<const RouteTable> replaced = fixture.m_forwarder->state().m_table;
  BackgroundCall call(fixture, Request("/once/", "i"));
  fixture.RunUntil([&server] { return !server.requests().empty(); });
  fixture.Adopt(2, Document(2, "key"));
  CHECK(replaced.expired());
  CHECK(call.AwaitResponse(fixture).status() == 200);
}

TEST_CASE("a planned stop is unready at once, serves for a while, then sends callers away unrun") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  fixture.m_forwarder->BeginShutdown(ReadClock());
  const CallResult served = Call(fixture, Request("/once/", "i"));
  CHECK(served.status() == 200);
  CHECK(served.m_bytes.find("connection: close\r\n") != std::string::npos);
  CHECK_FALSE(fixture.m_forwarder->ShutdownComplete());
  fixture.m_forwarder->state().m_shutdown_started = ReadClock() - Duration(6'500'000);
  const CallResult away = Call(fixture, Request("/once/", "j"));
  CHECK(away.status() == 503);
  // Any other instance can serve the request now.
  CHECK(away.m_bytes.find("retry-after: 0.000\r\n") != std::string::npos);
  CHECK(away.m_bytes.find("connection: close\r\n") != std::string::npos);
  CHECK(server.requests().size() == 1);
  CHECK(fixture.m_forwarder->ShutdownComplete());
}

TEST_CASE("a stopping instance still serves what must end before the stop's limit") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  fixture.m_forwarder->BeginShutdown(ReadClock());
  fixture.m_forwarder->state().m_shutdown_started = ReadClock() - Duration(3'500'000);
  CHECK(Call(fixture, Request("/once/", "j")).status() == 200);
  fixture.m_forwarder->state().m_shutdown_started = ReadClock() - Duration(6'500'000);
  CHECK(Call(fixture, Request("/once/", "k")).status() == 503);
  CHECK(server.requests().size() == 1);
}

// Guards against callers whose connection closes without an answer at the end of a planned stop:
// they can't tell whether their request ran.
TEST_CASE("what a planned stop can't wait for is answered before the process ends") {
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{Wait(1'000)}; });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  fixture.m_forwarder->BeginShutdown(ReadClock());
  BackgroundCall sent(fixture, Request("/once/", "sent"));
  fixture.RunUntil([&server] { return !server.requests().empty(); });
  ForwarderState& state = fixture.m_forwarder->state();
  state.m_shutdown_started = ReadClock() - state.m_settings.m_shutdown_timeout;
  const CallResult result = sent.AwaitResponse(fixture);
  CHECK(result.status() == 502);
  CHECK(IsCompleteResponse(result.m_bytes));
  CHECK(result.m_elapsed_ms < 900);
  CHECK(fixture.m_forwarder->ShutdownComplete());
}

// Guards against requests that are taken late and cut: a process that was paused handles the stop
// signal after it was sent, and is killed that much earlier than it counts.
TEST_CASE("a stop signal that was handled late counts from the last tick before it") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  CHECK(Call(fixture, Request("/once/", "before")).status() == 200);
  constexpr Duration kPause{7'000'000};
  fixture.m_forwarder->BeginShutdown(ReadClock() + kPause);
  ForwarderState& state = fixture.m_forwarder->state();
  CHECK(state.m_signal_delay >= kPause);
  state.m_shutdown_started = ReadClock();  // As if the pause had just ended.
  CHECK(Call(fixture, Request("/once/", "late")).status() == 503);
  CHECK_FALSE(fixture.m_forwarder->ShutdownComplete());
  state.m_signal_delay = Duration(0);
  CHECK(Call(fixture, Request("/once/", "punctual")).status() == 200);
  CHECK(server.requests().size() == 2);
}

TEST_CASE("an answer that began before a planned stop closes its connection when it ends") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n") +
             Chunk(Event(1))),
        Wait(200), Send(Chunk(Event(2)) + "0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  RepeatingTimer stop(fixture.m_loop, 100,
                      [&fixture] { fixture.m_forwarder->BeginShutdown(ReadClock()); });
  const CallResult seen = Call(fixture, Request("/stream/", "i"), 800, true);
  CHECK(IsCompleteResponse(seen.m_bytes));
  CHECK(seen.m_closed);
}

}  // namespace
}  // namespace poppyway
