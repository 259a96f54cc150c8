// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The broker's backend servers: what it keeps of them when their list changes.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {
namespace {

/// Counts the slots that are held at a process newer than the one known before. Slots held at a
/// process whose start time wasn't known get that start time.
void UpdateProcessStart(SlotBroker& broker, const std::string& id, std::int64_t before) {
  const auto [pool, i] = FindServer(broker, id);
  const std::int64_t started_ms = pool->m_servers[i].m_started_ms;
  for (auto& [name, holder] : broker.m_instance_slots) {
    for (auto& [ref, held] : holder.m_held) {
      if (held.m_server != id)
        continue;
      if (before == 0 && held.m_started_ms == 0)
        held.m_started_ms = started_ms;
      if (before == 0 || held.m_started_ms != started_ms)
        continue;
      ++pool->m_views[i].m_other_in_flight;
      pool->m_views[i].m_pending_prefill_tokens += held.m_pending_prefill_tokens;
      ViewChanged(*pool, i);
      CountPlaced(*pool, i);
    }
  }
}

/// Returns the view of a restarted server. Only its performance is kept, since the new process
/// likely performs like the old one.
ServerView ViewAfterRestart(const ServerView& earlier, bool same_pool) {
  ServerView view;
  if (same_pool)
    view.m_performance = earlier.m_performance;
  return view;
}

}  // namespace

std::pair<SlotPool*, std::size_t> FindServer(SlotBroker& broker, const std::string& id) {
  const auto found = broker.m_server_index.find(id);
  if (found == broker.m_server_index.end())
    return {nullptr, 0};
  return {&broker.m_pools[found->second.first], found->second.second};
}

void SetServers(SlotBroker& broker, const std::vector<BackendServer>& servers) {
  std::map<std::string, SlotPool> before;
  before.swap(broker.m_pools);
  const auto index_before = std::move(broker.m_server_index);
  broker.m_server_index.clear();
  for (auto& [name, pool] : before) {
    SlotPool& kept = broker.m_pools[name];
    kept.m_waiting = std::move(pool.m_waiting);
    kept.m_waiting_by_class = std::move(pool.m_waiting_by_class);
    kept.m_mean_log_tokens = pool.m_mean_log_tokens;
    kept.m_turnover = pool.m_turnover;
    kept.m_retries = pool.m_retries;
    kept.m_shares = std::move(pool.m_shares);
    kept.m_trial = std::move(pool.m_trial);
    kept.m_sole_software = pool.m_sole_software;
    kept.m_had_several_versions = pool.m_had_several_versions;
    kept.m_slow_start_limit = pool.m_slow_start_limit;
    kept.m_back_off_until = pool.m_back_off_until;
    // Cached segments are recorded by server index, which changes. The records are rebuilt by use.
  }
  // Servers with a newer start time than known, and the start time known before.
  std::vector<std::pair<std::string, std::int64_t>> restarts;
  for (const BackendServer& server : servers) {
    SlotPool& pool = broker.m_pools[server.m_pool];
    ServerView view;
    ServerHealth health;
    LastResponses responses;
    ServerNotices notices;
    ServerLimit limit;
    Brittleness brittleness;
    SlowStartState slow_start;
    const auto known = index_before.find(server.m_id);
    bool appeared = known == index_before.end();
    if (!appeared) {
      SlotPool& old = before[known->second.first];
      view = old.m_views[known->second.second];
      health = old.m_health[known->second.second];
      responses = std::move(old.m_responses[known->second.second]);
      notices = std::move(old.m_notices[known->second.second]);
      limit = old.m_limits[known->second.second];
      brittleness = old.m_brittleness[known->second.second];
      slow_start = std::move(old.m_slow_starts[known->second.second]);
      const std::int64_t started_ms = old.m_servers[known->second.second].m_started_ms;
      appeared = server.m_started_ms != started_ms;
      if (server.m_started_ms > started_ms)
        restarts.emplace_back(server.m_id, started_ms);
      if (started_ms > 0 && server.m_started_ms > started_ms) {
        view = ViewAfterRestart(view, known->second.first == server.m_pool);
        health = {};
        responses = {};
        notices = {};
        limit = {};
        brittleness = {};
      }
    }
    if (appeared)
      Appear(broker.m_outages, server.m_data_centre, server.m_id);
    view.m_slots = std::max(1, server.m_slots);
    view.m_own_in_flight = 0;
    broker.m_server_index[server.m_id] = {server.m_pool, pool.m_servers.size()};
    pool.m_servers.push_back(server);
    // The registry's record may be older than the notice.
    pool.m_servers.back().m_leaving = server.m_leaving || notices.m_leaving;
    pool.m_views.push_back(view);
    pool.m_health.push_back(health);
    pool.m_responses.push_back(std::move(responses));
    pool.m_notices.push_back(std::move(notices));
    pool.m_limits.push_back(limit);
    pool.m_brittleness.push_back(brittleness);
    pool.m_slow_starts.push_back(std::move(slow_start));
  }
  for (const auto& [id, before] : restarts)
    UpdateProcessStart(broker, id, before);
  UpdateOutageServerCounts(broker);
}

void SetRegions(SlotBroker& broker, RegionMap regions) {
  broker.m_regions = std::move(regions);
}

void SetSlowStartLimits(SlotBroker& broker, const std::map<std::string, SlowStartLimit>& limits) {
  for (auto& [name, pool] : broker.m_pools)
    pool.m_slow_start_limit = {};
  for (const auto& [name, limit] : limits)
    broker.m_pools[name].m_slow_start_limit = limit;
}

}  // namespace poppyway
