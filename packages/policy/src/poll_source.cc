// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr int kEjectedDistance = 3;  // Farther than any member that isn't ejected.
constexpr int kRemovedDistance = 4;

/// Returns 0 for the reader's data centre, 1 for its region and 2 for anything else or unknown.
int DistanceOf(const PollSource& source, const RegionMap& regions, const PollerLocation& reader) {
  if (source.m_data_centre.empty())
    return 2;
  if (source.m_data_centre == reader.m_data_centre)
    return 0;
  const std::string_view region = RegionOf(regions, source.m_data_centre);
  return !region.empty() && region == reader.m_region ? 1 : 2;
}

/// Returns the distance of a member that may be used, and a larger number for any other.
int PenalizedDistance(const PollSource& source,
                      const RegionMap& regions,
                      const PollerLocation& reader,
                      Instant now) {
  if (source.m_removed)
    return kRemovedDistance;
  return now < source.m_ejected_until ? kEjectedDistance : DistanceOf(source, regions, reader);
}

}  // namespace

std::size_t ChoosePollSource(std::span<const PollSource> sources,
                             const RegionMap& regions,
                             const PollerLocation& reader,
                             std::uint64_t turn,
                             Instant now) {
  std::vector<std::size_t> nearest;
  int min_distance = kRemovedDistance;
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const int distance = PenalizedDistance(sources[i], regions, reader, now);
    if (distance > min_distance)
      continue;
    if (distance < min_distance)
      nearest.clear();
    min_distance = distance;
    nearest.push_back(i);
  }
  return nearest[turn % nearest.size()];
}

}  // namespace poppyway
