// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr double kGainDown = 0.3;  // Towards a shorter time: no disturbance shortens a connect.
// Towards a longer time: a changed route shows after some hundred connections.
constexpr double kGainUp = 0.01;
constexpr int kMaxSampleFactor = 2;       // A sample is limited to this multiple of the estimate.
constexpr Duration kLostPacket{900'000};  // The system retransmits a lost first packet after 1 s.

std::pair<std::string, std::string> PairOf(std::string_view a, std::string_view b) {
  const auto [first, second] = std::minmax(a, b);
  return {std::string(first), std::string(second)};
}

bool AreDistinctRegions(std::string_view from, std::string_view to) noexcept {
  return !from.empty() && !to.empty() && from != to;
}

}  // namespace

void ObserveConnect(RoundTripTable& table,
                    std::string_view from,
                    std::string_view to,
                    Duration connect) {
  const bool usable =
      AreDistinctRegions(from, to) && connect > Duration(0) && connect < kLostPacket;
  if (!usable)
    return;
  const auto [entry, added] = table.m_round_trips.try_emplace(PairOf(from, to), connect);
  if (added)
    return;
  Duration& known = entry->second;
  const double gain = connect < known ? kGainDown : kGainUp;
  const Duration sample = std::min(connect, kMaxSampleFactor * known);
  known +=
      Duration(static_cast<std::int64_t>(gain * static_cast<double>((sample - known).count())));
}

Duration RoundTrip(const RoundTripTable& table, std::string_view from, std::string_view to) {
  if (!AreDistinctRegions(from, to))
    return Duration(0);
  const auto found = table.m_round_trips.find(PairOf(from, to));
  return found == table.m_round_trips.end() ? Duration(0) : found->second;
}

RoundTrips RoundTripsFrom(const RoundTripTable& table, std::string_view from) {
  RoundTrips trips;
  for (const auto& [pair, trip] : table.m_round_trips) {
    if (pair.first == from)
      trips.emplace_back(pair.second, trip);
    else if (pair.second == from)
      trips.emplace_back(pair.first, trip);
  }
  return trips;
}

Duration RoundTripTo(const RoundTrips& trips, std::string_view to) noexcept {
  const auto found =
      std::find_if(trips.begin(), trips.end(), [to](const auto& trip) { return trip.first == to; });
  return found == trips.end() ? Duration(0) : found->second;
}

}  // namespace poppyway
