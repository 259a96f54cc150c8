// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Evacuations of data centres at an instance.
#include "steps.h"

namespace poppyway::impl {
namespace {

std::string DataCentreLabel(const std::string& data_centre) {
  return "data_centre=\"" + data_centre + "\"";
}

/// Applies an evacuation that was ordered or has ended. Requests in flight there run to their end.
void ApplyEvacuation(ForwarderState& state, const wire::Evacuation& evacuation) {
  int servers = 0;
  int running = 0;
  for (const auto& [id, backend] : state.m_backends) {
    if (backend.m_record.data_centre != evacuation.data_centre)
      continue;
    ++servers;
    running += backend.m_in_flight;
    if (!evacuation.ended)
      state.m_connections->Forget(backend.m_endpoint);
  }
  state.m_metrics.Set("poppyway_evacuated", DataCentreLabel(evacuation.data_centre),
                      evacuation.ended ? 0 : 1);
  POPPYWAY_LOG(info, "evacuation_in_force")
      .Field("data_centre", evacuation.data_centre)
      .Field("number", evacuation.number)
      .Field("ends", evacuation.ended)
      .Field("servers", servers)
      .Field("running", running);
}

}  // namespace

void HandleEvacuations(ForwarderState& state, const std::vector<wire::Evacuation>& evacuations) {
  bool changed = false;
  for (const wire::Evacuation& evacuation : evacuations) {
    wire::Evacuation& known = state.m_evacuations[evacuation.data_centre];
    if (evacuation.number <= known.number)
      continue;
    known = evacuation;
    changed = true;
    ApplyEvacuation(state, evacuation);
  }
  if (!changed)
    return;
  const Instant now = ReadClock();
  for (auto& [id, backend] : state.m_backends)
    UpdateSlowStart(state, backend, false, now);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

bool IsEvacuated(const ForwarderState& state, const Backend& backend) {
  const auto found = state.m_evacuations.find(backend.m_record.data_centre);
  return found != state.m_evacuations.end() && !found->second.ended;
}

bool HasOnlyEvacuatedServers(const ForwarderState& state, const Forwarding& forwarding) {
  const auto pool = state.m_pools.find(forwarding.m_pool->m_name);
  if (state.m_evacuations.empty() || pool == state.m_pools.end())
    return false;
  bool evacuated = false;
  for (const std::string& id : pool->second.m_servers) {
    const Backend& backend = state.m_backends.at(id);
    const std::string_view region =
        RegionOf(state.m_settings.m_regions, backend.m_record.data_centre);
    if (backend.m_replaced || !AllowsRegion(forwarding.m_allowed_regions, region))
      continue;
    if (!IsEvacuated(state, backend))
      return false;
    evacuated = true;
  }
  return evacuated;
}

void CountEvacuated(ForwarderState& state) {
  std::map<std::string, int> running;
  for (const auto& [data_centre, evacuation] : state.m_evacuations)
    running[data_centre] = 0;
  for (const auto& [id, backend] : state.m_backends) {
    if (IsEvacuated(state, backend))
      running[backend.m_record.data_centre] += backend.m_in_flight;
  }
  for (const auto& [data_centre, count] : running)
    state.m_metrics.Set("poppyway_evacuated_running", DataCentreLabel(data_centre), count);
}

}  // namespace poppyway::impl
