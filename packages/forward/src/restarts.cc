// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Backend servers that start again under the id that they had. A server is (id, birth): what is in
// flight at an earlier life neither counts at a later one nor teaches anything about it.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// A server that has started is given work by the broker, and by other instances, before this one
// has heard of it. What was sent there within this time before the news may be at the new life.
constexpr Duration kNewsDelay{1'500'000};

bool IsAtEarlierLife(const Forwarding& forwarding, const Backend& backend) noexcept {
  return forwarding.m_server_started_ms > 0 &&
         forwarding.m_server_started_ms < backend.m_record.born;
}

/// Whoever had the call is gone, and its connection hasn't told.
bool IsLost(const Forwarding& forwarding, const Backend& backend, Instant now) noexcept {
  if (!forwarding.m_sent || !IsAtEarlierLife(forwarding, backend))
    return false;
  const bool surely_earlier = forwarding.m_dispatched + kNewsDelay <= backend.m_life_told;
  const Instant heard = std::max(forwarding.m_dispatched, forwarding.m_heard);
  return surely_earlier && heard + kNewsDelay <= now;
}

bool IsCalling(const Forwarding& forwarding) noexcept {
  return forwarding.m_stage == ForwardingStage::kCalling ||
         forwarding.m_stage == ForwardingStage::kRelaying;
}

}  // namespace

bool IsNewLife(const Backend& known, const wire::ServerRecord& record) noexcept {
  return known.m_record.born > 0 && record.born > known.m_record.born;
}

void BeginLife(ForwarderState& state, Backend& backend, const wire::ServerRecord& record) {
  POPPYWAY_LOG(info, "server_restarted")
      .Field("server", record.id)
      .Field("born", record.born)
      .Field("before", backend.m_record.born)
      .Field("in_flight", backend.m_in_flight);
  state.m_metrics.Add("poppyway_forward_server_restarts_total");
  state.m_connections->Forget(backend.m_place);
  backend.m_replaced = false;
  backend.m_in_flight = 0;
  backend.m_pending_prefill_tokens = 0;
  backend.m_own_before = 0;
  backend.m_health = {};
  backend.m_back_off_until = {};
  backend.m_announced_leaving = false;
  backend.m_last_heard = {};
  backend.m_prompt_segments.clear();
  backend.m_life_told = ReadClock();
  state.m_lives_changed = true;
}

void TakeBirth(ForwarderState& state, const std::string& server, std::int64_t started_ms) {
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (forwarding->m_server == server && forwarding->m_server_started_ms == 0)
      forwarding->m_server_started_ms = started_ms;
  }
}

Backend* FindOwnBackend(ForwarderState& state, const Forwarding& forwarding) {
  Backend* backend = FindBackend(state, forwarding.m_server);
  const bool own = backend != nullptr && backend->m_record.born == forwarding.m_server_started_ms;
  return own ? backend : nullptr;
}

void HearOfLife(ForwarderState& state, const SlotResponse& answer) {
  const Backend* backend = FindBackend(state, answer.m_server);
  const bool news = backend != nullptr && answer.m_started_ms > backend->m_record.born &&
                    !answer.m_address.empty() && answer.m_port != 0;
  if (!news)
    return;
  wire::ServerRecord record = backend->m_record;
  record.born = answer.m_started_ms;
  record.address = answer.m_address;
  record.port = answer.m_port;
  record.stage = wire::ServerStage::READY;
  TakeServer(state, record, true, ReadClock());
  IndexPools(state);  // What waits is not served here: this is within the answer to one of them.
}

void EndLostCalls(ForwarderState& state, Instant now) {
  if (!state.m_lives_changed)
    return;
  std::vector<ForwardingRef> lost;
  bool any = false;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const Backend* backend =
        IsCalling(*forwarding) ? FindBackend(state, forwarding->m_server) : nullptr;
    if (backend == nullptr || !IsAtEarlierLife(*forwarding, *backend))
      continue;
    any = true;
    if (IsLost(*forwarding, *backend, now))
      lost.push_back(ref);
  }
  state.m_lives_changed = any;
  for (const ForwardingRef ref : lost) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || !IsCalling(*forwarding))
      continue;
    POPPYWAY_LOG(info, "call_lost")
        .Field("request", forwarding->m_request.m_id)
        .Field("server", forwarding->m_server)
        .Field("born", forwarding->m_server_started_ms)
        .Field("after_ms", (now - forwarding->m_dispatched).count() / 1000);
    NoteHealth(state, *forwarding, HealthSignal::kFailure);
    OnBroken(state, *forwarding, "server_restarted");
  }
}

}  // namespace poppyway::impl
