// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Bytes of a response before it is relayed in pieces.
constexpr std::size_t kMaxBuffered = 256 * 1024;
// Smoothing factor of the tokens per event, an average of some 20 responses of this instance.
constexpr double kEventGain = 0.05;
// Calls to servers that are gone, beyond the attempts of a route.
constexpr int kMaxMisdirected = 2;
// What crashes a server as it begins to write does so sooner.
constexpr Duration kLivesOn{300'000};

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool IsServerError(int status) {
  return status >= 500;
}

/// Returns true for a request of a repeatable route, unless its caller has a part of the response,
/// which a second one can't continue; and for a resumable stream, unless its caller has events
/// without ids: then nobody knows where to go on.
bool MayRerun(const Forwarding& forwarding) {
  const Route& route = *forwarding.m_route;
  const bool has_other_bytes = forwarding.m_caller.m_started && forwarding.m_events.m_events == 0;
  if (has_other_bytes)
    return false;
  if (!route.m_stream)
    return route.m_repeat == Repeat::kAlways;
  const bool position_known =
      forwarding.m_events.m_events == 0 || forwarding.m_events.m_last_id.has_value();
  return route.m_resumable && position_known;
}

/// Returns true if the limit of retries allows one more; the next call then counts as a retry.
bool BeginRetry(ForwarderState& state, Forwarding& forwarding) {
  if (!HasRetryLeft(state, state.m_pools[forwarding.m_pool->m_name])) {
    state.m_metrics.Add("poppyway_forward_retries_withheld_total",
                        "pool=\"" + forwarding.m_pool->m_name + "\"");
    POPPYWAY_LOG(info, "retry_withheld")
        .Field("request", forwarding.m_request.m_id)
        .Field("server", forwarding.m_server)
        .Field("attempt", forwarding.m_attempts);
    return false;
  }
  forwarding.m_uncounted_retry = true;
  return true;
}

/// Returns how many servers have been sent the request. A server that another one has replaced at
/// its address doesn't count: it is gone, and nothing ran.
int CountAttempts(const Forwarding& forwarding) {
  return forwarding.m_attempts - std::min(forwarding.m_misdirected, kMaxMisdirected);
}

/// Returns true if the route, the deadline and the limit of retries allow another attempt. An
/// attempt after one that sent a byte counts against the limit when it gets a server.
bool MayRetry(ForwarderState& state, Forwarding& forwarding) {
  const bool over = ReadClock() >= forwarding.m_deadline;
  if (over || CountAttempts(forwarding) >= forwarding.m_route->m_max_attempts)
    return false;
  if (forwarding.m_attempts == 0)
    return true;  // No server has received a byte of it.
  return BeginRetry(state, forwarding);
}

/// Handles a response by which the server has certainly not run the request.
void OnRejected(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  --forwarding.m_possible_runs;
  forwarding.m_sent = false;
  if (MayRetry(state, forwarding)) {
    RetryRequest(state, forwarding, why);
    return;
  }
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding,
         forwarding.m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kOverload, why);
  ServeQueue(state, pool);
}

void RecordByte(ForwarderState& state, Forwarding& forwarding) {
  forwarding.m_last_byte = ReadClock();
  if (!forwarding.m_helper)
    state.m_last_byte = forwarding.m_last_byte;
  if (Backend* backend = FindCalledBackend(state, forwarding))
    backend->m_last_byte = forwarding.m_last_byte;
}

void RecordFirstEvent(ForwarderState& state, Forwarding& forwarding, Instant now) {
  forwarding.m_first_event = now;
  RecordFirstEventVersion(state, forwarding);
  forwarding.m_report.m_tokens_read = forwarding.m_prefill_tokens;
  forwarding.m_report.m_time_to_first_event = std::max(Duration(1), now - forwarding.m_dispatched);
  if (Backend* backend = FindCalledBackend(state, forwarding)) {
    backend->m_performance = ObserveFirstEvent(
        backend->m_performance, forwarding.m_prefill_tokens,
        TimeAtServer(now - forwarding.m_dispatched, RoundTripOf(state, *backend)));
    backend->m_pending_prefill_tokens -= forwarding.m_prefill_tokens;
  }
  forwarding.m_prefill_tokens = 0;
  ReportSlot(state, forwarding, false);
  state.m_metrics.Record("poppyway_forward_first_event_seconds",
                         "tier=\"" + std::to_string(forwarding.m_tier) + "\"",
                         now - forwarding.m_arrived);
}

void OnEvents(ForwarderState& state, Forwarding& forwarding, std::string_view bytes) {
  if (forwarding.m_call_events == 0 && !MayContinueHere(state, forwarding)) {
    OnIncompleteResponse(state, forwarding, "other_version");
    return;
  }
  const std::int64_t before = forwarding.m_events.m_events;
  const std::string complete = ExtractEvents(forwarding.m_events, bytes);
  const std::int64_t added = forwarding.m_events.m_events - before;
  const Instant now = ReadClock();
  if (added > 0 && forwarding.m_call_events == 0)
    RecordFirstEvent(state, forwarding, now);
  forwarding.m_call_events += added;
  if (added > 0 && forwarding.m_last_event != Instant{})
    forwarding.m_longest_pause =
        std::max(forwarding.m_longest_pause, now - forwarding.m_last_event);
  if (added > 0)
    forwarding.m_last_event = now;
  if (added > 0 && now - forwarding.m_first_event >= kLivesOn)
    OnServerLived(state, forwarding);
  if (!complete.empty()) {
    if (!forwarding.m_caller.m_started)
      StartResponse(state, forwarding, std::nullopt);
    SendChunk(forwarding.m_caller, complete, false);
  }
  const bool too_long = forwarding.m_events.m_partial.size() > kMaxEventBytes;
  if (!forwarding.m_events.m_out_of_order && !too_long)
    return;
  RecordHealth(state, forwarding, HealthSignal::kFailure);
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding, ResultCode::kAnswerIncomplete,
         too_long ? "an event without end" : "events out of order");
  ServeQueue(state, pool);
}

bool IsEventResponse(const Forwarding& forwarding) {
  return forwarding.m_route->m_stream && IsSuccess(forwarding.m_response.m_status);
}

void LearnFromResponse(ForwarderState& state, Forwarding& forwarding) {
  const Instant now = ReadClock();
  const bool failed = IsServerError(forwarding.m_response.m_status);
  forwarding.m_report.m_failed = failed;
  RecordHealth(state, forwarding, failed ? HealthSignal::kFailure : HealthSignal::kSuccess);
  if (failed)
    return;
  SlotReport& report = forwarding.m_report;
  report.m_service = now - forwarding.m_dispatched;
  report.m_events = forwarding.m_call_events;
  report.m_span = forwarding.m_last_event - forwarding.m_first_event;
  report.m_longest_pause = forwarding.m_longest_pause;
  if (Backend* backend = FindCalledBackend(state, forwarding)) {
    backend->m_performance = ObserveService(
        backend->m_performance, TimeAtServer(report.m_service, RoundTripOf(state, *backend)));
    if (forwarding.m_call_events > 1)
      backend->m_performance = ObserveStream(backend->m_performance, forwarding.m_call_events - 1,
                                             report.m_span, report.m_longest_pause);
  }
  state.m_tokens_per_event =
      UpdateTokensPerEvent(state.m_tokens_per_event, forwarding.m_request.m_expected_tokens,
                           forwarding.m_call_events, kEventGain);
}

}  // namespace

std::optional<std::size_t> ContentLength(const std::vector<Field>& fields) {
  for (const Field& field : fields) {
    if (field.m_name == "content-length")
      return static_cast<std::size_t>(std::strtoull(field.m_value.c_str(), nullptr, 10));
  }
  return std::nullopt;
}

void RetryRequest(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  state.m_metrics.Add("poppyway_forward_retries_total", TierAndReason(forwarding.m_tier, why));
  POPPYWAY_LOG(info, "retry")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", forwarding.m_server)
      .Field("why", why)
      .Field("attempt", forwarding.m_attempts)
      .Field("resume_after", forwarding.m_events.m_last_id.value_or(-1));
  EndCall(state, forwarding);
  if (IsQuarantined(state, forwarding)) {
    const std::string pool = forwarding.m_pool->m_name;
    RefuseAsQuarantined(state, forwarding);
    ServeQueue(state, pool);
    return;
  }
  // A call that may have run stays charged, and the next one is charged again.
  forwarding.m_charged_without_broker =
      forwarding.m_charged_without_broker && forwarding.m_possible_runs == 0;
  const Instant now = ReadClock();
  if (ContinuationOf(forwarding).m_continues)
    forwarding.m_length_class = 0;
  PutInQueue(state, forwarding, now + QueueTimeout(forwarding));
  ServeQueue(state, forwarding.m_pool->m_name);
}

bool RetryElsewhere(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  if (!MayRerun(forwarding) || !MayRetry(state, forwarding))
    return false;
  RetryRequest(state, forwarding, why);
  return true;
}

void OnIncompleteResponse(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  if (RetryElsewhere(state, forwarding, why))
    return;
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding,
         forwarding.m_head_accepted ? ResultCode::kAnswerIncomplete : ResultCode::kOutcomeUnknown,
         why);
  ServeQueue(state, pool);
}

HeadVerdict OnHead(ForwarderState& state,
                   ForwardingRef ref,
                   int status,
                   std::vector<Field> fields) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return HeadVerdict::kAccept;
  if (forwarding->m_helper) {
    if (const std::optional<RelayFault> fault = FindRelayFault(fields)) {
      OnRelayFault(state, *forwarding, *fault);
      return HeadVerdict::kAccept;
    }
  }
  const std::optional<std::size_t> content_length = ContentLength(fields);
  ServerResponse answer = state.m_adapter.m_decode_response(status, std::move(fields));
  HandleServerNotice(state, *forwarding, answer);
  if (answer.m_id && *answer.m_id != forwarding->m_request.m_id) {
    state.m_metrics.Add("poppyway_answers_crossed_total");
    POPPYWAY_LOG(warning, "answer_crossed")
        .Field("request", forwarding->m_request.m_id)
        .Field("server", forwarding->m_server)
        .Field("answered", *answer.m_id);
    return HeadVerdict::kSkip;
  }
  RecordByte(state, *forwarding);
  ReportReachability(state, *forwarding, true);
  if (answer.m_other_server) {
    RecordReplacement(state, forwarding->m_server, *answer.m_other_server);
    forwarding->m_report.m_health_signal = HealthSignal::kUnreachable;
    ++forwarding->m_misdirected;
    OnRejected(state, *forwarding, "another_server_answered");
    return HeadVerdict::kAccept;
  }
  if (answer.m_not_run) {
    if (Backend* backend = FindCalledBackend(state, *forwarding))
      RecordRejection(backend->m_brittleness, ReadClock());
    RecordHealth(state, *forwarding, HealthSignal::kFailure);
    OnRejected(state, *forwarding, "server_declined");
    return HeadVerdict::kAccept;
  }
  const bool unverified = IsSuccess(status) && (!answer.m_signed || !answer.m_id);
  if (unverified) {
    RecordHealth(state, *forwarding, HealthSignal::kFailure);
    OnIncompleteResponse(state, *forwarding, "unsigned_answer");
    return HeadVerdict::kAccept;
  }
  const bool may_retry = IsServerError(status) && MayRerun(*forwarding) &&
                         CountAttempts(*forwarding) < forwarding->m_route->m_max_attempts;
  if (may_retry) {
    forwarding->m_report.m_failed = true;
    RecordHealth(state, *forwarding, HealthSignal::kFailure);
    if (BeginRetry(state, *forwarding)) {
      RetryRequest(state, *forwarding, "server_error");
      return HeadVerdict::kAccept;
    }
  }
  if (forwarding->m_caller.m_started && !IsSuccess(status)) {
    OnIncompleteResponse(state, *forwarding, "resume_declined");
    return HeadVerdict::kAccept;
  }
  if (IsSuccess(status) && !MayContinueHere(state, *forwarding)) {
    OnIncompleteResponse(state, *forwarding, "other_version");
    return HeadVerdict::kAccept;
  }
  forwarding->m_head_accepted = true;
  forwarding->m_content_length = content_length;
  if (answer.m_keep_alive)
    forwarding->m_call->SetKeepAlive(*answer.m_keep_alive);
  forwarding->m_response = std::move(answer);
  return HeadVerdict::kAccept;
}

void OnData(ForwarderState& state, ForwardingRef ref, std::string_view bytes) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || !forwarding->m_head_accepted ||
      forwarding->m_stage == ForwardingStage::kDone)
    return;
  RecordByte(state, *forwarding);
  if (IsEventResponse(*forwarding)) {
    OnEvents(state, *forwarding, bytes);
  } else if (forwarding->m_caller.m_started) {
    SendChunk(forwarding->m_caller, bytes, false);
  } else {
    forwarding->m_buffered += bytes;
    if (forwarding->m_buffered.size() > kMaxBuffered) {
      // With the length, each caller can tell a response that breaks off from a whole one.
      StartResponse(state, *forwarding, forwarding->m_content_length);
      SendChunk(forwarding->m_caller, forwarding->m_buffered, false);
      forwarding->m_buffered.clear();
    }
  }
  PauseOrResumeReading(state, *forwarding);
}

void OnComplete(ForwarderState& state, ForwardingRef ref) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return;
  const bool partial_event =
      IsEventResponse(*forwarding) && !forwarding->m_events.m_partial.empty();
  if (partial_event) {
    RecordHealth(state, *forwarding, HealthSignal::kFailure);
    OnCallBroken(state, *forwarding);
    OnIncompleteResponse(state, *forwarding, "ended_within_an_event");
    return;
  }
  LearnFromResponse(state, *forwarding);
  OnServerLived(state, *forwarding);
  ForgetOriginLater(state, forwarding->m_stream);
  const bool showed_nothing = IsEventResponse(*forwarding) && forwarding->m_call_events == 0;
  if (IsSuccess(forwarding->m_response.m_status) && !showed_nothing)
    OnCompleteResponse(state, *forwarding);
  const std::string pool = forwarding->m_pool->m_name;
  if (!forwarding->m_caller.m_started)
    StartResponse(state, *forwarding, forwarding->m_buffered.size());
  if (state.m_stopping)
    CloseAfterResponse(forwarding->m_caller);
  const std::string body = std::move(forwarding->m_buffered);
  SendChunk(forwarding->m_caller, body, true);
  Close(state, *forwarding, ResultCode::kOk, "");
  ServeQueue(state, pool);
}

namespace {

/// Handles a call of which the server got nothing. If no connection came up and no other server
/// responded meanwhile, the path may be lost: the call is made through a helper. Otherwise the
/// server is likely lost, and a helper would only wait for it once more.
void OnNothingSent(ForwarderState& state, Forwarding& forwarding, CallFault fault) {
  if (fault == CallFault::kNotConnected) {
    const Backend* backend = FindBackend(state, forwarding.m_server);
    if (backend != nullptr)
      CheckPathAfterFailedConnect(state, backend->m_endpoint);
    const bool others_respond = state.m_last_byte > forwarding.m_dispatched;
    if (!others_respond && CallThroughHelper(state, forwarding))
      return;
    ReportReachability(state, forwarding, false);
    RecordHealth(state, forwarding, HealthSignal::kUnreachable);
    // It would be sent there again and again, since few others may take it.
    if (ContinuationOf(forwarding).m_continues)
      forwarding.m_tried.push_back(forwarding.m_server);
  }
  RetryRequest(state, forwarding, CallFaultName(fault));
}

/// Handles a call that broke off after it was sent.
void OnBroken(ForwarderState& state, Forwarding& forwarding, CallFault fault) {
  const bool own_path =
      RecordBrokenCall(state.m_paths, forwarding.m_server, state.m_last_byte, ReadClock());
  if (!own_path) {
    ReportReachability(state, forwarding, false);
    RecordHealth(state, forwarding, HealthSignal::kFailure);
  }
  OnCallBroken(state, forwarding);
  OnIncompleteResponse(state, forwarding, CallFaultName(fault));
}

}  // namespace

void OnFault(ForwarderState& state, ForwardingRef ref, CallFault fault) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return;
  const std::string_view why = CallFaultName(fault);
  state.m_metrics.Add("poppyway_forward_calls_failed_total", "why=\"" + std::string(why) + "\"");
  if (forwarding->m_sent)
    state.m_metrics.Add("poppyway_forward_broken_calls_total",
                        forwarding->m_head_accepted ? "begun=\"1\"" : "begun=\"0\"");
  const Instant now = ReadClock();
  const ConnectOutcome connect =
      forwarding->m_call ? forwarding->m_call->connect_outcome() : ConnectOutcome::kNone;
  if (connect != ConnectOutcome::kNone)
    state.m_metrics.Add("poppyway_forward_failed_calls_by_connect_total",
                        "connect=\"" + std::string(ConnectOutcomeName(connect)) + "\"");
  POPPYWAY_LOG(info, "call_failed")
      .Field("request", forwarding->m_request.m_id)
      .Field("fingerprint", FingerprintText(forwarding->m_fingerprint))
      .Field("server", forwarding->m_server)
      .Field("why", why)
      .Field("head", HeadFaultName(forwarding->m_call ? forwarding->m_call->head_fault()
                                                      : HeadFault::kNone))
      .Field("headed", forwarding->m_head_accepted)
      .Field("parts", SharedPartsText(forwarding->m_request))
      .Field("events", forwarding->m_call_events)
      .Field("reused", forwarding->m_call && forwarding->m_call->reused())
      .Field("connect", ConnectOutcomeName(connect))
      .Field("helper", forwarding->m_helper ? ToText(*forwarding->m_helper) : "-")
      .Field("any_heard_ms",
             state.m_last_byte == Instant{} ? -1 : (now - state.m_last_byte).count() / 1000)
      .Field("after_ms", (now - forwarding->m_dispatched).count() / 1000);
  if (forwarding->m_helper)
    OnHelperLost(state, *forwarding, fault);
  else if (NothingSent(fault))
    OnNothingSent(state, *forwarding, fault);
  else
    OnBroken(state, *forwarding, fault);
}

}  // namespace poppyway::impl
