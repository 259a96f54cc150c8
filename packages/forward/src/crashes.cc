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

void RecordSound(SoundParts& sound, PromptPartId part, Instant sent) {
  Instant& last = sound.m_current[part];
  last = std::max(last, sent);
  if (sound.m_current.size() < SoundParts::kSize)
    return;
  sound.m_previous = std::move(sound.m_current);
  sound.m_current.clear();
}

std::optional<Instant> LastSound(const SoundParts& sound, PromptPartId part) {
  const auto current = sound.m_current.find(part);
  const auto previous = sound.m_previous.find(part);
  std::optional<Instant> last;
  if (previous != sound.m_previous.end())
    last = previous->second;
  if (current != sound.m_current.end())
    last = std::max(last.value_or(Instant{}), current->second);
  return last;
}

namespace impl {
namespace {

constexpr std::size_t kMaxLoggedParts = 6;
// A part is sound if a request with it, sent this long before the crash or later, was responded to.
constexpr Duration kSoundAge{2'000'000};
constexpr Duration kMaxClockSkew{200'000};  // Between the clocks of two machines.

/// Returns the ids of the parts that other requests may share: all but the last one.
std::vector<PromptPartId> SharedParts(const Forwarding& forwarding) {
  const std::vector<PromptSegment>& segments = forwarding.m_request.m_prompt_segments;
  std::vector<PromptPartId> parts;
  for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
    if (segments[i].m_id != 0)
      parts.push_back(segments[i].m_id);
  }
  return parts;
}

/// Returns the parts of a broken call that may have crashed its server.
std::vector<SuspectPart> SuspectParts(const ForwarderState& state, const Forwarding& forwarding) {
  std::vector<SuspectPart> suspects;
  for (const PromptPartId part : SharedParts(forwarding)) {
    const std::optional<Instant> sound = LastSound(state.m_crashes.m_sound, part);
    const bool just_sound = sound && *sound + kSoundAge >= forwarding.m_dispatched;
    if (!just_sound)
      AddSuspectPart(suspects, {part, sound.has_value()});
  }
  return suspects;
}

void RememberReported(CrashTracker& crashes, const std::vector<SuspectPart>& parts, Instant now) {
  if (crashes.m_reported_parts.size() + parts.size() > SoundParts::kSize)
    crashes.m_reported_parts.clear();
  for (const SuspectPart& part : parts)
    crashes.m_reported_parts[part.m_part] = now;
}

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
    if (forwarding->m_stage == ForwardingStage::kWaiting && IsQuarantined(state, *forwarding))
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
      .Field("running", crash.m_running.size())
      .Field("suspect_parts", crash.m_parts.size());
  RememberReported(state.m_crashes, crash.m_parts, ReadClock());
  RecordCrash(state.m_crashes.m_uncommitted, crash, Millis(ReadClock()));
  for (const RequestFingerprint fingerprint : crash.m_running)
    Remember(state.m_crashes.m_reported, fingerprint);
  SendReport(state, {crash, {}});
  RefuseQuarantined(state);
}

void AddSuspectPart(std::vector<SuspectPart>& parts, const SuspectPart& part) {
  const bool contained = std::any_of(parts.begin(), parts.end(), [&part](const SuspectPart& other) {
    return other.m_part == part.m_part;
  });
  if (!contained && parts.size() < kMaxReportedParts)
    parts.push_back(part);
}

std::string SharedPartsText(const CallerRequest& request) {
  const std::vector<PromptSegment>& segments = request.m_prompt_segments;
  const std::size_t shared = segments.empty() ? 0 : segments.size() - 1;
  std::string text;
  for (std::size_t i = 0; i < std::min(shared, kMaxLoggedParts); ++i)
    text += (i == 0 ? "" : ",") + FingerprintText(segments[i].m_id);
  return text;
}

bool IsQuarantined(const ForwarderState& state, const Forwarding& forwarding) {
  const CrashTracker& crashes = state.m_crashes;
  const RequestFingerprint fingerprint = forwarding.m_fingerprint;
  if (crashes.m_quarantined.contains(fingerprint) ||
      poppyway::IsQuarantined(crashes.m_uncommitted, fingerprint))
    return true;
  const std::vector<QuarantinedParts>& uncommitted = crashes.m_uncommitted.m_quarantined_parts;
  if (crashes.m_quarantined_parts.empty() && uncommitted.empty())
    return false;
  const std::vector<PromptPartId> parts = SharedParts(forwarding);
  return HasQuarantinedParts(crashes.m_quarantined_parts, parts) ||
         HasQuarantinedParts(uncommitted, parts);
}

Step CheckQuarantine(ForwarderState& state, Forwarding& forwarding) {
  if (!IsQuarantined(state, forwarding))
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
  const ServerCrash broken{process, {forwarding.m_fingerprint}, SuspectParts(state, forwarding)};
  if (backend->m_record.born != forwarding.m_server_started_ms) {
    // The server has started again, so the process that was called has ended.
    RecordServerCrash(state, forwarding.m_server, broken);
    return;
  }
  BeginPathCheck(state, forwarding.m_server, broken);
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

namespace {

/// Reports parts that crash no servers, by what this instance has seen.
void ReportSound(ForwarderState& state, const std::vector<PromptPartId>& parts) {
  if (parts.empty())
    return;
  for (const PromptPartId part : parts)
    POPPYWAY_LOG(info, "suspect_part_cleared").Field("part", FingerprintText(part));
  SendReport(state, {{}, {}, parts});
}

/// Takes over the quarantined parts but those that a server responded to since their first crash,
/// which are reported as sound.
void ApplyPartsInQuarantine(ForwarderState& state, const std::vector<PartsInQuarantine>& listed) {
  CrashTracker& crashes = state.m_crashes;
  crashes.m_quarantined_parts.clear();
  std::vector<PromptPartId> sound;
  const Instant now = ReadClock();
  for (const PartsInQuarantine& together : listed) {
    const Instant first_crash = now - together.m_since_first_crash + kMaxClockSkew;
    const std::size_t sound_before = sound.size();
    for (const PromptPartId part : together.m_parts.m_parts) {
      const std::optional<Instant> last = LastSound(crashes.m_sound, part);
      if (last && *last > first_crash)
        sound.push_back(part);
    }
    if (sound.size() == sound_before)
      crashes.m_quarantined_parts.push_back(together.m_parts);
  }
  ReportSound(state, sound);
}

}  // namespace

void OnServerLived(ForwarderState& state, Forwarding& forwarding) {
  if (forwarding.m_server_lived)
    return;
  forwarding.m_server_lived = true;
  CrashTracker& crashes = state.m_crashes;
  std::vector<PromptPartId> cleared;
  for (const PromptPartId part : SharedParts(forwarding)) {
    RecordSound(crashes.m_sound, part, forwarding.m_dispatched);
    const auto reported = crashes.m_reported_parts.find(part);
    const bool since_report =
        reported != crashes.m_reported_parts.end() && forwarding.m_dispatched > reported->second;
    if (!since_report)
      continue;
    crashes.m_reported_parts.erase(reported);
    ClearPart(crashes.m_uncommitted, part);
    cleared.push_back(part);
  }
  ReportSound(state, cleared);
}

void HandleQuarantine(ForwarderState& state, const QuarantineChanged& message) {
  ApplyPartsInQuarantine(state, message.m_parts);
  // The next complete response of one that is tried again clears it.
  for (const RequestFingerprint former : state.m_crashes.m_quarantined)
    Remember(state.m_crashes.m_reported, former);
  state.m_crashes.m_quarantined = {message.m_quarantined.begin(), message.m_quarantined.end()};
  state.m_metrics.Set("poppyway_forward_quarantined", "",
                      static_cast<double>(message.m_quarantined.size()));
  state.m_metrics.Set("poppyway_forward_quarantined_parts", "",
                      static_cast<double>(state.m_crashes.m_quarantined_parts.size()));
  POPPYWAY_LOG(info, "quarantine_in_force")
      .Field("requests", message.m_quarantined.size())
      .Field("parts", state.m_crashes.m_quarantined_parts.size())
      .Field("parts_listed", message.m_parts.size());
  RefuseQuarantined(state);
}

void HandleCrashReported(ForwarderState& state, const CrashReported& message) {
  ForgetCrash(state.m_crashes.m_uncommitted, message.m_process);
}

void ExpireCrashes(ForwarderState& state, Instant now) {
  const CrashSuspects& uncommitted = state.m_crashes.m_uncommitted;
  if (!uncommitted.m_suspects.empty() || !uncommitted.m_parts.empty())
    ExpireSuspects(state.m_crashes.m_uncommitted, Millis(now));
}

}  // namespace impl
}  // namespace poppyway
