// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Tests of single Raft rules on one node.

#include <catch2/catch.hpp>

#include "poppyway/log.h"

using namespace poppyway;

namespace {

Instant At(int millis) {
  return Instant(Duration(1'000'000 + millis * 1000));
}

wire::LogEntry MakeNoop(std::int64_t index, std::int64_t term) {
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

LogNode MakeNode(MemberId id, std::vector<wire::LogEntry> entries, std::int64_t term) {
  StoredLog stored;
  stored.m_id = id;
  stored.m_hard_state.term = term;
  wire::LogEntry first = MakeNoop(1, 1);
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

wire::LogMessage MakeMessage(MemberId from, MemberId to) {
  wire::LogMessage message;
  message.from_id = from;
  message.to_id = to;
  message.cluster = "c";
  return message;
}

/// Makes the node's current state durable.
void Save(LogNode& node) {
  BeginLogSave(node);
  (void)FinishLogSave(node);
}

/// Makes node 1 the leader with the votes of node 2.
void Elect(LogNode& node, int at) {
  (void)TickLog(node, At(at));
  (void)TickLog(node, At(at + 1000));
  for (const bool pre : {true, false}) {
    wire::LogMessage vote = MakeMessage(2, node.m_id);
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
  wire::LogMessage message = MakeMessage(from, node.m_id);
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
  // Figure 8 of the Raft paper: an entry of an older term may be overwritten even if a majority
  // holds it.
  LogNode node = MakeNode(1, {MakeNoop(2, 2)}, 3);
  Elect(node, 0);
  CHECK(LastIndex(node) == 3);  // The first entry of its own term.
  CHECK(Acknowledge(node, 2, 2, 1100).m_committed.empty());
  CHECK(node.m_commit_index == 0);
  CHECK(Acknowledge(node, 2, 3, 1200).m_committed.size() == 3);
}

TEST_CASE("a vote is given once in a term and only to a log as good as its own", "[log][vote]") {
  LogNode node = MakeNode(1, {MakeNoop(2, 2), MakeNoop(3, 2)}, 2);
  const auto request_vote = [&](MemberId candidate, std::int64_t term, std::int64_t index,
                                std::int64_t last_term) {
    wire::LogMessage message = MakeMessage(candidate, 1);
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
  CHECK_FALSE(request_vote(2, 3, 2, 2));  // The candidate's log is shorter.
  CHECK_FALSE(request_vote(2, 3, 9, 1));  // Its last term is older.
  CHECK(request_vote(2, 3, 3, 2));
  CHECK(request_vote(2, 3, 3, 2));  // The same candidate gets the vote again.
  CHECK_FALSE(request_vote(3, 3, 4, 2));
}

// Guards against the loss of acknowledged entries when a snapshot of earlier entries arrives late.
TEST_CASE("a late snapshot leaves the entries that follow it alone", "[log][snapshot]") {
  LogNode node = MakeNode(1, {MakeNoop(2, 2), MakeNoop(3, 2), MakeNoop(4, 2)}, 2);
  wire::LogMessage late = MakeMessage(2, 1);
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
  // A snapshot beyond the end of the log replaces the log.
  request.snapshot.index = 9;
  late.body.__set_snapshot(request);
  CHECK(StepLog(node, late, At(1)).m_install);
  CHECK(LastIndex(node) == 9);
}

TEST_CASE("a member that hears its leader is not disturbed by a returning one", "[log][vote]") {
  LogNode node = MakeNode(1, {}, 2);
  wire::LogMessage append = MakeMessage(2, 1);
  wire::AppendRequest request;
  request.term = 2;
  request.prev_index = 1;
  request.prev_term = 1;
  append.body.__set_append(request);
  (void)StepLog(node, append, At(0));
  wire::LogMessage vote = MakeMessage(3, 1);
  wire::VoteRequest vote_request;
  vote_request.term = 50;
  vote_request.last_index = 100;
  vote_request.last_term = 50;
  vote_request.pre = false;
  vote.body.__set_vote(vote_request);
  (void)StepLog(node, vote, At(100));
  CHECK(node.m_hard_state.term == 2);
  (void)StepLog(node, vote, At(1000));
  CHECK(node.m_hard_state.term == 50);
}

TEST_CASE("a leader without a majority's answers stops leading", "[log][quorum]") {
  LogNode node = MakeNode(1, {}, 2);
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
  LogNode node = MakeNode(1, {}, 2);
  wire::LogMessage vote = MakeMessage(2, 99);
  vote.body.__set_vote({});
  CHECK(StepLog(node, vote, At(0)).m_send.empty());
  vote = MakeMessage(2, 1);
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
  // The member with the lowest name has lost its folder, and another member knows a cluster.
  RecordHello(lowest, info("c", 3), false);
  CHECK_FALSE(BootstrapMembership(lowest));
}

namespace {

wire::LogEntry MakeDocumentEntry(std::int64_t index, std::int64_t term, std::size_t bytes) {
  wire::LogEntry entry = MakeNoop(index, term);
  entry.command = {};
  wire::DocumentChange change;
  change.edits.assign(bytes, 'x');
  entry.command.__set_document_change(change);
  return entry;
}

/// Rejects, at time `at`, an append that was sent at `sent`: the follower lacks the entries after
/// `match`.
LogEffects RejectAppend(LogNode& node, MemberId from, std::int64_t match, int sent, int at) {
  wire::LogMessage message = MakeMessage(from, node.m_id);
  wire::AppendReply reply;
  reply.term = node.m_hard_state.term;
  reply.ok = false;
  reply.match = match;
  reply.sent_us = At(sent).time_since_epoch().count();
  message.body.__set_append_reply(reply);
  return StepLog(node, message, At(at));
}

}  // namespace

// Guards against sending the missing entries again for every late reply that rejects an append
// which was sent before the entries.
TEST_CASE("what a follower lacks is sent once for all answers to appends before that",
          "[log][append]") {
  LogNode node = MakeNode(1, {MakeDocumentEntry(2, 2, 5000)}, 3);
  Elect(node, 0);
  const LogEffects first = RejectAppend(node, 2, 1, 1010, 1100);
  REQUIRE(first.m_send.size() == 1);
  CHECK(first.m_send[0].body.append.entries.size() == 2);
  for (const int sent : {1020, 1040, 1060, 1080})
    CHECK(RejectAppend(node, 2, 1, sent, sent + 100).m_send.empty());
  // The rejection of a later append shows that the entries didn't arrive: the connection was lost.
  CHECK(RejectAppend(node, 2, 1, 1150, 1250).m_send.size() == 1);
}

TEST_CASE("an append carries a bounded number of bytes and the rest follows", "[log][append]") {
  std::vector<wire::LogEntry> entries;
  for (std::int64_t index = 2; index < 12; ++index)
    entries.push_back(MakeDocumentEntry(index, 2, 30'000));
  LogNode node = MakeNode(1, entries, 3);
  Elect(node, 0);
  const LogEffects first = RejectAppend(node, 2, 1, 1010, 1100);
  REQUIRE(first.m_send.size() == 1);
  CHECK(first.m_send[0].body.append.entries.size() == 3);
  const LogEffects second = Acknowledge(node, 2, 4, 1200);
  REQUIRE(second.m_send.size() == 1);
  CHECK(second.m_send[0].body.append.prev_index == 4);
  CHECK(second.m_send[0].body.append.entries.size() == 3);
}
