// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief The limit of the tiers that are admitted, with the epoch that gateways acknowledge.
///
/// Tiers `m_floor` and below (numerically greater or equal) are closed: `m_floor == kTiers` admits
/// all, `m_floor == 1` admits tier 0 only. Tier 0 is never closed. The floor moves one step at a
/// time, and only after every live gateway acknowledged the current epoch; hence no gateway rejects
/// a tier while another, at the same or a later epoch, admits a lower one.
struct ShedFloor {
  Tier m_floor = kTiers;
  std::int64_t m_epoch = 1;
  Instant m_moved{};

  friend bool operator==(const ShedFloor&, const ShedFloor&) = default;
};

/// \brief The state of a pool that decides whether its floor moves.
struct FloorInputs {
  Instant m_now{};
  bool m_all_acknowledged = false;  ///< True if every live gateway acknowledged `m_epoch`.
  TierCounts m_waiting{};
  double m_drain_per_s = 0;                   ///< Requests finished per second.
  std::array<double, kTiers> m_patience_s{};  ///< Mean time from arrival to deadline; 0 if unknown.
};

/// \brief Returns the floor after at most one step.
///
/// The lowest open tier closes when its own expected wait nears its patience, the mean time from
/// arrival to deadline, or when the wait of a tier above it nears that tier's patience: the lower
/// tier is shed first. The highest closed tier reopens once these waits are well below.
[[nodiscard]] ShedFloor MoveFloor(const ShedFloor& floor, const FloorInputs& inputs) noexcept;

/// \brief Returns true if a gateway with this `floor` may admit `tier`.
[[nodiscard]] constexpr bool Admits(Tier floor, Tier tier) noexcept {
  return tier < floor;
}

}  // namespace poppyway
