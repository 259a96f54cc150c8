// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/settings.h"

namespace poppyway {

/// \brief Another instance that may pass on calls to backend servers.
struct Helper {
  Endpoint m_endpoint;
  Instant m_avoided_until{};  ///< It couldn't help, so others are asked before.

  friend bool operator==(const Helper&, const Helper&) = default;
};

/// \brief Replaces the helpers. Those that are kept stay avoided. Not thread-safe.
void SetHelpers(std::vector<Helper>& helpers, const std::vector<Endpoint>& endpoints);

/// \brief Chooses one at random among the helpers that aren't avoided, or else the one that is
/// avoided for the shortest time; nullopt if there is none. Pure and thread-safe.
[[nodiscard]] std::optional<Endpoint> ChooseHelper(const std::vector<Helper>& helpers,
                                                   std::uint64_t random,
                                                   Instant now);

/// \brief Avoids a helper for a while. Not thread-safe.
void AvoidHelper(std::vector<Helper>& helpers, const Endpoint& endpoint, Instant now);

}  // namespace poppyway
