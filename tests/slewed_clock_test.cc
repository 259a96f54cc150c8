// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/core.h"

namespace poppyway {
namespace {

constexpr Duration kSecond{1'000'000};
constexpr Duration kNoon{1'700'000'000'000'000};  // A time of day.
constexpr Instant kBegin{Duration{5'000'000}};

/// Reads the clock once a second for `seconds`, while the time of day is `ahead` of a steady one.
SlewedClock RunSteadily(SlewedClock clock, Duration ahead, int seconds) {
  for (int i = 0; i < seconds; ++i) {
    const Instant now = clock.m_set_at + kSecond;
    clock = CompareSlewed(clock, now, kNoon + (now - kBegin) + ahead);
  }
  return clock;
}

TEST_CASE("a slewed clock shows the time of day while that doesn't step") {
  const SlewedClock clock = RunSteadily({kBegin, kNoon, Duration(0)}, Duration(0), 100);
  CHECK(SlewedTime(clock, clock.m_set_at) == kNoon + 100 * kSecond);
}

// Guards against timers that stand still, or all fire, when the time of day steps.
TEST_CASE("a slewed clock neither stands still nor jumps when the time of day steps") {
  for (const Duration step : {Duration(-100'000), -2 * kSecond, -3'600 * kSecond, Duration(100'000),
                              2 * kSecond, 3'600 * kSecond, -1'000'000 * kSecond}) {
    SlewedClock clock{kBegin, kNoon, Duration(0)};
    for (int i = 0; i < 20; ++i) {
      const Instant before = clock.m_set_at;
      const Instant now = before + kSecond;
      const Duration shown = SlewedTime(clock, now) - SlewedTime(clock, before);
      CHECK(shown >= kSecond * 99 / 100);
      CHECK(shown <= kSecond * 101 / 100);
      clock = CompareSlewed(clock, now, kNoon + (now - kBegin) + step);
    }
  }
}

TEST_CASE("a slewed clock reaches the time of day after a step") {
  const Duration step = 2 * kSecond;
  const SlewedClock clock = RunSteadily({kBegin, kNoon, Duration(0)}, step, 210);
  CHECK(SlewedTime(clock, clock.m_set_at) == kNoon + 210 * kSecond + step);
  const SlewedClock back = RunSteadily(clock, Duration(0), 210);
  CHECK(SlewedTime(back, back.m_set_at) == kNoon + 420 * kSecond);
}

TEST_CASE("steps in a row add up to nothing") {
  SlewedClock clock{kBegin, kNoon, Duration(0)};
  for (int i = 0; i < 50; ++i) {
    const Instant now = clock.m_set_at + kSecond / 10;
    const Duration ahead = i % 2 == 0 ? 30 * kSecond : -30 * kSecond;
    clock = CompareSlewed(clock, now, kNoon + (now - kBegin) + ahead);
  }
  const Duration off = SlewedTime(clock, clock.m_set_at) - (kNoon + 5 * kSecond);
  CHECK(off >= -kSecond / 100);
  CHECK(off <= kSecond / 100);
}

}  // namespace
}  // namespace poppyway
