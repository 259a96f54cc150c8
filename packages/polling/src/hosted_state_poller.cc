// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/polling.h"

#include <algorithm>
#include <utility>

#include "poppyway/telemetry.h"

namespace poppyway {
namespace {

constexpr std::int64_t kPollWaitMs = 5'000;
constexpr Duration kPollTimeout{10'000'000};
constexpr Duration kPollBackoff{100'000};
// Twice the usual delay: a follower learns of a commit within one log heartbeat (50 ms) and tells
// changes of servers every 100 ms. With no wait, ordinary delays would turn a third of the
// instances to the leader with each change.
constexpr Duration kPollOverdue{300'000};
constexpr Duration kMostPatience{2'400'000};
constexpr Duration kPieceTimeout{1'000'000};
// Taking a document holds up requests: it gets at most a fifth of the time.
constexpr int kAdoptionRest = 4;
constexpr Duration kMaxAdoptionRest{500'000};

}  // namespace

HostedStatePoller::HostedStatePoller(PollerCallbacks port) : m_port(std::move(port)) {
  m_servers.m_kind = wire::NewsKind::SERVERS;
  m_documents.m_kind = wire::NewsKind::DOCUMENT;
}

void HostedStatePoller::Tick(std::int64_t leader_document,
                             std::int64_t leader_servers,
                             Instant now) {
  Attend(m_servers, m_servers_index < leader_servers, now);
  if (!m_fetch)
    Attend(m_documents, m_published < leader_document, now);
}

void HostedStatePoller::Attend(Question& question, bool behind, Instant now) {
  if (question.m_open) {
    CheckBehind(question, behind, now);
  } else if (now >= question.m_after) {
    question.m_member = m_port.m_choose_member(now);
    Ask(question, now);
  }
}

void HostedStatePoller::Ask(Question& question, Instant now) {
  question.m_open = true;
  question.m_behind_since = {};
  const std::uint64_t number = ++question.m_number;
  wire::ConfigPoll poll;
  poll.hosted = true;
  poll.kind = question.m_kind;
  poll.wait_ms = kPollWaitMs;
  poll.have_servers = m_servers_index;
  poll.have_term = m_leader_term;
  poll.have_document = m_whole_wanted ? 0 : m_document->version;
  wire::Body body;
  body.__set_poll(poll);
  m_port.m_call_member(
      question.m_member, std::move(body), kPollTimeout,
      [this, &question, number, member = question.m_member](Result<wire::Body> reply) {
        OnAnswer(question, number, member, reply);
      });
}

void HostedStatePoller::OnAnswer(Question& question,
                                 std::uint64_t number,
                                 std::size_t member,
                                 const Result<wire::Body>& reply) {
  const bool current = number == question.m_number;
  if (current)
    question.m_open = false;
  const bool answered = reply && reply->__isset.delta;
  if (!answered) {
    if (current)
      TurnAway(question, ReadClock());
    return;
  }
  // An answer that comes late is news all the same.
  m_port.m_on_leader(reply->delta);
  if (question.m_kind == wire::NewsKind::SERVERS)
    OnServers(reply->delta);
  else
    OnDocument(reply->delta, member);
}

void HostedStatePoller::OnServers(const wire::ConfigDelta& delta) {
  if (delta.servers_index <= m_servers_index)
    return;
  m_servers_index = delta.servers_index;
  m_port.m_on_servers(delta);
}

void HostedStatePoller::OnDocument(const wire::ConfigDelta& delta, std::size_t member) {
  if (m_fetch)
    return;  // The steps after the one that is fetched are asked for again.
  for (const wire::DocumentChange& step : delta.steps) {
    const bool anew = m_whole_wanted && step.base == 0;
    if (step.version <= m_document->version && !anew)
      continue;
    if (static_cast<std::int64_t>(step.edits.size()) < step.bytes) {
      BeginFetch(step, member);
      break;
    }
    if (!TakeStep(step))
      break;
  }
  PublishDocument();
}

bool HostedStatePoller::TakeStep(const wire::DocumentChange& step) {
  Result<wire::Document> document = PatchDocument(*m_document, step);
  if (!document) {
    POPPYWAY_LOG(warning, "document_step_refused")
        .Field("base", step.base)
        .Field("version", step.version)
        .Field("have", m_document->version)
        .Field("why", document.error().m_message);
    m_whole_wanted = true;
    m_documents.m_after = ReadClock() + kPollBackoff;
    return false;
  }
  m_whole_wanted = false;
  m_document = std::make_shared<const wire::Document>(std::move(*document));
  return true;
}

void HostedStatePoller::PublishDocument() {
  if (m_document->version <= m_published)
    return;
  m_published = m_document->version;
  const Instant begun = ReadClock();
  m_port.m_on_document(m_document);
  const Instant now = ReadClock();
  const Duration rest = std::min(kAdoptionRest * (now - begun), kMaxAdoptionRest);
  m_documents.m_after = std::max(m_documents.m_after, now + rest);
}

void HostedStatePoller::BeginFetch(const wire::DocumentChange& step, std::size_t member) {
  m_fetch = std::make_unique<Fetch>(Fetch{step, member, ReadClock()});
  m_fetch->m_step.edits.clear();
  FetchPiece();
}

void HostedStatePoller::FetchPiece() {
  wire::PieceRequest request;
  request.base = m_fetch->m_step.base;
  request.version = m_fetch->m_step.version;
  request.offset = static_cast<std::int64_t>(m_fetch->m_step.edits.size());
  wire::Body body;
  body.__set_piece_request(request);
  m_port.m_call_member(m_fetch->m_member, std::move(body), kPieceTimeout,
                       [this](const Result<wire::Body>& reply) { OnPiece(reply); });
}

void HostedStatePoller::OnPiece(const Result<wire::Body>& reply) {
  wire::DocumentChange& step = m_fetch->m_step;
  // A piece without bytes: the member doesn't keep that step any more.
  if (!reply || !reply->__isset.piece || reply->piece.bytes.empty()) {
    const bool gone = reply && reply->__isset.piece;
    POPPYWAY_LOG(info, "document_fetch_ended")
        .Field("base", step.base)
        .Field("version", step.version)
        .Field("bytes", step.edits.size())
        .Field("of", step.bytes)
        .Field("why", gone ? "gone" : "no_answer");
    m_fetch.reset();
    if (!gone)
      TurnAway(m_documents, ReadClock());
    return;
  }
  step.edits += reply->piece.bytes;
  if (static_cast<std::int64_t>(step.edits.size()) < step.bytes) {
    FetchPiece();
    return;
  }
  EndFetch();
}

void HostedStatePoller::EndFetch() {
  const std::unique_ptr<Fetch> fetch = std::move(m_fetch);
  POPPYWAY_LOG(info, "document_fetched")
      .Field("base", fetch->m_step.base)
      .Field("version", fetch->m_step.version)
      .Field("bytes", fetch->m_step.bytes)
      .Field("took_ms", (ReadClock() - fetch->m_begun).count() / 1000);
  if (TakeStep(fetch->m_step))
    PublishDocument();
}

void HostedStatePoller::CheckBehind(Question& question, bool behind, Instant now) {
  if (!behind) {
    question.m_behind_since = {};
    question.m_patience = kPollOverdue;
    return;
  }
  if (question.m_behind_since == Instant{})
    question.m_behind_since = now;
  const std::size_t leader = m_port.m_leader();
  const Instant last_read = m_port.m_last_receive_time(question.m_member);
  // What still arrives would only come later if it were asked for again.
  const bool arriving = last_read != Instant{} && now - last_read < kPollOverdue;
  const bool patient = now - question.m_behind_since < question.m_patience;
  if (patient || arriving || question.m_member == leader)
    return;
  POPPYWAY_LOG(info, "news_overdue")
      .Field("kind", question.m_kind == wire::NewsKind::SERVERS ? "servers" : "document")
      .Field("member", question.m_member)
      .Field("have_servers", m_servers_index)
      .Field("have_document", m_published)
      .Field("last_byte_ms", last_read == Instant{} ? -1 : (now - last_read).count() / 1000);
  m_port.m_avoid(question.m_member, now);
  question.m_patience = std::min(2 * question.m_patience, kMostPatience);
  question.m_member = leader;
  Ask(question, now);
}

void HostedStatePoller::TurnAway(Question& question, Instant now) {
  m_port.m_avoid(question.m_member, now);
  question.m_after = now + kPollBackoff;
}

}  // namespace poppyway
