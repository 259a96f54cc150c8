// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>

#include "poppyway/log.h"

namespace poppyway::impl {

/// \brief Returns true if a member has acknowledged nearly the whole log, including the first entry
/// of the leader's term, and has replied within the longest election timeout.
[[nodiscard]] bool IsCaughtUp(const LogNode& node, MemberId id, Instant now);
/// \brief Appends entries to the node's own log and to the entries to save.
void AppendLocal(LogNode& node, std::vector<wire::LogEntry> entries, LogEffects& effects);
/// \brief Puts the latest membership of the log in force, committed or not.
void UseLatestMembership(LogNode& node);
/// \brief Follows `leader` (zero: unknown) in `term`, or in the current term if that is higher.
void BecomeFollower(LogNode& node,
                    std::int64_t term,
                    MemberId leader,
                    LogEffects& effects,
                    Instant now);
/// \brief Starts leading the current term with a no-op entry.
void BecomeLeader(LogNode& node, LogEffects& effects, Instant now);
/// \brief Restarts the election timeout with a new random length.
void ResetElectionTimeout(LogNode& node, Instant now);
/// \brief Commits, on a leader, the highest index of its term that a majority of voters has stored.
void AdvanceCommit(LogNode& node, LogEffects& effects);
/// \brief Emits the committed entries that the caller has not received yet.
void EmitCommitted(LogNode& node, LogEffects& effects);
/// \brief Records that the stored entries after `index` will be truncated or replaced, so they no
/// longer count as durable.
void LowerDurableIndex(LogNode& node, std::int64_t index);
/// \brief Sends a member the next entries, or the snapshot if the log no longer holds them.
void SendAppend(LogNode& node, MemberId to, LogEffects& effects, Instant now);
/// \brief Sends an append to every other member and schedules the next heartbeat.
void SendAppends(LogNode& node, LogEffects& effects, Instant now);
/// \brief Returns a message from this node to member `to`, without a body.
[[nodiscard]] wire::LogMessage Message(const LogNode& node, MemberId to);

// ---- quorum.cc -------------------------------------------------------------------------------
/// \brief Returns true if the members for which `counts` returns true are a majority: of all
/// voters, or, during the replacement of a voter, of the voters before it and of those after it.
[[nodiscard]] bool IsMajority(const wire::Membership& membership,
                              const std::function<bool(MemberId)>& counts);
/// \brief Returns how many of the members for which `counts` returns true may be lost so that the
/// others are still a majority; negative if they are none.
[[nodiscard]] int SpareVoters(const wire::Membership& membership,
                              const std::function<bool(MemberId)>& counts);

// ---- member_contact.cc -----------------------------------------------------------------------
/// \brief Returns true for the leader itself, and for a member that has replied to an append which
/// was sent within the shortest election timeout.
[[nodiscard]] bool RepliesNow(const LogNode& node, MemberId id, Instant now);
/// \brief Records, on a follower, which members its leader reports as silent.
void RecordSilentMembers(LogNode& node, const wire::AppendRequest& request, Instant now);
/// \brief Returns the members that don't reply to this leader, for its appends.
[[nodiscard]] std::vector<wire::SilentMember> SilentMembers(const LogNode& node, Instant now);
/// \brief Returns when a member counts as having last replied to a new leader: now, or earlier if
/// the leader before reported it as silent. Even then the member has some time to reply.
[[nodiscard]] Instant InitialLastReply(const LogNode& node, MemberId id, Instant now);

// ---- election.cc -----------------------------------------------------------------------------
/// \brief Starts a pre-vote (`pre`) or an election, and wins it at once if the node's own vote is a
/// majority.
void StartElection(LogNode& node, bool pre, LogEffects& effects, Instant now);
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
