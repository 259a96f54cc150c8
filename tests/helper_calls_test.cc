// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Calls that an instance makes through another one, since it doesn't reach the server itself.
//
// Guards against an instance that refuses its callers, or reports sound servers as lost, while the
// other instances reach all servers.
#include "peer_relay_fixture.h"

namespace poppyway {
namespace {

/// \brief An instance whose paths to servers are broken, with a helper that reaches them. The
/// instance knows the servers at addresses of listeners on which no connection comes up; its helper
/// is scripted, since one address can't both be silent and respond.
struct CutOffInstance : ForwarderFixture {
  ScriptedServer m_helper;
  std::atomic<int> m_checks{0};

  explicit CutOffInstance(ScriptedServer::Script respond)
      : m_helper([this, respond = std::move(respond)](const std::string& request) {
          if (request.find(kRelayCheck) == std::string::npos)
            return respond(request);
          ++m_checks;
          return std::vector<ScriptStep>{Send("HTTP/1.1 204 No Content\r\n\r\n")};
        }) {
    Help({{"127.0.0.1", m_helper.port()}});
  }
  void Help(const std::vector<Endpoint>& helpers) {
    m_forwarder->HandleMessage(HelpersChanged{helpers});
  }
  void RegisterAt(const std::string& id, std::uint16_t port) {
    m_forwarder->HandleMessage(ServersChanged{{RecordAt(id, port, ++m_index)}});
  }
  [[nodiscard]] ForwarderState& state() { return m_forwarder->state(); }
};

TEST_CASE("a request goes through a helper when no connection to its server comes up") {
  const std::string path = GENERATE("/safe/x", "/once/x");
  SilentListener silent;
  CutOffInstance fixture(&MakeOkResponse);
  fixture.RegisterAt("s", silent.port());
  const CallResult seen = Call(fixture, Request(path, "r1"));
  CHECK(seen.status() == 200);
  CHECK(seen.body() == "ok");
  // The next one doesn't wait for a connection of its own.
  const CallResult next = Call(fixture, Request(path, "r2"));
  CHECK(next.status() == 200);
  CHECK(next.m_elapsed_ms < 150);
  CHECK(fixture.state().m_paths.m_cut_off);
  CHECK(fixture.state().m_backends.at("s").m_health.m_failures == 0);
}

TEST_CASE("a server that neither an instance nor its helper reaches is reported as unreachable") {
  const std::uint16_t closed = FreePort();
  CutOffInstance fixture([](const std::string&) {
    return std::vector<ScriptStep>{Send("HTTP/1.1 502 Bad\r\ncontent-length: 0\r\n" +
                                        FaultLine(RelayFault::kServerUnreachable) + "\r\n")};
  });
  FakeBroker broker(fixture);
  fixture.RegisterAt("gone", closed);
  BackgroundCall call(fixture, Request("/once/x", "r1"), 500);
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "gone");
  fixture.RunUntil([&] { return !broker.Reports().empty(); });
  REQUIRE_FALSE(broker.Reports().empty());
  const SlotReport report = broker.Reports()[0];
  CHECK(report.m_health_signal == HealthSignal::kUnreachable);
  CHECK_FALSE(report.m_may_have_run);
}

// Guards against a second wait for a server that is lost, at a helper, while others respond here.
TEST_CASE("a request leaves a server that is lost at once while others respond") {
  SilentListener silent;
  CutOffInstance fixture(&MakeOkResponse);
  ScriptedServer sound([](const std::string& request) {
    std::vector<ScriptStep> steps = MakeOkResponse(request);
    steps.insert(steps.begin(), Wait(150));
    return steps;
  });
  fixture.RegisterAt("lost", silent.port());
  fixture.RegisterAt("sound", sound.port());
  FakeBroker broker(fixture);
  BackgroundCall first(fixture, Request("/once/x", "r1"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 1; });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "lost");
  BackgroundCall second(fixture, Request("/once/y", "r2"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "sound");
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 3; });
  REQUIRE(broker.SlotRequests().size() == 3);
  SendSlotResponse(fixture, broker.SlotRequests()[2].m_ref, SlotVerdict::kPlaced, "sound");
  CHECK(first.AwaitResponse(fixture).status() == 200);
  CHECK(second.AwaitResponse(fixture).status() == 200);
  CHECK(sound.requests().size() == 2);
}

TEST_CASE("a slot whose request went through a helper is reported like any other") {
  SilentListener silent;
  CutOffInstance fixture(&MakeOkResponse);
  FakeBroker broker(fixture);
  fixture.RegisterAt("s", silent.port());
  BackgroundCall call(fixture, Request("/once/x", "r1"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s");
  CHECK(call.AwaitResponse(fixture).status() == 200);
  CHECK(broker.SlotRequests().size() == 1);
  REQUIRE(broker.Reports().size() == 1);
  CHECK(broker.Reports()[0].m_health_signal == HealthSignal::kSuccess);
  CHECK(broker.Reports()[0].m_connect == Duration(0));
}

TEST_CASE("a request goes to the next helper when one can't help") {
  SilentListener silent;
  const std::uint16_t closed = FreePort();
  CutOffInstance fixture(&MakeOkResponse);
  ScriptedServer unwilling([](const std::string&) {
    return std::vector<ScriptStep>{Send("HTTP/1.1 502 Bad\r\ncontent-length: 0\r\n" +
                                        FaultLine(RelayFault::kUnavailable) + "\r\n")};
  });
  fixture.RegisterAt("s", silent.port());
  fixture.Help({{"127.0.0.1", closed},
                {"127.0.0.1", unwilling.port()},
                {"127.0.0.1", fixture.m_helper.port()}});
  CHECK(Call(fixture, Request("/once/x", "r1")).status() == 200);
}

TEST_CASE("a request that no helper passes on is refused at once, truly as not run") {
  SilentListener silent;
  CutOffInstance fixture([](const std::string&) {
    return std::vector<ScriptStep>{Send("HTTP/1.1 502 Bad\r\ncontent-length: 0\r\n" +
                                        FaultLine(RelayFault::kUnavailable) + "\r\n")};
  });
  fixture.RegisterAt("s", silent.port());
  (void)Call(fixture, Request("/once/x", "r1"));
  const CallResult seen = Call(fixture, Request("/once/x", "r2"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_elapsed_ms < 700);
}

// Guards against instances that each met one dead server and take each other's doubt for their own
// loss of all servers.
TEST_CASE("a request whose server is gone goes to another one when no helper can tell why") {
  const std::uint16_t closed = FreePort();
  CutOffInstance fixture([](const std::string&) {
    return std::vector<ScriptStep>{Send("HTTP/1.1 502 Bad\r\ncontent-length: 0\r\n" +
                                        FaultLine(RelayFault::kUnavailable) + "\r\n")};
  });
  ScriptedServer sound(&MakeOkResponse);
  fixture.RegisterAt("gone", closed);
  fixture.RegisterAt("sound", sound.port());
  FakeBroker broker(fixture);
  BackgroundCall call(fixture, Request("/once/x", "r1"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 1; });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "gone");
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  REQUIRE(broker.SlotRequests().size() == 2);
  CHECK(broker.SlotRequests()[1].m_tried == std::vector<std::string>{"gone"});
  SendSlotResponse(fixture, broker.SlotRequests()[1].m_ref, SlotVerdict::kPlaced, "sound");
  CHECK(call.AwaitResponse(fixture).status() == 200);
}

// Guards against an instance that stays with helpers that are cut off as well, and is named as a
// helper itself.
TEST_CASE("an instance that nobody can tell why it reaches no server helps nobody") {
  SilentListener silent;
  CutOffInstance fixture(&MakeOkResponse);
  const std::uint16_t closed = FreePort();
  fixture.Help({{"127.0.0.1", closed}});
  fixture.RegisterAt("s", silent.port());
  CHECK(fixture.m_forwarder->ReachesServers());
  (void)Call(fixture, Request("/once/x", "r1"));
  CHECK_FALSE(fixture.m_forwarder->ReachesServers());
  CHECK_FALSE(fixture.state().m_paths.m_cut_off);
}

TEST_CASE("what broke off at a helper after it was sent isn't called not run") {
  SilentListener silent;
  CutOffInstance fixture([](const std::string&) { return std::vector<ScriptStep>{ResetNow()}; });
  fixture.RegisterAt("s", silent.port());
  CHECK(Call(fixture, Request("/once/x", "r1")).status() == 502);
}

TEST_CASE("a server that a helper reaches isn't reported as crashed") {
  SilentListener silent;
  CutOffInstance fixture(&MakeOkResponse);
  int reports = 0;
  fixture.m_forwarder->SetCrashReportPort(
      {[&](const CrashReport& report) { reports += report.m_crash.m_process != 0 ? 1 : 0; }});
  ScriptedServer breaking([](const std::string&) { return std::vector<ScriptStep>{Crash()}; });
  fixture.RegisterAt("s", breaking.port());
  (void)Call(fixture, Request("/once/x", "r1"));
  fixture.m_loop.RunFor(100);
  CHECK(fixture.m_checks.load() > 0);
  CHECK(reports == 0);
}

TEST_CASE("an instance that reaches a server again calls it itself") {
  CutOffInstance fixture(&MakeOkResponse);
  ScriptedServer server(&MakeOkResponse);
  fixture.RegisterAt("s", server.port());
  (void)RecordBrokenPath(fixture.state().m_paths, "s", 1, ReadClock());
  REQUIRE(fixture.state().m_paths.m_cut_off);
  fixture.RunUntil([&] { return !fixture.state().m_paths.m_cut_off; });
  CHECK_FALSE(fixture.state().m_paths.m_cut_off);
  CHECK(Call(fixture, Request("/safe/x", "r1")).status() == 200);
  CHECK(server.requests().size() == 1);
}

// Guards against an instance that takes the silence of one server for a lost path.
TEST_CASE("a server that is silent for a second keeps its calls") {
  CutOffInstance fixture(&MakeOkResponse);
  ScriptedServer server([](const std::string& request) {
    std::vector<ScriptStep> steps = MakeOkResponse(request);
    steps.insert(steps.begin(), Wait(1'100));
    return steps;
  });
  fixture.RegisterAt("s", server.port());
  CHECK(Call(fixture, Request("/safe/x", "r1")).status() == 200);
  CHECK(server.requests().size() == 1);
  CHECK_FALSE(fixture.state().m_paths.m_cut_off);
}

/// Returns true if the peer resets the connection on which it sent a request.
bool WaitForReset(int listener) {
  const int fd = accept(listener, nullptr, nullptr);
  char buffer[4096];
  ssize_t got = 1;
  while (got > 0)
    got = recv(fd, buffer, sizeof(buffer), 0);
  const bool reset = got < 0 && errno == ECONNRESET;
  close(fd);
  return reset;
}

// Guards against requests that reach a server long after they were given up, all at once, when a
// cut between instance and server ends.
TEST_CASE("a request that was given up is taken back") {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(where);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&where), size) == 0);
  REQUIRE(listen(listener, 4) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&where), &size);
  std::atomic<bool> reset{false};
  std::thread server([&] { reset.store(WaitForReset(listener)); });
  ForwarderFixture fixture;
  fixture.m_forwarder->HandleMessage(ServersChanged{{RecordAt("s", ntohs(where.sin_port), 2)}});
  (void)Call(fixture, Request("/safe/x", "r1"), 100);
  fixture.m_loop.RunFor(300);
  shutdown(listener, SHUT_RDWR);
  server.join();
  close(listener);
  CHECK(reset.load());
}

TEST_CASE("an instance that shuts down passes nothing more on") {
  ScriptedServer server(&MakeOkResponse);
  HelperInstance helper;
  helper.Register("s", server.port());
  helper.forwarder().BeginShutdown(ReadClock());
  helper.Run();
  CHECK(Ask(helper.endpoint(), RelayRequest(server.port(), "GET", ""))
            .m_bytes.find(FaultLine(RelayFault::kUnavailable)) != std::string::npos);
}

}  // namespace
}  // namespace poppyway
