// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Single rules of the log, step by step.

#include <catch2/catch.hpp>

#include "poppyway/log.h"

using namespace poppyway;

namespace {

Instant At(int millis) {
  return Instant(Duration(1'000'000 + millis * 1000));
}

wire::LogEntry Noop(std::int64_t index, std::int64_t term) {
  wire::LogEntry entry;
  entry.index = index;
  entry.term = term;
  entry.command.__set_noop(true);
  return entry;
}

wire::Membership Voters(const std::vector<MemberId>& ids) {
  wire::Membership membership;
  for (const MemberId id : ids) {
    wire::MemberInfo member;
    member.id = id;
    member.name = "m" + std::to_string(id);
    member.voter = true;
    membership.members.push_back(member);
  }
  return membership;
}

LogNode Node(MemberId id, std::vector<wire::LogEntry> entries, std::int64_t term) {
  StoredLog stored;
  stored.m_id = id;
  stored.m_hard_state.term = term;
  wire::LogEntry first = Noop(1, 1);
  first.command = {};
  first.command.__set_membership(Voters({1, 2, 3}));
  stored.m_entries.push_back(first);
  for (wire::LogEntry& entry : entries)
    stored.m_entries.push_back(std::move(entry));
  LogNode node;
  node.m_cluster = "c";
  node.m_name = "m" + std::to_string(id);
  RestoreLog(node, stored);
  return node;
}

wire::LogMessage From(MemberId from, MemberId to) {
  wire::LogMessage message;
  message.from_id = from;
  message.to_id = to;
  message.cluster = "c";
  return message;
}

/// Makes durable all that the node has so far.
void Save(LogNode& node) {
  BeginLogSave(node);
  (void)FinishLogSave(node);
}

/// Elects node 1 by the votes of node 2.
void Elect(LogNode& node, int at) {
  (void)TickLog(node, At(at));
  (void)TickLog(node, At(at + 1000));
  for (const bool pre : {true, false}) {
    wire::LogMessage vote = From(2, node.m_id);
    wire::VoteReply reply;
    reply.granted = true;
    reply.pre = pre;
    reply.term = pre ? node.m_hard_state.term + 1 : node.m_hard_state.term;
    vote.body.__set_vote_reply(reply);
    (void)StepLog(node, vote, At(at + 1001));
  }
  REQUIRE(node.m_role == Role::kLeader);
  Save(node);
}

LogEffects Acknowledge(LogNode& node, MemberId from, std::int64_t match, int at) {
  wire::LogMessage message = From(from, node.m_id);
  wire::AppendReply reply;
  reply.term = node.m_hard_state.term;
  reply.ok = true;
  reply.match = match;
  message.body.__set_append_reply(reply);
  return StepLog(node, message, At(at));
}

}  // namespace

TEST_CASE("an entry of an older term is committed only by one of the leader's own term",
          "[log][commit]") {
  // Figure 8 of the Raft paper: an old entry on a majority may still be overwritten.
  LogNode node = Node(1, {Noop(2, 2)}, 3);
  Elect(node, 0);
  CHECK(LastIndex(node) == 3);  // Its own term's first entry.
  CHECK(Acknowledge(node, 2, 2, 1100).m_committed.empty());
  CHECK(node.m_commit_index == 0);
  CHECK(Acknowledge(node, 2, 3, 1200).m_committed.size() == 3);
}

TEST_CASE("a vote is given once in a term and only to a log as good as its own", "[log][vote]") {
  LogNode node = Node(1, {Noop(2, 2), Noop(3, 2)}, 2);
  const auto ask = [&](MemberId candidate, std::int64_t term, std::int64_t index,
                       std::int64_t last_term) {
    wire::LogMessage message = From(candidate, 1);
    wire::VoteRequest request;
    request.term = term;
    request.last_index = index;
    request.last_term = last_term;
    request.pre = false;
    message.body.__set_vote(request);
    const LogEffects effects = StepLog(node, message, At(5000));
    REQUIRE(effects.m_send.size() == 1);
    return effects.m_send[0].body.vote_reply.granted;
  };
  CHECK_FALSE(ask(2, 3, 2, 2));  // Shorter.
  CHECK_FALSE(ask(2, 3, 9, 1));  // Older last term.
  CHECK(ask(2, 3, 3, 2));
  CHECK(ask(2, 3, 3, 2));  // The same candidate again.
  CHECK_FALSE(ask(3, 3, 4, 2));
}

// Guards against entries that were acknowledged and are lost to a snapshot from before them.
TEST_CASE("a late snapshot leaves the entries that follow it alone", "[log][snapshot]") {
  LogNode node = Node(1, {Noop(2, 2), Noop(3, 2), Noop(4, 2)}, 2);
  wire::LogMessage late = From(2, 1);
  wire::SnapshotRequest request;
  request.term = 2;
  request.snapshot.index = 3;
  request.snapshot.term = 2;
  late.body.__set_snapshot(request);
  const LogEffects effects = StepLog(node, late, At(0));
  CHECK(LastIndex(node) == 4);
  CHECK_FALSE(effects.m_install);
  CHECK(node.m_commit_index == 3);
  CHECK(effects.m_committed.size() == 3);
  // One that it can't check against its own log takes the log's place.
  request.snapshot.index = 9;
  late.body.__set_snapshot(request);
  CHECK(StepLog(node, late, At(1)).m_install);
  CHECK(LastIndex(node) == 9);
}

TEST_CASE("a member that hears its leader is not disturbed by a returning one", "[log][vote]") {
  LogNode node = Node(1, {}, 2);
  wire::LogMessage append = From(2, 1);
  wire::AppendRequest request;
  request.term = 2;
  request.prev_index = 1;
  request.prev_term = 1;
  append.body.__set_append(request);
  (void)StepLog(node, append, At(0));
  wire::LogMessage vote = From(3, 1);
  wire::VoteRequest ask;
  ask.term = 50;
  ask.last_index = 100;
  ask.last_term = 50;
  ask.pre = false;
  vote.body.__set_vote(ask);
  (void)StepLog(node, vote, At(100));
  CHECK(node.m_hard_state.term == 2);
  (void)StepLog(node, vote, At(1000));
  CHECK(node.m_hard_state.term == 50);
}

TEST_CASE("a leader without a majority's answers stops leading", "[log][quorum]") {
  LogNode node = Node(1, {}, 2);
  Elect(node, 0);
  (void)Acknowledge(node, 2, 2, 1100);
  CHECK(LeadsWithQuorum(node, At(1200)));
  CHECK_FALSE(LeadsWithQuorum(node, At(2000)));
  (void)TickLog(node, At(2000));
  CHECK(node.m_role == Role::kFollower);
  LogEffects effects;
  CHECK(ProposeLog(node, {{}}, effects, At(2001)).error().m_code == ResultCode::kNotLeader);
}

TEST_CASE("a message for another id or cluster has no effect", "[log]") {
  LogNode node = Node(1, {}, 2);
  wire::LogMessage vote = From(2, 99);
  vote.body.__set_vote({});
  CHECK(StepLog(node, vote, At(0)).m_send.empty());
  vote = From(2, 1);
  vote.cluster = "other";
  vote.body.__set_vote({});
  CHECK(StepLog(node, vote, At(0)).m_send.empty());
}

TEST_CASE("only the lowest name forms a cluster, and only while every member is blank",
          "[log][formation]") {
  const auto info = [](const std::string& name, MemberId id) {
    wire::MemberInfo member;
    member.name = name;
    member.id = id;
    return member;
  };
  ClusterBootstrap lowest{{"a", "b", "c"}, info("a", 1), {}, false};
  CHECK_FALSE(BootstrapMembership(lowest));
  RecordHello(lowest, info("b", 2), true);
  CHECK_FALSE(BootstrapMembership(lowest));
  RecordHello(lowest, info("c", 3), true);
  REQUIRE(BootstrapMembership(lowest));
  CHECK(BootstrapMembership(lowest)->members.size() == 3);
  ClusterBootstrap other{
      {"a", "b", "c"}, info("b", 2), {{"a", info("a", 1)}, {"c", info("c", 3)}}, false};
  CHECK_FALSE(BootstrapMembership(other));
  // The member with the lowest name lost its folder; the others know a cluster.
  RecordHello(lowest, info("c", 3), false);
  CHECK_FALSE(BootstrapMembership(lowest));
}

namespace {

wire::LogEntry Answered(std::int64_t index, std::int64_t term, std::size_t bytes) {
  wire::LogEntry entry = Noop(index, term);
  entry.command = {};
  wire::DocumentChange change;
  change.edits.assign(bytes, 'x');
  entry.command.__set_document_change(change);
  return entry;
}

/// A follower says of an append that was sent at `sent` that it lacks what is after `match`.
LogEffects Lacks(LogNode& node, MemberId from, std::int64_t match, int sent, int at) {
  wire::LogMessage message = From(from, node.m_id);
  wire::AppendReply reply;
  reply.term = node.m_hard_state.term;
  reply.ok = false;
  reply.match = match;
  reply.sent_us = At(sent).time_since_epoch().count();
  message.body.__set_append_reply(reply);
  return StepLog(node, message, At(at));
}

}  // namespace

// Each late answer of a follower had all that it lacked sent to it once more.
TEST_CASE("what a follower lacks is sent once for all answers to appends before that",
          "[log][append]") {
  LogNode node = Node(1, {Answered(2, 2, 5000)}, 3);
  Elect(node, 0);
  const LogEffects first = Lacks(node, 2, 1, 1010, 1100);
  REQUIRE(first.m_send.size() == 1);
  CHECK(first.m_send[0].body.append.entries.size() == 2);
  for (const int sent : {1020, 1040, 1060, 1080})
    CHECK(Lacks(node, 2, 1, sent, sent + 100).m_send.empty());
  // An append of later says that they didn't come: the connection was lost.
  CHECK(Lacks(node, 2, 1, 1150, 1250).m_send.size() == 1);
}

TEST_CASE("an append carries a bounded number of bytes and the rest follows", "[log][append]") {
  std::vector<wire::LogEntry> entries;
  for (std::int64_t index = 2; index < 12; ++index)
    entries.push_back(Answered(index, 2, 30'000));
  LogNode node = Node(1, entries, 3);
  Elect(node, 0);
  const LogEffects first = Lacks(node, 2, 1, 1010, 1100);
  REQUIRE(first.m_send.size() == 1);
  CHECK(first.m_send[0].body.append.entries.size() == 3);
  const LogEffects second = Acknowledge(node, 2, 4, 1200);
  REQUIRE(second.m_send.size() == 1);
  CHECK(second.m_send[0].body.append.prev_index == 4);
  CHECK(second.m_send[0].body.append.entries.size() == 3);
}
