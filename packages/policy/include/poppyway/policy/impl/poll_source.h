// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief A member that an instance may read the configuration and the servers from.
struct PollSource {
  std::string m_data_centre;  ///< Empty: not known yet.
  Instant m_ejected_until{};  ///< It lagged or didn't answer.

  friend bool operator==(const PollSource&, const PollSource&) = default;
};

/// \brief Where an instance is.
struct PollerLocation {
  std::string_view m_data_centre;
  std::string_view m_region;
};

/// \brief The member that an instance reads from: one in its own data centre, else in its region,
/// else any, so that each change crosses a link between data centres once for each member rather
/// than once for each instance. Of equals, `turn` spreads the readers.
/// Precondition: `sources` is not empty.
[[nodiscard]] std::size_t ChoosePollSource(std::span<const PollSource> sources,
                                           const RegionMap& regions,
                                           const PollerLocation& reader,
                                           std::uint64_t turn,
                                           Instant now);

}  // namespace poppyway
