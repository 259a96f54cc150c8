// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// An instance and backend servers that restart under the same id.
#include "fake_broker.h"
#include "forwarder_fixture.h"

namespace poppyway {
namespace {

constexpr Duration kRestartNoticeDelay{1'500'000};  // Same value as in restarts.cc.
constexpr Duration kLonger = kRestartNoticeDelay + Duration(100'000);

/// Returns a document whose route timeouts are longer than the time until a lost call is ended.
std::string PatientDocument() {
  std::string text = Document(1, "key");
  const std::string shorter = "\"timeout_ms\":1500";
  for (std::size_t at = text.find(shorter); at != std::string::npos; at = text.find(shorter, at))
    text.replace(at, shorter.size(), "\"timeout_ms\":9000");
  return text;
}

std::vector<ScriptStep> Silence(const std::string& /*request*/) {
  return {AwaitClose()};
}

void RegisterStarted(ForwarderFixture& fixture,
                     const std::string& id,
                     const ScriptedServer& server,
                     std::int64_t started_ms) {
  wire::ServerRecord record = fixture.Record(id, server);
  record.born = started_ms;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
}

const Backend& BackendOf(ForwarderFixture& fixture, const std::string& id) {
  return fixture.m_forwarder->state().m_backends.at(id);
}

void RunFor(ForwarderFixture& fixture, Duration time) {
  const Instant begun = ReadClock();
  while (ReadClock() - begun < time)
    fixture.m_loop.RunFor(5);
}

void AwaitRequests(ForwarderFixture& fixture, const ScriptedServer& server, std::size_t count) {
  fixture.RunUntil([&] { return server.requests().size() >= count; });
  REQUIRE(server.requests().size() == count);
}

TEST_CASE("a server that started again at its address or another one gets the work") {
  ScriptedServer old_server(&MakeOkResponse);
  ScriptedServer new_server(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterStarted(fixture, "s0", old_server, 5);
  CHECK(Call(fixture, Request("/once/", "a")).status() == 200);
  fixture.Register("s0", old_server, wire::ServerStage::GONE);
  CHECK(Call(fixture, Request("/once/", "b")).status() == 503);
  RegisterStarted(fixture, "s0", old_server, 9);
  CHECK(Call(fixture, Request("/once/", "c")).status() == 200);
  CHECK(old_server.requests().size() == 2);
  RegisterStarted(fixture, "s0", new_server, 12);
  CHECK(Call(fixture, Request("/once/", "d")).status() == 200);
  CHECK(new_server.requests().size() == 1);
}

TEST_CASE("late news of an earlier life changes nothing here") {
  ScriptedServer old_server(&MakeOkResponse);
  ScriptedServer new_server(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterStarted(fixture, "s0", new_server, 9);
  wire::ServerRecord late = fixture.Record("s0", old_server, wire::ServerStage::LEAVING);
  late.born = 5;
  fixture.m_forwarder->HandleMessage(ServersChanged{{late}});
  CHECK(Call(fixture, Request("/once/", "a")).status() == 200);
  CHECK(old_server.requests().empty());
}

TEST_CASE("a new life at the address of another server takes it over") {
  ScriptedServer server([](const std::string& request) {
    if (request.find("x-expect-instance: s0") != std::string::npos)
      return MakeResponse(request, "ok");
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-instance-id: s0\r\ncontent-length: 0\r\n\r\n")};
  });
  ScriptedServer away(Silence);
  ForwarderFixture fixture;
  RegisterStarted(fixture, "s0", away, 5);
  RegisterStarted(fixture, "s1", server, 5);
  RegisterStarted(fixture, "s0", server, 9);
  CHECK(BackendOf(fixture, "s1").m_replaced);
  for (int i = 0; i < 4; ++i)
    CHECK(Call(fixture, Request("/once/", "i" + std::to_string(i))).status() == 200);
  CHECK(server.requests().size() == 4);
}

TEST_CASE("calls at an earlier life neither count at the later one nor harm it") {
  ScriptedServer server([](const std::string& request) {
    std::vector<ScriptStep> steps = {Wait(150), ResetNow()};
    if (request.find("/safe/") != std::string::npos)
      steps = {AwaitClose()};
    return steps;
  });
  ForwarderFixture fixture;
  RegisterStarted(fixture, "s0", server, 5);
  BackgroundCall call(fixture, Request("/once/", "a"));
  AwaitRequests(fixture, server, 1);
  CHECK(BackendOf(fixture, "s0").m_in_flight == 1);
  RegisterStarted(fixture, "s0", server, 9);
  CHECK(BackendOf(fixture, "s0").m_in_flight == 0);
  CHECK(BackendOf(fixture, "s0").m_pending_prefill_tokens == 0);
  BackgroundCall next(fixture, Request("/safe/", "b"), 700);
  AwaitRequests(fixture, server, 2);
  CHECK(BackendOf(fixture, "s0").m_in_flight == 1);
  CHECK(call.AwaitResponse(fixture).status() == 502);
  CHECK(BackendOf(fixture, "s0").m_in_flight == 1);
  CHECK(BackendOf(fixture, "s0").m_health == ServerHealth{});
  (void)next.AwaitResponse(fixture);
  fixture.RunUntil([&] { return BackendOf(fixture, "s0").m_in_flight == 0; });
  CHECK(BackendOf(fixture, "s0").m_in_flight == 0);
}

TEST_CASE("a first birth that is told is that of the calls under way") {
  ScriptedServer server(Silence);
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  BackgroundCall call(fixture, Request("/once/", "a"), 400);
  AwaitRequests(fixture, server, 1);
  RegisterStarted(fixture, "s0", server, 5);
  CHECK(BackendOf(fixture, "s0").m_in_flight == 1);
  (void)call.AwaitResponse(fixture);
  fixture.RunUntil([&] { return BackendOf(fixture, "s0").m_in_flight == 0; });
  CHECK(BackendOf(fixture, "s0").m_in_flight == 0);
}

TEST_CASE("a silent call to an earlier life ends once: repeated if it may be, else unsure") {
  ScriptedServer silent(Silence);
  ScriptedServer good([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(PatientDocument());
  RegisterStarted(fixture, "s0", silent, 5);
  BackgroundCall once(fixture, Request("/once/", "a", "X-Deadline-Ms: 8000\r\n"));
  BackgroundCall safe(fixture, Request("/safe/", "b", "X-Deadline-Ms: 8000\r\n"));
  AwaitRequests(fixture, silent, 2);
  RunFor(fixture, kLonger);
  fixture.Register("s1", good);
  RegisterStarted(fixture, "s0", silent, 9);
  const CallResult seen = once.AwaitResponse(fixture);
  CHECK(seen.status() == 502);
  CHECK(seen.m_bytes.find("server_restarted") != std::string::npos);
  CHECK(safe.AwaitResponse(fixture).body() == "ok");
  CHECK(silent.requests().size() == 2);
  CHECK(good.requests().size() == 1);
  CHECK(fixture.Refusals("outcome_unknown") == 1);
  CHECK(BackendOf(fixture, "s0").m_in_flight == 0);
}

TEST_CASE("a call that went out shortly before the news may be the new life's and goes on") {
  ScriptedServer server([](const std::string& request) {
    std::vector<ScriptStep> steps = MakeResponse(request, "late");
    steps.insert(steps.begin(), Wait(2'000));
    return steps;
  });
  ForwarderFixture fixture(PatientDocument());
  RegisterStarted(fixture, "s0", server, 5);
  BackgroundCall call(fixture, Request("/once/", "a", "X-Deadline-Ms: 8000\r\n"));
  AwaitRequests(fixture, server, 1);
  RegisterStarted(fixture, "s0", server, 9);
  const CallResult seen = call.AwaitResponse(fixture);
  CHECK(seen.status() == 200);
  CHECK(seen.body() == "late");
}

TEST_CASE("a stream of an earlier life that still comes goes on until it falls silent") {
  ScriptedServer server([](const std::string& request) {
    std::vector<ScriptStep> steps = {
        Send(MakeResponseHead(request, "transfer-encoding: chunked\r\n"))};
    for (int i = 1; i <= 4; ++i) {
      steps.push_back(Send(Chunk(Event(i))));
      steps.push_back(Wait(600));
    }
    steps.push_back(Send("0\r\n\r\n"));
    return steps;
  });
  ForwarderFixture fixture(PatientDocument());
  RegisterStarted(fixture, "s0", server, 5);
  BackgroundCall call(fixture, Request("/stream/", "a", "X-Deadline-Ms: 8000\r\n"));
  AwaitRequests(fixture, server, 1);
  RunFor(fixture, kLonger);
  RegisterStarted(fixture, "s0", server, 9);
  const CallResult seen = call.AwaitResponse(fixture);
  CHECK(seen.m_bytes.ends_with("0\r\n\r\n"));
  CHECK(seen.m_bytes.find("id: 4") != std::string::npos);
}

TEST_CASE("a place at a life that this instance has not heard of is used, where that life is") {
  ScriptedServer old_server(&MakeOkResponse);
  ScriptedServer new_server(&MakeOkResponse);
  ForwarderFixture fixture;
  RegisterStarted(fixture, "s0", old_server, 5);
  wire::ServerRecord drained = fixture.Record("s0", old_server, wire::ServerStage::LEAVING);
  drained.born = 5;
  fixture.m_forwarder->HandleMessage(ServersChanged{{drained}});
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/", "a"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SlotResponse answer;
  answer.m_ref = broker.SlotRequests().at(0).m_ref;
  answer.m_server = "s0";
  answer.m_started_ms = 9;
  answer.m_address = "127.0.0.1";
  answer.m_port = new_server.port();
  fixture.m_forwarder->HandleMessage(SlotResponses{1, {answer}});
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(new_server.requests().size() == 1);
  CHECK(old_server.requests().empty());
  // The outdated record that arrives later changes nothing.
  fixture.m_forwarder->HandleMessage(ServersChanged{{drained}});
  CHECK_FALSE(BackendOf(fixture, "s0").m_leaving);
}

TEST_CASE("what is held is told to a new broker with the life where it is held") {
  ScriptedServer server(Silence);
  ForwarderFixture fixture;
  RegisterStarted(fixture, "s0", server, 5);
  BackgroundCall call(fixture, Request("/once/", "a"), 400);
  AwaitRequests(fixture, server, 1);
  RegisterStarted(fixture, "s0", server, 9);
  FakeBroker broker(fixture);
  REQUIRE_FALSE(broker.m_batches.empty());
  REQUIRE(broker.m_batches[0].m_held.size() == 1);
  CHECK(broker.m_batches[0].m_held[0].m_server == "s0");
  CHECK(broker.m_batches[0].m_held[0].m_started_ms == 5);
  (void)call.AwaitResponse(fixture);
  // The end of the call is reported to the broker, which must outlive it.
  fixture.RunUntil([&] { return fixture.m_forwarder->state().m_forwardings.empty(); });
  CHECK(broker.m_batches.back().m_reports.size() == 1);
}

}  // namespace
}  // namespace poppyway
