// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace poppyway {

/// \brief A request's tier; 0 is the highest, larger numbers are lower.
using Tier = int;

/// \brief The number of tiers.
inline constexpr int kTiers = 3;

/// \brief One count for each tier.
using TierCounts = std::array<int, kTiers>;

/// \brief Returns the labels of a metric that is counted by tier and reason.
[[nodiscard]] inline std::string TierAndReason(Tier tier, std::string_view reason) {
  return "reason=\"" + std::string(reason) + "\",tier=\"" + std::to_string(tier) + "\"";
}

}  // namespace poppyway
