// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The memory that requests and responses take, and when a response is read no further.
#include <http_parser.h>

#include <memory>

#include "steps.h"

namespace poppyway::impl {
namespace {

// The HTTP library, the request and its call hold a copy of the body each.
constexpr std::size_t kBodyCopies = 3;
constexpr std::size_t kMaxRequestHead = 64 * 1024;

/// Returns the bytes of a request's body by the length that its head states, or else twice the
/// bytes that have arrived.
std::size_t ExpectedBytes(std::string_view request) {
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_headers_complete = [](http_parser* headed) {
    const std::uint64_t length = headed->content_length;
    const bool stated = length != ULLONG_MAX && (headed->flags & F_CHUNKED) == 0;
    *static_cast<std::uint64_t*>(headed->data) = stated ? length : 0;
    return 2;  // The body isn't parsed.
  };
  std::uint64_t stated = 0;
  parser.data = &stated;
  const std::string_view head = request.substr(0, kMaxRequestHead);
  http_parser_execute(&parser, &settings, head.data(), head.size());
  return stated > 0 ? static_cast<std::size_t>(stated) : 2 * request.size();
}

std::size_t UnreadBytes(const Forwarding& forwarding) noexcept {
  return forwarding.m_buffered.size() + forwarding.m_events.m_partial.size() +
         forwarding.m_caller.m_pending.size() + forwarding.m_caller.m_sending.size();
}

}  // namespace

void CountHeldBytes(ForwarderState& state, Forwarding& forwarding) noexcept {
  const auto bytes =
      static_cast<std::int64_t>(kBodyCopies * forwarding.m_body.size() + UnreadBytes(forwarding));
  state.m_held.m_total += bytes - forwarding.m_held_bytes;
  forwarding.m_held_bytes = bytes;
}

void PauseOrResumeReading(ForwarderState& state, Forwarding& forwarding) {
  CountHeldBytes(state, forwarding);
  if (!forwarding.m_call)
    return;
  const bool may_read = MayReadOn(state.m_held, static_cast<std::int64_t>(UnreadBytes(forwarding)));
  if (may_read) {
    forwarding.m_reading_paused = false;
    forwarding.m_call->Resume();
    return;
  }
  if (forwarding.m_reading_paused)
    return;
  forwarding.m_reading_paused = true;
  state.m_any_reading_paused = true;
  forwarding.m_call->Pause();
  state.m_metrics.Add("poppyway_forward_reading_paused_total");
  POPPYWAY_LOG(info, "reading_paused")
      .Field("request", forwarding.m_request.m_id)
      .Field("unread", UnreadBytes(forwarding))
      .Field("held", state.m_held.m_total)
      .Field("budget", state.m_held.m_budget);
}

void ResumeReading(ForwarderState& state) {
  if (!state.m_any_reading_paused)
    return;
  bool any = false;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (!forwarding->m_reading_paused || forwarding->m_stage == ForwardingStage::kDone)
      continue;
    PauseOrResumeReading(state, *forwarding);
    any = any || forwarding->m_reading_paused;
  }
  state.m_any_reading_paused = any;
}

void WatchArrivingRequests(ForwarderState& state, HttpServer& server) {
  // Shorter requests are complete soon and take little memory.
  constexpr std::size_t kMinLimitedRequest = 256 * 1024;
  server.WatchLongRequests(kMinLimitedRequest,
                           [&state, &server] { LimitArrivingRequests(state, server); });
}

bool LimitArrivingRequests(ForwarderState& state, HttpServer& server) {
  const std::vector<ArrivingRequest> arriving = server.LongRequests();
  std::vector<ArrivingBody> bodies;
  for (const ArrivingRequest& request : arriving)
    bodies.push_back({static_cast<std::int64_t>(request.m_bytes.size()),
                      static_cast<std::int64_t>(kBodyCopies * ExpectedBytes(request.m_bytes))});
  const std::size_t readable = CountReadableBodies(state.m_held, bodies);
  std::size_t paused = 0;
  for (std::size_t i = 0; i < arriving.size(); ++i) {
    if (i < readable)
      server.Resume(arriving[i].m_connection);
    else if (server.Pause(arriving[i].m_connection))
      ++paused;
  }
  if (paused > 0) {
    state.m_metrics.Add("poppyway_forward_requests_paused_total", "", paused);
    POPPYWAY_LOG(info, "requests_paused")
        .Field("arriving", arriving.size())
        .Field("paused", paused)
        .Field("held", state.m_held.m_total)
        .Field("budget", state.m_held.m_budget);
  }
  return !arriving.empty();
}

void EraseForwarding(ForwarderState& state, ForwardingRef ref) {
  if (const Forwarding* forwarding = Find(state, ref))
    state.m_held.m_total -= forwarding->m_held_bytes;
  state.m_forwardings.erase(ref);
}

}  // namespace poppyway::impl
