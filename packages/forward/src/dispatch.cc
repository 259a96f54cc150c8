// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "steps.h"

namespace poppyway::impl {
namespace {

constexpr std::size_t kMaxSegments = 4096;  // Prompt segments remembered for one server.
// Older ones are dropped first when the map is full.
constexpr Duration kMaxSegmentAge{60'000'000};

void RememberSegments(Backend& backend, const CallerRequest& request, Instant now) {
  for (const PromptSegment& segment : request.m_prompt_segments)
    backend.m_prompt_segments[segment.m_id] = now;
  if (backend.m_prompt_segments.size() > kMaxSegments)
    std::erase_if(backend.m_prompt_segments,
                  [now](const auto& segment) { return now - segment.second > kMaxSegmentAge; });
  if (backend.m_prompt_segments.size() > kMaxSegments)
    backend.m_prompt_segments.clear();
}

bool OnMaySend(ForwarderState& state, ForwardingRef ref) {
  Forwarding* forwarding = Find(state, ref);
  if (forwarding == nullptr || forwarding->m_stage == ForwardingStage::kDone)
    return false;
  // A server that has restarted since has no slot for the request.
  Backend* backend = FindCalledBackend(state, *forwarding);
  const Instant now = ReadClock();
  const bool confirmed = forwarding->m_workspace == nullptr || now < state.m_confirmed_until;
  const bool late = now >= forwarding->m_deadline;
  if (backend == nullptr || !confirmed || late || IsQuarantined(state, *forwarding) ||
      CheckEligibilityOnSend(state, *forwarding, *backend, now) != IneligibleReason::kNone)
    return false;
  ++forwarding->m_possible_runs;
  ++forwarding->m_attempts;
  forwarding->m_uncounted_retry = false;
  forwarding->m_sent = true;
  forwarding->m_tried.push_back(forwarding->m_server);
  forwarding->m_dispatched = now;
  if (forwarding->m_call && !forwarding->m_helper)
    RecordConnectTime(state, *forwarding, *backend, forwarding->m_call->connect_time());
  RememberSegments(*backend, forwarding->m_request, now);
  return true;
}

}  // namespace

std::string FormatRequest(const std::string& method,
                          const std::string& target,
                          const std::string& host,
                          const std::vector<Field>& fields,
                          const std::string& body) {
  std::string request;
  request.reserve(512 + body.size());
  request += method + " " + target + " HTTP/1.1\r\n";
  request += "host: " + host + "\r\n";
  for (const Field& field : fields)
    request += field.m_name + ": " + field.m_value + "\r\n";
  const bool has_body = !body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
  if (has_body)
    request += "content-length: " + std::to_string(body.size()) + "\r\n";
  request += "\r\n";
  request += body;
  return request;
}

void StartCall(ForwarderState& state, Forwarding& forwarding, const Backend& backend) {
  const ForwardingRef ref = forwarding.m_ref;
  DispatchFields dispatch;
  dispatch.m_server = forwarding.m_server;
  if (forwarding.m_workspace != nullptr)
    dispatch.m_workspace = forwarding.m_workspace->m_name;
  dispatch.m_left = forwarding.m_deadline - ReadClock();
  dispatch.m_resume_after = forwarding.m_events.m_last_id ? forwarding.m_events.m_last_id
                                                          : forwarding.m_request.m_resume_after;
  std::vector<Field> fields = forwarding.m_request.m_forwarded;
  for (Field& field : state.m_adapter.m_encode_dispatch(dispatch))
    fields.push_back(std::move(field));
  if (forwarding.m_helper)
    fields.push_back({std::string(kRelayTo), ToText(backend.m_endpoint)});
  CallEvents events;
  events.m_may_send = [&state, ref] { return OnMaySend(state, ref); };
  events.m_on_head = [&state, ref](int status, std::vector<Field> head) {
    return OnHead(state, ref, status, std::move(head));
  };
  events.m_on_data = [&state, ref](std::string_view bytes) { OnData(state, ref, bytes); };
  events.m_on_complete = [&state, ref] { OnComplete(state, ref); };
  events.m_on_fault = [&state, ref](CallFault fault) { OnFault(state, ref, fault); };
  const bool careful = forwarding.m_route->m_repeat == Repeat::kNever;
  POPPYWAY_LOG(debug, "dispatch")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", forwarding.m_server)
      .Field("helper", forwarding.m_helper ? ToText(*forwarding.m_helper) : "-")
      .Field("in_flight", backend.m_in_flight)
      .Field("by_broker", forwarding.m_by_broker)
      .Field("forecast_ms", forwarding.m_forecast.count() / 1000);
  if (forwarding.m_helper)
    state.m_metrics.Add("poppyway_forward_calls_through_helpers_total");
  forwarding.m_call = std::make_unique<BackendCall>(
      *state.m_connections, forwarding.m_helper.value_or(backend.m_endpoint),
      FormatRequest(forwarding.m_method, forwarding.m_target, forwarding.m_host, fields,
                    forwarding.m_body),
      forwarding.m_method == "HEAD", careful, std::move(events));
}

void Dispatch(ForwarderState& state, Forwarding& forwarding, const std::string& server) {
  Backend& backend = *FindBackend(state, server);
  const Instant now = ReadClock();
  forwarding.m_stage =
      forwarding.m_caller.m_started ? ForwardingStage::kRelaying : ForwardingStage::kCalling;
  forwarding.m_server = server;
  forwarding.m_server_started_ms = backend.m_record.born;
  if (forwarding.m_called_software == 0)
    forwarding.m_called_software = SoftwareOf(backend);
  forwarding.m_continued = ContinuationOf(forwarding).m_continues;
  forwarding.m_response = {};
  forwarding.m_head_accepted = false;
  forwarding.m_content_length.reset();
  forwarding.m_buffered.clear();
  forwarding.m_reading_paused = false;
  forwarding.m_events.m_partial.clear();
  forwarding.m_last_byte = {};
  forwarding.m_first_event = {};
  forwarding.m_call_events = 0;
  forwarding.m_server_lived = false;
  forwarding.m_dispatched = now;
  forwarding.m_sent = false;
  if (forwarding.m_slot == 0) {
    forwarding.m_slot = state.m_broker.m_next_ref++;
    forwarding.m_by_broker = false;
    RecordColdSendWithoutBroker(state, backend, now);
    CountRequestWithoutBroker(backend.m_limit, state.m_instances.m_recent_max, now);
    ReportHeldSlot(state, forwarding);
  }
  forwarding.m_report = {.m_ref = forwarding.m_slot};
  forwarding.m_prefill_tokens = forwarding.m_request.m_prompt_tokens;
  ++backend.m_in_flight;
  BeginProbe(state.m_outages, backend.m_record.data_centre, server, now);
  backend.m_pending_prefill_tokens += forwarding.m_prefill_tokens;
  forwarding.m_helpers_tried = 0;
  forwarding.m_helper.reset();
  if (IsPathBroken(state.m_paths, server, now))
    forwarding.m_helper = HelperFor(state, forwarding);
  StartCall(state, forwarding, backend);
}

}  // namespace poppyway::impl
