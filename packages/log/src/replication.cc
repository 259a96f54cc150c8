// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "log_internal.h"

namespace poppyway::impl {
namespace {

constexpr std::size_t kMaxEntries = 512;  // In one append message.
// What else a connection carries waits for no more than this of the log.
constexpr std::size_t kMaxAppendBytes = 64 << 10;
constexpr Duration kSnapshotResend{2'000'000};

void Reply(const LogNode& node,
           MemberId to,
           bool ok,
           std::int64_t match,
           std::int64_t sent_us,
           LogEffects& effects) {
  wire::AppendReply reply;
  reply.sent_us = sent_us;
  reply.term = node.m_hard_state.term;
  reply.ok = ok;
  reply.match = match;
  wire::LogMessage message = Message(node, to);
  message.body.__set_append_reply(reply);
  effects.m_send.push_back(std::move(message));
}

void HearLeader(LogNode& node, MemberId from, std::int64_t term, LogEffects& effects, Instant now) {
  BecomeFollower(node, term, from, effects, now);
  node.m_last_leader_contact = now;
  ResetElection(node, now);
}

/// Where the leader should look next after a mismatch at `prev`: before the whole conflicting term.
std::int64_t MismatchHint(const LogNode& node, std::int64_t prev) {
  if (prev > LastIndex(node))
    return LastIndex(node);
  const std::int64_t term = TermAt(node, prev);
  std::int64_t index = prev;
  while (index > node.m_commit_index && TermAt(node, index) == term)
    --index;
  return std::max(index, node.m_commit_index);
}

void SendSnapshot(LogNode& node, MemberId to, LogEffects& effects, Instant now) {
  Progress& progress = node.m_progress[to];
  if (progress.m_snapshot_sent != Instant{} && now - progress.m_snapshot_sent < kSnapshotResend)
    return;
  progress.m_snapshot_sent = now;
  wire::SnapshotRequest request;
  request.term = node.m_hard_state.term;
  request.snapshot.index = node.m_snapshot_index;
  request.snapshot.term = node.m_snapshot_term;
  request.snapshot.membership = node.m_snapshot_membership;
  request.snapshot.state = *node.m_snapshot_state;
  wire::LogMessage message = Message(node, to);
  message.body.__set_snapshot(std::move(request));
  effects.m_send.push_back(std::move(message));
}

}  // namespace

void SendAppend(LogNode& node, MemberId to, LogEffects& effects, Instant now) {
  Progress& progress = node.m_progress[to];
  if (progress.m_next <= node.m_snapshot_index) {
    SendSnapshot(node, to, effects, now);
    return;
  }
  wire::AppendRequest request;
  request.term = node.m_hard_state.term;
  request.prev_index = progress.m_next - 1;
  request.prev_term = TermAt(node, request.prev_index);
  request.commit = node.m_commit_index;
  request.sent_us = now.time_since_epoch().count();
  const auto first = static_cast<std::size_t>(progress.m_next - node.m_snapshot_index - 1);
  const std::size_t last = std::min(node.m_entries.size(), first + kMaxEntries);
  std::size_t bytes = 0;
  for (std::size_t i = first; i < last && bytes < kMaxAppendBytes; ++i) {
    bytes += EntrySizeBytes(node.m_entries[i]);
    request.entries.push_back(node.m_entries[i]);
  }
  progress.m_next += static_cast<std::int64_t>(request.entries.size());  // Pipelined.
  wire::LogMessage message = Message(node, to);
  message.body.__set_append(std::move(request));
  effects.m_send.push_back(std::move(message));
}

void SendAppends(LogNode& node, LogEffects& effects, Instant now) {
  node.m_heartbeat_due = now + node.m_timing.m_heartbeat;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (member.id == node.m_id)
      continue;
    node.m_progress.try_emplace(member.id, Progress{LastIndex(node) + 1, 0, now, {}, {}, {}});
    SendAppend(node, member.id, effects, now);
  }
}

void OnAppend(LogNode& node,
              MemberId from,
              const wire::AppendRequest& request,
              LogEffects& effects,
              Instant now) {
  if (request.term < node.m_hard_state.term) {
    Reply(node, from, false, LastIndex(node), request.sent_us, effects);
    return;
  }
  HearLeader(node, from, request.term, effects, now);
  const bool behind_snapshot = request.prev_index < node.m_snapshot_index;
  if (!behind_snapshot && TermAt(node, request.prev_index) != request.prev_term) {
    Reply(node, from, false, MismatchHint(node, request.prev_index), request.sent_us, effects);
    return;
  }
  std::vector<wire::LogEntry> fresh;
  for (const wire::LogEntry& entry : request.entries) {
    if (entry.index <= node.m_snapshot_index)
      continue;
    if (fresh.empty() && TermAt(node, entry.index) == entry.term)
      continue;  // Held already.
    if (fresh.empty() && entry.index <= LastIndex(node)) {
      effects.m_truncate_after = entry.index - 1;
      ForgetSavedAfter(node, entry.index - 1);
      while (LastIndex(node) >= entry.index)
        node.m_entries.pop_back();
      AdoptMembership(node);
    }
    fresh.push_back(entry);
  }
  const std::int64_t match =
      std::max(node.m_snapshot_index,
               request.prev_index + static_cast<std::int64_t>(request.entries.size()));
  AppendLocal(node, std::move(fresh), effects);
  node.m_commit_index = std::max(node.m_commit_index, std::min(request.commit, match));
  HandOut(node, effects);
  Reply(node, from, true, match, request.sent_us, effects);
  // That one waits for the save. This one tells the leader in time that it is followed.
  if (node.m_save_in_progress && match > node.m_saved)
    Reply(node, from, true, node.m_saved, request.sent_us, effects);
}

void OnAppendReply(LogNode& node,
                   MemberId from,
                   const wire::AppendReply& reply,
                   LogEffects& effects,
                   Instant now) {
  if (reply.term > node.m_hard_state.term) {
    BecomeFollower(node, reply.term, 0, effects, now);
    return;
  }
  const auto found = node.m_progress.find(from);
  if (node.m_role != Role::kLeader || reply.term < node.m_hard_state.term ||
      found == node.m_progress.end())
    return;
  Progress& progress = found->second;
  progress.m_heard = now;
  const Instant sent{Duration(reply.sent_us)};
  progress.m_confirmed = std::max(progress.m_confirmed, sent);
  if (!reply.ok) {
    if (sent < progress.m_resent)
      return;  // What it lacks has been sent again since.
    progress.m_resent = now;
    // The hint may lie below what is known to match: then it is an old reply.
    progress.m_next = std::max(reply.match, progress.m_match) + 1;
    SendAppend(node, from, effects, now);
    return;
  }
  progress.m_match = std::max(progress.m_match, reply.match);
  progress.m_next = std::max(progress.m_next, progress.m_match + 1);
  AdvanceCommit(node, effects);
  if (progress.m_next <= LastIndex(node))
    SendAppend(node, from, effects, now);
}

void OnSnapshot(LogNode& node,
                MemberId from,
                const wire::SnapshotRequest& request,
                LogEffects& effects,
                Instant now) {
  if (request.term < node.m_hard_state.term) {
    Reply(node, from, false, LastIndex(node), 0, effects);
    return;
  }
  HearLeader(node, from, request.term, effects, now);
  const wire::Snapshot& snapshot = request.snapshot;
  const bool new_here = snapshot.index > node.m_commit_index;
  if (new_here && TermAt(node, snapshot.index) == snapshot.term) {
    // A late one: all that it covers is held. What follows it may have been acknowledged.
    node.m_commit_index = snapshot.index;
    HandOut(node, effects);
  } else if (new_here) {
    ForgetSavedAfter(node, node.m_commit_index);
    node.m_entries.clear();
    node.m_snapshot_index = snapshot.index;
    node.m_snapshot_term = snapshot.term;
    node.m_snapshot_membership = snapshot.membership;
    node.m_snapshot_state = std::make_shared<const std::string>(snapshot.state);
    node.m_commit_index = snapshot.index;
    node.m_handed_out = snapshot.index;
    AdoptMembership(node);
    effects.m_install = snapshot;
  }
  Reply(node, from, true, std::max(snapshot.index, node.m_commit_index), 0, effects);
}

}  // namespace poppyway::impl
