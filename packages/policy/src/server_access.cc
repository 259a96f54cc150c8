// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {

std::string_view ServerBarName(ServerBar bar) noexcept {
  switch (bar) {
    case ServerBar::kNone:
      return "none";
    case ServerBar::kLeaving:
      return "leaving";
    case ServerBar::kEvacuated:
      return "evacuated";
    case ServerBar::kOutsideHome:
      return "outside_home";
    case ServerBar::kRollout:
      return "rollout";
    case ServerBar::kTried:
      return "tried";
    case ServerBar::kBackOff:
      return "back_off";
    case ServerBar::kCold:
      return "cold";
    case ServerBar::kSuspect:
      return "suspect";
  }
  return "unknown";
}

bool MayTakeLater(ServerBar bar) noexcept {
  return bar == ServerBar::kNone || bar == ServerBar::kBackOff || bar == ServerBar::kCold ||
         bar == ServerBar::kSuspect;
}

bool ServesAtHome(const HomeRegions& homes, std::string_view region) noexcept {
  if (!homes.m_bound)
    return true;
  return std::any_of(homes.m_regions.begin(), homes.m_regions.end(),
                     [region](const std::string& home) { return home == region; });
}

ServerBar BarFor(const ServerStanding& server, const HomeRegions& homes, bool tried) noexcept {
  if (server.m_leaving)
    return ServerBar::kLeaving;
  if (server.m_evacuated)
    return ServerBar::kEvacuated;
  if (!ServesAtHome(homes, server.m_region))
    return ServerBar::kOutsideHome;
  if (server.m_kept_by_rollout)
    return ServerBar::kRollout;
  if (tried)
    return ServerBar::kTried;
  // Before all that is only believed of a server: its own wish is kept even where every server of
  // the pool asks for it and the request has to be refused.
  if (server.m_backs_off)
    return ServerBar::kBackOff;
  if (server.m_cold_full)
    return ServerBar::kCold;
  return server.m_suspect ? ServerBar::kSuspect : ServerBar::kNone;
}

}  // namespace poppyway
