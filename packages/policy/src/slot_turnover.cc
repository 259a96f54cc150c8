// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr double kLeastFreed = 3;  // Fewer in a second say nothing.
constexpr double kMemoryS = 1;     // Some answers' time: bursts are told apart from their end.

SlotTurnover Decay(const SlotTurnover& flow, Instant now) noexcept {
  SlotTurnover after = flow;
  const double factor = std::exp(-Seconds(now - flow.m_at) / kMemoryS);
  after.m_freed *= factor;
  after.m_held_s *= factor;
  for (double& asked : after.m_asked)
    asked *= factor;
  after.m_at = now;
  return after;
}

}  // namespace

SlotTurnover CountFreed(const SlotTurnover& flow, Duration held, Instant now) noexcept {
  SlotTurnover after = Decay(flow, now);
  after.m_freed += 1;
  after.m_held_s += Seconds(held);
  return after;
}

SlotTurnover CountAsked(const SlotTurnover& flow, Tier route_tier, Instant now) noexcept {
  SlotTurnover after = Decay(flow, now);
  after.m_asked[static_cast<std::size_t>(std::clamp(route_tier, 0, kTiers - 1))] += 1;
  return after;
}

std::optional<Duration> ForecastWait(const SlotTurnover& flow,
                                     Tier route_tier,
                                     int ahead,
                                     int taken) noexcept {
  if (flow.m_freed < kLeastFreed)
    return std::nullopt;
  const double by_holding = flow.m_held_s > 0 ? taken * flow.m_freed / flow.m_held_s : 0;
  double left_per_s = std::max(flow.m_freed / kMemoryS, by_holding);
  for (Tier t = 0; t < std::min(route_tier, kTiers); ++t)
    left_per_s -= flow.m_asked[static_cast<std::size_t>(t)] / kMemoryS;
  const double seconds = left_per_s > 0 ? (ahead + 1) / left_per_s : Seconds(kLongestWait);
  return std::min(kLongestWait, Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

}  // namespace poppyway
