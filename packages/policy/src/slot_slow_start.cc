// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How the slot broker handles cold servers.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {
namespace {

bool AnyServerReportsCold(const SlotPool& pool) {
  return std::any_of(pool.m_slow_starts.begin(), pool.m_slow_starts.end(),
                     [](const SlowStartState& slow_start) { return slow_start.m_reports_cold; });
}

}  // namespace

void UpdateSlowStart(SlotBroker& broker, Instant now) {
  for (auto& [name, pool] : broker.m_pools) {
    const bool traffic = pool.m_turnover.m_at != Instant{};
    const bool serves = now >= broker.m_began + kColdWindow;
    const Duration presumed = PresumedTime(pool.m_slow_start_limit, AnyServerReportsCold(pool));
    for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
      const BackendServer& server = pool.m_servers[i];
      const SlowStartUpdate update{server.m_cold_left, server.m_started_ms, server.m_evacuated};
      pool.m_slow_starts[i].m_unknown_until = broker.m_began + kColdWindow;
      UpdateSlowStart(pool.m_slow_starts[i], update, traffic && serves, presumed, now);
    }
  }
}

void ObserveRestartSign(SlotPool& pool, std::size_t i, const SlotReport& report, Instant now) {
  // A complete response that reports a failure, or a rejection, shows that the server is running.
  const bool declined = !report.m_may_have_run && report.m_health_signal == HealthSignal::kFailure;
  const bool conclusive = report.m_health_signal && !report.m_failed && !declined &&
                          pool.m_slow_start_limit.m_per_s > 0;
  if (!conclusive)
    return;
  const bool no_change =
      *report.m_health_signal == HealthSignal::kSuccess && !pool.m_slow_starts[i].m_silent;
  if (no_change)
    return;
  const Duration presumed = PresumedTime(pool.m_slow_start_limit, AnyServerReportsCold(pool));
  ObserveRestartSign(pool.m_slow_starts[i], *report.m_health_signal, pool.m_health[i], presumed,
                     now);
}

std::optional<Duration> ForecastPacedWait(const SlotPool& pool, int ahead) {
  double per_s = 0;
  for (std::size_t i = 0; i < pool.m_slow_starts.size(); ++i) {
    // If other servers work too, the forecast from the rate of freed slots is better.
    if (pool.m_views[i].m_usable)
      return std::nullopt;
    const BackendServer& server = pool.m_servers[i];
    const bool in_use = !server.m_leaving && !server.m_evacuated;
    if (!in_use || pool.m_views[i].m_other_in_flight >= pool.m_views[i].m_slots)
      continue;
    if (pool.m_slow_starts[i].m_full)
      per_s += pool.m_slow_start_limit.m_per_s;
    else
      per_s += pool.m_limits[i].m_per_s.value_or(0);
  }
  if (per_s <= 0)
    return std::nullopt;
  return Duration(static_cast<std::int64_t>((ahead + 1) / per_s * 1e6));
}

}  // namespace poppyway
