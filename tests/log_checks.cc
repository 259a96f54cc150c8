// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The checks of a schedule, while it runs and at its end.
#include <algorithm>
#include <set>

#include "log_schedule.h"

namespace poppyway::test {

void Schedule::AddViolation(const std::string& what) {
  if (m_report.m_violations.size() < 5)
    m_report.m_violations.push_back(what);
}

void Schedule::CheckVote(const wire::LogMessage& message) {
  const wire::VoteReply& vote = message.body.vote_reply;
  if (!message.body.__isset.vote_reply || vote.pre || !vote.granted)
    return;
  const auto [given, first] = m_votes.emplace(std::pair(message.from_id, vote.term), message.to_id);
  if (!first && given->second != message.to_id)
    AddViolation("a vote is given twice in term " + std::to_string(vote.term));
}

void Schedule::CheckLeader(const Member& member) {
  if (member.m_node.m_role != Role::kLeader)
    return;
  const std::int64_t term = member.m_node.m_hard_state.term;
  const auto [entry, added] = m_leader_of_term.emplace(term, member.m_disk.m_id);
  if (added)
    ++m_report.m_leaders;
  else if (entry->second != member.m_disk.m_id)
    AddViolation("two leaders in term " + std::to_string(term));
}

void Schedule::CheckEnd() {
  const Member* leader = Leader();
  if (leader == nullptr) {
    AddViolation("no leader after all was healed");
    return;
  }
  const std::int64_t last = m_committed.empty() ? 0 : m_committed.rbegin()->first;
  for (const auto& [index, bytes] : m_acknowledged) {
    const auto found = m_committed.find(index);
    if (found == m_committed.end() || found->second != bytes)
      AddViolation("acknowledged index " + std::to_string(index) + " is lost");
  }
  std::set<std::string> states;
  for (const Member& member : m_members) {
    if (member.m_removed)
      continue;
    if (member.m_machine.m_applied_index < last)
      AddViolation(member.m_name + " applied " + std::to_string(member.m_machine.m_applied_index) +
                   " of " + std::to_string(last));
    states.insert(SerializeStateMachine(member.m_machine));
  }
  if (states.size() != 1)
    AddViolation("members hold different states");
  m_report.m_versions = leader->m_machine.m_configuration.m_version;
}

void Schedule::CheckVotersAtEnd() {
  const Member* leader = Leader();
  if (leader == nullptr)
    return;
  const wire::Membership& membership = leader->m_node.m_membership;
  for (const wire::MemberInfo& member : membership.members)
    m_report.m_voters_at_end += member.voter ? 1 : 0;
  if (m_report.m_voters_at_end != m_spec.m_members)
    AddViolation(std::to_string(m_report.m_voters_at_end) + " voters at the end");
  for (const Member& member : m_members) {
    if (!member.m_removed && !IsVoter(membership, member.m_disk.m_id))
      AddViolation(member.m_name + " runs and is no voter");
  }
  if (membership.members.size() != static_cast<std::size_t>(m_spec.m_members))
    AddViolation(std::to_string(membership.members.size()) + " members at the end");
}

}  // namespace poppyway::test
