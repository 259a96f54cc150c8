// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <cstdio>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Never read; the library needs a response to release the request.
constexpr int kCallerGoneStatus = 499;
constexpr std::size_t kMaxLoggedId = 64;  // Bytes of a caller's text in a log line.

/// The body generator of a response; the library passes it to the callbacks.
struct Generator {
  h2o_generator_t m_base;
  ForwarderState* m_state;
  ForwardingRef m_ref;
};

void OnProceed(h2o_generator_t* base, h2o_req_t* /*req*/) {
  const auto* self = reinterpret_cast<Generator*>(base);
  ForwarderState& state = *self->m_state;
  Forwarding* forwarding = Find(state, self->m_ref);
  if (forwarding == nullptr)
    return;
  // A response that is cut off ends its request, and with it the generator.
  ContinueResponse(forwarding->m_caller);
  PauseOrResumeReading(state, *forwarding);
}

void BeginCallerResponse(ForwarderState& state, Forwarding& forwarding) {
  h2o_req_t* req = forwarding.m_caller.m_req;
  auto* generator = static_cast<Generator*>(h2o_mem_alloc_pool(&req->pool, sizeof(Generator)));
  *generator = {{&OnProceed, nullptr}, &state, forwarding.m_ref};
  if (state.m_stopping)
    req->http1_is_persistent = 0;
  forwarding.m_status = req->res.status;
  forwarding.m_first_sent = ReadClock();
  BeginResponse(forwarding.m_caller, generator->m_base);
}

std::string SecondsText(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", Seconds(duration));
  return text;
}

std::int64_t Millis(Duration duration) {
  return duration.count() / 1000;
}

void LogResult(const ForwarderState& state,
               const Forwarding& forwarding,
               ResultCode code,
               std::string_view why) {
  const Instant now = ReadClock();
  const bool first = forwarding.m_first_sent != Instant{};
  POPPYWAY_LOG(info, "request")
      .Field("request", forwarding.m_request.m_id)
      .Field("code", ResultInfoOf(code).m_name)
      .Field("why", why)
      .Field("status", forwarding.m_status)
      .Field("route", forwarding.m_route == nullptr ? "-" : forwarding.m_route->m_name)
      .Field("tier", forwarding.m_tier)
      .Field("workspace", forwarding.m_workspace == nullptr ? "-" : forwarding.m_workspace->m_name)
      .Field("fingerprint", FingerprintText(forwarding.m_fingerprint))
      .Field("server", forwarding.m_tried.empty() ? "-" : forwarding.m_tried.back())
      .Field("attempts", forwarding.m_attempts)
      .Field("allowed_ms", Millis(forwarding.m_deadline - forwarding.m_arrived))
      .Field("prompt_tokens", forwarding.m_request.m_prompt_tokens)
      .Field("most_tokens", forwarding.m_request.m_most_tokens)
      .Field("expected_tokens", forwarding.m_request.m_expected_tokens)
      .Field("events", forwarding.m_events.m_events)
      .Field("resume_after", forwarding.m_request.m_resume_after.value_or(-1))
      .Field("first_attempt", forwarding.m_request.m_first_attempt.substr(0, kMaxLoggedId))
      .Field("software", forwarding.m_last_version)
      .Field("software_id", FingerprintText(forwarding.m_software))
      .Field("sent_ms", forwarding.m_tried.empty()
                            ? -1
                            : Millis(forwarding.m_dispatched - forwarding.m_arrived))
      .Field("first_ms", first ? Millis(forwarding.m_first_sent - forwarding.m_arrived) : -1)
      .Field("forecast_ms", forwarding.m_tried.empty() ? -1 : Millis(forwarding.m_forecast))
      .Field("by_broker", forwarding.m_by_broker)
      .Field("pause_ms", Millis(forwarding.m_longest_pause))
      .Field("total_ms", Millis(now - forwarding.m_arrived))
      .Field("version", forwarding.m_table_version)
      .Field("confirmed_ms", Millis(state.m_confirmed_until - now));
}

}  // namespace

void StartResponse(ForwarderState& state,
                   Forwarding& forwarding,
                   std::optional<std::size_t> length) {
  h2o_req_t* req = forwarding.m_caller.m_req;
  forwarding.m_stage = ForwardingStage::kRelaying;
  if (req == nullptr)
    return;
  req->res.status = forwarding.m_response.m_status;
  req->res.reason = ReasonPhrase(forwarding.m_response.m_status);
  if (length)
    req->res.content_length = *length;
  for (const Field& field : forwarding.m_response.m_relayed)
    AddField(req, field.m_name, field.m_value);
  BeginCallerResponse(state, forwarding);
}

void Refuse(ForwarderState& state, Forwarding& forwarding, ResultCode code, std::string_view why) {
  const ResultInfo& info = ResultInfoOf(code);
  ResponseWriter& caller = forwarding.m_caller;
  if (caller.m_req != nullptr && !caller.m_started) {
    h2o_req_t* req = caller.m_req;
    const int status = info.m_http_status == 0 ? kCallerGoneStatus : info.m_http_status;
    const std::string body = std::string(info.m_name) + ": " + std::string(why) + "\n";
    req->res.status = status;
    req->res.reason = ReasonPhrase(status);
    req->res.content_length = body.size();
    AddField(req, "content-type", "text/plain; charset=utf-8");
    if (info.m_retry_after)
      AddField(req, "retry-after", SecondsText(RetryDelay(state, forwarding, code)));
    BeginCallerResponse(state, forwarding);
    SendChunk(caller, body, true);
  } else if (caller.m_req != nullptr) {
    AbortResponse(caller);
  }
  Close(state, forwarding, code, why);
}

void Close(ForwarderState& state, Forwarding& forwarding, ResultCode code, std::string_view why) {
  if (forwarding.m_stage == ForwardingStage::kDone)
    return;
  if (forwarding.m_stage == ForwardingStage::kWaiting)
    state.m_pools[forwarding.m_pool->m_name].m_waiting.erase(OrderOf(forwarding));
  CancelSlotRequest(state, forwarding);
  const std::string tier = "tier=\"" + std::to_string(forwarding.m_tier) + "\"";
  if (code == ResultCode::kOk) {
    state.m_metrics.Add("poppyway_forward_answers_total", tier);
    state.m_metrics.Record("poppyway_forward_seconds", tier, ReadClock() - forwarding.m_arrived);
  } else {
    state.m_metrics.Add("poppyway_forward_refusals_total",
                        TierAndReason(forwarding.m_tier, ResultInfoOf(code).m_name));
  }
  LogResult(state, forwarding, code, why);
  EndCall(state, forwarding);
  if (forwarding.m_possible_runs == 0)
    RefundWithoutBroker(state, forwarding);
  forwarding.m_stage = ForwardingStage::kDone;
  forwarding.m_body = {};
  CountHeldBytes(state, forwarding);
  if (forwarding.m_caller.m_req == nullptr)
    state.m_finished.push_back(forwarding.m_ref);
}

void OnDisposed(ForwarderState& state, ForwardingRef ref) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr)
    return;
  forwarding->m_caller.m_req = nullptr;
  if (forwarding->m_stage == ForwardingStage::kDone) {
    state.m_finished.push_back(ref);
    return;
  }
  const std::string pool = forwarding->m_pool == nullptr ? "" : forwarding->m_pool->m_name;
  Close(state, *forwarding, ResultCode::kCallerGone, "the caller closed its connection");
  if (!pool.empty())
    ServeQueue(state, pool);
}

void EndCall(ForwarderState& state, Forwarding& forwarding) {
  if (!forwarding.m_server.empty()) {
    if (Backend* backend = FindCalledBackend(state, forwarding)) {
      --backend->m_in_flight;
      backend->m_pending_prefill_tokens -= forwarding.m_prefill_tokens;
      if (IsEvacuated(state, *backend))
        state.m_connections->Forget(backend->m_endpoint);
    }
    ReportSlot(state, forwarding, true);
    forwarding.m_server.clear();
    forwarding.m_prefill_tokens = 0;
  }
  if (!forwarding.m_call)
    return;
  forwarding.m_call->Cancel();
  state.m_retired.push_back(std::move(forwarding.m_call));
}

}  // namespace poppyway::impl
