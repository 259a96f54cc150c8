// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Machines that are suspended for a time.
//
// Guards against leases and deadlines that last longer at a machine which was suspended, since the
// steady clock stands still meanwhile: such an instance kept using keys that had been revoked.
#include <sys/syscall.h>

#include <atomic>

#include "forwarder_fixture.h"

namespace {

std::atomic<long> g_suspended_s{0};  // Time for which the machine has been suspended so far.
std::atomic<long> g_stepped_s{0};    // By how much the time of day has been stepped ahead so far.

}  // namespace

/// Replaces the library's function in this program. Of the clocks, only the monotonic one doesn't
/// count the time for which the machine was suspended.
extern "C" int clock_gettime(clockid_t clock, timespec* now) {
  const long result = syscall(SYS_clock_gettime, clock, now);
  if (clock != CLOCK_MONOTONIC)
    now->tv_sec += g_suspended_s.load();
  if (clock == CLOCK_REALTIME)
    now->tv_sec += g_stepped_s.load();
  return static_cast<int>(result);
}

namespace poppyway {
namespace {

/// Suspends the machine for some seconds, in no time for the test.
void Suspend(long seconds) {
  g_suspended_s += seconds;
}

TEST_CASE("the clock counts the time for which the machine was suspended") {
  const Instant before = ReadClock();
  Suspend(10);
  CHECK(ReadClock() - before >= Duration(10'000'000));
  CHECK(ReadClock() - before < Duration(11'000'000));
}

// Guards against ages that jump with the time of day: keys of requests that ran, and requests that
// crash servers, would be forgotten early.
TEST_CASE("the wall clock doesn't jump when the time of day steps") {
  constexpr long kHour = 3'600;
  for (const long step : {kHour, -2 * kHour, kHour}) {
    const std::int64_t before = ReadWallMillis();
    g_stepped_s += step;
    Suspend(2);  // The time of day is read once a second.
    const std::int64_t shown = ReadWallMillis() - before;
    CHECK(shown >= 1'950);
    CHECK(shown <= 2'250);
  }
}

// Guards against steps that leave no trace: which wait held up a configuration can be told from
// logs.
TEST_CASE("a step of the time of day shows in the offset of the wall clock at once") {
  constexpr long kStep = 2;
  for (const long step : {kStep, -2 * kStep, kStep}) {
    const Duration before = ReadWallOffset();
    g_stepped_s += step;
    const Duration change = ReadWallOffset() - before;
    CHECK(std::chrono::abs(change - std::chrono::seconds(step)) < Duration(50'000));
  }
}

// Guards against a library that reads another clock than the program's definition: its timers would
// stand still, or all fire, when the time of day steps.
TEST_CASE("the timers of an event loop count by the loop's clock, over suspensions too") {
  EventLoop loop;
  int ticks = 0;
  const RepeatingTimer timer(loop, 60'000, [&ticks] { ++ticks; });
  loop.RunFor(20);
  CHECK(ticks == 0);
  Suspend(61);
  loop.RunFor(20);
  CHECK(ticks == 1);
  const std::int64_t shown = ReadWallTime().count() / 1000;
  CHECK(std::abs(shown - static_cast<std::int64_t>(h2o_now(loop.loop()))) < 1'000);
}

TEST_CASE("an instance that was suspended past its confirmation relies on no key") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  fixture.Confirm(Duration(60'000'000));
  CHECK(Call(fixture, Request("/safe/", "before")).status() == 200);
  Suspend(120);
  const CallResult result = Call(fixture, Request("/safe/", "after"));
  CHECK(result.status() == 503);
  CHECK(result.body().starts_with("not_confirmed"));
  CHECK(server.requests().size() == 1);
}

TEST_CASE("a request whose deadline passed while its instance was suspended is not sent") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  fixture.Confirm(Duration(3'600'000'000));
  BackgroundCall call(fixture, Request("/safe/", "waits"));
  fixture.RunUntil([&] { return !fixture.m_forwarder->state().m_forwardings.empty(); });
  Suspend(5);
  fixture.Register("s0", server);
  CHECK(call.AwaitResponse(fixture).status() == 503);
  CHECK(server.requests().empty());
}

}  // namespace
}  // namespace poppyway
