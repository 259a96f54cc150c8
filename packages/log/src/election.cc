// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "log_internal.h"

namespace poppyway::impl {
namespace {

/// Returns true if the candidate's log is at least as up-to-date as the node's own.
bool IsLogUpToDate(const LogNode& node, const wire::VoteRequest& request) {
  const std::int64_t last_term = TermAt(node, LastIndex(node));
  if (request.last_term != last_term)
    return request.last_term > last_term;
  return request.last_index >= LastIndex(node);
}

/// Returns true on a leader with a quorum, and on a member whose leader was active within the
/// shortest election timeout.
bool HasActiveLeader(const LogNode& node, Instant now) {
  if (node.m_role == Role::kLeader)
    return LeadsWithQuorum(node, now);
  return node.m_leader != 0 && now - node.m_last_leader_contact < node.m_timing.m_election_min;
}

bool HasMajorityOfVotes(const LogNode& node) {
  return IsMajority(node.m_membership, [&node](MemberId id) { return node.m_votes.contains(id); });
}

}  // namespace

void StartElection(LogNode& node, bool pre, LogEffects& effects, Instant now) {
  node.m_role = pre ? Role::kPreCandidate : Role::kCandidate;
  node.m_leader = 0;
  node.m_votes = {node.m_id};
  ResetElectionTimeout(node, now);
  if (!pre) {
    ++node.m_hard_state.term;
    node.m_hard_state.vote = node.m_id;
    effects.m_save_hard = true;
  }
  wire::VoteRequest request;
  request.term = pre ? node.m_hard_state.term + 1 : node.m_hard_state.term;
  request.last_index = LastIndex(node);
  request.last_term = TermAt(node, LastIndex(node));
  request.pre = pre;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (member.id == node.m_id || !member.voter)
      continue;
    wire::LogMessage message = Message(node, member.id);
    message.body.__set_vote(request);
    effects.m_send.push_back(std::move(message));
  }
  if (!HasMajorityOfVotes(node))
    return;
  if (pre)
    StartElection(node, false, effects, now);
  else
    BecomeLeader(node, effects, now);
}

void OnVoteRequest(LogNode& node,
                   MemberId from,
                   const wire::VoteRequest& request,
                   LogEffects& effects,
                   Instant now) {
  wire::VoteReply reply;
  reply.pre = request.pre;
  reply.granted = false;
  // A member with an active leader rejects vote requests and doesn't adopt their term, so that a
  // returning member can't disrupt the cluster.
  const bool has_leader = HasActiveLeader(node, now);
  if (!request.pre && request.term > node.m_hard_state.term && !has_leader)
    BecomeFollower(node, request.term, 0, effects, now);
  if (!has_leader && IsLogUpToDate(node, request)) {
    if (request.pre) {
      reply.granted = request.term > node.m_hard_state.term;
    } else if (request.term == node.m_hard_state.term &&
               (node.m_hard_state.vote == 0 || node.m_hard_state.vote == from)) {
      reply.granted = true;
      node.m_hard_state.vote = from;
      effects.m_save_hard = true;
      ResetElectionTimeout(node, now);
    }
  }
  reply.term = request.pre && reply.granted ? request.term : node.m_hard_state.term;
  wire::LogMessage message = Message(node, from);
  message.body.__set_vote_reply(reply);
  effects.m_send.push_back(std::move(message));
}

void OnVoteReply(LogNode& node,
                 MemberId from,
                 const wire::VoteReply& reply,
                 LogEffects& effects,
                 Instant now) {
  if (!reply.granted) {
    if (reply.term > node.m_hard_state.term)
      BecomeFollower(node, reply.term, 0, effects, now);
    return;
  }
  const bool pre_vote =
      node.m_role == Role::kPreCandidate && reply.pre && reply.term == node.m_hard_state.term + 1;
  const bool vote =
      node.m_role == Role::kCandidate && !reply.pre && reply.term == node.m_hard_state.term;
  if ((!pre_vote && !vote) || !IsVoter(node.m_membership, from))
    return;
  node.m_votes.insert(from);
  if (!HasMajorityOfVotes(node))
    return;
  if (pre_vote)
    StartElection(node, false, effects, now);
  else
    BecomeLeader(node, effects, now);
}

}  // namespace poppyway::impl
