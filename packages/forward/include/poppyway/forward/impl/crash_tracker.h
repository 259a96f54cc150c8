// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/forward/impl/forwarder_messages.h"
#include "poppyway/policy.h"

namespace poppyway {

/// \brief The fingerprints that were added last, at least `kSize` of them and at most twice as
/// many.
struct RecentFingerprints {
  static constexpr std::size_t kSize = 4096;
  std::unordered_set<RequestFingerprint> m_current;
  std::unordered_set<RequestFingerprint> m_previous;  ///< Added before those in `m_current`.
};

/// \brief Adds a fingerprint. Not thread-safe.
void Remember(RecentFingerprints& recent, RequestFingerprint fingerprint);
/// \brief Removes a fingerprint. Not thread-safe.
void Forget(RecentFingerprints& recent, RequestFingerprint fingerprint);
/// \brief Returns true if the fingerprint was added recently.
[[nodiscard]] bool Contains(const RecentFingerprints& recent, RequestFingerprint fingerprint);

/// \brief The parts of prompts that servers responded to last, at least `kSize` of them and at most
/// twice as many, each with the time at which the latest such request was sent.
struct SoundParts {
  static constexpr std::size_t kSize = 4096;
  std::unordered_map<PromptPartId, Instant> m_current;
  std::unordered_map<PromptPartId, Instant> m_previous;  ///< Added before those in `m_current`.
};

/// \brief Records that a server responded to a request with the part. Not thread-safe.
void RecordSound(SoundParts& sound, PromptPartId part, Instant sent);
/// \brief Returns when the latest request with the part was sent that a server responded to.
[[nodiscard]] std::optional<Instant> LastSound(const SoundParts& sound, PromptPartId part);

/// \brief What an instance knows of requests that crash servers.
///
/// The replicated state decides which requests are quarantined, from the reports of all instances.
/// An instance counts itself only the crashes that no leader has committed yet, so that it holds
/// such a request back also without a leader.
struct CrashTracker {
  CrashReportPort m_port;
  std::set<RequestFingerprint> m_quarantined;  ///< As the members last reported.
  CrashSuspects m_uncommitted;                 ///< From own reports that no leader has committed.
  RecentFingerprints m_reported;               ///< Requests in own reports.
  /// Requests with a complete response since their last broken call; they crash no server so far.
  RecentFingerprints m_answered;
  std::vector<QuarantinedParts> m_quarantined_parts;  ///< As the members last reported.
  SoundParts m_sound;
  /// Parts in own reports, each with the time of the last one. At most `SoundParts::kSize`.
  std::unordered_map<PromptPartId, Instant> m_reported_parts;
};

}  // namespace poppyway
