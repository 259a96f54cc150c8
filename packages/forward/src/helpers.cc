// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Calls that this instance makes through another one, since it doesn't reach the server itself. The
// request keeps its slot, its limits and its deadline; only the connection is another one.
#include "steps.h"

namespace poppyway::impl {
namespace {

constexpr int kMaxHelpersTried = 6;  // For one slot; as many as a leader names.
// A request that found no connection at so many servers, and no helper that could tell why, is
// likely at an instance that is cut off.
constexpr int kMaxServersOutOfReach = 3;

/// Takes back that a call was sent: the helper states that the server got nothing.
void UndoSend(Forwarding& forwarding) {
  if (!forwarding.m_sent)
    return;
  forwarding.m_sent = false;
  --forwarding.m_possible_runs;
  --forwarding.m_attempts;
  if (!forwarding.m_tried.empty() && forwarding.m_tried.back() == forwarding.m_server)
    forwarding.m_tried.pop_back();
}

/// Handles a request that no instance can pass on. That nobody can tell why doesn't mean that this
/// instance reaches no server, so others are tried first unless it is known to be cut off.
void OnNoHelper(ForwarderState& state, Forwarding& forwarding) {
  const bool try_another =
      !state.m_paths.m_cut_off && ++forwarding.m_servers_out_of_reach <= kMaxServersOutOfReach;
  if (try_another) {
    forwarding.m_tried.push_back(forwarding.m_server);
    ReportReachability(state, forwarding, false);
    RecordHealth(state, forwarding, HealthSignal::kUnreachable);
    RetryRequest(state, forwarding, CallFaultName(CallFault::kNotConnected));
    return;
  }
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding,
         forwarding.m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNoBackend,
         "this instance reaches no server");
  ServeQueue(state, pool);
}

void LogHelperFailed(ForwarderState& state, const Forwarding& forwarding, std::string_view why) {
  state.m_metrics.Add("poppyway_forward_helper_failures_total", "why=\"" + std::string(why) + "\"");
  POPPYWAY_LOG(info, "helper_failed")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", forwarding.m_server)
      .Field("helper", forwarding.m_helper ? ToText(*forwarding.m_helper) : "-")
      .Field("why", why);
}

}  // namespace

std::optional<Endpoint> HelperFor(ForwarderState& state, Forwarding& forwarding) {
  if (forwarding.m_helpers_tried >= kMaxHelpersTried)
    return std::nullopt;
  const std::optional<Endpoint> helper =
      ChooseHelper(state.m_helpers, state.m_random(), ReadClock());
  forwarding.m_helpers_tried += helper ? 1 : 0;
  return helper;
}

bool CallThroughHelper(ForwarderState& state, Forwarding& forwarding) {
  Backend* backend = FindCalledBackend(state, forwarding);
  if (backend == nullptr || ReadClock() >= forwarding.m_deadline)
    return false;
  const std::optional<Endpoint> helper = HelperFor(state, forwarding);
  if (!helper)
    return false;
  forwarding.m_helper = helper;
  if (forwarding.m_call) {
    forwarding.m_call->Cancel();
    state.m_retired.push_back(std::move(forwarding.m_call));
  }
  StartCall(state, forwarding, *backend);
  return true;
}

void OnHelperLost(ForwarderState& state, Forwarding& forwarding, CallFault fault) {
  LogHelperFailed(state, forwarding, CallFaultName(fault));
  if (fault == CallFault::kWithdrawn) {
    RetryRequest(state, forwarding, CallFaultName(fault));
    return;
  }
  AvoidHelper(state.m_helpers, *forwarding.m_helper, ReadClock());
  if (!NothingSent(fault)) {
    OnIncompleteResponse(state, forwarding, "helper_lost");
    return;
  }
  if (!CallThroughHelper(state, forwarding))
    OnNoHelper(state, forwarding);
}

void OnRelayFault(ForwarderState& state, Forwarding& forwarding, RelayFault fault) {
  LogHelperFailed(state, forwarding, RelayFaultName(fault));
  if (fault == RelayFault::kBroken) {
    if (!RecordBrokenCall(state.m_paths, forwarding.m_server, state.m_last_byte, ReadClock()))
      RecordHealth(state, forwarding, HealthSignal::kFailure);
    OnCallBroken(state, forwarding);
    OnIncompleteResponse(state, forwarding, "reset");
    return;
  }
  UndoSend(forwarding);
  if (fault == RelayFault::kServerUnreachable) {
    // Neither this instance nor the helper reaches it.
    ReportReachability(state, forwarding, false);
    RecordHealth(state, forwarding, HealthSignal::kUnreachable);
    RetryRequest(state, forwarding, CallFaultName(CallFault::kNotConnected));
    return;
  }
  AvoidHelper(state.m_helpers, *forwarding.m_helper, ReadClock());
  if (!CallThroughHelper(state, forwarding))
    OnNoHelper(state, forwarding);
}

}  // namespace poppyway::impl
