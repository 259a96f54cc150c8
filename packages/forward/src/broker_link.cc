// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Slot requests to the broker, its responses, and reports about held slots.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// A broker responds within some ms, but a machine that has used up its CPU quota may stall for the
// rest of a 100 ms period.
constexpr Duration kSlotResponseTimeout{100'000};
// Two consecutive lost packets stall a connection for 200 and 400 ms. At 3.4 % packet loss, with
// the timeout of a single response as the criterion, the instances of one data centre considered a
// live broker lost 80 to 100 times a second.
constexpr Duration kBrokerTimeout{1'000'000};
// A server that started registers within two heartbeats.
constexpr Duration kRegistrationDelay{2'000'000};

SlotRequest MakeSlotRequest(const ForwarderState& state,
                            const Forwarding& forwarding,
                            Instant now) {
  const Route& route = *forwarding.m_route;
  SlotRequest slot_request;
  slot_request.m_ref = forwarding.m_slot_request;
  slot_request.m_pool = forwarding.m_pool->m_name;
  slot_request.m_data_centre = state.m_settings.m_data_centre;
  slot_request.m_route = Hash(route.m_name);
  slot_request.m_tier = forwarding.m_tier;
  slot_request.m_shape.m_tier = route.m_tier;
  slot_request.m_shape.m_prompt_tokens =
      forwarding.m_pool->m_engines ? forwarding.m_request.m_prompt_tokens : 0;
  slot_request.m_shape.m_latency_target = route.m_latency_target;
  slot_request.m_shape.m_waited = now - forwarding.m_arrived;
  slot_request.m_shape.m_left = forwarding.m_deadline - now;
  if (route.m_stream)
    slot_request.m_shape.m_gap_target = route.m_gap_target;
  slot_request.m_expected_tokens = forwarding.m_request.m_expected_tokens;
  slot_request.m_wait = forwarding.m_deadline - now;
  if (forwarding.m_pool->m_engines)
    slot_request.m_prompt_segments = forwarding.m_request.m_prompt_segments;
  slot_request.m_tried = forwarding.m_tried;
  slot_request.m_allowed_regions = forwarding.m_allowed_regions;
  slot_request.m_retry = forwarding.m_uncounted_retry;
  slot_request.m_continuation = ContinuationOf(forwarding);
  if (forwarding.m_workspace != nullptr)
    slot_request.m_workspace = forwarding.m_workspace->m_name;
  if (forwarding.m_quota.m_cost <= 0)
    return slot_request;
  slot_request.m_quota = forwarding.m_quota;
  slot_request.m_limit = forwarding.m_limit;
  return slot_request;
}

HeldSlot MakeHeld(const Forwarding& forwarding) {
  HeldSlot held;
  held.m_ref = forwarding.m_slot;
  held.m_server = forwarding.m_server;
  held.m_pending_prefill_tokens = forwarding.m_prefill_tokens;
  held.m_expected_tokens = forwarding.m_request.m_expected_tokens;
  held.m_started_ms = forwarding.m_server_started_ms;
  return held;
}

/// Returns true if a call to the server just reached another one at its address. The broker learns
/// that it is gone when the other one registers.
bool IsMisdirected(const Backend& backend, Instant now) noexcept {
  return backend.m_misdirected_at != Instant{} &&
         now - backend.m_misdirected_at < kRegistrationDelay;
}

/// Returns why a slot at the server, which may be unknown here, can't be used; `kNone` if it can.
IneligibleReason CheckSlotServer(const ForwarderState& state,
                                 const Forwarding& forwarding,
                                 const Backend* backend,
                                 Instant now) {
  if (backend == nullptr || IsMisdirected(*backend, now))
    return IneligibleReason::kLeaving;
  return CheckEligibilityOnSend(state, forwarding, *backend, now);
}

/// Returns an unused slot to the broker at once.
void ReturnSlot(ForwarderState& state, SlotRef ref) {
  SlotReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_may_have_run = false;
  state.m_broker.m_outbox.m_reports.push_back(report);
  FlushToBroker(state);
}

void RememberLimitLeft(ForwarderState& state,
                       const Forwarding& forwarding,
                       const SlotResponse& answer) {
  if (forwarding.m_quota.m_cost <= 0 || answer.m_verdict == SlotVerdict::kQueued)
    return;
  state.m_broker.m_limits_left[forwarding.m_workspace->m_name] = {
      answer.m_limit_left, forwarding.m_limit, ReadClock(), state.m_broker.m_epoch};
}

void UseSlot(ForwarderState& state, Forwarding& forwarding, const SlotResponse& answer) {
  HandleRestartInSlot(state, answer);
  forwarding.m_called_software = answer.m_software;
  if (ContinuationOf(forwarding).m_continues && forwarding.m_software == 0)
    forwarding.m_software = answer.m_software;  // The broker knows what began the stream.
  const Backend* backend = FindBackend(state, answer.m_server);
  const Instant now = ReadClock();
  const bool confirmed = forwarding.m_workspace == nullptr || now < state.m_confirmed_until;
  const IneligibleReason reason = CheckSlotServer(state, forwarding, backend, now);
  const bool usable = reason == IneligibleReason::kNone && confirmed;
  if (!usable) {
    POPPYWAY_LOG(info, "place_returned")
        .Field("request", forwarding.m_request.m_id)
        .Field("server", answer.m_server)
        .Field("known", backend != nullptr)
        .Field("bar", IneligibleReasonName(reason))
        .Field("confirmed", confirmed);
    ReturnSlot(state, answer.m_ref);
    forwarding.m_tried.push_back(answer.m_server);
    if (backend == nullptr)
      forwarding.m_unknown_servers.push_back(answer.m_server);
    if (state.m_broker.m_active)
      RequestSlot(state, forwarding);
    return;
  }
  state.m_pools[forwarding.m_pool->m_name].m_waiting.erase(OrderOf(forwarding));
  forwarding.m_slot = answer.m_ref;
  forwarding.m_by_broker = true;
  forwarding.m_forecast = answer.m_time_to_first_event;
  Dispatch(state, forwarding, answer.m_server);
}

void LogOverLimit(const Forwarding& forwarding, const SlotResponse& answer) {
  POPPYWAY_LOG(info, "limit_spent")
      .Field("request", forwarding.m_request.m_id)
      .Field("workspace", forwarding.m_workspace->m_name)
      .Field("cost", forwarding.m_quota.m_cost)
      .Field("reserve", forwarding.m_quota.m_reserve)
      .Field("rate_per_s", forwarding.m_limit.m_rate_per_s)
      .Field("burst", forwarding.m_limit.m_burst)
      .Field("left", answer.m_limit_left);
}

void RefuseByBroker(ForwarderState& state, Forwarding& forwarding, const SlotResponse& answer) {
  forwarding.m_estimated_wait = answer.m_estimated_wait;
  if (answer.m_verdict == SlotVerdict::kOverLimit)
    LogOverLimit(forwarding, answer);
  if (forwarding.m_possible_runs > 0 && answer.m_verdict != SlotVerdict::kNoRetry) {
    Refuse(state, forwarding, ResultCode::kOutcomeUnknown, "no other server had room");
    return;
  }
  switch (answer.m_verdict) {
    case SlotVerdict::kOverLimit:
      Refuse(state, forwarding, ResultCode::kQuotaSpent, "the workspace has used up its limit");
      return;
    case SlotVerdict::kNoServer:
      Refuse(state, forwarding, ResultCode::kNoBackend, WhyNoServer(forwarding));
      return;
    case SlotVerdict::kUnknownStream:
      Refuse(state, forwarding, ResultCode::kStreamUnknown, kWhyStreamUnknown);
      return;
    case SlotVerdict::kNoRetry:
      RefuseRetry(state, forwarding);
      return;
    default:
      Refuse(state, forwarding, ResultCode::kOverload, "no server had room in time");
  }
}

void HandleSlotResponse(ForwarderState& state, const SlotResponse& answer) {
  BrokerLink& link = state.m_broker;
  const auto pending = link.m_pending_requests.find(answer.m_ref);
  Forwarding* forwarding =
      pending == link.m_pending_requests.end() ? nullptr : Find(state, pending->second);
  const bool awaited = forwarding != nullptr && forwarding->m_slot_request == answer.m_ref;
  if (!awaited) {
    if (answer.m_verdict == SlotVerdict::kPlaced)
      ReturnSlot(state, answer.m_ref);
    return;
  }
  RememberLimitLeft(state, *forwarding, answer);
  RememberRetriesLeft(state, state.m_pools[forwarding->m_pool->m_name], answer);
  if (answer.m_verdict == SlotVerdict::kQueued) {
    forwarding->m_queued = true;
    return;
  }
  link.m_pending_requests.erase(pending);
  forwarding->m_slot_request = 0;
  if (answer.m_verdict == SlotVerdict::kPlaced)
    UseSlot(state, *forwarding, answer);
  else
    RefuseByBroker(state, *forwarding, answer);
}

/// Returns the state of all limits for a new broker.
std::vector<LimitReport> LimitReports(const BrokerLink& link, Instant now) {
  std::map<std::string, LimitReport> reports;
  for (const auto& [workspace, left] : link.m_limits_left)
    reports[workspace] = {
        workspace, left.m_limit, left.m_limit_left, now - left.m_reported_at, left.m_epoch, 0};
  for (const auto& [workspace, bucket] : link.m_local_quota) {
    LimitReport& report = reports[workspace];
    report.m_workspace = workspace;
    report.m_limit = bucket.m_limit;
    report.m_charged_without_broker = bucket.m_spent;
  }
  std::vector<LimitReport> list;
  for (auto& [workspace, report] : reports)
    list.push_back(std::move(report));
  return list;
}

/// Forgets all pending slot requests; late responses are ignored, and slots in them returned.
void ForgetSlotRequests(ForwarderState& state) {
  for (const auto& [slot_request, ref] : state.m_broker.m_pending_requests) {
    if (Forwarding* forwarding = Find(state, ref))
      forwarding->m_slot_request = 0;
  }
  state.m_broker.m_pending_requests.clear();
}

/// Records the slots held now, which no other instance uses while the broker doesn't respond.
void KeepOwnSlots(ForwarderState& state) {
  for (auto& [id, backend] : state.m_backends)
    backend.m_in_flight_at_loss = backend.m_in_flight;
}

/// Cancels slot requests without any response; this instance places these requests itself from now
/// on. Requests in the broker's queue stay there.
void OnBrokerOverdue(ForwarderState& state, Instant now) {
  BrokerLink& link = state.m_broker;
  link.m_overdue_since = now;
  std::vector<Forwarding*> unanswered;
  for (const auto& [slot_request, ref] : link.m_pending_requests) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding != nullptr && !forwarding->m_queued)
      unanswered.push_back(forwarding);
  }
  POPPYWAY_LOG(info, "broker_quiet")
      .Field("epoch", link.m_epoch)
      .Field("awaited", link.m_pending_requests.size())
      .Field("without_word", unanswered.size());
  KeepOwnSlots(state);
  BeginRetriesWithoutBroker(state);
  for (Forwarding* forwarding : unanswered)
    CancelSlotRequest(state, *forwarding);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

/// Reports the quota and the retries that were charged locally while the broker was overdue.
void ReportLocalCharges(ForwarderState& state) {
  BrokerLink& link = state.m_broker;
  for (const auto& [workspace, bucket] : link.m_local_quota) {
    LimitReport report;
    report.m_workspace = workspace;
    report.m_limit = bucket.m_limit;
    report.m_charged_without_broker = bucket.m_spent;
    link.m_outbox.m_limits.push_back(std::move(report));
  }
  link.m_local_quota.clear();
  link.m_outbox.m_retries = TakeRetryReports(state, ReadClock());
  FlushToBroker(state);
}

void RequestSlotsForQueue(ForwarderState& state) {
  std::vector<ForwardingRef> waiting;
  for (const auto& [name, pool] : state.m_pools) {
    for (const auto& [order, ref] : pool.m_waiting)
      waiting.push_back(ref);
  }
  for (const ForwardingRef ref : waiting) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || forwarding->m_slot_request != 0)
      continue;
    RefundWithoutBroker(state, *forwarding);  // The broker charges the request.
    RequestSlot(state, *forwarding);
  }
}

}  // namespace

void RequestSlot(ForwarderState& state, Forwarding& forwarding) {
  BrokerLink& link = state.m_broker;
  const Instant now = ReadClock();
  forwarding.m_slot_request = link.m_next_ref++;
  forwarding.m_slot_requested_at = now;
  forwarding.m_queued = false;
  link.m_pending_requests[forwarding.m_slot_request] = forwarding.m_ref;
  link.m_outbox.m_slot_requests.push_back(MakeSlotRequest(state, forwarding, now));
  FlushToBroker(state);
}

void CancelSlotRequest(ForwarderState& state, Forwarding& forwarding) {
  if (forwarding.m_slot_request == 0)
    return;
  state.m_broker.m_pending_requests.erase(forwarding.m_slot_request);
  state.m_broker.m_outbox.m_cancelled_requests.push_back(forwarding.m_slot_request);
  forwarding.m_slot_request = 0;
  FlushToBroker(state);
}

namespace {

/// Lets the broker choose servers again that this instance has learned of since it returned a slot
/// there. Returns true if there are any.
bool AllowLearnedServers(const ForwarderState& state, Forwarding& forwarding) {
  std::vector<std::string>& unknown = forwarding.m_unknown_servers;
  const auto learned =
      std::partition(unknown.begin(), unknown.end(),
                     [&state](const std::string& id) { return !state.m_backends.contains(id); });
  if (learned == unknown.end())
    return false;
  std::erase_if(forwarding.m_tried, [&](const std::string& id) {
    return std::find(learned, unknown.end(), id) != unknown.end();
  });
  unknown.erase(learned, unknown.end());
  return true;
}

}  // namespace

void RequestSlotsAtLearnedServers(ForwarderState& state) {
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool asks_again =
        AllowLearnedServers(state, *forwarding) && forwarding->m_slot_request != 0;
    if (!asks_again || !state.m_broker.m_active)
      continue;
    CancelSlotRequest(state, *forwarding);
    RequestSlot(state, *forwarding);
  }
}

void HandleSlotResponses(ForwarderState& state, const SlotResponses& message) {
  BrokerLink& link = state.m_broker;
  if (!link.m_active || message.m_epoch != link.m_epoch)
    return;
  const bool was_overdue = IsBrokerOverdue(link);
  if (was_overdue) {
    POPPYWAY_LOG(info, "broker_heard")
        .Field("epoch", link.m_epoch)
        .Field("quiet_ms", (ReadClock() - link.m_overdue_since).count() / 1000);
    link.m_overdue_since = {};
  }
  if (message.m_suspects)
    HandleSuspects(state, *message.m_suspects);
  for (const SlotResponse& answer : message.m_answers)
    HandleSlotResponse(state, answer);
  if (was_overdue) {
    RequestSlotsForQueue(state);  // Refunds local charges first, so that they aren't reported.
    ReportLocalCharges(state);
  }
}

void OnBrokerFound(ForwarderState& state, const BrokerConnected& message) {
  BrokerLink& link = state.m_broker;
  const Instant now = ReadClock();
  link.m_active = true;
  link.m_overdue_since = {};
  link.m_epoch = message.m_epoch;
  ForgetSlotRequests(state);  // They were sent to a former broker.
  state.m_suspects.clear();   // The new broker sends its own list.
  link.m_outbox = {};
  link.m_outbox.m_resync = true;
  link.m_outbox.m_instances = state.m_instances.m_recent_max;
  link.m_outbox.m_limits = LimitReports(link, now);
  link.m_outbox.m_retries = TakeRetryReports(state, now);
  link.m_outbox.m_notices = CurrentNotices(state, now);
  link.m_outbox.m_begun_streams = AllOrigins(state.m_origins);
  link.m_local_quota.clear();
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (forwarding->m_slot != 0)
      link.m_outbox.m_held.push_back(MakeHeld(*forwarding));
  }
  POPPYWAY_LOG(info, "broker_found")
      .Field("epoch", message.m_epoch)
      .Field("held", link.m_outbox.m_held.size())
      .Field("instances", state.m_instances.m_recent_max);
  FlushToBroker(state);
  RequestSlotsForQueue(state);
}

void OnBrokerLost(ForwarderState& state, std::string_view why) {
  BrokerLink& link = state.m_broker;
  if (!link.m_active)
    return;
  link.m_active = false;
  link.m_overdue_since = {};
  link.m_outbox = {};
  state.m_suspects.clear();
  POPPYWAY_LOG(info, "broker_lost")
      .Field("why", why)
      .Field("epoch", link.m_epoch)
      .Field("awaited", link.m_pending_requests.size());
  KeepOwnSlots(state);
  BeginRetriesWithoutBroker(state);
  ForgetSlotRequests(state);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

void CheckBroker(ForwarderState& state, Instant now) {
  BrokerLink& link = state.m_broker;
  if (IsBrokerOverdue(link)) {
    if (now - link.m_overdue_since < kBrokerTimeout)
      return;
    OnBrokerLost(state, "silent");
    if (link.m_port.m_on_unresponsive)
      link.m_port.m_on_unresponsive();
    return;
  }
  const bool overdue =
      std::any_of(link.m_pending_requests.begin(), link.m_pending_requests.end(),
                  [&state, now](const auto& pending) {
                    const Forwarding* forwarding = Find(state, pending.second);
                    return forwarding != nullptr && !forwarding->m_queued &&
                           now - forwarding->m_slot_requested_at > kSlotResponseTimeout;
                  });
  if (overdue)
    OnBrokerOverdue(state, now);
}

void ReportHeldSlot(ForwarderState& state, const Forwarding& forwarding) {
  if (state.m_broker.m_active)
    state.m_broker.m_outbox.m_held.push_back(MakeHeld(forwarding));
}

void ReportSlot(ForwarderState& state, Forwarding& forwarding, bool ended) {
  if (forwarding.m_slot == 0)
    return;
  SlotReport report = forwarding.m_report;
  report.m_ended = ended;
  report.m_may_have_run = forwarding.m_sent;
  forwarding.m_report = {.m_ref = forwarding.m_slot};
  if (ended)
    forwarding.m_slot = 0;
  if (!state.m_broker.m_active)
    return;
  state.m_broker.m_outbox.m_reports.push_back(report);
  if (ended)
    FlushToBroker(state);  // Other requests wait for the slot.
}

void FlushToBroker(ForwarderState& state) {
  BrokerLink& link = state.m_broker;
  if (!link.m_active || link.m_outbox.empty() || !link.m_port.m_send)
    return;
  SlotBatch batch = std::move(link.m_outbox);
  link.m_outbox = {};
  batch.m_epoch = link.m_epoch;
  link.m_port.m_send(std::move(batch));
}

}  // namespace poppyway::impl
