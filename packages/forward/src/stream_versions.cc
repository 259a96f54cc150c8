// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Streams and software versions: a stream goes on only at a server of the version that began it.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Well before the broker forgets the record of a stream.
constexpr Duration kOriginRefreshInterval{20'000'000};
// A caller that got no whole stream takes it up within this time: it leaves after some seconds of
// silence, and an instance that stood still doesn't know that it left.
constexpr Duration kEndedStreamKept{10'000'000};

bool IsResumable(const Forwarding& forwarding) noexcept {
  const Route* route = forwarding.m_route.get();
  return route != nullptr && route->m_stream && route->m_resumable;
}

void TellOrigin(ForwarderState& state, const Forwarding& forwarding, SoftwareId software) {
  const StreamOrigin origin{forwarding.m_stream, software};
  RecordOrigin(state.m_origins, origin, ReadClock());
  if (state.m_broker.m_active)
    state.m_broker.m_outbox.m_begun_streams.push_back(origin);
}

/// Counts a stream that goes on at another server than the one that wrote its last event.
void CountContinuation(ForwarderState& state, const Forwarding& forwarding, SoftwareId software) {
  const std::string_view how = forwarding.m_caller.m_started ? "retry" : "taken_up";
  std::string_view match = "unknown";
  if (software != 0)
    match = software == forwarding.m_software ? "same" : "other";
  state.m_metrics.Add("poppyway_forward_streams_continued_total",
                      "how=\"" + std::string(how) + "\",version=\"" + std::string(match) + "\"");
}

bool IsRunning(const Forwarding& forwarding) noexcept {
  return forwarding.m_stage == ForwardingStage::kCalling ||
         forwarding.m_stage == ForwardingStage::kRelaying;
}

}  // namespace

Step SetStream(ForwarderState& state, Forwarding& forwarding) {
  if (!IsResumable(forwarding))
    return Step::kContinue;
  const CallerRequest& request = forwarding.m_request;
  if (request.m_first_attempt_ambiguous) {
    Refuse(state, forwarding, ResultCode::kBadRequest, "the stream's first attempt is named twice");
    return Step::kEnded;
  }
  const Workspace* workspace = forwarding.m_workspace.get();
  const bool taken_up = request.m_resume_after.has_value();
  forwarding.m_stream = StreamKeyOf(workspace == nullptr ? "" : workspace->m_name,
                                    taken_up ? request.m_first_attempt : request.m_id);
  if (!taken_up)
    return Step::kContinue;
  forwarding.m_events.m_last_id = request.m_resume_after;
  forwarding.m_software = FindOrigin(state.m_origins, forwarding.m_stream).value_or(0);
  return Step::kContinue;
}

Continuation ContinuationOf(const Forwarding& forwarding) noexcept {
  const bool continues = IsResumable(forwarding) && forwarding.m_events.m_last_id.has_value();
  if (!continues)
    return {};
  return {true, forwarding.m_stream, forwarding.m_software};
}

bool NoServerToContinue(const ForwarderState& state, const Forwarding& forwarding) {
  const Continuation continuation = ContinuationOf(forwarding);
  if (!continuation.m_continues || continuation.m_software == 0)
    return false;
  const auto pool = state.m_pools.find(forwarding.m_pool->m_name);
  if (pool == state.m_pools.end())
    return true;
  return std::none_of(
      pool->second.m_servers.begin(), pool->second.m_servers.end(), [&](const std::string& id) {
        const Backend& backend = state.m_backends.at(id);
        return !IsEvacuated(state, backend) && SoftwareOf(backend) == continuation.m_software;
      });
}

std::string_view WhyNoServer(const Forwarding& forwarding) {
  if (ContinuationOf(forwarding).m_continues)
    return "the pool has no server of the version that began the stream";
  return forwarding.m_allowed_regions.m_restricted ? "the pool has no server in a home region"
                                                   : "the pool has no server";
}

Duration QueueTimeout(const Forwarding& forwarding) noexcept {
  const Continuation continuation = ContinuationOf(forwarding);
  if (!continuation.m_continues)
    return InitialQueueTimeout(forwarding);
  return continuation.m_software == 0 ? kMaxOriginWait : kMaxContinuationWait;
}

SoftwareId SoftwareOf(const Backend& backend) noexcept {
  return SoftwareIdOf(backend.m_record.pool, backend.m_record.version);
}

SoftwareId CalledSoftware(ForwarderState& state, const Forwarding& forwarding) {
  const Backend* backend = FindCalledBackend(state, forwarding);
  if (backend == nullptr)
    return 0;
  const SoftwareId software = SoftwareOf(*backend);
  return software == forwarding.m_called_software ? software : 0;
}

bool MayContinueHere(ForwarderState& state, const Forwarding& forwarding) {
  if (!forwarding.m_continued)
    return true;
  return forwarding.m_software != 0 && forwarding.m_software == CalledSoftware(state, forwarding);
}

void RecordFirstEventVersion(ForwarderState& state, Forwarding& forwarding) {
  if (!IsResumable(forwarding))
    return;
  const SoftwareId software = CalledSoftware(state, forwarding);
  const Backend* backend = FindCalledBackend(state, forwarding);
  forwarding.m_last_version = backend == nullptr ? "-" : backend->m_record.version;
  if (forwarding.m_continued)
    CountContinuation(state, forwarding, software);
  else
    forwarding.m_software = software;
  TellOrigin(state, forwarding, forwarding.m_software);
}

void DoubtVersions(ForwarderState& state, const std::string& server, Instant now) {
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool doubtful = forwarding->m_server == server && IsRunning(*forwarding) &&
                          IsResumable(*forwarding) &&
                          forwarding->m_dispatched + kRestartNoticeDelay > now;
    if (!doubtful)
      continue;
    forwarding->m_called_software = 0;
    if (forwarding->m_call_events == 0)
      continue;  // It is checked when the first event arrives.
    POPPYWAY_LOG(info, "stream_version_doubtful")
        .Field("request", forwarding->m_request.m_id)
        .Field("server", server);
    forwarding->m_software = 0;
    TellOrigin(state, *forwarding, 0);
  }
}

void ForgetOriginLater(ForwarderState& state, StreamKey stream) {
  if (stream != 0)
    state.m_ended_streams.push_back({stream, ReadClock() + kEndedStreamKept});
}

void ForgetEndedStreams(ForwarderState& state, Instant now) {
  while (!state.m_ended_streams.empty() && state.m_ended_streams.front().m_forget_at <= now) {
    ForgetOrigin(state.m_origins, state.m_ended_streams.front().m_stream);
    state.m_ended_streams.pop_front();
  }
}

void RefreshOrigins(ForwarderState& state, Instant now) {
  if (state.m_origins_refreshed == Instant{})
    state.m_origins_refreshed = now;
  if (now - state.m_origins_refreshed < kOriginRefreshInterval)
    return;
  state.m_origins_refreshed = now;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool begun =
        IsRunning(*forwarding) && forwarding->m_stream != 0 && forwarding->m_events.m_events > 0;
    if (begun)
      TellOrigin(state, *forwarding, forwarding->m_software);
  }
}

}  // namespace poppyway::impl
