// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Round-trip times between regions, learned from established connections.
///
/// A pair of regions has one time for both directions. Nothing is recorded within a region: there
/// the round trip is part of a server's speed.
struct RoundTripTable {
  std::map<std::pair<std::string, std::string>, Duration>
      m_round_trips;  ///< By sorted region names.

  friend bool operator==(const RoundTripTable&, const RoundTripTable&) = default;
};

/// \brief Round-trip times from one region to each other region that is known.
using RoundTrips = std::vector<std::pair<std::string, Duration>>;

/// \brief Updates the table from a new connection that took `connect` to be established.
///
/// The estimate follows the shortest times, since a busy machine or a lost packet only ever makes
/// one longer. Nothing changes if the regions are equal or one is empty, that is, unknown.
void ObserveConnect(RoundTripTable& table,
                    std::string_view from,
                    std::string_view to,
                    Duration connect);

/// \brief Returns the round-trip time between two regions; zero if they are equal or it is unknown.
[[nodiscard]] Duration RoundTrip(const RoundTripTable& table,
                                 std::string_view from,
                                 std::string_view to);

/// \brief Returns all known round-trip times from one region, for choices among many servers.
[[nodiscard]] RoundTrips RoundTripsFrom(const RoundTripTable& table, std::string_view from);

/// \brief Returns the round-trip time to a region, or zero if it is unknown.
[[nodiscard]] Duration RoundTripTo(const RoundTrips& trips, std::string_view to) noexcept;

/// \brief Returns the part of a time measured at an instance that passed at the server: the
/// round-trip time is subtracted.
[[nodiscard]] inline Duration TimeAtServer(Duration measured, Duration round_trip) noexcept {
  return round_trip <= Duration(0) ? measured : std::max(Duration(1), measured - round_trip);
}

}  // namespace poppyway
