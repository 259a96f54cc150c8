// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How a roll-out in progress affects the slot broker.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {
namespace {

bool IsTarget(const SlotPool& pool, std::size_t i) {
  return pool.m_servers[i].m_version == pool.m_trial->m_target;
}

/// Returns true if the pool has a server of the target version (`target`), or of another one, that
/// may take work. Evacuated servers count among the others: an evacuation of all of them must not
/// end a trial, since its bound on the target's share of the work would be lost.
bool HasServerInGroup(const SlotPool& pool, bool target) {
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const bool evacuated_target = target && pool.m_servers[i].m_evacuated;
    const bool may_work = !pool.m_servers[i].m_leaving && !evacuated_target;
    if (may_work && IsTarget(pool, i) == target)
      return true;
  }
  return false;
}

/// Returns the mean time between events for a stream, or the total time for a response that isn't
/// one; zero if the stream has too few events.
double LatencyMs(const SlotReport& report) {
  constexpr std::int64_t kMinEvents = 3;
  if (report.m_events >= kMinEvents)
    return Seconds(report.m_span) * 1e3 / static_cast<double>(report.m_events - 1);
  return report.m_events == 0 ? Seconds(report.m_service) * 1e3 : 0;
}

std::int64_t TimedRuns(const RolloutTrial& trial, const std::string& server) {
  const auto found = trial.m_target_servers.find(server);
  return found == trial.m_target_servers.end() ? 0 : found->second.m_timed;
}

}  // namespace

void SetRollouts(SlotBroker& broker,
                 const std::vector<SlotRollout>& rollouts,
                 const ExposureBounds& bounds) {
  for (auto& entry : broker.m_pools) {
    const std::string& name = entry.first;
    SlotPool& pool = entry.second;
    const auto found = std::find_if(rollouts.begin(), rollouts.end(),
                                    [&](const SlotRollout& r) { return r.m_pool == name; });
    if (found == rollouts.end()) {
      pool.m_trial.reset();
      continue;
    }
    const TrialCheckpoint& start = found->m_start;
    const bool known = pool.m_trial && pool.m_trial->m_number == start.m_number;
    if (!known)
      pool.m_trial = BeginTrial(start, bounds);
    pool.m_trial->m_moving = start.m_moving;
    pool.m_trial->m_allowed = std::max(pool.m_trial->m_allowed, start.m_allowed);
  }
}

bool IsMoving(const SlotPool& pool) noexcept {
  return pool.m_trial && pool.m_trial->m_moving && !IsBad(pool.m_trial->m_finding);
}

ServingGroup ServingGroupOf(const SlotPool& pool) {
  if (!pool.m_trial)
    return ServingGroup::kAll;
  const bool target = IsMoving(pool);
  if (!HasServerInGroup(pool, target))
    return ServingGroup::kAll;
  return target ? ServingGroup::kTarget : ServingGroup::kOthers;
}

bool IsExcludedByRollout(const SlotPool& pool, ServingGroup group, std::size_t i) {
  return group != ServingGroup::kAll && IsTarget(pool, i) != (group == ServingGroup::kTarget);
}

std::optional<std::size_t> ChooseTrialServer(const OutageDetector& outages,
                                             const SlotPool& pool,
                                             const QueuedSlotRequest& waiting,
                                             const RequestShape& shape,
                                             Instant now) {
  if (!pool.m_trial || pool.m_trial->m_moving)
    return std::nullopt;
  const RolloutTrial& trial = *pool.m_trial;
  if (!MayExpose(trial, waiting.m_request.m_route) || IsBad(trial.m_finding))
    return std::nullopt;
  // Alternates between the server with the fewest timed runs and the one with the most requests in
  // flight: some faults show only under load.
  const bool fullest = trial.m_sent % 2 == 1;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const bool available =
        IsTarget(pool, i) &&
        CheckServerEligibility(outages, pool, i, waiting, false, now) == IneligibleReason::kNone &&
        HasRoom(pool.m_views[i], shape, pool.m_typical);
    if (!available)
      continue;
    const bool better = !best || (fullest ? pool.m_views[i].m_other_in_flight >
                                                pool.m_views[*best].m_other_in_flight
                                          : TimedRuns(trial, pool.m_servers[i].m_id) <
                                                TimedRuns(trial, pool.m_servers[*best].m_id));
    if (better)
      best = i;
  }
  return best;
}

void CountPlaced(SlotPool& pool, std::size_t i) {
  if (pool.m_trial)
    CountSent(*pool.m_trial, IsTarget(pool, i));
}

void LearnVersion(SlotPool& pool, const HeldSlot& held, const SlotReport& report, Instant now) {
  const bool conclusive =
      pool.m_trial && report.m_ended && report.m_may_have_run && report.m_health_signal;
  if (!conclusive)
    return;
  VersionSample sample;
  sample.m_target = held.m_version == pool.m_trial->m_target;
  sample.m_route = held.m_route;
  sample.m_server = held.m_server;
  sample.m_failed = report.m_failed;
  sample.m_cut = *report.m_health_signal != HealthSignal::kSuccess && !report.m_failed;
  sample.m_latency_ms = report.m_failed ? 0 : LatencyMs(report);
  Learn(*pool.m_trial, sample, now);
}

}  // namespace poppyway
