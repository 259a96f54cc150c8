// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr double kMinFreed = 3;  // Fewer freed slots give no usable rate.
// Covers several responses but is short enough that the end of a burst shows soon.
constexpr double kMemoryS = 1;

SlotTurnover Decay(const SlotTurnover& turnover, Instant now) noexcept {
  SlotTurnover after = turnover;
  const double factor = std::exp(-Seconds(now - turnover.m_at) / kMemoryS);
  after.m_freed *= factor;
  after.m_held_s *= factor;
  for (double& requested : after.m_requested)
    requested *= factor;
  after.m_at = now;
  return after;
}

}  // namespace

SlotTurnover CountFreed(const SlotTurnover& turnover, Duration held, Instant now) noexcept {
  SlotTurnover after = Decay(turnover, now);
  after.m_freed += 1;
  after.m_held_s += Seconds(held);
  return after;
}

SlotTurnover CountRequested(const SlotTurnover& turnover, Tier route_tier, Instant now) noexcept {
  SlotTurnover after = Decay(turnover, now);
  after.m_requested[static_cast<std::size_t>(std::clamp(route_tier, 0, kTiers - 1))] += 1;
  return after;
}

std::optional<Duration> ForecastWait(const SlotTurnover& turnover,
                                     Tier route_tier,
                                     int ahead,
                                     int taken) noexcept {
  if (turnover.m_freed < kMinFreed)
    return std::nullopt;
  const double by_holding =
      turnover.m_held_s > 0 ? taken * turnover.m_freed / turnover.m_held_s : 0;
  double available_per_s = std::max(turnover.m_freed / kMemoryS, by_holding);
  for (Tier t = 0; t < std::min(route_tier, kTiers); ++t)
    available_per_s -= turnover.m_requested[static_cast<std::size_t>(t)] / kMemoryS;
  const double seconds =
      available_per_s > 0 ? (ahead + 1) / available_per_s : Seconds(kLongestWait);
  return std::min(kLongestWait, Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

}  // namespace poppyway
