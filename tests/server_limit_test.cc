// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Servers that state how many requests a second they take from all instances together.
//
// Guards against instances that go on as before, or each by itself, so that the sum is over what a
// server in need can take.
#include <catch2/catch.hpp>

#include "fake_broker.h"
#include "forwarder_fixture.h"

namespace poppyway {
namespace {

/// Returns the script of a server that states a limit in each response.
ScriptedServer::Script Stating(const std::string& per_s) {
  return [per_s](const std::string& request) {
    return std::vector<ScriptStep>{Send(
        MakeResponseHead(request, "server-limit: " + per_s + "\r\ncontent-length: 2\r\n") + "ok")};
  };
}

/// The most requests that may reach a server in four seconds.
double Allowed(double per_s) {
  return 1.5 * per_s * 4 + 5;
}

/// Sends requests one after the other for a time.
void SendFor(ForwarderFixture& fixture, Duration time) {
  const Instant begun = ReadClock();
  for (int i = 0; ReadClock() - begun < time; ++i)
    (void)Call(fixture, Request("/safe/", "r" + std::to_string(i)));
}

TEST_CASE("a server that states a limit gets no more requests, without a broker") {
  ScriptedServer limited(Stating("2"));
  ScriptedServer good(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", limited);
  fixture.Register("s1", good);
  SendFor(fixture, Duration(2'000'000));
  CHECK(limited.requests().size() >= 1);
  CHECK(static_cast<double>(limited.requests().size()) <= Allowed(2));
  CHECK(good.requests().size() > 2 * limited.requests().size());
}

}  // namespace
}  // namespace poppyway
