// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the broker of places knows of cold servers.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {
namespace {

bool ServersTell(const SlotPool& pool) {
  return std::any_of(pool.m_slow_starts.begin(), pool.m_slow_starts.end(),
                     [](const SlowStartState& slow_start) { return slow_start.m_tells; });
}

}  // namespace

void UpdateSlowStart(SlotBroker& broker, Instant now) {
  for (auto& [name, pool] : broker.m_pools) {
    const bool traffic = pool.m_flow.m_at != Instant{};
    const bool serves = now >= broker.m_began + kColdWindow;
    const Duration presumed = PresumedTime(pool.m_slow_start_limit, ServersTell(pool));
    for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
      const BackendServer& server = pool.m_servers[i];
      const SlowStartUpdate update{server.m_cold_left, server.m_started_ms, server.m_evacuated};
      pool.m_slow_starts[i].m_blind_until = broker.m_began + kColdWindow;
      UpdateSlowStart(pool.m_slow_starts[i], update, traffic && serves, presumed, now);
    }
  }
}

void ObserveRestartSign(SlotPool& pool, std::size_t i, const SlotReport& report, Instant now) {
  // A whole answer that is a failure comes from a server that runs, and so does a refusal to run.
  const bool declined = !report.m_may_have_run && report.m_health_signal == HealthSignal::kFailure;
  const bool says = report.m_health_signal && !report.m_failed && !declined &&
                    pool.m_slow_start_limit.m_per_s > 0;
  if (!says)
    return;
  const bool nothing_new =
      *report.m_health_signal == HealthSignal::kSuccess && !pool.m_slow_starts[i].m_silent;
  if (nothing_new)
    return;
  const Duration presumed = PresumedTime(pool.m_slow_start_limit, ServersTell(pool));
  ObserveRestartSign(pool.m_slow_starts[i], *report.m_health_signal, pool.m_health[i], presumed,
                     now);
}

std::optional<Duration> ColdForecast(const SlotPool& pool, int ahead) {
  double per_s = 0;
  for (std::size_t i = 0; i < pool.m_slow_starts.size(); ++i) {
    // Where others work too, places come free as they do: that forecast is the better one.
    if (pool.m_views[i].m_usable)
      return std::nullopt;
    if (pool.m_slow_starts[i].m_full && pool.m_views[i].m_other_in_flight < pool.m_views[i].m_slots)
      per_s += pool.m_slow_start_limit.m_per_s;
  }
  if (per_s <= 0)
    return std::nullopt;
  return Duration(static_cast<std::int64_t>((ahead + 1) / per_s * 1e6));
}

}  // namespace poppyway
