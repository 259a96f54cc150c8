// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <chrono>

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

/// \brief A point in monotonic time, in microseconds.
using Instant = GivenClock::time_point;

/// \brief Reads the monotonic clock. Only tasks call it; policy, log and state take the time as a
/// parameter.
[[nodiscard]] inline Instant ReadClock() {
  return Instant(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
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
