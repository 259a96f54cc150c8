// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Backend servers that restart under the same id. A server process is identified by its id and
// start time: calls to an earlier process neither count for the later one nor affect its
// statistics.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

bool IsAtEarlierProcess(const Forwarding& forwarding, const Backend& backend) noexcept {
  return forwarding.m_server_started_ms > 0 &&
         forwarding.m_server_started_ms < backend.m_record.born;
}

/// Returns true if the process that got the call is gone and the connection hasn't reported it.
bool IsCallLost(const Forwarding& forwarding, const Backend& backend, Instant now) noexcept {
  if (!forwarding.m_sent || !IsAtEarlierProcess(forwarding, backend))
    return false;
  const bool sent_before_restart =
      forwarding.m_dispatched + kRestartNoticeDelay <= backend.m_restart_learned;
  const Instant last_byte = std::max(forwarding.m_dispatched, forwarding.m_last_byte);
  return sent_before_restart && last_byte + kRestartNoticeDelay <= now;
}

bool IsCallActive(const Forwarding& forwarding) noexcept {
  return forwarding.m_stage == ForwardingStage::kCalling ||
         forwarding.m_stage == ForwardingStage::kRelaying;
}

}  // namespace

bool IsNewProcess(const Backend& known, const wire::ServerRecord& record) noexcept {
  return known.m_record.born > 0 && record.born > known.m_record.born;
}

void BeginNewProcess(ForwarderState& state, Backend& backend, const wire::ServerRecord& record) {
  POPPYWAY_LOG(info, "server_restarted")
      .Field("server", record.id)
      .Field("born", record.born)
      .Field("before", backend.m_record.born)
      .Field("in_flight", backend.m_in_flight);
  state.m_metrics.Add("poppyway_forward_server_restarts_total");
  state.m_connections->Forget(backend.m_endpoint);
  backend.m_replaced = false;
  backend.m_in_flight = 0;
  backend.m_pending_prefill_tokens = 0;
  backend.m_in_flight_at_loss = 0;
  backend.m_health = {};
  backend.m_back_off_until = {};
  backend.m_limit = {};
  backend.m_brittleness = {};
  backend.m_announced_leaving = false;
  backend.m_last_byte = {};
  backend.m_prompt_segments.clear();
  backend.m_restart_learned = ReadClock();
  state.m_servers_restarted = true;
}

void SetCallStartTimes(ForwarderState& state, const std::string& server, std::int64_t started_ms) {
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (forwarding->m_server == server && forwarding->m_server_started_ms == 0)
      forwarding->m_server_started_ms = started_ms;
  }
}

Backend* FindCalledBackend(ForwarderState& state, const Forwarding& forwarding) {
  Backend* backend = FindBackend(state, forwarding.m_server);
  const bool own = backend != nullptr && backend->m_record.born == forwarding.m_server_started_ms;
  return own ? backend : nullptr;
}

void HandleRestartInSlot(ForwarderState& state, const SlotResponse& answer) {
  const Backend* backend = FindBackend(state, answer.m_server);
  const bool restarted = backend != nullptr && answer.m_started_ms > backend->m_record.born &&
                         !answer.m_address.empty() && answer.m_port != 0;
  if (!restarted)
    return;
  wire::ServerRecord record = backend->m_record;
  record.born = answer.m_started_ms;
  record.address = answer.m_address;
  record.port = answer.m_port;
  record.stage = wire::ServerStage::READY;
  UpdateServer(state, record, true, ReadClock());
  IndexPools(state);  // Queues aren't served here: the caller is handling a queued request.
}

void EndLostCalls(ForwarderState& state, Instant now) {
  if (!state.m_servers_restarted)
    return;
  std::vector<ForwardingRef> lost;
  bool any = false;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const Backend* backend =
        IsCallActive(*forwarding) ? FindBackend(state, forwarding->m_server) : nullptr;
    if (backend == nullptr || !IsAtEarlierProcess(*forwarding, *backend))
      continue;
    any = true;
    if (IsCallLost(*forwarding, *backend, now))
      lost.push_back(ref);
  }
  state.m_servers_restarted = any;
  for (const ForwardingRef ref : lost) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || !IsCallActive(*forwarding))
      continue;
    POPPYWAY_LOG(info, "call_lost")
        .Field("request", forwarding->m_request.m_id)
        .Field("fingerprint", FingerprintText(forwarding->m_fingerprint))
        .Field("server", forwarding->m_server)
        .Field("born", forwarding->m_server_started_ms)
        .Field("after_ms", (now - forwarding->m_dispatched).count() / 1000);
    RecordHealth(state, *forwarding, HealthSignal::kFailure);
    OnCallBroken(state, *forwarding);
    OnIncompleteResponse(state, *forwarding, "server_restarted");
  }
}

}  // namespace poppyway::impl
