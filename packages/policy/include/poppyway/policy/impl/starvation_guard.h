// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <map>
#include <string>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief Number of length classes of expected responses: `LengthClass` returns 0 to 3.
inline constexpr int kLengthClasses = 4;

/// \brief The groups that a slot request belongs to.
struct ShareGroup {
  Tier m_route_tier = 0;
  int m_length_class = 0;   ///< Length class of the expected response.
  std::string m_workspace;  ///< Empty if the request belongs to no workspace.

  friend bool operator==(const ShareGroup&, const ShareGroup&) = default;
};

/// \brief Decaying counts of a group's recent slot requests and of those served.
struct ServedCount {
  double m_requested = 0;
  double m_served = 0;
  Instant m_at{};

  friend bool operator==(const ServedCount&, const ServedCount&) = default;
};

/// \brief Counts of a pool's slot requests, by group.
struct ServedShares {
  ServedCount m_all;
  std::array<ServedCount, kTiers> m_by_tier;
  std::array<std::array<ServedCount, kLengthClasses>, kTiers> m_by_length;
  std::map<std::string, ServedCount> m_by_workspace;
};

/// \brief Counts a new slot request.
void CountRequested(ServedShares& shares, const ShareGroup& group, Instant now);
/// \brief Counts a request that was assigned a slot, or an underserved one that is queued first.
void CountServed(ServedShares& shares, const ShareGroup& group, Instant now);
/// \brief Reverts `CountServed` for an underserved request that got no slot because its wait or its
/// caller's connection ended.
void CountUnserved(ServedShares& shares, const ShareGroup& group, Instant now);

/// \brief Returns true if the group has been served so much less than others that its next request
/// goes first, whatever its tier.
///
/// With strict priority, a shortage of a tenth of a pool's slots leaves the least urgent tier
/// without any service, although all of its requests together need only 3 in 100 of the slot time;
/// serving shorter responses first does the same to the longest ones of a tier. So a tier or a
/// workspace is underserved while its served share is below `kFloor` times that of all the pool's
/// requests, and a length class while its share is below `kLengthFloor` times that of its tier. A
/// tier doesn't count as underserved while a more urgent tier has a lower share, so the floor never
/// reverses the order.
[[nodiscard]] bool IsUnderserved(const ServedShares& shares, const ShareGroup& group);

}  // namespace poppyway
