// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

#include "poppyway/core.h"

namespace poppyway {

/// \brief An even part of a server's places, for an instance that has no word of the others.
///
/// Over all instances the parts add up to about the places there are. While a new leader knew
/// nobody's work, eight instances took all engines for idle: 21 requests were at an engine of 15
/// places on average, 55 at most; with even parts 13 and 18, under the same load and fault.
/// \param turn differs by instance and server: spreads what doesn't divide evenly.
[[nodiscard]] int EvenShare(int places, int instances, std::uint64_t turn) noexcept;

/// \brief The most instances that were counted of late.
struct InstanceCount {
  int m_recent_max = 1;
  Instant m_counted{};

  friend bool operator==(const InstanceCount&, const InstanceCount&) = default;
};

/// \brief Counts the instances that share places and limits. A new leader knows only those that
/// have called it since: the rest of those counted before may be cut off and still serve, so they
/// count for `may_serve`.
[[nodiscard]] InstanceCount CountInstances(const InstanceCount& before,
                                           int live,
                                           Duration may_serve,
                                           Instant now) noexcept;

}  // namespace poppyway
