// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief The lowest tier still admitted, with the epoch that all gateways acknowledge.
///
/// Tiers `m_floor` and below (numerically greater or equal) are closed: `m_floor == kTiers` admits
/// all, `m_floor == 1` admits tier 0 only. Tier 0 is never closed. The floor moves one step at a
/// time, and only after every live gateway acknowledged the present epoch; hence no gateway refuses
/// a tier while another, at the same or a later epoch, admits a lower one.
struct ShedFloor {
  Tier m_floor = kTiers;
  std::int64_t m_epoch = 1;
  Instant m_moved{};

  friend bool operator==(const ShedFloor&, const ShedFloor&) = default;
};

/// \brief What the pool looks like to the rule that moves the floor.
struct FloorInputs {
  Instant m_now{};
  bool m_all_acknowledged = false;  ///< Every live gateway acknowledged `m_epoch`.
  TierCounts m_waiting{};
  double m_drain_per_s = 0;                   ///< Requests finished a second.
  std::array<double, kTiers> m_patience_s{};  ///< Usual time from arrival to deadline; 0 unknown.
};

/// \brief The floor after applying the rule once.
///
/// The lowest open tier closes when its own expected wait nears its patience, or when the wait of a
/// tier above it nears that tier's patience: the lower tier is shed first.
[[nodiscard]] ShedFloor MoveFloor(const ShedFloor& floor, const FloorInputs& inputs) noexcept;

/// \brief True if a gateway that knows `floor` may admit `tier`.
[[nodiscard]] constexpr bool Admits(Tier floor, Tier tier) noexcept {
  return tier < floor;
}

}  // namespace poppyway
