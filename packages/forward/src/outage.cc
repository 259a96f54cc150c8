// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What an instance does about data centres that are lost or cut off as a whole.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Streams pause for less; by then a broker has the word of many others, so a server that sent
// nothing to this instance for as long isn't waited for.
constexpr Duration kLostSilence{300'000};

void LogNews(const OutageEvent& event) {
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

/// True if the call under way is at a lost data centre and has had nothing from its server lately.
/// An instance of that data centre reaches the servers there and judges by their answers.
bool IsSilentAtLost(const ForwarderState& state, const Forwarding& forwarding, Instant now) {
  if (!forwarding.m_call || forwarding.m_server.empty())
    return false;
  const auto found = state.m_backends.find(forwarding.m_server);
  if (found == state.m_backends.end())
    return false;
  const std::string& data_centre = found->second.m_record.data_centre;
  const bool own = data_centre == state.m_settings.m_data_centre;
  const bool lost = std::find(state.m_suspects.begin(), state.m_suspects.end(), data_centre) !=
                    state.m_suspects.end();
  const Instant last = std::max(found->second.m_last_heard, forwarding.m_dispatched);
  return lost && !own && now - last >= kLostSilence;
}

}  // namespace

void NotePath(ForwarderState& state, const Forwarding& forwarding, bool heard) {
  const Backend* backend = FindBackend(state, forwarding.m_server);
  if (backend == nullptr)
    return;
  const ReachabilityReport sign{backend->m_record.data_centre, forwarding.m_server,
                                state.m_settings.m_instance, heard, forwarding.m_dispatched};
  LogNews(RecordReport(state.m_outages, sign, ReadClock()));
}

void WatchServers(ForwarderState& state) {
  std::map<std::string, int> servers;
  for (const auto& [id, backend] : state.m_backends) {
    if (!backend.m_leaving && !backend.m_record.data_centre.empty())
      ++servers[backend.m_record.data_centre];
  }
  SetWatched(state.m_outages, servers);
}

void TakeSuspects(ForwarderState& state, const std::vector<std::string>& suspects) {
  state.m_suspects = suspects;
  // After a loss of power a connection from before is a reset: its request may have run for all
  // that is known. A new one that doesn't come up tells that nothing was sent.
  for (const auto& [id, backend] : state.m_backends) {
    const std::string& data_centre = backend.m_record.data_centre;
    const bool lost = std::find(suspects.begin(), suspects.end(), data_centre) != suspects.end();
    if (lost && data_centre != state.m_settings.m_data_centre)
      state.m_connections->Forget(backend.m_place);
  }
}

void EndSilentCalls(ForwarderState& state, Instant now) {
  OutageEvent event;
  while (EndRecoveredOutage(state.m_outages, now, event))
    LogNews(event);
  if (state.m_suspects.empty())
    return;
  std::vector<ForwardingRef> silent;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool called = forwarding->m_stage == ForwardingStage::kCalling ||
                        forwarding->m_stage == ForwardingStage::kRelaying;
    if (called && IsSilentAtLost(state, *forwarding, now))
      silent.push_back(ref);
  }
  for (const ForwardingRef ref : silent) {
    Forwarding* forwarding = Find(state, ref);
    const std::string server = forwarding->m_server;
    if (LeaveServer(state, *forwarding, "data_centre_lost"))
      POPPYWAY_LOG(info, "silent_call_left")
          .Field("request", forwarding->m_request.m_id)
          .Field("server", server);
  }
}

}  // namespace poppyway::impl
