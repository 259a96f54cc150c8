// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Long polls of an instance: a reply that is arriving isn't requested again, a large document
// change is fetched in pieces, and changes of servers don't wait for documents.
#include <catch2/catch.hpp>

#include "poppyway/polling.h"

namespace poppyway {
namespace {

constexpr std::size_t kNearest = 1;
constexpr std::size_t kLeader = 0;
constexpr std::size_t kOther = 2;  // Is chosen while the nearest member is avoided.
constexpr int kTickMillis = 50;

/// A request that a member received.
struct SentRequest {
  std::size_t m_member = 0;
  wire::Body m_body;
  PeerClient::OnReply m_reply;
};

/// Fake members that reply when a test says so, and the results that the poller delivered.
class FakeMembers {
 public:
  FakeMembers() : m_poller(MakeCallbacks()) {}

  /// Advances the clock; each tick passes the leader's current versions to the poller.
  void AdvanceTime(int millis) {
    for (int passed = 0; passed < millis; passed += kTickMillis) {
      m_now += Duration(kTickMillis * 1000);
      if (m_bytes_arriving)
        m_last_receive_time = m_now;
      m_poller.Tick(m_leader_document, m_leader_servers, m_now);
    }
  }

  /// Returns the pending polls of a kind, oldest first.
  std::vector<SentRequest*> Polls(wire::NewsKind::type kind) {
    std::vector<SentRequest*> polls;
    for (SentRequest& request : m_requests) {
      if (request.m_reply && request.m_body.__isset.poll && request.m_body.poll.kind == kind)
        polls.push_back(&request);
    }
    return polls;
  }

  std::vector<SentRequest*> Pieces() {
    std::vector<SentRequest*> pieces;
    for (SentRequest& request : m_requests) {
      if (request.m_reply && request.m_body.__isset.piece_request)
        pieces.push_back(&request);
    }
    return pieces;
  }

  static void Reply(SentRequest& request, const Result<wire::Body>& reply) {
    const PeerClient::OnReply on_reply = std::exchange(request.m_reply, nullptr);
    on_reply(reply);
  }

  static wire::Body Steps(std::vector<wire::DocumentChange> steps) {
    wire::Body body;
    wire::ConfigDelta delta;
    delta.steps = std::move(steps);
    body.__set_delta(delta);
    return body;
  }

  static wire::Body Servers(std::int64_t index) {
    wire::Body body;
    wire::ConfigDelta delta;
    delta.servers_index = index;
    delta.servers.resize(1);
    body.__set_delta(delta);
    return body;
  }

  static wire::Body Piece(const std::string& bytes) {
    wire::Body body;
    wire::Piece piece;
    piece.bytes = bytes;
    body.__set_piece(piece);
    return body;
  }

  Instant m_now = ReadClock();  // The poller also reads the clock itself when a reply arrives.
  std::int64_t m_leader_document = 0;
  std::int64_t m_leader_servers = 0;
  bool m_bytes_arriving = false;  // Bytes arrive from each member at each tick.
  Instant m_last_receive_time{};
  bool m_spreads = false;  // Another member is chosen once the nearest one is avoided.
  std::deque<SentRequest> m_requests;
  std::vector<std::size_t> m_avoided;
  std::vector<std::int64_t> m_servers;  // Indexes that were delivered.
  std::vector<std::shared_ptr<const wire::Document>> m_documents;
  HostedStatePoller m_poller;

 private:
  PollerCallbacks MakeCallbacks() {
    PollerCallbacks callbacks;
    callbacks.m_call_member = [this](std::size_t member, wire::Body body, Duration /*timeout*/,
                                     PeerClient::OnReply reply) {
      m_requests.push_back({member, std::move(body), std::move(reply)});
    };
    callbacks.m_last_receive_time = [this](std::size_t /*member*/) { return m_last_receive_time; };
    callbacks.m_choose_member = [this](Instant /*now*/) {
      return m_spreads && !m_avoided.empty() ? kOther : kNearest;
    };
    callbacks.m_avoid = [this](std::size_t member, Instant /*now*/) {
      m_avoided.push_back(member);
    };
    callbacks.m_leader = [] { return kLeader; };
    callbacks.m_on_leader = [](const wire::ConfigDelta& /*delta*/) {};
    callbacks.m_on_servers = [this](const wire::ConfigDelta& delta) {
      m_servers.push_back(delta.servers_index);
    };
    callbacks.m_on_document = [this](std::shared_ptr<const wire::Document> document) {
      m_documents.push_back(std::move(document));
    };
    return callbacks;
  }
};

wire::Document Document(std::int64_t version, const std::string& body) {
  wire::Document document;
  document.version = version;
  document.body = body;
  return document;
}

wire::DocumentChange WithoutEdits(wire::DocumentChange step) {
  step.edits.clear();
  return step;
}

// Guards against requests to other members for a reply that is still arriving on a slow link: the
// repeated replies fill the links.
TEST_CASE("news that are on their way are not asked for again, however long they take") {
  FakeMembers members;
  members.m_bytes_arriving = true;
  members.m_leader_servers = 9;
  members.m_leader_document = 9;
  members.AdvanceTime(10'000);
  CHECK(members.Polls(wire::NewsKind::SERVERS).size() == 1);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT).size() == 1);
  CHECK(members.m_avoided.empty());
}

TEST_CASE("a member that has not told what the leader has is passed over for the leader") {
  FakeMembers members;
  members.m_leader_servers = 9;
  members.AdvanceTime(400);
  const std::vector<SentRequest*> polls = members.Polls(wire::NewsKind::SERVERS);
  REQUIRE(polls.size() == 2);
  CHECK(polls[0]->m_member == kNearest);
  CHECK(polls[1]->m_member == kLeader);
  CHECK(members.m_avoided == std::vector<std::size_t>{kNearest});
  members.AdvanceTime(5'000);
  CHECK(members.Polls(wire::NewsKind::SERVERS).size() == 2);
}

TEST_CASE("an answer that comes late is taken, and an older one changes nothing") {
  FakeMembers members;
  members.m_leader_servers = 9;
  members.AdvanceTime(400);
  const std::vector<SentRequest*> polls = members.Polls(wire::NewsKind::SERVERS);
  FakeMembers::Reply(*polls[0], FakeMembers::Servers(9));
  FakeMembers::Reply(*polls[1], FakeMembers::Servers(8));
  CHECK(members.m_servers == std::vector<std::int64_t>{9});
}

TEST_CASE("a small step comes with the answer") {
  FakeMembers members;
  members.AdvanceTime(50);
  const wire::Document first = Document(3, "three");
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({FullDocumentChange(first)}));
  REQUIRE(members.m_documents.size() == 1);
  CHECK(*members.m_documents[0] == first);
  members.AdvanceTime(1'000);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT)[0]->m_body.poll.have_document == 3);
}

TEST_CASE("of several steps in an answer only the last version is handed on") {
  FakeMembers members;
  members.AdvanceTime(50);
  const std::vector<wire::Document> versions{Document(1, "one"), Document(4, "one, four"),
                                             Document(6, "six")};
  FakeMembers::Reply(
      *members.Polls(wire::NewsKind::DOCUMENT)[0],
      FakeMembers::Steps({FullDocumentChange(versions[0]), DiffDocuments(versions[0], versions[1]),
                          DiffDocuments(versions[1], versions[2])}));
  REQUIRE(members.m_documents.size() == 1);
  CHECK(*members.m_documents[0] == versions[2]);
}

// Guards against a late notice that a server leaves: it would wait for a document on the same poll.
TEST_CASE("a large step comes in pieces, one at a time, and news of servers come meanwhile") {
  FakeMembers members;
  members.AdvanceTime(50);
  const wire::Document document = Document(5, "a text that is long enough for three pieces");
  const wire::DocumentChange step = FullDocumentChange(document);
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({WithoutEdits(step)}));
  const std::size_t third = step.edits.size() / 3;
  for (const std::size_t offset : {std::size_t{0}, third, 2 * third}) {
    REQUIRE(members.Pieces().size() == 1);
    SentRequest& piece = *members.Pieces()[0];
    CHECK(piece.m_member == kNearest);
    CHECK(piece.m_body.piece_request.offset == static_cast<std::int64_t>(offset));
    const std::int64_t index = 10 + static_cast<std::int64_t>(offset);
    members.AdvanceTime(100);
    FakeMembers::Reply(*members.Polls(wire::NewsKind::SERVERS)[0], FakeMembers::Servers(index));
    CHECK(members.m_servers.back() == index);
    CHECK(members.m_documents.empty());
    const std::size_t length = offset == 2 * third ? std::string::npos : third;
    FakeMembers::Reply(piece, FakeMembers::Piece(step.edits.substr(offset, length)));
  }
  REQUIRE(members.m_documents.size() == 1);
  CHECK(*members.m_documents[0] == document);
}

// Guards against a document that waits at a member which holds the poll: from the moment at which
// an instance knows that the leader has it, each member is left after at most 0.6 s, the leader
// too.
TEST_CASE("a document that neither a member nor the leader sends is asked of another in time") {
  FakeMembers members;
  members.m_spreads = true;
  members.AdvanceTime(1'000);
  members.m_leader_document = 9;
  members.AdvanceTime(1'000);
  const std::vector<SentRequest*> polls = members.Polls(wire::NewsKind::DOCUMENT);
  REQUIRE(polls.size() == 3);
  CHECK(polls[0]->m_member == kNearest);
  CHECK(polls[1]->m_member == kLeader);
  CHECK(polls[2]->m_member == kOther);
  FakeMembers::Reply(*polls[2], FakeMembers::Steps({FullDocumentChange(Document(9, "nine"))}));
  CHECK(members.m_documents.size() == 1);
}

// Guards against a tolerance that doubles beyond the time in which a document is to be in force.
TEST_CASE("however often documents were late, the next one is asked for again within 0.6 s") {
  FakeMembers members;
  members.m_spreads = true;
  members.m_leader_document = 9;
  members.AdvanceTime(10'000);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT).size() >= 10'000 / (600 + 2 * kTickMillis));
}

// Guards against a document whose pieces stop coming: the time limit of a call, a second, at each
// of two members is longer than a document may take.
TEST_CASE("where pieces stop coming another member is asked within half a second") {
  FakeMembers members;
  members.m_spreads = true;
  members.AdvanceTime(50);
  const wire::Document document = Document(5, "five");
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({WithoutEdits(FullDocumentChange(document))}));
  REQUIRE(members.Pieces().size() == 1);
  members.AdvanceTime(600);
  REQUIRE(members.Polls(wire::NewsKind::DOCUMENT).size() == 1);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT)[0]->m_member == kOther);
  CHECK(members.m_avoided == std::vector<std::size_t>{kNearest});
  // The piece that comes late belongs to no fetch.
  FakeMembers::Reply(*members.Pieces()[0], FakeMembers::Piece(FullDocumentChange(document).edits));
  CHECK(members.m_documents.empty());
}

TEST_CASE("pieces that come slowly are waited for") {
  FakeMembers members;
  members.m_bytes_arriving = true;
  members.AdvanceTime(50);
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({WithoutEdits(FullDocumentChange(Document(5, "five")))}));
  members.AdvanceTime(900);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT).empty());
  CHECK(members.m_avoided.empty());
}

TEST_CASE("where a piece doesn't come, another member is asked") {
  FakeMembers members;
  members.AdvanceTime(50);
  const wire::DocumentChange step = FullDocumentChange(Document(5, "five"));
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({WithoutEdits(step)}));
  FakeMembers::Reply(*members.Pieces()[0], Fail(ResultCode::kPeerUnreachable, "no reply in time"));
  CHECK(members.m_avoided == std::vector<std::size_t>{kNearest});
  members.m_now = ReadClock() + Duration(200'000);
  members.AdvanceTime(100);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT).size() == 1);
}

TEST_CASE("where a step isn't kept any more, the member is asked what leads on now") {
  FakeMembers members;
  members.AdvanceTime(50);
  const wire::Document newest = Document(8, "eight");
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({WithoutEdits(FullDocumentChange(Document(5, "five")))}));
  FakeMembers::Reply(*members.Pieces()[0], FakeMembers::Piece(""));
  CHECK(members.m_avoided.empty());
  members.AdvanceTime(100);
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({FullDocumentChange(newest)}));
  CHECK(*members.m_documents.back() == newest);
}

TEST_CASE("after a step that can't be taken the whole document is asked for") {
  FakeMembers members;
  members.AdvanceTime(50);
  const wire::Document first = Document(1, "one");
  const wire::Document second = Document(2, "two");
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({FullDocumentChange(first)}));
  members.m_now = ReadClock() + Duration(1'000'000);
  members.AdvanceTime(100);
  wire::DocumentChange wrong = DiffDocuments(first, second);
  ++wrong.digest;
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0], FakeMembers::Steps({wrong}));
  CHECK(members.m_documents.size() == 1);
  members.m_now = ReadClock() + Duration(1'000'000);
  members.AdvanceTime(100);
  SentRequest& poll = *members.Polls(wire::NewsKind::DOCUMENT)[0];
  CHECK(poll.m_body.poll.have_document == 0);
  FakeMembers::Reply(poll, FakeMembers::Steps({FullDocumentChange(second)}));
  CHECK(*members.m_documents.back() == second);
}

TEST_CASE("an older version than one that was handed on never follows it") {
  FakeMembers members;
  members.AdvanceTime(50);
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({FullDocumentChange(Document(9, "nine"))}));
  members.m_now = ReadClock() + Duration(1'000'000);
  members.AdvanceTime(100);
  FakeMembers::Reply(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                     FakeMembers::Steps({FullDocumentChange(Document(7, "seven"))}));
  CHECK(members.m_documents.size() == 1);
  CHECK(members.m_poller.document_version() == 9);
}

}  // namespace
}  // namespace poppyway
