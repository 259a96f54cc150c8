// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Requests that crash servers: this instance reports which requests were running at a server that
// crashed, and sends no server a request that is quarantined.
#include <algorithm>

#include "steps.h"

namespace poppyway {

void Remember(RecentFingerprints& recent, RequestFingerprint fingerprint) {
  recent.m_current.insert(fingerprint);
  if (recent.m_current.size() < RecentFingerprints::kSize)
    return;
  recent.m_previous = std::move(recent.m_current);
  recent.m_current.clear();
}

void Forget(RecentFingerprints& recent, RequestFingerprint fingerprint) {
  recent.m_current.erase(fingerprint);
  recent.m_previous.erase(fingerprint);
}

bool Contains(const RecentFingerprints& recent, RequestFingerprint fingerprint) {
  return recent.m_current.contains(fingerprint) || recent.m_previous.contains(fingerprint);
}

namespace impl {
namespace {

constexpr std::size_t kMaxLoggedParts = 6;

std::int64_t Millis(Instant now) {
  return now.time_since_epoch().count() / 1000;
}

void SendReport(ForwarderState& state, const CrashReport& report) {
  if (state.m_crashes.m_port.m_send)
    state.m_crashes.m_port.m_send(report);
}

/// Rejects all queued requests that are quarantined. Calls that are active run to their end: a
/// complete response still clears its request.
void RefuseQuarantined(ForwarderState& state) {
  std::vector<ForwardingRef> refused;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (forwarding->m_stage == ForwardingStage::kWaiting &&
        IsQuarantined(state, forwarding->m_fingerprint))
      refused.push_back(ref);
  }
  for (const ForwardingRef ref : refused) {
    if (Forwarding* forwarding = Find(state, ref))
      RefuseAsQuarantined(state, *forwarding);
  }
}

}  // namespace

void RecordServerCrash(ForwarderState& state, const std::string& server, const ServerCrash& crash) {
  state.m_metrics.Add("poppyway_forward_server_crashes_total");
  POPPYWAY_LOG(info, "server_crashed")
      .Field("server", server)
      .Field("running", crash.m_running.size());
  RecordCrash(state.m_crashes.m_uncommitted, crash, Millis(ReadClock()));
  for (const RequestFingerprint fingerprint : crash.m_running)
    Remember(state.m_crashes.m_reported, fingerprint);
  SendReport(state, {crash, {}});
  RefuseQuarantined(state);
}

std::string SharedPartsText(const CallerRequest& request) {
  const std::vector<PromptSegment>& segments = request.m_prompt_segments;
  const std::size_t shared = segments.empty() ? 0 : segments.size() - 1;
  std::string text;
  for (std::size_t i = 0; i < std::min(shared, kMaxLoggedParts); ++i)
    text += (i == 0 ? "" : ",") + FingerprintText(segments[i].m_id);
  return text;
}

bool IsQuarantined(const ForwarderState& state, RequestFingerprint fingerprint) {
  return state.m_crashes.m_quarantined.contains(fingerprint) ||
         poppyway::IsQuarantined(state.m_crashes.m_uncommitted, fingerprint);
}

Step CheckQuarantine(ForwarderState& state, Forwarding& forwarding) {
  if (!IsQuarantined(state, forwarding.m_fingerprint))
    return Step::kContinue;
  RefuseAsQuarantined(state, forwarding);
  return Step::kEnded;
}

void RefuseAsQuarantined(ForwarderState& state, Forwarding& forwarding) {
  Refuse(state, forwarding,
         forwarding.m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kQuarantined,
         "servers crashed while they ran this request");
}

void OnCallBroken(ForwarderState& state, const Forwarding& forwarding) {
  if (!forwarding.m_sent)
    return;
  if (Contains(state.m_crashes.m_answered, forwarding.m_fingerprint)) {
    // It counts from the next time on: other servers may have other software since.
    Forget(state.m_crashes.m_answered, forwarding.m_fingerprint);
    return;
  }
  const ServerProcessId process =
      ServerProcessOf(forwarding.m_server, forwarding.m_server_started_ms);
  const Backend* backend = FindBackend(state, forwarding.m_server);
  if (backend == nullptr)
    return;
  if (backend->m_record.born != forwarding.m_server_started_ms) {
    // The server has started again, so the process that was called has ended.
    RecordServerCrash(state, forwarding.m_server, {process, {forwarding.m_fingerprint}});
    return;
  }
  BeginPathCheck(state, forwarding.m_server, {forwarding.m_fingerprint});
}

void OnCompleteResponse(ForwarderState& state, const Forwarding& forwarding) {
  CrashTracker& crashes = state.m_crashes;
  const RequestFingerprint fingerprint = forwarding.m_fingerprint;
  Remember(crashes.m_answered, fingerprint);
  ClearSuspect(crashes.m_uncommitted, fingerprint);
  const bool suspected =
      crashes.m_quarantined.contains(fingerprint) || Contains(crashes.m_reported, fingerprint);
  if (!suspected)
    return;
  Forget(crashes.m_reported, fingerprint);
  POPPYWAY_LOG(info, "suspect_cleared")
      .Field("request", forwarding.m_request.m_id)
      .Field("fingerprint", FingerprintText(fingerprint));
  SendReport(state, {{}, {fingerprint}});
}

void HandleQuarantine(ForwarderState& state, const QuarantineChanged& message) {
  state.m_crashes.m_quarantined = {message.m_quarantined.begin(), message.m_quarantined.end()};
  state.m_metrics.Set("poppyway_forward_quarantined", "",
                      static_cast<double>(message.m_quarantined.size()));
  POPPYWAY_LOG(info, "quarantine_in_force").Field("requests", message.m_quarantined.size());
  RefuseQuarantined(state);
}

void HandleCrashReported(ForwarderState& state, const CrashReported& message) {
  ForgetCrash(state.m_crashes.m_uncommitted, message.m_process);
}

void ExpireCrashes(ForwarderState& state, Instant now) {
  if (!state.m_crashes.m_uncommitted.m_suspects.empty())
    ExpireSuspects(state.m_crashes.m_uncommitted, Millis(now));
}

}  // namespace impl
}  // namespace poppyway
