// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/core/impl/slewed_clock.h"

#include <algorithm>

namespace poppyway {

Duration SlewedTime(const SlewedClock& clock, Instant now) noexcept {
  const Duration elapsed = now - clock.m_set_at;
  const Duration most = elapsed / kSlewDivisor;
  return clock.m_time + elapsed + std::clamp(clock.m_correction, -most, most);
}

SlewedClock CompareSlewed(const SlewedClock& clock, Instant now, Duration time_of_day) noexcept {
  const Duration time = SlewedTime(clock, now);
  return {now, time, time_of_day - time};
}

}  // namespace poppyway
