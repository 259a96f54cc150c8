// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the broker of places knows of cold servers.
#include <algorithm>

#include "place_internal.h"

namespace poppyway {
namespace {

bool ServersTell(const PlacePool& pool) {
  return std::any_of(pool.m_ramps.begin(), pool.m_ramps.end(),
                     [](const ColdRamp& ramp) { return ramp.m_tells; });
}

}  // namespace

void TakeColdNews(PlaceBroker& broker, Instant now) {
  for (auto& [name, pool] : broker.m_pools) {
    const bool traffic = pool.m_flow.m_at != Instant{};
    const bool serves = now >= broker.m_began + kColdWindow;
    const Duration presumed = PresumedTime(pool.m_cold, ServersTell(pool));
    for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
      const PlaceServer& server = pool.m_servers[i];
      const ColdNews news{server.m_cold_left, server.m_born, server.m_evacuated};
      pool.m_ramps[i].m_blind_until = broker.m_began + kColdWindow;
      TakeColdNews(pool.m_ramps[i], news, traffic && serves, presumed, now);
    }
  }
}

void NoteColdSign(PlacePool& pool, std::size_t i, const PlaceReport& report, Instant now) {
  // A whole answer that is a failure comes from a server that runs, and so does a refusal to run.
  const bool declined = !report.m_ran && report.m_sign == ServerSign::kBad;
  const bool says = report.m_sign && !report.m_failed && !declined && pool.m_cold.m_per_s > 0;
  if (!says)
    return;
  const bool nothing_new = *report.m_sign == ServerSign::kGood && !pool.m_ramps[i].m_silent;
  if (nothing_new)
    return;
  const Duration presumed = PresumedTime(pool.m_cold, ServersTell(pool));
  NoteColdSign(pool.m_ramps[i], *report.m_sign, pool.m_health[i], presumed, now);
}

std::optional<Duration> ColdForecast(const PlacePool& pool, int ahead) {
  double per_s = 0;
  for (std::size_t i = 0; i < pool.m_ramps.size(); ++i) {
    // Where others work too, places come free as they do: that forecast is the better one.
    if (pool.m_views[i].m_usable)
      return std::nullopt;
    if (pool.m_ramps[i].m_full && pool.m_views[i].m_others < pool.m_views[i].m_slots)
      per_s += pool.m_cold.m_per_s;
  }
  if (per_s <= 0)
    return std::nullopt;
  return Duration(static_cast<std::int64_t>((ahead + 1) / per_s * 1e6));
}

}  // namespace poppyway
