// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core/impl/time.h"

namespace poppyway {

/// \brief A clock that shows the time of day but never steps: it runs with the monotonic clock, and
/// slightly faster or slower than it while it differs from the time of day.
struct SlewedClock {
  Instant m_set_at{};       ///< When it was last compared with the time of day.
  Duration m_time{};        ///< What it showed then, since 1970-01-01 UTC.
  Duration m_correction{};  ///< Time of day less `m_time`, then; worked off gradually.

  friend bool operator==(const SlewedClock&, const SlewedClock&) = default;
};

/// \brief A slewed clock runs at most this much faster or slower than the monotonic one: 1 part of
/// this many.
inline constexpr std::int64_t kSlewDivisor = 100;

/// \brief Returns what the clock shows at `now`, since 1970-01-01 UTC. Pure. Precondition: `now` is
/// not before `clock.m_set_at`.
[[nodiscard]] Duration SlewedTime(const SlewedClock& clock, Instant now) noexcept;

/// \brief Returns the clock after a comparison with the time of day at `now`, which may have
/// stepped since the last one; the clock shows the same time as before. Pure.
[[nodiscard]] SlewedClock CompareSlewed(const SlewedClock& clock,
                                        Instant now,
                                        Duration time_of_day) noexcept;

}  // namespace poppyway
