// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <optional>

#include "poppyway/core.h"

namespace poppyway {
namespace {

constexpr Duration kCompareInterval{1'000'000};  // Between two readings of the time of day.

Duration ReadTimeOfDay() noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                              std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace

Duration ReadWallTime() noexcept {
  // Each thread has a clock of its own, so that none waits for a lock.
  thread_local std::optional<SlewedClock> clock;
  const Instant now = ReadClock();
  if (!clock)
    clock = SlewedClock{now, ReadTimeOfDay(), Duration(0)};
  else if (now - clock->m_set_at >= kCompareInterval)
    clock = CompareSlewed(*clock, now, ReadTimeOfDay());
  return SlewedTime(*clock, now);
}

Duration ReadWallOffset() noexcept {
  return ReadTimeOfDay() - ReadWallTime();
}

std::int64_t ReadWallMillis() noexcept {
  return ReadWallTime().count() / 1000;
}

}  // namespace poppyway
