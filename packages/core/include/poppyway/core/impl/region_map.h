// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace poppyway {

/// \brief The region of each data centre of a deployment, by the data centre's name.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// \brief The region of a data centre; empty if it is not known.
[[nodiscard]] inline std::string_view RegionOf(const RegionMap& regions,
                                               std::string_view data_centre) noexcept {
  const auto found = regions.find(data_centre);
  return found == regions.end() ? std::string_view() : std::string_view(found->second);
}

}  // namespace poppyway
