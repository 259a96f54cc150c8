// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What a leader knows of the members' contact, and how the next leader learns of it.
#include <algorithm>

#include "log_internal.h"

namespace poppyway::impl {
namespace {

Duration SinceLastReply(const Progress& progress, Instant now) {
  return now - progress.m_last_reply;
}

}  // namespace

bool RepliesNow(const LogNode& node, MemberId id, Instant now) {
  if (id == node.m_id)
    return true;
  const auto progress = node.m_progress.find(id);
  return progress != node.m_progress.end() &&
         now - progress->second.m_last_confirmed < node.m_timing.m_election_min;
}

void RecordSilentMembers(LogNode& node, const wire::AppendRequest& request, Instant now) {
  node.m_silent_since.clear();
  for (const wire::SilentMember& silent : request.silent)
    node.m_silent_since[silent.id] = now - std::chrono::milliseconds(silent.silent_ms);
}

std::vector<wire::SilentMember> SilentMembers(const LogNode& node, Instant now) {
  std::vector<wire::SilentMember> silent;
  for (const auto& [id, progress] : node.m_progress) {
    if (SinceLastReply(progress, now) < node.m_timing.m_election_max)
      continue;
    silent.emplace_back().id = id;
    silent.back().silent_ms = SinceLastReply(progress, now).count() / 1000;
  }
  return silent;
}

Instant InitialLastReply(const LogNode& node, MemberId id, Instant now) {
  const auto silent = node.m_silent_since.find(id);
  if (silent == node.m_silent_since.end())
    return now;
  // It may be removed once it hasn't replied to this leader for an election timeout either.
  const Duration longest = node.m_timing.m_removal_timeout - node.m_timing.m_election_max;
  return std::max(silent->second, now - longest);
}

}  // namespace poppyway::impl
