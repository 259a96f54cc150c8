// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Guards against a part of prompts that crashes server after server: no two of the requests are
// alike, so that no single request is ever found.
#include "fake_broker.h"

namespace poppyway {
namespace {

constexpr int kServers = 10;
constexpr int kMostCrashes = 3;     // Servers that end before the part is known.
constexpr int kRetryUnderWay = 1;   // A retry may cross the third crash.

/// Begins to write a response and ends the server if the prompt has the part `f1`.
std::vector<ScriptStep> CrashOnPart(const std::string& request) {
  if (request.find("f1:") == std::string::npos)
    return MakeOkResponse(request);
  return {Send(MakeResponseHead(request, "content-length: 10\r\n") + "ab"), Wait(5), Crash()};
}

/// Servers before a forwarder without a broker.
struct PartsFixture : ForwarderFixture {
  std::vector<std::unique_ptr<ScriptedServer>> m_servers;
  int m_next = 0;

  PartsFixture() {
    for (int i = 0; i < kServers; ++i) {
      m_servers.push_back(std::make_unique<ScriptedServer>(&CrashOnPart));
      Register("s" + std::to_string(i), *m_servers.back());
    }
  }
  [[nodiscard]] int Crashed() const {
    return static_cast<int>(std::count_if(m_servers.begin(), m_servers.end(),
                                          [](const auto& server) { return server->crashed(); }));
  }
  /// Sends a request that is like no other, with these parts before its own.
  CallResult Send(const std::string& parts) {
    const std::string number = std::to_string(++m_next);
    return Call(*this, Request("/safe/" + number, "p" + number,
                               "X-Prefix-Hash: " + parts + ",c" + number + ":60\r\n"));
  }
};

}  // namespace

TEST_CASE("requests with a part under which three servers ended are sent to no further server") {
  PartsFixture fixture;
  for (int i = 0; i < 8; ++i)
    CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  for (int i = 0; fixture.Crashed() < kMostCrashes && i < 2 * kMostCrashes; ++i)
    (void)fixture.Send("a0:60,b1:60,f1:60");
  fixture.m_loop.RunFor(50);
  for (int i = 0; i < 4; ++i)
    CHECK(fixture.Send("a0:60,f1:60").status() == 503);
  CHECK(fixture.Crashed() <= kMostCrashes + kRetryUnderWay);
  // The other parts of these prompts are sound.
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  CHECK(fixture.Send("a0:60").status() == 200);
}

}  // namespace poppyway
