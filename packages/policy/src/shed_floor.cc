// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {
namespace {

constexpr double kCloseWaitS = 2.0;   // Close the lowest open tier when it would wait this long.
constexpr double kReopenWaitS = 0.5;  // Reopen a tier when what waits above it drains this fast.
constexpr Duration kCloseHold{20'000};
constexpr Duration kReopenHold{500'000};

/// Seconds until a newcomer at `tier` would be served, if it waits behind its own and higher tiers.
double ExpectedWait(const FloorInputs& inputs, Tier tier) {
  int ahead = 0;
  for (Tier t = 0; t <= tier; ++t)
    ahead += inputs.m_waiting[t];
  return ahead / std::max(inputs.m_drain_per_s, 1.0);
}

}  // namespace

ShedFloor MoveFloor(const ShedFloor& floor, const FloorInputs& inputs) noexcept {
  if (!inputs.m_all_acknowledged)
    return floor;
  const Duration held = inputs.m_now - floor.m_moved;
  const Tier lowest_open = floor.m_floor - 1;
  const bool close = lowest_open > 0 && held >= kCloseHold &&
                     ExpectedWait(inputs, lowest_open) > kCloseWaitS;
  if (close)
    return {floor.m_floor - 1, floor.m_epoch + 1, inputs.m_now};
  const bool reopen = floor.m_floor < kTiers && held >= kReopenHold &&
                      ExpectedWait(inputs, floor.m_floor) < kReopenWaitS;
  if (reopen)
    return {floor.m_floor + 1, floor.m_epoch + 1, inputs.m_now};
  return floor;
}

}  // namespace poppyway
