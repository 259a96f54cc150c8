// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Calls of other instances that an instance passes on to backend servers, as a helper.
#include "peer_relay_fixture.h"

namespace poppyway {
namespace {

TEST_CASE("a helper passes a request and its response on unchanged") {
  const std::string body = GENERATE(std::string(), std::string("abc"), std::string(300'000, 'y'));
  ScriptedServer server([&](const std::string& request) { return MakeResponse(request, "whole"); });
  HelperInstance helper;
  helper.Register("s", server.port());
  helper.Run();
  const CallResult seen = Ask(helper.endpoint(), RelayRequest(server.port(), "POST", body));
  CHECK(seen.status() == 200);
  CHECK(seen.body() == "whole");
  CHECK(seen.m_bytes.find("x-response-seal: s") != std::string::npos);
  REQUIRE(server.requests().size() == 1);
  const std::string received = server.requests()[0];
  CHECK(received.starts_with("POST /safe/x?q=1 HTTP/1.1\r\nhost: a.example\r\n"));
  CHECK(received.find("x-other: kept") != std::string::npos);
  CHECK(received.find(kRelayTo) == std::string::npos);
  CHECK(received.ends_with("\r\n\r\n" + body));
}

TEST_CASE("a helper tells whether it reaches a server, and sends nothing for it") {
  ScriptedServer server(&MakeOkResponse);
  HelperInstance helper;
  helper.Register("s", server.port());
  helper.Run();
  const CallResult seen = Ask(helper.endpoint(), CheckOf(server.port()));
  CHECK(seen.status() == 204);
  CHECK(seen.m_bytes.find(kRelayFault) == std::string::npos);
  CHECK(server.requests().empty());
}

TEST_CASE("a helper that has heard of no server can't tell that one is unreachable") {
  HelperInstance helper;
  const std::uint16_t closed = FreePort();
  helper.Register("gone", closed);
  helper.Run();
  CHECK(Ask(helper.endpoint(), CheckOf(closed)).m_bytes.find(FaultLine(RelayFault::kUnavailable)) !=
        std::string::npos);
}

// Guards against a helper that is cut off a moment after it was in contact: it reports sound
// servers as lost, and the instance that asked as crashed.
TEST_CASE("a helper that has just lost all servers can't tell that one is lost") {
  HelperInstance helper;
  auto server = std::make_unique<ScriptedServer>(&MakeOkResponse);
  const std::uint16_t port = server->port();
  helper.Register("s", port);
  helper.Run();
  REQUIRE(Ask(helper.endpoint(), CheckOf(port)).status() == 204);
  server.reset();
  CHECK(Ask(helper.endpoint(), CheckOf(port)).m_bytes.find(FaultLine(RelayFault::kUnavailable)) !=
        std::string::npos);
}

TEST_CASE("a helper that reaches others tells that a server is unreachable") {
  ScriptedServer server(&MakeOkResponse);
  HelperInstance helper;
  const std::uint16_t closed = FreePort();
  helper.Register("s", server.port());
  helper.Register("gone", closed);
  helper.Run();
  CHECK(Ask(helper.endpoint(), CheckOf(server.port())).status() == 204);
  const std::string fault = FaultLine(RelayFault::kServerUnreachable);
  CHECK(Ask(helper.endpoint(), CheckOf(closed)).m_bytes.find(fault) != std::string::npos);
  CHECK(Ask(helper.endpoint(), RelayRequest(closed, "GET", "")).m_bytes.find(fault) !=
        std::string::npos);
}

TEST_CASE("a helper passes nothing on to an address that is no server's") {
  ScriptedServer server(&MakeOkResponse);
  HelperInstance helper;
  helper.Run();
  const CallResult seen = Ask(helper.endpoint(), RelayRequest(server.port(), "GET", ""));
  CHECK(seen.m_bytes.find(FaultLine(RelayFault::kUnavailable)) != std::string::npos);
  CHECK(server.connections() == 0);
}

TEST_CASE("a helper says that a server may have run what broke off") {
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{ResetNow()}; });
  HelperInstance helper;
  helper.Register("s", server.port());
  helper.Run();
  const CallResult seen = Ask(helper.endpoint(), RelayRequest(server.port(), "GET", ""));
  CHECK(seen.m_bytes.find(FaultLine(RelayFault::kBroken)) != std::string::npos);
}

TEST_CASE("a helper cuts off a response that the server cuts off") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request, "content-length: 10\r\n") + "short"), ResetNow()};
  });
  HelperInstance helper;
  helper.Register("s", server.port());
  helper.Run();
  CHECK_FALSE(
      IsCompleteResponse(Ask(helper.endpoint(), RelayRequest(server.port(), "GET", "")).m_bytes));
}

}  // namespace
}  // namespace poppyway
