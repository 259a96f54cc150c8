// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "log_internal.h"

namespace poppyway {

using namespace impl;

std::int64_t LastIndex(const LogNode& node) noexcept {
  return node.m_entries.empty() ? node.m_snapshot_index : node.m_entries.back().index;
}

std::int64_t TermAt(const LogNode& node, std::int64_t index) noexcept {
  if (index == node.m_snapshot_index)
    return node.m_snapshot_term;
  if (index < node.m_snapshot_index || index > LastIndex(node))
    return -1;
  return node.m_entries[static_cast<std::size_t>(index - node.m_snapshot_index - 1)].term;
}

std::size_t EntrySizeBytes(const wire::LogEntry& entry) noexcept {
  constexpr std::size_t kSmallCommand = 128;  // Estimates the fields that are always small.
  const wire::Command& command = entry.command;
  std::size_t bytes = kSmallCommand;
  if (command.__isset.document)
    bytes += command.document.body.size();
  if (command.__isset.document_change)
    bytes += command.document_change.edits.size();
  if (command.__isset.finish)
    bytes += command.finish.answer.body.size();
  if (command.__isset.config) {
    for (const wire::ObjectText& object : command.config.upserts)
      bytes += object.body.size();
  }
  return bytes;
}

const wire::MemberInfo* FindMember(const wire::Membership& membership, MemberId id) {
  const auto found = std::find_if(membership.members.begin(), membership.members.end(),
                                  [id](const wire::MemberInfo& m) { return m.id == id; });
  return found == membership.members.end() ? nullptr : &*found;
}

bool IsVoter(const wire::Membership& membership, MemberId id) noexcept {
  const wire::MemberInfo* member = FindMember(membership, id);
  return member != nullptr && member->voter;
}

bool LeadsWithQuorum(const LogNode& node, Instant now) {
  if (node.m_role != Role::kLeader)
    return false;
  return IsMajority(node.m_membership, [&node, now](MemberId id) {
    const auto progress = node.m_progress.find(id);
    return id == node.m_id || (progress != node.m_progress.end() &&
                               now - progress->second.m_last_reply < node.m_timing.m_election_min);
  });
}

bool HoldsAllCommitted(const LogNode& node, std::int64_t applied) noexcept {
  return node.m_role == Role::kLeader && applied >= node.m_term_start;
}

bool CanServeLinearizableReads(const LogNode& node, std::int64_t applied, Instant now) {
  if (!HoldsAllCommitted(node, applied))
    return false;
  return IsMajority(node.m_membership,
                    [&node, now](MemberId id) { return RepliesNow(node, id, now); });
}

void MergeEffects(LogEffects& into, LogEffects&& more) {
  into.m_save_hard = into.m_save_hard || more.m_save_hard;
  if (more.m_truncate_after) {
    // Entries that were appended and truncated again before a save are never stored.
    std::erase_if(into.m_append, [&](const wire::LogEntry& entry) {
      return entry.index > *more.m_truncate_after;
    });
    into.m_truncate_after =
        std::min(into.m_truncate_after.value_or(*more.m_truncate_after), *more.m_truncate_after);
  }
  if (more.m_install) {
    into.m_append.clear();
    into.m_truncate_after.reset();
    into.m_install = std::move(more.m_install);
  }
  const auto append = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
  };
  append(into.m_append, more.m_append);
  append(into.m_send, more.m_send);
  append(into.m_committed, more.m_committed);
}

LogEffects TickLog(LogNode& node, Instant now) {
  LogEffects effects;
  if (node.m_election_due == Instant{})
    ResetElectionTimeout(node, now);
  if (node.m_role == Role::kLeader) {
    const bool settled = now - node.m_last_leader_contact > node.m_timing.m_election_max;
    if (settled && !LeadsWithQuorum(node, now)) {
      BecomeFollower(node, node.m_hard_state.term, 0, effects, now);
      return effects;
    }
    if (now >= node.m_heartbeat_due)
      SendAppends(node, effects, now);
    return effects;
  }
  // A candidate's vote requests are sent only once its own vote is durable, so the election timeout
  // restarts until then.
  if (node.m_role == Role::kCandidate && node.m_durable_hard != node.m_hard_state)
    ResetElectionTimeout(node, now);
  if (now >= node.m_election_due && IsVoter(node.m_membership, node.m_id))
    StartElection(node, true, effects, now);  // A pre-vote comes before the election itself.
  return effects;
}

LogEffects StepLog(LogNode& node, const wire::LogMessage& message, Instant now) {
  LogEffects effects;
  if (message.to_id != node.m_id || message.cluster != node.m_cluster)
    return effects;
  const wire::LogBody& body = message.body;
  if (body.__isset.vote)
    OnVoteRequest(node, message.from_id, body.vote, effects, now);
  else if (body.__isset.vote_reply)
    OnVoteReply(node, message.from_id, body.vote_reply, effects, now);
  else if (body.__isset.append)
    OnAppend(node, message.from_id, body.append, effects, now);
  else if (body.__isset.append_reply)
    OnAppendReply(node, message.from_id, body.append_reply, effects, now);
  else if (body.__isset.snapshot)
    OnSnapshot(node, message.from_id, body.snapshot, effects, now);
  return effects;
}

Result<std::int64_t> ProposeLog(LogNode& node,
                                const std::vector<wire::Command>& commands,
                                LogEffects& effects,
                                Instant now) {
  if (node.m_role != Role::kLeader)
    return Fail(ResultCode::kNotLeader, "this member is not the leader");
  const std::int64_t first = LastIndex(node) + 1;
  std::vector<wire::LogEntry> entries;
  for (const wire::Command& command : commands) {
    wire::LogEntry entry;
    entry.index = first + static_cast<std::int64_t>(entries.size());
    entry.term = node.m_hard_state.term;
    entry.command = command;
    entries.push_back(std::move(entry));
  }
  AppendLocal(node, std::move(entries), effects);
  SendAppends(node, effects, now);
  return first;
}

Result<std::int64_t> ProposeMembership(LogNode& node,
                                       const wire::Membership& membership,
                                       LogEffects& effects,
                                       Instant now) {
  if (node.m_role != Role::kLeader)
    return Fail(ResultCode::kNotLeader, "this member is not the leader");
  const bool settled =
      node.m_membership_index <= node.m_commit_index && node.m_commit_index >= node.m_term_start;
  if (!settled)
    return Fail(ResultCode::kVersionConflict, "another membership change is in progress");
  wire::Command command;
  command.__set_membership(membership);
  // A removed member that joins again is tracked anew.
  std::erase_if(node.m_progress, [&membership](const auto& entry) {
    return FindMember(membership, entry.first) == nullptr;
  });
  return ProposeLog(node, {command}, effects, now);
}

wire::Snapshot CompactLog(LogNode& node, std::int64_t index, std::string state) {
  wire::Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = TermAt(node, index);
  snapshot.membership = node.m_snapshot_membership;
  while (!node.m_entries.empty() && node.m_entries.front().index <= index) {
    if (node.m_entries.front().command.__isset.membership)
      snapshot.membership = node.m_entries.front().command.membership;
    node.m_entries.pop_front();
  }
  snapshot.state = std::move(state);
  node.m_snapshot_index = snapshot.index;
  node.m_snapshot_term = snapshot.term;
  node.m_snapshot_membership = snapshot.membership;
  node.m_snapshot_state = std::make_shared<const std::string>(snapshot.state);
  return snapshot;
}

void RestoreLog(LogNode& node, const StoredLog& stored) {
  node.m_id = stored.m_id;
  node.m_hard_state = stored.m_hard_state;
  if (stored.m_snapshot) {
    node.m_snapshot_index = stored.m_snapshot->index;
    node.m_snapshot_term = stored.m_snapshot->term;
    node.m_snapshot_membership = stored.m_snapshot->membership;
    node.m_snapshot_state = std::make_shared<const std::string>(stored.m_snapshot->state);
  }
  node.m_entries.assign(stored.m_entries.begin(), stored.m_entries.end());
  node.m_commit_index = node.m_snapshot_index;
  node.m_emitted_index = node.m_snapshot_index;
  UseLatestMembership(node);
  node.m_durable_index = LastIndex(node);
  node.m_durable_hard = node.m_hard_state;
}

LogEffects BootstrapLog(LogNode& node, const wire::Membership& membership, Instant now) {
  LogEffects effects;
  node.m_hard_state.term = 1;
  node.m_hard_state.vote = node.m_id;
  effects.m_save_hard = true;
  wire::LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  entry.command.__set_membership(membership);
  AppendLocal(node, {entry}, effects);
  node.m_election_due = now;
  return effects;
}

namespace impl {

wire::LogMessage Message(const LogNode& node, MemberId to) {
  wire::LogMessage message;
  message.from_id = node.m_id;
  message.to_id = to;
  message.cluster = node.m_cluster;
  message.from_name = node.m_name;
  return message;
}

void ResetElectionTimeout(LogNode& node, Instant now) {
  std::uniform_int_distribution<std::int64_t> timeout_us(node.m_timing.m_election_min.count(),
                                                         node.m_timing.m_election_max.count());
  node.m_election_due = now + Duration(timeout_us(node.m_random));
}

void UseLatestMembership(LogNode& node) {
  node.m_membership = node.m_snapshot_membership;
  node.m_membership_index = node.m_snapshot_index;
  for (auto it = node.m_entries.rbegin(); it != node.m_entries.rend(); ++it) {
    if (!it->command.__isset.membership)
      continue;
    node.m_membership = it->command.membership;
    node.m_membership_index = it->index;
    return;
  }
}

void AppendLocal(LogNode& node, std::vector<wire::LogEntry> entries, LogEffects& effects) {
  bool membership = false;
  for (wire::LogEntry& entry : entries) {
    membership = membership || entry.command.__isset.membership;
    node.m_entries.push_back(entry);
    effects.m_append.push_back(std::move(entry));
  }
  if (membership)
    UseLatestMembership(node);
}

void BecomeFollower(LogNode& node,
                    std::int64_t term,
                    MemberId leader,
                    LogEffects& effects,
                    Instant now) {
  if (term > node.m_hard_state.term) {
    node.m_hard_state.term = term;
    node.m_hard_state.vote = 0;
    effects.m_save_hard = true;
  }
  const bool was_follower = node.m_role == Role::kFollower;
  node.m_role = Role::kFollower;
  node.m_leader = leader;
  if (!was_follower)
    ResetElectionTimeout(node, now);
}

void BecomeLeader(LogNode& node, LogEffects& effects, Instant now) {
  node.m_role = Role::kLeader;
  node.m_leader = node.m_id;
  node.m_last_leader_contact = now;  // On a leader this is when it became leader.
  node.m_progress.clear();
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (member.id != node.m_id)
      node.m_progress[member.id] = {
          LastIndex(node) + 1, 0, InitialLastReply(node, member.id, now), {}, {}, {}};
  }
  node.m_silent_since.clear();
  node.m_term_start = LastIndex(node) + 1;
  wire::LogEntry entry;
  entry.index = node.m_term_start;
  entry.term = node.m_hard_state.term;
  entry.command.__set_noop(true);
  AppendLocal(node, {entry}, effects);
  SendAppends(node, effects, now);
}

void EmitCommitted(LogNode& node, LogEffects& effects) {
  node.m_emitted_index = std::max(node.m_emitted_index, node.m_snapshot_index);
  while (node.m_emitted_index < node.m_commit_index) {
    ++node.m_emitted_index;
    const auto at = static_cast<std::size_t>(node.m_emitted_index - node.m_snapshot_index - 1);
    effects.m_committed.push_back(node.m_entries[at]);
  }
}

void AdvanceCommit(LogNode& node, LogEffects& effects) {
  const auto match_of = [&node](MemberId id) {
    if (id == node.m_id)
      return node.m_durable_index;
    const auto progress = node.m_progress.find(id);
    return progress == node.m_progress.end() ? std::int64_t{0} : progress->second.m_match;
  };
  std::vector<std::int64_t> matches;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (member.voter)
      matches.push_back(match_of(member.id));
  }
  std::sort(matches.rbegin(), matches.rend());
  const auto stored = std::find_if(matches.begin(), matches.end(), [&](std::int64_t index) {
    return IsMajority(node.m_membership, [&](MemberId id) { return match_of(id) >= index; });
  });
  if (stored == matches.end())
    return;
  if (*stored > node.m_commit_index && TermAt(node, *stored) == node.m_hard_state.term)
    node.m_commit_index = *stored;
  EmitCommitted(node, effects);
}

}  // namespace impl
}  // namespace poppyway
