// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How an instance reads news: what is on its way isn't asked for again, what is large comes in
// pieces, and news of servers don't wait for documents.
#include <catch2/catch.hpp>

#include "poppyway/polling.h"

namespace poppyway {
namespace {

constexpr std::size_t kNear = 1;
constexpr std::size_t kLeader = 0;
constexpr int kTickMillis = 50;

/// A question that a member got.
struct Asked {
  std::size_t m_member = 0;
  wire::Body m_body;
  PeerClient::OnReply m_reply;
};

/// Members that answer when told to, and what the reader handed on.
class Members {
 public:
  Members() : m_poller(Port()) {}

  /// Lets time pass; the reader hears from the leader's heartbeats what it has.
  void Pass(int millis) {
    for (int passed = 0; passed < millis; passed += kTickMillis) {
      m_now += Duration(kTickMillis * 1000);
      if (m_arriving)
        m_last_receive_time = m_now;
      m_poller.Tick(m_leader_document, m_leader_servers, m_now);
    }
  }

  /// Questions of a kind that have not been answered, in the order in which they were asked.
  std::vector<Asked*> Polls(wire::NewsKind::type kind) {
    std::vector<Asked*> polls;
    for (Asked& asked : m_asked) {
      if (asked.m_reply && asked.m_body.__isset.poll && asked.m_body.poll.kind == kind)
        polls.push_back(&asked);
    }
    return polls;
  }

  std::vector<Asked*> Pieces() {
    std::vector<Asked*> pieces;
    for (Asked& asked : m_asked) {
      if (asked.m_reply && asked.m_body.__isset.piece_request)
        pieces.push_back(&asked);
    }
    return pieces;
  }

  static void Answer(Asked& asked, const Result<wire::Body>& reply) {
    const PeerClient::OnReply on_reply = std::exchange(asked.m_reply, nullptr);
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

  Instant m_now = ReadClock();  // The reader reads the clock too when answers come.
  std::int64_t m_leader_document = 0;
  std::int64_t m_leader_servers = 0;
  bool m_arriving = false;  // Bytes come all the time.
  Instant m_last_receive_time{};
  std::deque<Asked> m_asked;
  std::vector<std::size_t> m_avoided;
  std::vector<std::int64_t> m_servers;  // Indexes that were handed on.
  std::vector<std::shared_ptr<const wire::Document>> m_documents;
  HostedStatePoller m_poller;

 private:
  PollerCallbacks Port() {
    PollerCallbacks port;
    port.m_call_member = [this](std::size_t member, wire::Body body, Duration /*timeout*/,
                                PeerClient::OnReply reply) {
      m_asked.push_back({member, std::move(body), std::move(reply)});
    };
    port.m_last_receive_time = [this](std::size_t /*member*/) { return m_last_receive_time; };
    port.m_choose_member = [](Instant /*now*/) { return kNear; };
    port.m_avoid = [this](std::size_t member, Instant /*now*/) { m_avoided.push_back(member); };
    port.m_leader = [] { return kLeader; };
    port.m_on_leader = [](const wire::ConfigDelta& /*delta*/) {};
    port.m_on_servers = [this](const wire::ConfigDelta& delta) {
      m_servers.push_back(delta.servers_index);
    };
    port.m_on_document = [this](std::shared_ptr<const wire::Document> document) {
      m_documents.push_back(std::move(document));
    };
    return port;
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

// Instances asked other members for news that were on their way, until links carried nothing else.
TEST_CASE("news that are on their way are not asked for again, however long they take") {
  Members members;
  members.m_arriving = true;
  members.m_leader_servers = 9;
  members.m_leader_document = 9;
  members.Pass(10'000);
  CHECK(members.Polls(wire::NewsKind::SERVERS).size() == 1);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT).size() == 1);
  CHECK(members.m_avoided.empty());
}

TEST_CASE("a member that has not told what the leader has is passed over for the leader") {
  Members members;
  members.m_leader_servers = 9;
  members.Pass(400);
  const std::vector<Asked*> polls = members.Polls(wire::NewsKind::SERVERS);
  REQUIRE(polls.size() == 2);
  CHECK(polls[0]->m_member == kNear);
  CHECK(polls[1]->m_member == kLeader);
  CHECK(members.m_avoided == std::vector<std::size_t>{kNear});
  members.Pass(5'000);
  CHECK(members.Polls(wire::NewsKind::SERVERS).size() == 2);
}

TEST_CASE("an answer that comes late is taken, and an older one changes nothing") {
  Members members;
  members.m_leader_servers = 9;
  members.Pass(400);
  const std::vector<Asked*> polls = members.Polls(wire::NewsKind::SERVERS);
  Members::Answer(*polls[0], Members::Servers(9));
  Members::Answer(*polls[1], Members::Servers(8));
  CHECK(members.m_servers == std::vector<std::int64_t>{9});
}

TEST_CASE("a small step comes with the answer") {
  Members members;
  members.Pass(50);
  const wire::Document first = Document(3, "three");
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({FullDocumentChange(first)}));
  REQUIRE(members.m_documents.size() == 1);
  CHECK(*members.m_documents[0] == first);
  members.Pass(1'000);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT)[0]->m_body.poll.have_document == 3);
}

TEST_CASE("of several steps in an answer only the last version is handed on") {
  Members members;
  members.Pass(50);
  const std::vector<wire::Document> versions{Document(1, "one"), Document(4, "one, four"),
                                             Document(6, "six")};
  Members::Answer(
      *members.Polls(wire::NewsKind::DOCUMENT)[0],
      Members::Steps({FullDocumentChange(versions[0]), DiffDocuments(versions[0], versions[1]),
                      DiffDocuments(versions[1], versions[2])}));
  REQUIRE(members.m_documents.size() == 1);
  CHECK(*members.m_documents[0] == versions[2]);
}

// The word that a server leaves came late, since it waited for documents.
TEST_CASE("a large step comes in pieces, one at a time, and news of servers come meanwhile") {
  Members members;
  members.Pass(50);
  const wire::Document document = Document(5, "a text that is long enough for three pieces");
  const wire::DocumentChange step = FullDocumentChange(document);
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({WithoutEdits(step)}));
  const std::size_t third = step.edits.size() / 3;
  for (const std::size_t offset : {std::size_t{0}, third, 2 * third}) {
    REQUIRE(members.Pieces().size() == 1);
    Asked& piece = *members.Pieces()[0];
    CHECK(piece.m_member == kNear);
    CHECK(piece.m_body.piece_request.offset == static_cast<std::int64_t>(offset));
    const std::int64_t index = 10 + static_cast<std::int64_t>(offset);
    members.Pass(100);
    Members::Answer(*members.Polls(wire::NewsKind::SERVERS)[0], Members::Servers(index));
    CHECK(members.m_servers.back() == index);
    CHECK(members.m_documents.empty());
    const std::size_t length = offset == 2 * third ? std::string::npos : third;
    Members::Answer(piece, Members::Piece(step.edits.substr(offset, length)));
  }
  REQUIRE(members.m_documents.size() == 1);
  CHECK(*members.m_documents[0] == document);
}

TEST_CASE("where a piece doesn't come, another member is asked") {
  Members members;
  members.Pass(50);
  const wire::DocumentChange step = FullDocumentChange(Document(5, "five"));
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({WithoutEdits(step)}));
  Members::Answer(*members.Pieces()[0], Fail(ResultCode::kPeerUnreachable, "no reply in time"));
  CHECK(members.m_avoided == std::vector<std::size_t>{kNear});
  members.m_now = ReadClock() + Duration(200'000);
  members.Pass(100);
  CHECK(members.Polls(wire::NewsKind::DOCUMENT).size() == 1);
}

TEST_CASE("where a step isn't kept any more, the member is asked what leads on now") {
  Members members;
  members.Pass(50);
  const wire::Document newest = Document(8, "eight");
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({WithoutEdits(FullDocumentChange(Document(5, "five")))}));
  Members::Answer(*members.Pieces()[0], Members::Piece(""));
  CHECK(members.m_avoided.empty());
  members.Pass(100);
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({FullDocumentChange(newest)}));
  CHECK(*members.m_documents.back() == newest);
}

TEST_CASE("after a step that can't be taken the whole document is asked for") {
  Members members;
  members.Pass(50);
  const wire::Document first = Document(1, "one");
  const wire::Document second = Document(2, "two");
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({FullDocumentChange(first)}));
  members.m_now = ReadClock() + Duration(1'000'000);
  members.Pass(100);
  wire::DocumentChange wrong = DiffDocuments(first, second);
  ++wrong.digest;
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0], Members::Steps({wrong}));
  CHECK(members.m_documents.size() == 1);
  members.m_now = ReadClock() + Duration(1'000'000);
  members.Pass(100);
  Asked& anew = *members.Polls(wire::NewsKind::DOCUMENT)[0];
  CHECK(anew.m_body.poll.have_document == 0);
  Members::Answer(anew, Members::Steps({FullDocumentChange(second)}));
  CHECK(*members.m_documents.back() == second);
}

TEST_CASE("an older version than one that was handed on never follows it") {
  Members members;
  members.Pass(50);
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({FullDocumentChange(Document(9, "nine"))}));
  members.m_now = ReadClock() + Duration(1'000'000);
  members.Pass(100);
  Members::Answer(*members.Polls(wire::NewsKind::DOCUMENT)[0],
                  Members::Steps({FullDocumentChange(Document(7, "seven"))}));
  CHECK(members.m_documents.size() == 1);
  CHECK(members.m_poller.document_version() == 9);
}

}  // namespace
}  // namespace poppyway
