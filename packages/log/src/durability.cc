// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Tracks which part of a member's log is durable, and which messages may be sent before a save
// ends.
#include <algorithm>

#include "log_internal.h"

namespace poppyway {
namespace {

/// Returns true for an append reply that acknowledges entries.
bool AcknowledgesEntries(const wire::LogMessage& message) {
  return message.body.__isset.append_reply && message.body.append_reply.ok;
}

/// Returns true if the append reply `now` acknowledges at least as much as the reply `before`.
bool IsSupersededBy(const wire::LogMessage& before, const wire::LogMessage& now) {
  return AcknowledgesEntries(before) && AcknowledgesEntries(now) && before.to_id == now.to_id &&
         before.body.append_reply.term == now.body.append_reply.term &&
         before.body.append_reply.match <= now.body.append_reply.match;
}

}  // namespace

void BeginLogSave(LogNode& node) {
  node.m_save_in_progress = true;
  node.m_saving_index = LastIndex(node);
  node.m_saving_hard = node.m_hard_state;
}

LogEffects FinishLogSave(LogNode& node) {
  node.m_save_in_progress = false;
  node.m_durable_index = node.m_saving_index;
  node.m_durable_hard = node.m_saving_hard;
  LogEffects effects;
  if (node.m_role == Role::kLeader)
    impl::AdvanceCommit(node, effects);
  return effects;
}

void AbortLogSave(LogNode& node) {
  node.m_save_in_progress = false;
}

bool IsSafeToSend(const LogNode& node, const wire::LogMessage& message) {
  const wire::LogBody& body = message.body;
  // A vote, for this member or for another, must be durable first: after a crash the member could
  // otherwise vote twice in one term.
  const bool vote = (body.__isset.vote && !body.vote.pre) ||
                    (body.__isset.vote_reply && body.vote_reply.granted && !body.vote_reply.pre);
  // A leader may send entries that it hasn't saved, since it doesn't count itself towards their
  // majority. Its leadership depends on its own vote, which must be durable.
  const bool leads = body.__isset.append || body.__isset.snapshot;
  if (vote || leads)
    return node.m_durable_hard == node.m_hard_state;
  if (AcknowledgesEntries(message))
    return body.append_reply.match <= node.m_durable_index;
  return true;
}

void DeferMessage(std::vector<wire::LogMessage>& deferred, wire::LogMessage message) {
  const auto same =
      std::find_if(deferred.begin(), deferred.end(),
                   [&](const wire::LogMessage& before) { return IsSupersededBy(before, message); });
  if (same != deferred.end())
    *same = std::move(message);
  else
    deferred.push_back(std::move(message));
}

LogNode CopyDurableState(const LogNode& node, bool with_entries) {
  LogNode part;
  part.m_hard_state = node.m_hard_state;
  part.m_snapshot_index = node.m_snapshot_index;
  if (with_entries)
    part.m_entries = node.m_entries;
  return part;
}

namespace impl {

void LowerDurableIndex(LogNode& node, std::int64_t index) {
  node.m_durable_index = std::min(node.m_durable_index, index);
  node.m_saving_index = std::min(node.m_saving_index, index);
}

}  // namespace impl
}  // namespace poppyway
