// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "membership_watch.h"

#include <algorithm>
#include <set>

#include "poppyway/telemetry.h"

namespace poppyway {
namespace {

constexpr Duration kCheckInterval{500'000};

}  // namespace

void MembershipWatch::Update(const LogNode& node, Instant now) {
  if (now - m_checked < kCheckInterval)
    return;
  m_checked = now;
  const MembershipStatus status = MembershipStatusOf(node, now);
  std::set<MemberId> members;
  for (const MemberStatus& member : status.m_members) {
    members.insert(member.m_id);
    LogMember(member);
  }
  std::erase_if(m_silent, [&members](const auto& entry) { return !members.contains(entry.first); });
  LogTolerance(status);
}

void MembershipWatch::LogMember(const MemberStatus& member) {
  const auto known = m_silent.find(member.m_id);
  const bool was_silent = known != m_silent.end();
  if (member.m_silent && !was_silent)
    POPPYWAY_LOG(warning, "member_silent")
        .Field("member", member.m_name)
        .Field("voter", member.m_voter)
        .Field("silent_ms", member.m_silent_for.count() / 1000);
  if (!member.m_silent && was_silent)
    POPPYWAY_LOG(info, "member_replies")
        .Field("member", member.m_name)
        .Field("voter", member.m_voter)
        .Field("silent_ms", known->second.count() / 1000);
  if (member.m_silent)
    m_silent[member.m_id] = member.m_silent_for;
  else
    m_silent.erase(member.m_id);
}

void MembershipWatch::LogTolerance(const MembershipStatus& status) {
  const auto voters =
      static_cast<int>(std::count_if(status.m_members.begin(), status.m_members.end(),
                                     [](const MemberStatus& member) { return member.m_voter; }));
  if (voters == m_voters && status.m_tolerated_losses == m_tolerated_losses)
    return;
  m_voters = voters;
  m_tolerated_losses = status.m_tolerated_losses;
  POPPYWAY_LOG(info, "losses_tolerated")
      .Field("losses", m_tolerated_losses)
      .Field("voters", m_voters)
      .Field("silent", m_silent.size());
}

void MembershipWatch::Reset() {
  *this = MembershipWatch();
}

}  // namespace poppyway
