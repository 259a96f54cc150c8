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

/// \brief A member that an instance may poll for the configuration and the servers.
struct PollSource {
  std::string m_data_centre;  ///< Empty while unknown.
  Instant m_ejected_until{};  ///< The member lagged or didn't respond; it is avoided until then.
  bool m_removed = false;     ///< It is no member any more: it is chosen only if all others are.

  friend bool operator==(const PollSource&, const PollSource&) = default;
};

/// \brief The location of an instance.
struct PollerLocation {
  std::string_view m_data_centre;
  std::string_view m_region;
};

/// \brief Selects the member that an instance polls: one in its own data centre, else one in its
/// region, else any.
///
/// Thus each change crosses a link between data centres once for each member rather than once for
/// each instance. An ejected member is selected only if all of them are.
/// \param turn selects among equal members; different values spread the instances over them.
/// \return an index into `sources`.
/// Precondition: `sources` is not empty.
[[nodiscard]] std::size_t ChoosePollSource(std::span<const PollSource> sources,
                                           const RegionMap& regions,
                                           const PollerLocation& reader,
                                           std::uint64_t turn,
                                           Instant now);

}  // namespace poppyway
