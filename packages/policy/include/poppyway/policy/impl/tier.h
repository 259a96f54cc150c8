// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>

namespace poppyway {

/// \brief A request's tier; 0 is the highest, larger numbers are lower.
using Tier = int;

/// \brief How many tiers there are.
inline constexpr int kTiers = 3;

/// \brief A count for each tier.
using TierCounts = std::array<int, kTiers>;

}  // namespace poppyway
