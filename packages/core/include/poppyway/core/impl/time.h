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

/// \brief Reads the wall clock. \return milliseconds since 1970-01-01 UTC.
[[nodiscard]] inline std::int64_t ReadWallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// \brief Returns `duration` in seconds.
[[nodiscard]] constexpr double Seconds(Duration duration) noexcept {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace poppyway
