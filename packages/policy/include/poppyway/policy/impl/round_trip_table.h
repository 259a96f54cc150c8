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

/// \brief Round trips between regions, learned from connections that came up. A pair counts the
/// same both ways. Within a region nothing is kept: there it is part of how fast a server is.
struct RoundTripTable {
  std::map<std::pair<std::string, std::string>, Duration> m_round_trips;  ///< Names in order.

  friend bool operator==(const RoundTripTable&, const RoundTripTable&) = default;
};

/// \brief Round trips from one region to each other one that is known.
using RoundTrips = std::vector<std::pair<std::string, Duration>>;

/// \brief Learns from a new connection that took `connect` to come up. Follows the shortest ones:
/// a busy machine or a lost packet only ever makes one longer. Regions that are equal or not known
/// teach nothing.
void ObserveConnect(RoundTripTable& table,
                    std::string_view from,
                    std::string_view to,
                    Duration connect);

/// \brief The round trip between two regions; zero where they are equal or it is not known.
[[nodiscard]] Duration RoundTrip(const RoundTripTable& table,
                                 std::string_view from,
                                 std::string_view to);

/// \brief All that is known from one region, for choices among many servers.
[[nodiscard]] RoundTrips RoundTripsFrom(const RoundTripTable& table, std::string_view from);

/// \brief The round trip to a region; zero where it is not known.
[[nodiscard]] Duration RoundTripTo(const RoundTrips& trips, std::string_view to) noexcept;

/// \brief Of a time that an instance saw, what passed at the server: the rest was on the way.
[[nodiscard]] inline Duration TimeAtServer(Duration seen, Duration round_trip) noexcept {
  return round_trip <= Duration(0) ? seen : std::max(Duration(1), seen - round_trip);
}

}  // namespace poppyway
