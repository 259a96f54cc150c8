// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <optional>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief How fast a pool's slots come free and are requested, over about the last second.
struct SlotTurnover {
  double m_freed = 0;   ///< Decayed count of freed slots.
  double m_held_s = 0;  ///< Decayed sum of the times that those slots were held, in seconds.
  std::array<double, kTiers> m_requested{};  ///< Decayed counts of slot requests, by route tier.
  Instant m_at{};

  friend bool operator==(const SlotTurnover&, const SlotTurnover&) = default;
};

/// \brief Returns the turnover with one more slot freed, which was held for `held`.
[[nodiscard]] SlotTurnover CountFreed(const SlotTurnover& turnover,
                                      Duration held,
                                      Instant now) noexcept;
/// \brief Returns the turnover with one more slot request.
[[nodiscard]] SlotTurnover CountRequested(const SlotTurnover& turnover,
                                          Tier route_tier,
                                          Instant now) noexcept;

/// \brief Forecasts the time until a request of this tier gets a slot that has yet to come free.
/// Requests of more urgent tiers are expected to go on arriving at their recent rate and are served
/// first.
///
/// Slots come free at the recent rate or, if that is higher, at the rate that follows from the
/// taken slots and the mean time that a slot is held (Little's law): after an idle second the
/// recent rate underestimates what a full pool frees.
/// \param ahead number of requests that wait before this one.
/// \param taken number of slots taken now.
/// \return `kLongestWait` if the request would never be served; nullopt while too few slots have
/// come free for a forecast.
[[nodiscard]] std::optional<Duration> ForecastWait(const SlotTurnover& turnover,
                                                   Tier route_tier,
                                                   int ahead,
                                                   int taken) noexcept;

inline constexpr Duration kLongestWait{10'000'000};

}  // namespace poppyway
