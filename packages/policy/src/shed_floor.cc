// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {
namespace {

// Share of its own patience: a new request would hardly be served.
constexpr double kCloseOwn = 0.9;
constexpr double kCloseAbove = 0.9;  // Share of a higher tier's patience: that tier needs the slot.
// Reopening has lower shares than closing, as hysteresis.
constexpr double kReopenOwn = 0.5;
constexpr double kReopenAbove = 0.5;
// Minimum times from the floor's last move to closing or reopening a tier.
constexpr Duration kCloseHold{20'000};
constexpr Duration kReopenHold{500'000};

/// Returns the share of a tier's patience that a new request would wait behind its own and higher
/// tiers.
double WaitShare(const FloorInputs& inputs, Tier tier) {
  if (inputs.m_patience_s[tier] <= 0)
    return 0;
  int ahead = 0;
  for (Tier t = 0; t <= tier; ++t)
    ahead += inputs.m_waiting[t];
  return ahead / std::max(inputs.m_drain_per_s, 1.0) / inputs.m_patience_s[tier];
}

double WorstAbove(const FloorInputs& inputs, Tier tier) {
  double worst = 0;
  for (Tier t = 0; t < tier; ++t)
    worst = std::max(worst, WaitShare(inputs, t));
  return worst;
}

}  // namespace

ShedFloor MoveFloor(const ShedFloor& floor, const FloorInputs& inputs) noexcept {
  if (!inputs.m_all_acknowledged)
    return floor;
  const Duration held = inputs.m_now - floor.m_moved;
  const Tier lowest_open = floor.m_floor - 1;
  const bool overloaded =
      WaitShare(inputs, lowest_open) > kCloseOwn || WorstAbove(inputs, lowest_open) > kCloseAbove;
  if (lowest_open > 0 && held >= kCloseHold && overloaded)
    return {floor.m_floor - 1, floor.m_epoch + 1, inputs.m_now};
  if (floor.m_floor == kTiers || held < kReopenHold)
    return floor;
  const bool recovered = WaitShare(inputs, floor.m_floor) < kReopenOwn &&
                         WorstAbove(inputs, floor.m_floor) < kReopenAbove;
  if (recovered)
    return {floor.m_floor + 1, floor.m_epoch + 1, inputs.m_now};
  return floor;
}

}  // namespace poppyway
