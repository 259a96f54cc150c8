// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What of a member's log is durable, and what may be told of it before.
#include <algorithm>

#include "log_internal.h"

namespace poppyway {
namespace {

/// An answer that promises entries up to a match.
bool PromisesEntries(const wire::LogMessage& message) {
  return message.body.__isset.append_reply && message.body.append_reply.ok;
}

bool SaysNoMore(const wire::LogMessage& before, const wire::LogMessage& now) {
  return PromisesEntries(before) && PromisesEntries(now) && before.to_id == now.to_id &&
         before.body.append_reply.term == now.body.append_reply.term &&
         before.body.append_reply.match <= now.body.append_reply.match;
}

}  // namespace

void BeginLogSave(LogNode& node) {
  node.m_save_in_progress = true;
  node.m_saving = LastIndex(node);
  node.m_saving_hard = node.m_hard_state;
}

LogEffects FinishLogSave(LogNode& node) {
  node.m_save_in_progress = false;
  node.m_saved = node.m_saving;
  node.m_saved_hard = node.m_saving_hard;
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
  // A vote, one's own or another's, must not be forgotten: it could be given twice in its term.
  const bool vote = (body.__isset.vote && !body.vote.pre) ||
                    (body.__isset.vote_reply && body.vote_reply.granted && !body.vote_reply.pre);
  // A leader may tell entries that it hasn't saved, since it doesn't count itself for them; that it
  // leads rests on its own vote.
  const bool leads = body.__isset.append || body.__isset.snapshot;
  if (vote || leads)
    return node.m_saved_hard == node.m_hard_state;
  if (PromisesEntries(message))
    return body.append_reply.match <= node.m_saved;
  return true;
}

void DeferMessage(std::vector<wire::LogMessage>& held, wire::LogMessage message) {
  const auto same = std::find_if(held.begin(), held.end(), [&](const wire::LogMessage& before) {
    return SaysNoMore(before, message);
  });
  if (same != held.end())
    *same = std::move(message);
  else
    held.push_back(std::move(message));
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

void ForgetSavedAfter(LogNode& node, std::int64_t index) {
  node.m_saved = std::min(node.m_saved, index);
  node.m_saving = std::min(node.m_saving, index);
}

}  // namespace impl
}  // namespace poppyway
