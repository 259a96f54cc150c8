// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/log.h"

namespace poppyway::impl {

/// \brief True if a member holds nearly all of the log and answers now.
[[nodiscard]] bool CaughtUp(const LogNode& node, MemberId id, Instant now);
[[nodiscard]] std::size_t Majority(const wire::Membership& membership);
void AppendLocal(LogNode& node, std::vector<wire::LogEntry> entries, LogEffects& effects);
void AdoptMembership(LogNode& node);
void BecomeFollower(LogNode& node,
                    std::int64_t term,
                    MemberId leader,
                    LogEffects& effects,
                    Instant now);
void BecomeLeader(LogNode& node, LogEffects& effects, Instant now);
void ResetElection(LogNode& node, Instant now);
void AdvanceCommit(LogNode& node, LogEffects& effects);
void HandOut(LogNode& node, LogEffects& effects);
/// \brief What is durable after `index` will be cut off or replaced.
void ForgetSavedAfter(LogNode& node, std::int64_t index);
void SendAppend(LogNode& node, MemberId to, LogEffects& effects, Instant now);
void SendAppends(LogNode& node, LogEffects& effects, Instant now);
[[nodiscard]] wire::LogMessage Message(const LogNode& node, MemberId to);

// ---- election.cc -----------------------------------------------------------------------------
void Campaign(LogNode& node, bool pre, LogEffects& effects, Instant now);
void OnVoteRequest(LogNode& node,
                   MemberId from,
                   const wire::VoteRequest& request,
                   LogEffects& effects,
                   Instant now);
void OnVoteReply(LogNode& node,
                 MemberId from,
                 const wire::VoteReply& reply,
                 LogEffects& effects,
                 Instant now);

// ---- replication.cc --------------------------------------------------------------------------
void OnAppend(LogNode& node,
              MemberId from,
              const wire::AppendRequest& request,
              LogEffects& effects,
              Instant now);
void OnAppendReply(LogNode& node,
                   MemberId from,
                   const wire::AppendReply& reply,
                   LogEffects& effects,
                   Instant now);
void OnSnapshot(LogNode& node,
                MemberId from,
                const wire::SnapshotRequest& request,
                LogEffects& effects,
                Instant now);

}  // namespace poppyway::impl
