// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <optional>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief How fast a pool's places come free and are asked for, over about the last second.
struct SlotTurnover {
  double m_freed = 0;                    ///< Decayed count.
  double m_held_s = 0;                   ///< Decayed sum of how long those places were held.
  std::array<double, kTiers> m_asked{};  ///< Decayed counts, by the route's tier.
  Instant m_at{};

  friend bool operator==(const SlotTurnover&, const SlotTurnover&) = default;
};

/// \brief The flow with one more place freed that was held for `held`.
[[nodiscard]] SlotTurnover CountFreed(const SlotTurnover& flow,
                                      Duration held,
                                      Instant now) noexcept;
/// \brief The flow with one more request that asks for a place.
[[nodiscard]] SlotTurnover CountAsked(const SlotTurnover& flow,
                                      Tier route_tier,
                                      Instant now) noexcept;

/// \brief When a request of this rank gets a place that must first come free: `ahead` of it wait
/// already, and what is more urgent goes on to arrive as of late and goes first. A request that
/// is never reached this way gets the longest time that is told, `kLongestWait`.
///
/// Places come free at the rate of late or, if that is more, at the rate that those `taken` now
/// come to by how long places are held (Little's law): after a calm second the rate of late says
/// too little of what a full pool frees. \return nullopt while too few places have come free to
/// tell.
[[nodiscard]] std::optional<Duration> ForecastWait(const SlotTurnover& flow,
                                                   Tier route_tier,
                                                   int ahead,
                                                   int taken) noexcept;

inline constexpr Duration kLongestWait{10'000'000};

}  // namespace poppyway
