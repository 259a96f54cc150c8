// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "log_internal.h"

namespace poppyway::impl {
namespace {

constexpr std::size_t kMaxEntries = 512;  // The most entries in one append.
// The size of an append is bounded because other messages on the connection wait for it. The last
// entry of an append may exceed the bound.
constexpr std::size_t kMaxAppendBytes = 64 << 10;
// A member that still lacks the snapshot gets it again at most this often.
constexpr Duration kSnapshotResendInterval{2'000'000};

/// Queues a reply to an append or a snapshot. `sent_us` is the append's send time, zero for a
/// snapshot.
void SendAppendReply(const LogNode& node,
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

/// Follows the sender of a valid append or snapshot and restarts the election timeout.
void AcceptLeader(LogNode& node,
                  MemberId from,
                  std::int64_t term,
                  LogEffects& effects,
                  Instant now) {
  BecomeFollower(node, term, from, effects, now);
  node.m_last_leader_contact = now;
  ResetElectionTimeout(node, now);
}

/// Returns the index from which the leader should continue after a mismatch at `prev`: the last
/// entry before the whole conflicting term, or the commit index if that is higher. In a log
/// that ends before `prev` this is the last index.
std::int64_t ConflictHint(const LogNode& node, std::int64_t prev) {
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
  if (progress.m_last_snapshot != Instant{} &&
      now - progress.m_last_snapshot < kSnapshotResendInterval)
    return;
  progress.m_last_snapshot = now;
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
  if (std::vector<wire::SilentMember> silent = SilentMembers(node, now); !silent.empty())
    request.__set_silent(silent);
  // Appends are pipelined: the next one doesn't wait for a reply.
  progress.m_next += static_cast<std::int64_t>(request.entries.size());
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
    SendAppendReply(node, from, false, LastIndex(node), request.sent_us, effects);
    return;
  }
  AcceptLeader(node, from, request.term, effects, now);
  RecordSilentMembers(node, request, now);
  const bool behind_snapshot = request.prev_index < node.m_snapshot_index;
  if (!behind_snapshot && TermAt(node, request.prev_index) != request.prev_term) {
    SendAppendReply(node, from, false, ConflictHint(node, request.prev_index), request.sent_us,
                    effects);
    return;
  }
  std::vector<wire::LogEntry> new_entries;
  for (const wire::LogEntry& entry : request.entries) {
    if (entry.index <= node.m_snapshot_index)
      continue;
    if (new_entries.empty() && TermAt(node, entry.index) == entry.term)
      continue;  // The log holds this entry already.
    if (new_entries.empty() && entry.index <= LastIndex(node)) {
      effects.m_truncate_after = entry.index - 1;
      LowerDurableIndex(node, entry.index - 1);
      while (LastIndex(node) >= entry.index)
        node.m_entries.pop_back();
      UseLatestMembership(node);
    }
    new_entries.push_back(entry);
  }
  const std::int64_t match =
      std::max(node.m_snapshot_index,
               request.prev_index + static_cast<std::int64_t>(request.entries.size()));
  AppendLocal(node, std::move(new_entries), effects);
  node.m_commit_index = std::max(node.m_commit_index, std::min(request.commit, match));
  EmitCommitted(node, effects);
  SendAppendReply(node, from, true, match, request.sent_us, effects);
  // The reply above is deferred until the save has ended. This one acknowledges only durable
  // entries, so it goes out at once and shows the leader that this follower is active.
  if (node.m_save_in_progress && match > node.m_durable_index)
    SendAppendReply(node, from, true, node.m_durable_index, request.sent_us, effects);
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
  progress.m_last_reply = now;
  const Instant sent{Duration(reply.sent_us)};
  progress.m_last_confirmed = std::max(progress.m_last_confirmed, sent);
  if (!reply.ok) {
    if (sent < progress.m_last_resend)
      return;  // The missing entries have been sent again after this append.
    progress.m_last_resend = now;
    // In an old reply the hint may lie below the known match index.
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
    SendAppendReply(node, from, false, LastIndex(node), 0, effects);
    return;
  }
  AcceptLeader(node, from, request.term, effects, now);
  const wire::Snapshot& snapshot = request.snapshot;
  const bool is_newer = snapshot.index > node.m_commit_index;
  if (is_newer && TermAt(node, snapshot.index) == snapshot.term) {
    // The snapshot is late: the log holds all entries that it covers. The entries after it are
    // kept, since they may have been acknowledged.
    node.m_commit_index = snapshot.index;
    EmitCommitted(node, effects);
  } else if (is_newer) {
    LowerDurableIndex(node, node.m_commit_index);
    node.m_entries.clear();
    node.m_snapshot_index = snapshot.index;
    node.m_snapshot_term = snapshot.term;
    node.m_snapshot_membership = snapshot.membership;
    node.m_snapshot_state = std::make_shared<const std::string>(snapshot.state);
    node.m_commit_index = snapshot.index;
    node.m_emitted_index = snapshot.index;
    UseLatestMembership(node);
    effects.m_install = snapshot;
  }
  SendAppendReply(node, from, true, std::max(snapshot.index, node.m_commit_index), 0, effects);
}

}  // namespace poppyway::impl
