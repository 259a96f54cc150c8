// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How the slot broker handles data centres that are down or disconnected as a whole.
#include "slot_internal.h"

namespace poppyway {
namespace {

// A probe that finds no connection costs its request 300 ms; enough time must be left to retry it
// elsewhere.
constexpr Duration kMinTimeLeft{1'000'000};

void AppendOutageEvent(SlotBroker& broker, OutageEvent event) {
  if (event.m_transition != OutageTransition::kNone)
    broker.m_outage_events.push_back(std::move(event));
}

/// Resets the server's health: the failures were those of its data centre.
void ResetFailures(SlotBroker& broker, const std::string& server) {
  const auto& [name, i] = broker.m_server_index.at(server);
  ServerHealth& health = broker.m_pools.at(name).m_health[i];
  health.m_failures = 0;
  health.m_ejected_until = {};
  health.m_probe_until = {};
}

}  // namespace

void LearnReachability(SlotBroker& broker,
                       const std::string& instance,
                       const HeldSlot& held,
                       const SlotReport& report,
                       Instant now) {
  const auto found = broker.m_server_index.find(held.m_server);
  if (found == broker.m_server_index.end())
    return;
  const auto& [name, i] = found->second;
  const bool responded = ServerResponded(report);
  if (responded)
    RecordResponse(broker.m_pools.at(name).m_responses[i], instance, now);
  const bool inconclusive =
      !responded && (!report.m_health_signal || report.m_health_signal == HealthSignal::kSuccess);
  if (inconclusive)
    return;
  const std::string& data_centre = broker.m_pools.at(name).m_servers[i].m_data_centre;
  OutageEvent event = RecordReport(
      broker.m_outages, {data_centre, held.m_server, instance, responded, held.m_taken}, now);
  if (event.m_transition == OutageTransition::kServerResponded)
    ResetFailures(broker, held.m_server);
  AppendOutageEvent(broker, std::move(event));
}

bool IsSuspect(const OutageDetector& outages, const SlotPool& pool, std::size_t i, Instant now) {
  const BackendServer& server = pool.m_servers[i];
  return IsServerSuspect(outages, server.m_data_centre, server.m_id) ||
         IsEjected(pool.m_health[i], now);
}

std::optional<std::size_t> ChooseOutageProbe(const SlotBroker& broker,
                                             const SlotPool& pool,
                                             const QueuedSlotRequest& waiting,
                                             const RequestShape& shape,
                                             Instant now) {
  if (broker.m_outages.m_suspect_count == 0 || shape.m_left < kMinTimeLeft)
    return std::nullopt;
  const ServingGroup group = ServingGroupOf(pool);
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const BackendServer& server = pool.m_servers[i];
    if (!MayProbe(broker.m_outages, server.m_data_centre, server.m_id, now))
      continue;
    const bool only_suspect = CheckServerEligibility(broker.m_outages, pool, i, waiting,
                                                     IsExcludedByRollout(pool, group, i),
                                                     now) == IneligibleReason::kSuspect;
    if (only_suspect && HasRoom(pool.m_views[i], shape, pool.m_typical))
      return i;
  }
  return std::nullopt;
}

void UpdateOutageServerCounts(SlotBroker& broker) {
  std::map<std::string, int> servers;
  for (const auto& [name, pool] : broker.m_pools) {
    for (const BackendServer& server : pool.m_servers) {
      if (!server.m_leaving && !server.m_data_centre.empty())
        ++servers[server.m_data_centre];
    }
  }
  SetWatched(broker.m_outages, servers);
}

void EndRecoveredOutages(SlotBroker& broker, Instant now) {
  OutageEvent event;
  while (EndRecoveredOutage(broker.m_outages, now, event))
    AppendOutageEvent(broker, event);
}

}  // namespace poppyway
