// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Requests that reach an instance before it knows the configuration.
#include <catch2/catch.hpp>

#include "forwarder_fixture.h"

namespace poppyway {
namespace {

constexpr std::uint64_t kConfiguredAfterMillis = 60;
const std::string kTimeoutField = "X-Deadline-Ms: 1500\r\n";

/// Puts the forwarder into the state of an instance that has just started.
void ForgetConfiguration(ForwarderFixture& fixture) {
  fixture.m_forwarder->state().m_table = nullptr;
  fixture.m_forwarder->state().m_confirmed_until = Instant{};
}

TEST_CASE("a request that comes before the configuration is known is served once it is") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  ForgetConfiguration(fixture);
  int ticks = 0;
  // The document arrives first: keys aren't accepted before the leader has confirmed it.
  RepeatingTimer later(fixture.m_loop, kConfiguredAfterMillis, kConfiguredAfterMillis, [&] {
    ++ticks;
    if (ticks == 1)
      fixture.Adopt(2, Document(2, "key"));
    if (ticks == 2)
      fixture.Confirm(Duration(60'000'000));
    return true;
  });
  const CallResult seen = Call(fixture, Request("/safe/", "i", kTimeoutField));
  CHECK(seen.status() == 200);
  CHECK(seen.body() == "ok");
  CHECK(seen.m_elapsed_ms >= static_cast<int>(kConfiguredAfterMillis));
  CHECK(Call(fixture, Request("/safe/", "j", kTimeoutField)).status() == 200);
}

TEST_CASE("without a configuration a request is refused after half of its caller's patience") {
  ForwarderFixture fixture;
  ForgetConfiguration(fixture);
  const CallResult seen = Call(fixture, Request("/safe/", "i", kTimeoutField));
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
  CHECK(seen.m_elapsed_ms >= 740);
  CHECK(seen.m_elapsed_ms < 1000);
}

TEST_CASE("a confirmation that has run out before it came doesn't end an instance's start") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  fixture.m_forwarder->state().m_confirmed_until = {};
  // A confirmation of an instance that never reached a leader is computed as long before now.
  fixture.m_forwarder->HandleMessage(ConfirmedUntil{Instant{} + Duration(4'500'000)});
  RepeatingTimer late(fixture.m_loop, 50, [&fixture] { fixture.Confirm(Duration(60'000'000)); });
  CHECK(Call(fixture, Request("/once/", "i", "X-Deadline-Ms: 1500\r\n")).status() == 200);
}

TEST_CASE("an instance that stops before it knows the configuration refuses at once") {
  ForwarderFixture fixture;
  ForgetConfiguration(fixture);
  fixture.m_forwarder->BeginShutdown(ReadClock());
  const CallResult seen = Call(fixture, Request("/safe/", "i", kTimeoutField));
  CHECK(seen.status() == 503);
  CHECK(seen.m_elapsed_ms < 100);
}

}  // namespace
}  // namespace poppyway
