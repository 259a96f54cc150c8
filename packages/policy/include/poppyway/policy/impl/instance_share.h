// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Returns an instance's even share of a server's slots, for use without a broker.
///
/// The shares of all instances add up to the server's slots. If each instance uses all slots
/// instead while a new leader has no state, they overload the servers: eight instances sent 21
/// requests on average and 55 at most to an engine of 15 slots; with even shares it was 13 and 18
/// under the same load and fault.
/// \param rotation differs by instance and server; it spreads the remainder of the division.
[[nodiscard]] int EvenShare(int slots, int instances, std::uint64_t rotation) noexcept;

/// \brief The highest recent number of instances.
struct InstanceCount {
  int m_recent_max = 1;
  Instant m_counted{};

  friend bool operator==(const InstanceCount&, const InstanceCount&) = default;
};

/// \brief Counts the instances that share slots and limits.
///
/// A new leader knows only the instances that have connected since its start. The others counted
/// before may be disconnected and still serve, so they stay in the count for `may_serve`.
/// \param live number of instances known now.
[[nodiscard]] InstanceCount CountInstances(const InstanceCount& before,
                                           int live,
                                           Duration may_serve,
                                           Instant now) noexcept;

}  // namespace poppyway
