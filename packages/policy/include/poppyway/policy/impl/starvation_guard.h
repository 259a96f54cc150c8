// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <map>
#include <string>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief Length classes of expected answers: `LengthClass` gives 0 to one less than this.
inline constexpr int kLengthClasses = 4;

/// \brief The groups that a place request belongs to.
struct ShareGroup {
  Tier m_route_tier = 0;
  int m_length_class = 0;   ///< Of its expected answer, by class.
  std::string m_workspace;  ///< Empty: it has none.

  friend bool operator==(const ShareGroup&, const ShareGroup&) = default;
};

/// \brief How many of a group's place requests of late were served. Counts decay.
struct ServedCount {
  double m_asked = 0;
  double m_served = 0;
  Instant m_at{};

  friend bool operator==(const ServedCount&, const ServedCount&) = default;
};

/// \brief Served shares of a pool, by group.
struct ServedShares {
  ServedCount m_all;
  std::array<ServedCount, kTiers> m_by_rank;
  std::array<std::array<ServedCount, kLengthClasses>, kTiers> m_by_length;
  std::map<std::string, ServedCount> m_by_workspace;
};

/// \brief Counts a place request that arrives.
void CountAsked(ServedShares& shares, const ShareGroup& group, Instant now);
/// \brief Counts one that got its place, or has been promised the next.
void CountServed(ServedShares& shares, const ShareGroup& group, Instant now);
/// \brief One that had been promised a place got none: it waited too long or its caller left.
void CountUnserved(ServedShares& shares, const ShareGroup& group, Instant now);

/// \brief True if the group has been served so much less than others that its next request goes
/// first, whatever its rank.
///
/// Strict rank turns a lack of a tenth of a pool's places into no service at all for the least
/// urgent kind, although all of its requests together need 3 in 100 of the place time; and shorter
/// answers first does the same to the longest of a kind. So a rank and a workspace are owed a place
/// while they are served under `kFloor` as often as the pool's requests together, and a length
/// class while it is served under `kLengthFloor` as often as its rank. A rank is owed none while
/// something more urgent is served less often than it: the floor never turns the order round.
[[nodiscard]] bool IsOwedSlot(const ServedShares& shares, const ShareGroup& group);

}  // namespace poppyway
