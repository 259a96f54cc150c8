// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

constexpr std::size_t kMostBuffered =
    256 * 1024;                                   // Of an answer, before it is passed on in pieces.
constexpr std::size_t kMostPending = 256 * 1024;  // For a slow caller, before the server is paused.
// Of the size of events, from this instance's own answers: some twenty back.
constexpr double kEventGain = 0.05;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool IsServerError(int status) {
  return status >= 500;
}

/// A request that may run again: any of a repeatable route, a stream that can go on elsewhere.
bool MayRunAgain(const Forwarding& forwarding) {
  const Route& route = *forwarding.m_route;
  return route.m_stream ? route.m_resumable : route.m_repeat == Repeat::kAlways;
}

/// Takes one from the budget that all instances share, if the route allows another server at all.
bool MayTryElsewhere(ForwarderState& state, const Forwarding& forwarding) {
  const bool over = ReadClock() >= forwarding.m_deadline;
  if (over || forwarding.m_reached >= forwarding.m_route->m_max_attempts)
    return false;
  if (forwarding.m_reached == 0)
    return true;  // No server has seen it.
  return Withdraw(state.m_pools[forwarding.m_pool->m_name].m_retries);
}

void TryElsewhere(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  state.m_metrics.Add("poppyway_forward_retries_total", TierAndReason(forwarding.m_tier, why));
  POPPYWAY_LOG(info, "retry")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", forwarding.m_server)
      .Field("why", why)
      .Field("attempt", forwarding.m_reached)
      .Field("resume_after", forwarding.m_events.m_last_id.value_or(-1));
  EndCall(state, forwarding);
  // A run that may have happened is paid for; the next one is paid for anew.
  forwarding.m_charged_without_broker =
      forwarding.m_charged_without_broker && forwarding.m_unsure == 0;
  const Instant now = ReadClock();
  const Duration patience =
      forwarding.m_caller.m_started ? forwarding.m_route->m_gap_target : FirstWait(forwarding);
  PutInQueue(state, forwarding, now + patience);
  ServeQueue(state, forwarding.m_pool->m_name);
}

/// The server has surely not run the request.
void OnNotRun(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  --forwarding.m_unsure;
  forwarding.m_sent = false;
  if (MayTryElsewhere(state, forwarding)) {
    TryElsewhere(state, forwarding, why);
    return;
  }
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding,
         forwarding.m_unsure > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kOverload, why);
  ServeQueue(state, pool);
}

void NoteByte(ForwarderState& state, Forwarding& forwarding) {
  forwarding.m_heard = ReadClock();
  if (Backend* backend = FindOwnBackend(state, forwarding))
    backend->m_last_heard = forwarding.m_heard;
}

void NoteFirstEvent(ForwarderState& state, Forwarding& forwarding, Instant now) {
  forwarding.m_first_event = now;
  forwarding.m_report.m_tokens_read = forwarding.m_read_tokens;
  forwarding.m_report.m_time_to_first_event = std::max(Duration(1), now - forwarding.m_dispatched);
  if (Backend* backend = FindOwnBackend(state, forwarding)) {
    backend->m_performance = ObserveFirstEvent(
        backend->m_performance, forwarding.m_read_tokens,
        TimeAtServer(now - forwarding.m_dispatched, RoundTripOf(state, *backend)));
    backend->m_pending_prefill_tokens -= forwarding.m_read_tokens;
  }
  forwarding.m_read_tokens = 0;
  TellPlace(state, forwarding, false);
  state.m_metrics.Record("poppyway_forward_first_event_seconds",
                         "tier=\"" + std::to_string(forwarding.m_tier) + "\"",
                         now - forwarding.m_arrived);
}

void OnEvents(ForwarderState& state, Forwarding& forwarding, std::string_view bytes) {
  const std::int64_t before = forwarding.m_events.m_events;
  const std::string whole = ExtractEvents(forwarding.m_events, bytes);
  const std::int64_t added = forwarding.m_events.m_events - before;
  const Instant now = ReadClock();
  if (added > 0 && forwarding.m_call_events == 0)
    NoteFirstEvent(state, forwarding, now);
  forwarding.m_call_events += added;
  if (added > 0 && forwarding.m_last_event != Instant{})
    forwarding.m_longest_pause =
        std::max(forwarding.m_longest_pause, now - forwarding.m_last_event);
  if (added > 0)
    forwarding.m_last_event = now;
  if (!whole.empty()) {
    if (!forwarding.m_caller.m_started)
      StartAnswer(state, forwarding, std::nullopt);
    SendChunk(forwarding.m_caller, whole, false);
  }
  if (!forwarding.m_events.m_out_of_order)
    return;
  NoteHealth(state, forwarding, HealthSignal::kFailure);
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding, ResultCode::kAnswerIncomplete, "events out of order");
  ServeQueue(state, pool);
}

bool IsEventAnswer(const Forwarding& forwarding) {
  return forwarding.m_route->m_stream && IsSuccess(forwarding.m_answer.m_status);
}

void LearnFromWhole(ForwarderState& state, Forwarding& forwarding) {
  const Instant now = ReadClock();
  const bool failed = IsServerError(forwarding.m_answer.m_status);
  forwarding.m_report.m_failed = failed;
  NoteHealth(state, forwarding, failed ? HealthSignal::kFailure : HealthSignal::kSuccess);
  if (failed)
    return;
  SlotReport& report = forwarding.m_report;
  report.m_service = now - forwarding.m_dispatched;
  report.m_events = forwarding.m_call_events;
  report.m_span = forwarding.m_last_event - forwarding.m_first_event;
  report.m_longest_pause = forwarding.m_longest_pause;
  if (Backend* backend = FindOwnBackend(state, forwarding)) {
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

bool LeaveServer(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  if (!MayRunAgain(forwarding) || !MayTryElsewhere(state, forwarding))
    return false;
  TryElsewhere(state, forwarding, why);
  return true;
}

void OnBroken(ForwarderState& state, Forwarding& forwarding, std::string_view why) {
  if (LeaveServer(state, forwarding, why))
    return;
  const std::string pool = forwarding.m_pool->m_name;
  Refuse(state, forwarding,
         forwarding.m_headed ? ResultCode::kAnswerIncomplete : ResultCode::kOutcomeUnknown, why);
  ServeQueue(state, pool);
}

HeadVerdict OnHead(ForwarderState& state,
                   ForwardingRef ref,
                   int status,
                   std::vector<Field> fields) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return HeadVerdict::kTake;
  ServerResponse answer = state.m_adapter.m_decode_response(status, std::move(fields));
  TakeServerWord(state, *forwarding, answer);
  if (answer.m_id && *answer.m_id != forwarding->m_request.m_id) {
    state.m_metrics.Add("poppyway_answers_crossed_total");
    POPPYWAY_LOG(warning, "answer_crossed")
        .Field("request", forwarding->m_request.m_id)
        .Field("server", forwarding->m_server)
        .Field("answered", *answer.m_id);
    return HeadVerdict::kSkip;
  }
  NoteByte(state, *forwarding);
  NotePath(state, *forwarding, true);
  if (answer.m_other_server) {
    NoteOtherServer(state, forwarding->m_server, *answer.m_other_server);
    forwarding->m_report.m_health_signal = HealthSignal::kUnreachable;
    OnNotRun(state, *forwarding, "another_server_answered");
    return HeadVerdict::kTake;
  }
  if (answer.m_not_run) {
    NoteHealth(state, *forwarding, HealthSignal::kFailure);
    OnNotRun(state, *forwarding, "server_declined");
    return HeadVerdict::kTake;
  }
  const bool unproved = IsSuccess(status) && (!answer.m_signed || !answer.m_id);
  if (unproved) {
    NoteHealth(state, *forwarding, HealthSignal::kFailure);
    OnBroken(state, *forwarding, "unsigned_answer");
    return HeadVerdict::kTake;
  }
  const bool again = IsServerError(status) && MayRunAgain(*forwarding) &&
                     forwarding->m_reached < forwarding->m_route->m_max_attempts;
  if (again) {
    forwarding->m_report.m_failed = true;
    NoteHealth(state, *forwarding, HealthSignal::kFailure);
    if (Withdraw(state.m_pools[forwarding->m_pool->m_name].m_retries)) {
      TryElsewhere(state, *forwarding, "server_error");
      return HeadVerdict::kTake;
    }
  }
  if (forwarding->m_caller.m_started && !IsSuccess(status)) {
    OnBroken(state, *forwarding, "resume_declined");
    return HeadVerdict::kTake;
  }
  forwarding->m_headed = true;
  if (answer.m_keep_alive)
    forwarding->m_call->SetKeepAlive(*answer.m_keep_alive);
  forwarding->m_answer = std::move(answer);
  return HeadVerdict::kTake;
}

void OnData(ForwarderState& state, ForwardingRef ref, std::string_view bytes) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || !forwarding->m_headed ||
      forwarding->m_stage == ForwardingStage::kDone)
    return;
  NoteByte(state, *forwarding);
  if (IsEventAnswer(*forwarding)) {
    OnEvents(state, *forwarding, bytes);
  } else if (forwarding->m_caller.m_started) {
    SendChunk(forwarding->m_caller, bytes, false);
  } else {
    forwarding->m_buffered += bytes;
    if (forwarding->m_buffered.size() > kMostBuffered) {
      StartAnswer(state, *forwarding, std::nullopt);
      SendChunk(forwarding->m_caller, forwarding->m_buffered, false);
      forwarding->m_buffered.clear();
    }
  }
  if (forwarding->m_caller.m_pending.size() > kMostPending && forwarding->m_call)
    forwarding->m_call->Pause();
}

void OnWhole(ForwarderState& state, ForwardingRef ref) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return;
  const bool half_event = IsEventAnswer(*forwarding) && !forwarding->m_events.m_partial.empty();
  if (half_event) {
    NoteHealth(state, *forwarding, HealthSignal::kFailure);
    OnBroken(state, *forwarding, "ended_within_an_event");
    return;
  }
  LearnFromWhole(state, *forwarding);
  const std::string pool = forwarding->m_pool->m_name;
  if (!forwarding->m_caller.m_started)
    StartAnswer(state, *forwarding, forwarding->m_buffered.size());
  if (state.m_stopping)
    CloseAfterResponse(forwarding->m_caller);
  const std::string body = std::move(forwarding->m_buffered);
  SendChunk(forwarding->m_caller, body, true);
  Close(state, *forwarding, ResultCode::kOk, "");
  ServeQueue(state, pool);
}

void OnFault(ForwarderState& state, ForwardingRef ref, CallFault fault) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return;
  const std::string_view why = CallFaultName(fault);
  POPPYWAY_LOG(info, "call_failed")
      .Field("request", forwarding->m_request.m_id)
      .Field("server", forwarding->m_server)
      .Field("why", why)
      .Field("headed", forwarding->m_headed)
      .Field("events", forwarding->m_call_events)
      .Field("reused", forwarding->m_call && forwarding->m_call->reused())
      .Field("after_ms", (ReadClock() - forwarding->m_dispatched).count() / 1000);
  if (fault != CallFault::kWithdrawn)
    NotePath(state, *forwarding, false);
  if (!NothingSent(fault)) {
    NoteHealth(state, *forwarding, HealthSignal::kFailure);
    OnBroken(state, *forwarding, why);
    return;
  }
  if (fault == CallFault::kNotConnected)
    NoteHealth(state, *forwarding, HealthSignal::kUnreachable);
  TryElsewhere(state, *forwarding, why);
}

}  // namespace poppyway::impl
