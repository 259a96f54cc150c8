// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace poppyway {

using Duration = std::chrono::microseconds;

/// \brief Clock type of `Instant`. It has no `now()`: code that depends on the time takes it as a
/// parameter.
struct GivenClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<GivenClock, Duration>;
  static constexpr bool is_steady = true;
};

/// \brief A point in monotonic time, in microseconds. Time during which the machine is suspended
/// counts.
using Instant = GivenClock::time_point;

/// \brief Reads the monotonic clock. Only tasks call it; policy, log and state take the time as a
/// parameter.
///
/// `std::chrono::steady_clock` isn't used: on Linux it stands still while the machine is suspended,
/// so that leases and deadlines would last longer here than for everybody else.
[[nodiscard]] inline Instant ReadClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                      std::chrono::nanoseconds(now.tv_nsec)));
}

/// \brief Reads the wall clock, since 1970-01-01 UTC: the time of day without its steps, since ages
/// are measured by it too. Thread-safe; the clocks of two threads may differ by a step that came
/// between their first readings.
///
/// Use it for dates, and for ages that several machines or processes must agree on; a length of
/// time within one process is measured with `ReadClock`.
[[nodiscard]] Duration ReadWallTime() noexcept;

/// \brief Returns by how much the time of day is ahead of the wall clock of this thread: what its
/// steps have left to work off. It changes by a step at once, and else by a hundredth of the time
/// that passes at most. Thread-safe.
[[nodiscard]] Duration ReadWallOffset() noexcept;

/// \brief Reads the wall clock in milliseconds; see `ReadWallTime`.
[[nodiscard]] std::int64_t ReadWallMillis() noexcept;

/// \brief Returns `duration` in seconds.
[[nodiscard]] constexpr double Seconds(Duration duration) noexcept {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace poppyway
