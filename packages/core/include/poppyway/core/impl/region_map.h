// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace poppyway {

/// \brief Regions of the data centres of a deployment, by the data centre's name.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// \brief Returns the region of a data centre, or "" if it is not known. The view is valid while
/// `regions` is unchanged.
[[nodiscard]] inline std::string_view RegionOf(const RegionMap& regions,
                                               std::string_view data_centre) noexcept {
  const auto found = regions.find(data_centre);
  return found == regions.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace poppyway
