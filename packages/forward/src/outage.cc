// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Handling of data centres that are lost or unreachable as a whole.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Streams pause for less than this, and after this time the broker has reports of many other
// instances. So a server that sent nothing to this instance for this long isn't waited for.
constexpr Duration kLostDataCentreSilence{300'000};

void LogOutageEvent(const OutageEvent& event) {
  const bool one_of_many =
      event.m_transition == OutageTransition::kServerResponded && event.m_recovered > 1;
  if (event.m_transition == OutageTransition::kNone || one_of_many)
    return;
  POPPYWAY_LOG(info, OutageTransitionName(event.m_transition))
      .Field("data_centre", event.m_data_centre)
      .Field("told_by", "own")
      .Field("lost", event.m_unreachable_servers)
      .Field("back", event.m_recovered)
      .Field("servers", event.m_servers)
      .Field("after_ms", event.m_silence.count() / 1000);
}

/// Returns true if the active call is at a lost data centre and its server hasn't sent a byte for
/// `kLostDataCentreSilence`. Never for the own data centre: its servers are reachable and judged by
/// their responses.
bool IsSilentAtLostDataCentre(const ForwarderState& state,
                              const Forwarding& forwarding,
                              Instant now) {
  if (!forwarding.m_call || forwarding.m_server.empty())
    return false;
  const auto found = state.m_backends.find(forwarding.m_server);
  if (found == state.m_backends.end())
    return false;
  const std::string& data_centre = found->second.m_record.data_centre;
  const bool own = data_centre == state.m_settings.m_data_centre;
  const bool lost = std::find(state.m_suspects.begin(), state.m_suspects.end(), data_centre) !=
                    state.m_suspects.end();
  const Instant last = std::max(found->second.m_last_byte, forwarding.m_dispatched);
  return lost && !own && now - last >= kLostDataCentreSilence;
}

}  // namespace

void ReportReachability(ForwarderState& state, const Forwarding& forwarding, bool responded) {
  const Backend* backend = FindBackend(state, forwarding.m_server);
  if (backend == nullptr)
    return;
  const ReachabilityReport report{backend->m_record.data_centre, forwarding.m_server,
                                  state.m_settings.m_instance, responded, forwarding.m_dispatched};
  LogOutageEvent(RecordReport(state.m_outages, report, ReadClock()));
}

void UpdateWatchedServers(ForwarderState& state) {
  std::map<std::string, int> servers;
  for (const auto& [id, backend] : state.m_backends) {
    if (!backend.m_leaving && !backend.m_record.data_centre.empty())
      ++servers[backend.m_record.data_centre];
  }
  SetWatched(state.m_outages, servers);
}

void HandleSuspects(ForwarderState& state, const std::vector<std::string>& suspects) {
  state.m_suspects = suspects;
  // After a power loss, a request on an old connection ends with a reset, and may have run as far
  // as this instance knows. If a new connection can't be opened, it is certain that nothing was
  // sent.
  for (const auto& [id, backend] : state.m_backends) {
    const std::string& data_centre = backend.m_record.data_centre;
    const bool lost = std::find(suspects.begin(), suspects.end(), data_centre) != suspects.end();
    if (lost && data_centre != state.m_settings.m_data_centre)
      state.m_connections->Forget(backend.m_endpoint);
  }
}

void LeaveLostDataCentres(ForwarderState& state, Instant now) {
  OutageEvent event;
  while (EndRecoveredOutage(state.m_outages, now, event))
    LogOutageEvent(event);
  if (state.m_suspects.empty())
    return;
  std::vector<ForwardingRef> silent;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool called = forwarding->m_stage == ForwardingStage::kCalling ||
                        forwarding->m_stage == ForwardingStage::kRelaying;
    if (called && IsSilentAtLostDataCentre(state, *forwarding, now))
      silent.push_back(ref);
  }
  for (const ForwardingRef ref : silent) {
    Forwarding* forwarding = Find(state, ref);
    const std::string server = forwarding->m_server;
    if (RetryElsewhere(state, *forwarding, "data_centre_lost"))
      POPPYWAY_LOG(info, "silent_call_left")
          .Field("request", forwarding->m_request.m_id)
          .Field("server", server);
  }
}

}  // namespace poppyway::impl
