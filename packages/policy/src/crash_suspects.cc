// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <tuple>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

using Crashes = std::set<ServerProcessId>;

/// Returns how long a quarantined part is kept so after its last crash.
std::int64_t PartQuarantineMs(const CrashSuspect& part) noexcept {
  constexpr int kMaxDoublings = 6;  // More would exceed `kQuarantineMs`.
  const int doublings = std::min(part.m_ended_quarantines, kMaxDoublings);
  return std::min(kPartQuarantineMs << doublings, kQuarantineMs);
}

/// Returns how long a quarantined request is kept so after its last crash. That sound requests
/// which are all alike run well elsewhere may be unknown if their instances were lost together with
/// the servers; a trial tells.
std::int64_t RequestQuarantineMs(const CrashSuspect& request) noexcept {
  const bool one_event = request.m_last_ms - request.m_first_ms <= kOneEventMs;
  const bool doubtful = one_event && request.m_ended_quarantines == 0;
  return doubtful ? kDoubtfulQuarantineMs : kQuarantineMs;
}

bool IsExpired(const CrashSuspect& suspect, std::int64_t now_ms) noexcept {
  return suspect.m_last_ms + (suspect.m_quarantined ? kQuarantineMs : kSuspectMs) <= now_ms;
}

/// Returns true if the quarantine is over and the suspect is remembered. `lasts_ms`: how long it
/// lasts after the last crash.
bool EndsQuarantine(const CrashSuspect& suspect, std::int64_t lasts_ms, std::int64_t now_ms) {
  return suspect.m_quarantined && suspect.m_last_ms + lasts_ms <= now_ms;
}

/// Leaves a suspect one crash short of a quarantine, so that a next crash begins it again.
void EndQuarantine(CrashSuspect& suspect, std::int64_t now_ms) {
  while (suspect.m_crashes.size() >= kQuarantineCrashes)
    suspect.m_crashes.erase(std::prev(suspect.m_crashes.end()));
  ++suspect.m_ended_quarantines;
  suspect.m_first_ms = now_ms;
  suspect.m_last_ms = now_ms;
}

bool EndsRequestQuarantine(const CrashSuspect& request, std::int64_t now_ms) {
  return !IsExpired(request, now_ms) &&
         EndsQuarantine(request, RequestQuarantineMs(request), now_ms);
}

bool EndsPartQuarantine(const CrashSuspect& part, std::int64_t now_ms) {
  return EndsQuarantine(part, PartQuarantineMs(part), now_ms);
}

/// Forgets the suspect with the oldest crash among those without quarantine, or among all if there
/// are no others.
void ForgetOldest(std::map<std::uint64_t, CrashSuspect>& suspects) {
  const auto older = [](const auto& a, const auto& b) {
    const CrashSuspect& first = a.second;
    const CrashSuspect& second = b.second;
    if (first.m_quarantined != second.m_quarantined)
      return !first.m_quarantined;
    return first.m_last_ms < second.m_last_ms;
  };
  suspects.erase(std::min_element(suspects.begin(), suspects.end(), older));
}

CrashSuspect& AddCrash(std::map<std::uint64_t, CrashSuspect>& suspects,
                       std::uint64_t id,
                       ServerProcessId process,
                       std::int64_t now_ms) {
  const auto [entry, added] = suspects.try_emplace(id);
  CrashSuspect& suspect = entry->second;
  suspect.m_crashes.insert(process);
  suspect.m_first_ms = added ? now_ms : std::min(suspect.m_first_ms, now_ms);
  suspect.m_last_ms = std::max(suspect.m_last_ms, now_ms);
  return suspect;
}

/// A suspect with enough crashes to be the cause of some. `m_part`: zero for a request.
struct Candidate {
  CrashSuspect* m_suspect = nullptr;
  PromptPartId m_part = 0;
};

std::vector<Candidate> FindCandidates(CrashSuspects& suspects) {
  std::vector<Candidate> candidates;
  for (auto& [fingerprint, suspect] : suspects.m_suspects) {
    suspect.m_quarantined = false;
    if (suspect.m_crashes.size() >= kQuarantineCrashes)
      candidates.push_back({&suspect, 0});
  }
  for (auto& [part, suspect] : suspects.m_parts) {
    suspect.m_quarantined = false;
    if (suspect.m_crashes.size() >= kQuarantineCrashes)
      candidates.push_back({&suspect, part});
  }
  return candidates;
}

std::size_t CountUnexplained(const CrashSuspect& suspect, const Crashes& explained) {
  return static_cast<std::size_t>(
      std::count_if(suspect.m_crashes.begin(), suspect.m_crashes.end(),
                    [&explained](ServerProcessId crash) { return !explained.contains(crash); }));
}

/// Returns the candidate without quarantine that is the most likely cause of unexplained crashes;
/// null if none has enough of them.
const Candidate* FindNextCause(const std::vector<Candidate>& candidates, const Crashes& explained) {
  const Candidate* cause = nullptr;
  std::tuple<bool, std::size_t, bool> best;
  for (const Candidate& candidate : candidates) {
    const CrashSuspect& suspect = *candidate.m_suspect;
    const std::size_t unexplained = CountUnexplained(suspect, explained);
    if (suspect.m_quarantined || unexplained < kQuarantineCrashes)
      continue;
    const std::tuple rank{!suspect.m_answered, unexplained, candidate.m_part == 0};
    if (cause != nullptr && rank <= best)
      continue;
    best = rank;
    cause = &candidate;
  }
  return cause;
}

/// Quarantines a part together with all others that were in exactly the same crashes: nothing tells
/// them apart.
QuarantinedParts QuarantineTogether(const std::vector<Candidate>& candidates,
                                    const CrashSuspect& cause) {
  QuarantinedParts together;
  together.m_first_ms = cause.m_first_ms;
  for (const Candidate& candidate : candidates) {
    const bool alike = candidate.m_part != 0 &&
                       candidate.m_suspect->m_answered == cause.m_answered &&
                       candidate.m_suspect->m_crashes == cause.m_crashes;
    if (!alike)
      continue;
    candidate.m_suspect->m_quarantined = true;
    together.m_parts.push_back(candidate.m_part);
  }
  return together;
}

}  // namespace

ServerProcessId ServerProcessOf(std::string_view server, std::int64_t started_ms) {
  return Hash(server, static_cast<std::uint64_t>(started_ms));
}

void UpdateQuarantine(CrashSuspects& suspects) {
  const std::vector<Candidate> candidates = FindCandidates(suspects);
  suspects.m_quarantined_parts.clear();
  Crashes explained;
  while (const Candidate* cause = FindNextCause(candidates, explained)) {
    if (cause->m_part == 0)
      cause->m_suspect->m_quarantined = true;
    else
      suspects.m_quarantined_parts.push_back(QuarantineTogether(candidates, *cause->m_suspect));
    explained.insert(cause->m_suspect->m_crashes.begin(), cause->m_suspect->m_crashes.end());
  }
}

void RecordCrash(CrashSuspects& suspects, const ServerCrash& crash, std::int64_t now_ms) {
  for (const RequestFingerprint fingerprint : crash.m_running)
    AddCrash(suspects.m_suspects, fingerprint, crash.m_process, now_ms);
  for (const SuspectPart& part : crash.m_parts) {
    CrashSuspect& suspect = AddCrash(suspects.m_parts, part.m_part, crash.m_process, now_ms);
    suspect.m_answered = suspect.m_answered || part.m_answered;
  }
  while (suspects.m_suspects.size() > kMaxCrashSuspects)
    ForgetOldest(suspects.m_suspects);
  while (suspects.m_parts.size() > kMaxCrashSuspects)
    ForgetOldest(suspects.m_parts);
  UpdateQuarantine(suspects);
}

void ClearSuspect(CrashSuspects& suspects, RequestFingerprint fingerprint) {
  if (suspects.m_suspects.erase(fingerprint) > 0)
    UpdateQuarantine(suspects);
}

void ClearPart(CrashSuspects& suspects, PromptPartId part) {
  if (suspects.m_parts.erase(part) > 0)
    UpdateQuarantine(suspects);
}

void ForgetCrash(CrashSuspects& suspects, ServerProcessId process) {
  for (auto* kind : {&suspects.m_suspects, &suspects.m_parts}) {
    for (auto& [id, suspect] : *kind)
      suspect.m_crashes.erase(process);
    std::erase_if(*kind, [](const auto& entry) { return entry.second.m_crashes.empty(); });
  }
  UpdateQuarantine(suspects);
}

bool IsQuarantined(const CrashSuspects& suspects, RequestFingerprint fingerprint) noexcept {
  const auto found = suspects.m_suspects.find(fingerprint);
  return found != suspects.m_suspects.end() && found->second.m_quarantined;
}

bool HasQuarantinedParts(const std::vector<QuarantinedParts>& quarantined,
                         const std::vector<PromptPartId>& parts) noexcept {
  return std::any_of(quarantined.begin(), quarantined.end(), [&parts](const auto& together) {
    return std::all_of(together.m_parts.begin(), together.m_parts.end(),
                       [&parts](PromptPartId part) {
                         return std::find(parts.begin(), parts.end(), part) != parts.end();
                       });
  });
}

void ExpireSuspects(CrashSuspects& suspects, std::int64_t now_ms) {
  if (!HasExpiredSuspects(suspects, now_ms))
    return;
  const auto expired = [now_ms](const auto& entry) { return IsExpired(entry.second, now_ms); };
  std::erase_if(suspects.m_suspects, expired);
  for (auto& [id, request] : suspects.m_suspects) {
    if (EndsRequestQuarantine(request, now_ms))
      EndQuarantine(request, now_ms);
  }
  for (auto& [id, part] : suspects.m_parts) {
    if (EndsPartQuarantine(part, now_ms))
      EndQuarantine(part, now_ms);
  }
  std::erase_if(suspects.m_parts, expired);
  UpdateQuarantine(suspects);
}

bool HasExpiredSuspects(const CrashSuspects& suspects, std::int64_t now_ms) noexcept {
  const auto request_ends = [now_ms](const auto& entry) {
    return IsExpired(entry.second, now_ms) || EndsRequestQuarantine(entry.second, now_ms);
  };
  const auto part_ends = [now_ms](const auto& entry) {
    return IsExpired(entry.second, now_ms) || EndsPartQuarantine(entry.second, now_ms);
  };
  return std::any_of(suspects.m_suspects.begin(), suspects.m_suspects.end(), request_ends) ||
         std::any_of(suspects.m_parts.begin(), suspects.m_parts.end(), part_ends);
}

std::vector<RequestFingerprint> QuarantinedRequests(const CrashSuspects& suspects) {
  std::vector<RequestFingerprint> quarantined;
  for (const auto& [fingerprint, suspect] : suspects.m_suspects) {
    if (suspect.m_quarantined)
      quarantined.push_back(fingerprint);
  }
  return quarantined;
}

}  // namespace poppyway
