// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <catch2/catch.hpp>

#include "poppyway/log.h"

namespace poppyway {
namespace {

const Instant kNow{Duration(100'000'000)};

wire::MemberInfo MakeMember(MemberId id, bool voter) {
  wire::MemberInfo member;
  member.id = id;
  member.name = "10.0.0." + std::to_string(id) + ":7600";
  member.voter = voter;
  return member;
}

/// Returns a leader of a cluster with `voters` voters, all of which replied just now.
LogNode MakeLeader(int voters) {
  LogNode node;
  node.m_id = 1;
  node.m_role = Role::kLeader;
  node.m_hard_state.term = 3;
  for (int id = 1; id <= voters; ++id) {
    node.m_membership.members.push_back(MakeMember(id, true));
    if (id != 1)
      node.m_progress[id] = {1, 0, kNow, {}, kNow};
  }
  return node;
}

wire::LogMessage MakeAppendReply(MemberId from, Instant sent) {
  wire::AppendReply reply;
  reply.term = 3;
  reply.ok = true;
  reply.sent_us = sent.time_since_epoch().count();
  wire::LogMessage message;
  message.from_id = from;
  message.to_id = 1;
  message.body.__set_append_reply(reply);
  return message;
}

bool HasMember(const wire::Membership& membership, MemberId id) {
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [id](const wire::MemberInfo& m) { return m.id == id; });
}

TEST_CASE("an answer that was long on its way confirms no leader") {
  LogNode node = MakeLeader(3);
  for (auto& [id, progress] : node.m_progress)
    progress.m_last_confirmed = {};
  (void)StepLog(node, MakeAppendReply(2, kNow - Duration(4'000'000)), kNow);
  CHECK(LeadsWithQuorum(node, kNow));
  CHECK_FALSE(CanServeLinearizableReads(node, node.m_commit_index, kNow));
  (void)StepLog(node, MakeAppendReply(2, kNow - Duration(5'000)), kNow);
  CHECK(CanServeLinearizableReads(node, node.m_commit_index, kNow));
  CHECK_FALSE(
      CanServeLinearizableReads(node, node.m_commit_index, kNow + node.m_timing.m_election_min));
}

TEST_CASE("a leader that has committed nothing in its term confirms nothing") {
  LogNode node = MakeLeader(3);
  node.m_term_start = 1;
  CHECK_FALSE(CanServeLinearizableReads(node, node.m_commit_index, kNow));
  node.m_commit_index = 1;
  CHECK(CanServeLinearizableReads(node, node.m_commit_index, kNow));
}

TEST_CASE("a leader that has not applied the first entry of its term confirms nothing") {
  // Its state lacks entries that an earlier leader acknowledged.
  LogNode node = MakeLeader(3);
  node.m_term_start = 1;
  node.m_commit_index = 1;
  CHECK_FALSE(CanServeLinearizableReads(node, 0, kNow));
  CHECK(CanServeLinearizableReads(node, 1, kNow));
}

TEST_CASE("a gone voter is removed once a successor has caught up") {
  LogNode node = MakeLeader(5);
  node.m_progress[4].m_last_reply = kNow - Duration(20'000'000);
  CHECK_FALSE(RemovableVoter(node, kNow));
  node.m_membership.members.push_back(MakeMember(6, false));
  node.m_progress[6] = {1, 0, kNow, {}, kNow};
  CHECK(RemovableVoter(node, kNow) == 4);
  const wire::Membership next = *PlanMembershipChange(node, {}, kNow);
  CHECK_FALSE(HasMember(next, 4));
  CHECK(HasMember(next, 6));
}

TEST_CASE("with an even count of voters a gone one is removed without a successor") {
  LogNode node = MakeLeader(6);
  node.m_progress[5].m_last_reply = kNow - Duration(20'000'000);
  CHECK(RemovableVoter(node, kNow) == 5);
}

TEST_CASE("a voter that only restarts, or one of the last three, is never removed") {
  LogNode node = MakeLeader(6);
  node.m_progress[5].m_last_reply = kNow - Duration(2'000'000);
  CHECK_FALSE(RemovableVoter(node, kNow));
  LogNode small = MakeLeader(3);
  small.m_membership.members.push_back(MakeMember(6, false));
  small.m_progress[6] = {1, 0, kNow, {}, kNow};
  small.m_progress[2].m_last_reply = kNow - Duration(20'000'000);
  CHECK_FALSE(RemovableVoter(small, kNow));
}

TEST_CASE("a blank member under a known name takes its former self's place without a vote") {
  LogNode node = MakeLeader(5);
  wire::MemberInfo blank = MakeMember(4, false);
  blank.id = 44;
  const wire::Membership next = *PlanMembershipChange(node, {blank}, kNow);
  CHECK_FALSE(HasMember(next, 4));
  REQUIRE(HasMember(next, 44));
  CHECK_FALSE(FindMember(next, 44)->voter);
}

TEST_CASE("a member joins without a vote and gets it only after catching up") {
  LogNode node = MakeLeader(3);
  node.m_membership.members.push_back(MakeMember(4, false));
  CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
  node.m_progress[4] = {1, 0, kNow, {}, kNow};
  CHECK(FindMember(*PlanMembershipChange(node, {}, kNow), 4)->voter);
}

}  // namespace
}  // namespace poppyway
