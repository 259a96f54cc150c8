// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Requests that crash servers, at a member: the end of their quarantine, logs and metrics.

#include "member_service.h"

namespace poppyway {
namespace {

constexpr Duration kExpiryInterval{10'000'000};  // Small beside the time that suspects are kept.

}  // namespace

void MemberService::ProposeCrashExpiry(Instant now) {
  if (!m_settings.m_hosted || now < m_crash_expiry_due)
    return;
  m_crash_expiry_due = now + kExpiryInterval;
  const std::int64_t now_ms = ReadWallMillis();
  if (!HasExpiredSuspects(m_machine.m_hosted.m_crash_suspects, now_ms))
    return;
  wire::CrashReport expiry;
  expiry.now_ms = now_ms;
  std::vector<wire::Command> commands;
  commands.emplace_back().__set_crash(expiry);
  LogEffects effects;
  // If it isn't accepted, it is proposed again after the interval.
  if (!ProposeLog(m_node, commands, effects, now))
    POPPYWAY_LOG(warning, "crash_expiry_lost");
  QueueEffects(std::move(effects));
}

void MemberService::LogQuarantine() const {
  const CrashSuspects& suspects = m_machine.m_hosted.m_crash_suspects;
  for (const RequestFingerprint fingerprint : QuarantinedRequests(suspects))
    POPPYWAY_LOG(info, "quarantined")
        .Field("fingerprint", FingerprintText(fingerprint))
        .Field("crashes", suspects.m_suspects.at(fingerprint).m_crashes.size())
        .Field("log_index", m_machine.m_hosted.m_quarantine_index);
  for (const QuarantinedParts& together : suspects.m_quarantined_parts) {
    for (const PromptPartId part : together.m_parts)
      POPPYWAY_LOG(info, "part_quarantined")
          .Field("part", FingerprintText(part))
          .Field("together", together.m_parts.size())
          .Field("crashes", suspects.m_parts.at(part).m_crashes.size())
          .Field("answered_before", suspects.m_parts.at(part).m_answered)
          .Field("log_index", m_machine.m_hosted.m_quarantine_index);
  }
  POPPYWAY_LOG(info, "quarantine_changed")
      .Field("suspects", suspects.m_suspects.size())
      .Field("suspect_parts", suspects.m_parts.size())
      .Field("quarantined_parts", suspects.m_quarantined_parts.size())
      .Field("log_index", m_machine.m_hosted.m_quarantine_index);
}

}  // namespace poppyway
