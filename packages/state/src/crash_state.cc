// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/state.h"

namespace poppyway {

namespace {

void Restore(CrashSuspect& suspect, const wire::CrashSuspectState& state) {
  suspect.m_crashes.insert(state.crashes.begin(), state.crashes.end());
  suspect.m_last_ms = state.last_ms;
  suspect.m_first_ms = state.first_ms;
  suspect.m_answered = state.answered;
  suspect.m_ended_quarantines = state.ended_quarantines;
}

wire::CrashSuspectState Store(std::uint64_t id, const CrashSuspect& suspect, bool is_part) {
  wire::CrashSuspectState state;
  state.fingerprint = static_cast<std::int64_t>(id);
  state.crashes.assign(suspect.m_crashes.begin(), suspect.m_crashes.end());
  state.last_ms = suspect.m_last_ms;
  state.is_part = is_part;
  state.first_ms = suspect.m_first_ms;
  state.answered = suspect.m_answered;
  state.ended_quarantines = suspect.m_ended_quarantines;
  return state;
}

}  // namespace

void ApplyCrashReport(HostedState& state, const wire::CrashReport& report, std::int64_t index) {
  CrashSuspects& suspects = state.m_crash_suspects;
  const std::vector<RequestFingerprint> before = QuarantinedRequests(suspects);
  const std::vector<QuarantinedParts> parts_before = suspects.m_quarantined_parts;
  ExpireSuspects(suspects, report.now_ms);
  for (const std::int64_t fingerprint : report.cleared)
    ClearSuspect(suspects, static_cast<RequestFingerprint>(fingerprint));
  for (const std::int64_t part : report.cleared_parts)
    ClearPart(suspects, static_cast<PromptPartId>(part));
  if (report.process != 0) {
    ServerCrash crash;
    crash.m_process = static_cast<ServerProcessId>(report.process);
    crash.m_running.assign(report.running.begin(), report.running.end());
    for (const wire::SuspectPart& part : report.parts)
      crash.m_parts.push_back({static_cast<PromptPartId>(part.part), part.answered});
    RecordCrash(suspects, crash, report.now_ms);
  }
  if (QuarantinedRequests(suspects) == before && suspects.m_quarantined_parts == parts_before)
    return;
  state.m_quarantine_index = index;
  // A new servers index completes the instances' polls.
  state.m_servers_index = index;
}

std::vector<std::int64_t> QuarantineList(const HostedState& state) {
  const std::vector<RequestFingerprint> quarantined = QuarantinedRequests(state.m_crash_suspects);
  return {quarantined.begin(), quarantined.end()};
}

std::vector<wire::QuarantinedParts> QuarantinedPartsList(const HostedState& state) {
  std::vector<wire::QuarantinedParts> list;
  for (const QuarantinedParts& together : state.m_crash_suspects.m_quarantined_parts) {
    wire::QuarantinedParts& message = list.emplace_back();
    message.parts.assign(together.m_parts.begin(), together.m_parts.end());
    message.first_ms = together.m_first_ms;
  }
  return list;
}

std::vector<wire::CrashSuspectState> SerializeCrashSuspects(const CrashSuspects& suspects) {
  std::vector<wire::CrashSuspectState> states;
  for (const auto& [fingerprint, suspect] : suspects.m_suspects)
    states.push_back(Store(fingerprint, suspect, false));
  for (const auto& [part, suspect] : suspects.m_parts)
    states.push_back(Store(part, suspect, true));
  return states;
}

CrashSuspects DeserializeCrashSuspects(const std::vector<wire::CrashSuspectState>& states) {
  CrashSuspects suspects;
  for (const wire::CrashSuspectState& state : states) {
    auto& kind = state.is_part ? suspects.m_parts : suspects.m_suspects;
    Restore(kind[static_cast<std::uint64_t>(state.fingerprint)], state);
  }
  UpdateQuarantine(suspects);
  return suspects;
}

}  // namespace poppyway
