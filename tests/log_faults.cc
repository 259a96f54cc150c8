// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The faults of a schedule: members that crash, are cut off or paused, lose their folders or are
// replaced.
#include <algorithm>

#include "log_schedule.h"

namespace poppyway::test {
namespace {

constexpr std::int64_t kMaxDelaySteps = 800;     // Between the two steps of a replacement.
constexpr Instant kFormed{Duration(2'000'000)};  // The cluster has formed; members may be lost.

}  // namespace

void Schedule::Crash(Member& member) {
  if (!member.m_up)
    return;
  member.m_up = false;
  ++m_report.m_crashes;
}

void Schedule::LoseFolder(Member& member) {
  Crash(member);
  const MemberId old = member.m_disk.m_id;
  member.m_disk = {};
  member.m_disk.m_id = m_spec.m_keep_id_when_blank ? old : m_next_id++;
  member.m_folder_created = m_now;
  ++m_report.m_lost_folders;
}

bool Schedule::Repaired() const {
  const Member* leader = Leader();
  if (leader == nullptr)
    return false;
  const wire::Membership& membership = leader->m_node.m_membership;
  if (leader->m_node.m_membership_index > leader->m_node.m_commit_index)
    return false;
  return std::all_of(m_members.begin(), m_members.end(),
                     [&](const Member& member) { return IsVoter(membership, member.m_disk.m_id); });
}

void Schedule::InjectFaults() {
  if (Chance(m_spec.m_crash))
    Crash(m_members[Pick()]);
  if (m_spec.m_crash_all > 0 && Chance(m_spec.m_crash_all)) {
    for (Member& member : m_members)
      Crash(member);
  }
  for (Member& member : m_members) {
    if (!member.m_up && !member.m_removed && Chance(m_spec.m_restart))
      Start(member);
    if (member.m_disconnected && Chance(m_spec.m_reconnect))
      member.m_disconnected = false;
  }
  if (Chance(m_spec.m_disconnect))
    m_members[Pick()].m_disconnected = true;
  if (Chance(m_spec.m_freeze))
    m_members[Pick()].m_frozen_until = m_now + Duration(2'000'000);
  if (m_spec.m_max_losses > 0) {
    InjectLosses();
    return;
  }
  const bool may_lose_folder = m_spec.m_keep_id_when_blank || Repaired();
  if (Chance(m_spec.m_lose_folder) && may_lose_folder)
    LoseFolder(m_members[Pick()]);
}

void Schedule::InjectLosses() {
  const bool calm = std::all_of(m_members.begin(), m_members.end(), [this](const Member& member) {
    return member.m_removed || (IsRunning(member) && !member.m_disconnected);
  });
  if (!calm)
    m_last_fault = m_now;
  std::erase_if(m_losses, [this](const Loss& loss) { return IsOver(loss); });
  for (std::size_t i = 0; i < m_losses.size(); ++i)
    ContinueReplacement(m_losses[i]);
  if (m_now < kFormed)
    return;
  if (Chance(m_spec.m_replace))
    BeginLoss(true);
  if (Chance(m_spec.m_lose_folder))
    BeginLoss(false);
}

bool Schedule::IsOver(const Loss& loss) const {
  if (!loss.m_successor || loss.m_leaver)
    return false;
  const Instant since =
      std::max({m_members[*loss.m_successor].m_started, loss.m_leaver_due, m_last_fault});
  return m_now - since >= kCatchUpTime;
}

void Schedule::BeginLoss(bool replaced) {
  const std::size_t lost = Pick();
  const auto same = std::find_if(m_losses.begin(), m_losses.end(), [lost](const Loss& loss) {
    return loss.m_successor == lost || loss.m_leaver == lost;
  });
  const bool catching_up = m_now - m_members[lost].m_folder_created < kCatchUpTime;
  const bool planned = same != m_losses.end() && same->m_leaver_due != Instant{};
  if (same != m_losses.end() && (planned || !catching_up))
    return;
  if (same == m_losses.end() && m_losses.size() >= static_cast<std::size_t>(m_spec.m_max_losses))
    return;
  Loss loss;
  if (!replaced) {
    LoseFolder(m_members[lost]);
    loss.m_successor = lost;
  } else if (same == m_losses.end() && Chance(0.4)) {
    ++m_report.m_replacements;
    loss.m_leaver = lost;
    loss.m_leaver_due = m_now + RandomDelay();
    loss.m_successor_due = m_now;
  } else {
    ++m_report.m_replacements;
    Remove(m_members[lost]);
    loss.m_successor_due = m_now + RandomDelay();
  }
  if (same != m_losses.end())
    *same = loss;
  else
    m_losses.push_back(loss);
}

Duration Schedule::RandomDelay() {
  return kStep * static_cast<std::int64_t>(m_random() % kMaxDelaySteps);
}

void Schedule::Remove(Member& member) {
  Crash(member);
  member.m_removed = true;
  member.m_disk = {};
}

void Schedule::ContinueReplacement(Loss& loss) {
  if (loss.m_leaver && m_now >= loss.m_leaver_due) {
    Remove(m_members[*loss.m_leaver]);
    loss.m_leaver.reset();
  }
  if (loss.m_successor || m_now < loss.m_successor_due)
    return;
  loss.m_successor = m_members.size();
  Member& added = m_members.emplace_back();
  added.m_name = "m" + std::to_string(*loss.m_successor);
  added.m_disk.m_id = m_next_id++;
  added.m_folder_created = m_now;
  Start(added);
}

void Schedule::Heal() {
  m_healed = true;
  for (std::size_t i = 0; i < m_losses.size(); ++i) {
    m_losses[i].m_leaver_due = m_now;
    m_losses[i].m_successor_due = m_now;
    ContinueReplacement(m_losses[i]);
  }
  for (Member& member : m_members) {
    member.m_disconnected = false;
    member.m_frozen_until = {};
    if (!member.m_up && !member.m_removed)
      Start(member);
  }
}

}  // namespace poppyway::test
