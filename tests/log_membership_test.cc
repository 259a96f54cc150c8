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

TEST_CASE("a gone voter is replaced once a successor has caught up") {
  LogNode node = MakeLeader(5);
  node.m_progress[4].m_last_reply = kNow - Duration(20'000'000);
  node.m_progress[4].m_last_confirmed = kNow - Duration(20'000'000);
  CHECK_FALSE(RemovableVoter(node, kNow));
  CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
  node.m_membership.members.push_back(MakeMember(6, false));
  node.m_progress[6] = {1, 0, kNow, {}, kNow};
  node.m_membership = *PlanMembershipChange(node, {}, kNow);
  CHECK(FindMember(node.m_membership, 4)->leaving);
  CHECK(FindMember(node.m_membership, 6)->joining);
  node.m_membership = *PlanMembershipChange(node, {}, kNow);
  CHECK_FALSE(HasMember(node.m_membership, 4));
  CHECK(IsVoter(node.m_membership, 6));
  CHECK_FALSE(FindMember(node.m_membership, 6)->joining);
  CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
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

/// Makes a member's last reply older than the removal timeout.
void MakeSilent(LogNode& node, MemberId id, Duration silent = Duration(20'000'000)) {
  node.m_progress[id].m_last_reply = kNow - silent;
  node.m_progress[id].m_last_confirmed = kNow - silent;
}

void AddCaughtUpNonVoter(LogNode& node, MemberId id) {
  node.m_membership.members.push_back(MakeMember(id, false));
  node.m_progress[id] = {1, 0, kNow, {}, kNow};
}

/// Returns the voters once a replacement in progress has ended.
std::vector<MemberId> VotersOf(const wire::Membership& membership) {
  std::vector<MemberId> voters;
  for (const wire::MemberInfo& member : membership.members) {
    if (member.voter && !member.leaving)
      voters.push_back(member.id);
  }
  return voters;
}

/// Puts all changes that are due in force, one after the other. Returns the most voters meanwhile.
std::size_t ApplyAllChanges(LogNode& node) {
  constexpr int kMaxChanges = 50;
  std::size_t most = VotersOf(node.m_membership).size();
  for (int i = 0; i < kMaxChanges; ++i) {
    const std::optional<wire::Membership> next = PlanMembershipChange(node, {}, kNow);
    if (!next)
      return most;
    node.m_membership = *next;
    most = std::max(most, VotersOf(*next).size());
  }
  FAIL("the membership keeps changing");
  return most;
}

// Guards against two members that are replaced within the removal timeout and stay voters for ever.
TEST_CASE("two members that are replaced at the same time are both removed") {
  LogNode node = MakeLeader(5);
  node.m_tolerance.m_members = 2;
  MakeSilent(node, 4);
  MakeSilent(node, 5);
  AddCaughtUpNonVoter(node, 6);
  AddCaughtUpNonVoter(node, 7);
  CHECK(ApplyAllChanges(node) == 5);
  CHECK(VotersOf(node.m_membership) == std::vector<MemberId>{1, 2, 3, 6, 7});
}

// Guards against a majority that needs a member which has just started.
TEST_CASE("a successor gets no vote while a voter is silent and not yet removed") {
  for (const int losses : {0, 2}) {
    LogNode node = MakeLeader(3);
    node.m_tolerance.m_members = losses;
    MakeSilent(node, 3, Duration(1'000'000));
    AddCaughtUpNonVoter(node, 6);
    CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
    node.m_progress[3].m_last_confirmed = kNow;
    node.m_progress[3].m_last_reply = kNow;
    const std::optional<wire::Membership> next = PlanMembershipChange(node, {}, kNow);
    REQUIRE(next);
    CHECK(IsVoter(*next, 6));
  }
}

// Guards against dead voters of an odd number that no successor is left to push out.
TEST_CASE("of seven voters two dead ones are removed if five are enough") {
  for (const int losses : {0, 2, 3}) {
    LogNode node = MakeLeader(7);
    node.m_tolerance.m_members = losses;
    MakeSilent(node, 6);
    MakeSilent(node, 7);
    (void)ApplyAllChanges(node);
    CHECK(VotersOf(node.m_membership).size() == (losses == 2 ? 5 : 7));
  }
}

// Guards against a membership that shrinks to one side of a partition.
TEST_CASE("voters that are cut off stay voters unless the rest tolerates what it has to") {
  for (const int voters : {3, 5}) {
    LogNode node = MakeLeader(voters);
    node.m_tolerance.m_members = voters / 2;
    for (int id = voters / 2 + 2; id <= voters; ++id)
      MakeSilent(node, id);
    CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
  }
}

TEST_CASE("a blank member becomes a voter at once where the majority stays the same") {
  LogNode node = MakeLeader(4);
  node.m_tolerance.m_members = 2;
  MakeSilent(node, 4);
  AddCaughtUpNonVoter(node, 6);
  const wire::Membership next = *PlanMembershipChange(node, {}, kNow);
  CHECK(IsVoter(next, 6));
  CHECK(IsVoter(next, 4));
  CHECK_FALSE(FindMember(next, 4)->leaving);
}

// Guards against a majority that needs the new voter, or the one that it replaces.
TEST_CASE("during a replacement a majority of the voters before and after it is needed") {
  LogNode node = MakeLeader(6);
  node.m_membership.members[4].leaving = true;  // Member 5.
  node.m_membership.members[5].joining = true;  // Member 6.
  MakeSilent(node, 5);
  MakeSilent(node, 6);
  CHECK(LeadsWithQuorum(node, kNow));
  MakeSilent(node, 4);
  CHECK(LeadsWithQuorum(node, kNow));
  MakeSilent(node, 3);
  CHECK_FALSE(LeadsWithQuorum(node, kNow));
  node.m_progress[6].m_last_reply = kNow;  // A majority of those after it only.
  CHECK_FALSE(LeadsWithQuorum(node, kNow));
  node.m_progress[5].m_last_reply = kNow;
  CHECK(LeadsWithQuorum(node, kNow));
}

TEST_CASE("a leader that is about to be replaced stays a voter instead") {
  LogNode node = MakeLeader(6);
  node.m_membership.members[0].leaving = true;
  node.m_membership.members[5].joining = true;
  const wire::Membership next = *PlanMembershipChange(node, {}, kNow);
  CHECK(IsVoter(next, 1));
  CHECK_FALSE(FindMember(next, 1)->leaving);
  CHECK_FALSE(IsVoter(next, 6));
  CHECK(HasMember(next, 6));
}

TEST_CASE("there are never more voters than planned") {
  LogNode node = MakeLeader(5);
  AddCaughtUpNonVoter(node, 6);
  const std::optional<wire::Membership> next = PlanMembershipChange(node, {}, kNow);
  REQUIRE(next);
  CHECK(IsVoter(*next, 6));
  node.m_tolerance.m_members = 2;
  CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
}

/// Makes a member of a term before the leader, with the votes of members 2 and 3.
void Elect(LogNode& node, Instant at) {
  node.m_election_due = at;
  (void)TickLog(node, at);
  for (const bool pre : {true, false}) {
    wire::VoteReply reply;
    reply.pre = pre;
    reply.granted = true;
    reply.term = node.m_hard_state.term + (pre ? 1 : 0);
    for (const MemberId from : {2, 3}) {
      wire::LogMessage message;
      message.from_id = from;
      message.to_id = node.m_id;
      message.body.__set_vote_reply(reply);
      (void)StepLog(node, message, at);
    }
  }
  REQUIRE(node.m_role == Role::kLeader);
}

// Guards against a silence that each new leader counts anew, so that a dead voter stays.
TEST_CASE("a new leader knows from the one before which members are silent") {
  LogNode node = MakeLeader(5);
  node.m_role = Role::kFollower;
  node.m_election_due = kNow + Duration(1'000'000);
  wire::AppendRequest append;
  append.term = 3;
  wire::SilentMember silent;
  silent.id = 4;
  silent.silent_ms = 4'000;
  append.__set_silent({silent});
  wire::LogMessage message;
  message.from_id = 2;
  message.to_id = 1;
  message.body.__set_append(append);
  (void)StepLog(node, message, kNow);
  Elect(node, kNow + Duration(2'000'000));
  AddCaughtUpNonVoter(node, 6);
  const auto replaced = [&node](Duration after) {
    const Instant at = kNow + Duration(2'000'000) + after;
    for (auto& [id, progress] : node.m_progress) {
      if (id != 4 && id != 5)
        progress = {LastIndex(node) + 1, LastIndex(node), at, {}, at, {}};
    }
    const std::optional<wire::Membership> next = PlanMembershipChange(node, {}, at);
    return next && FindMember(*next, 4)->leaving;
  };
  CHECK_FALSE(replaced(Duration(300'000)));  // It has some time to reply to the new leader.
  CHECK(replaced(Duration(700'000)));
}

TEST_CASE("the voters that are left tolerate the loss of a data centre") {
  LogNode node = MakeLeader(7);
  node.m_tolerance = {1, 1};
  for (std::size_t i = 0; i < 3; ++i)
    node.m_membership.members[i].data_centre = "a";
  for (std::size_t i = 3; i < 7; ++i)
    node.m_membership.members[i].data_centre = "b";
  MakeSilent(node, 7);
  CHECK_FALSE(RemovableVoter(node, kNow));
  for (std::size_t i = 0; i < 6; ++i)
    node.m_membership.members[i].data_centre = std::string(1, static_cast<char>('a' + i / 2));
  CHECK(RemovableVoter(node, kNow) == 7);
}

// Guards against the record of a successor that was itself replaced before it had a vote.
TEST_CASE("a dead non-voter is removed, and one that is slow to catch up is not") {
  LogNode node = MakeLeader(5);
  node.m_membership.members.push_back(MakeMember(6, false));
  node.m_progress[6] = {1, 0, kNow - Duration(10'000'000), {}, {}};
  CHECK_FALSE(PlanMembershipChange(node, {}, kNow));
  MakeSilent(node, 6, Duration(21'000'000));
  CHECK_FALSE(HasMember(*PlanMembershipChange(node, {}, kNow), 6));
}

TEST_CASE("the state of the members names who is silent and how many losses are tolerated") {
  LogNode node = MakeLeader(5);
  CHECK(MembershipStatusOf(node, kNow).m_tolerated_losses == 2);
  MakeSilent(node, 5, Duration(7'000'000));
  AddCaughtUpNonVoter(node, 6);
  const MembershipStatus status = MembershipStatusOf(node, kNow);
  CHECK(status.m_tolerated_losses == 1);
  REQUIRE(status.m_members.size() == 6);
  CHECK(status.m_members[4] ==
        MemberStatus{5, MakeMember(5, true).name, true, true, Duration(7'000'000)});
  CHECK_FALSE(status.m_members[5].m_silent);
  MakeSilent(node, 4);
  MakeSilent(node, 3);
  CHECK(MembershipStatusOf(node, kNow).m_tolerated_losses == 0);
}

}  // namespace
}  // namespace poppyway
