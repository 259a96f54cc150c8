// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {

std::string_view IneligibleReasonName(IneligibleReason reason) noexcept {
  switch (reason) {
    case IneligibleReason::kNone:
      return "none";
    case IneligibleReason::kLeaving:
      return "leaving";
    case IneligibleReason::kEvacuated:
      return "evacuated";
    case IneligibleReason::kOutsideHome:
      return "outside_home";
    case IneligibleReason::kOtherVersion:
      return "other_version";
    case IneligibleReason::kRollout:
      return "rollout";
    case IneligibleReason::kTried:
      return "tried";
    case IneligibleReason::kBackOff:
      return "back_off";
    case IneligibleReason::kServerLimit:
      return "server_limit";
    case IneligibleReason::kCold:
      return "cold";
    case IneligibleReason::kSuspect:
      return "suspect";
  }
  return "unknown";
}

bool MayBecomeEligible(IneligibleReason reason) noexcept {
  return reason == IneligibleReason::kNone || reason == IneligibleReason::kBackOff ||
         reason == IneligibleReason::kServerLimit || reason == IneligibleReason::kCold ||
         reason == IneligibleReason::kSuspect;
}

bool AllowsRegion(const HomeRegions& homes, std::string_view region) noexcept {
  if (!homes.m_restricted)
    return true;
  return std::any_of(homes.m_regions.begin(), homes.m_regions.end(),
                     [region](const std::string& home) { return home == region; });
}

IneligibleReason CheckEligibility(const EligibilityInputs& server,
                                  const HomeRegions& homes,
                                  bool tried) noexcept {
  if (server.m_leaving)
    return IneligibleReason::kLeaving;
  if (server.m_evacuated)
    return IneligibleReason::kEvacuated;
  if (!AllowsRegion(homes, server.m_region))
    return IneligibleReason::kOutsideHome;
  if (server.m_other_version)
    return IneligibleReason::kOtherVersion;
  if (server.m_kept_by_rollout)
    return IneligibleReason::kRollout;
  if (tried)
    return IneligibleReason::kTried;
  // The server's own request to back off comes before anything inferred about it. It is kept even
  // if every server of the pool asks for it and the request must be rejected.
  if (server.m_backs_off)
    return IneligibleReason::kBackOff;
  if (server.m_at_limit)
    return IneligibleReason::kServerLimit;
  if (server.m_cold_full)
    return IneligibleReason::kCold;
  return server.m_suspect ? IneligibleReason::kSuspect : IneligibleReason::kNone;
}

}  // namespace poppyway
