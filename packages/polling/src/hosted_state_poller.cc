// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/polling.h"

#include <algorithm>
#include <utility>

#include "poppyway/telemetry.h"

namespace poppyway {
namespace {

constexpr std::int64_t kPollWaitMs = 5'000;   // Longest time for which a member delays its reply.
constexpr Duration kPollTimeout{10'000'000};  // Well above `kPollWaitMs`.
constexpr Duration kPollBackoff{100'000};     // Delay of the next poll after a failure.
// A reply is overdue after twice the usual delay: a follower learns of a commit within one log
// heartbeat (50 ms) and sends changes of servers every 100 ms. Without this tolerance, ordinary
// delays would move a third of the instances to the leader with each change.
constexpr Duration kPollOverdue{300'000};
constexpr Duration kMaxOverdueAfter{2'400'000};  // Upper bound as the tolerance doubles.
// A document is to be in force everywhere within two seconds, whatever waits follow one another.
constexpr Duration kMaxDocumentOverdueAfter{600'000};
constexpr Duration kPieceTimeout{1'000'000};
constexpr Duration kPieceOverdue{400'000};  // As long as no byte arrives.
// Adopting a document delays requests. A pause of four times the adoption time before the next poll
// limits adoption to a fifth of the time.
constexpr int kAdoptionRestFactor = 4;
constexpr Duration kMaxAdoptionRest{500'000};

Duration MaxOverdueAfter(wire::NewsKind::type kind) noexcept {
  return kind == wire::NewsKind::DOCUMENT ? kMaxDocumentOverdueAfter : kMaxOverdueAfter;
}

std::string_view NameOf(wire::NewsKind::type kind) noexcept {
  return kind == wire::NewsKind::SERVERS ? "servers" : "document";
}

}  // namespace

HostedStatePoller::HostedStatePoller(PollerCallbacks callbacks)
    : m_callbacks(std::move(callbacks)) {
  m_servers_poll.m_kind = wire::NewsKind::SERVERS;
  m_document_poll.m_kind = wire::NewsKind::DOCUMENT;
}

void HostedStatePoller::Tick(std::int64_t leader_document,
                             std::int64_t leader_servers,
                             Instant now) {
  m_last_tick = now;
  DrivePoll(m_servers_poll, m_servers_index < leader_servers, now);
  const bool behind = m_published_version < leader_document;
  if (behind && m_waits.m_behind_since == Instant{})
    m_waits.m_behind_since = now;
  if (m_fetch)
    CheckFetchOverdue(now);
  else
    DrivePoll(m_document_poll, behind, now);
}

void HostedStatePoller::DrivePoll(LongPoll& poll, bool behind, Instant now) {
  if (poll.m_in_flight) {
    CheckOverdue(poll, behind, now);
  } else if (now >= poll.m_not_before) {
    poll.m_member = m_callbacks.m_choose_member(now);
    SendPoll(poll, now);
  }
}

void HostedStatePoller::SendPoll(LongPoll& poll, Instant now) {
  poll.m_in_flight = true;
  poll.m_sent = now;
  poll.m_behind_since = {};
  const std::uint64_t number = ++poll.m_request_number;
  wire::ConfigPoll request;
  request.hosted = true;
  request.kind = poll.m_kind;
  request.wait_ms = kPollWaitMs;
  request.have_servers = m_servers_index;
  request.have_term = m_leader_term;
  request.have_document = m_need_full_document ? 0 : m_document->version;
  wire::Body body;
  body.__set_poll(request);
  m_callbacks.m_call_member(
      poll.m_member, std::move(body), kPollTimeout,
      [this, &poll, number, member = poll.m_member](Result<wire::Body> reply) {
        OnPollReply(poll, number, member, reply);
      });
}

void HostedStatePoller::OnPollReply(LongPoll& poll,
                                    std::uint64_t number,
                                    std::size_t member,
                                    const Result<wire::Body>& reply) {
  const bool current = number == poll.m_request_number;
  if (current)
    poll.m_in_flight = false;
  const bool has_delta = reply && reply->__isset.delta;
  if (!has_delta) {
    if (current) {
      m_waits.m_failed += poll.m_kind == wire::NewsKind::DOCUMENT ? 1 : 0;
      AvoidMember(poll, ReadClock());
    }
    return;
  }
  // A late reply of an earlier request is used too.
  m_callbacks.m_on_leader(reply->delta);
  if (poll.m_kind == wire::NewsKind::SERVERS)
    OnServersReply(reply->delta);
  else
    OnDocumentChanges(reply->delta, member);
}

void HostedStatePoller::OnServersReply(const wire::ConfigDelta& delta) {
  if (delta.servers_index <= m_servers_index)
    return;
  m_servers_index = delta.servers_index;
  m_callbacks.m_on_servers(delta);
}

void HostedStatePoller::OnDocumentChanges(const wire::ConfigDelta& delta, std::size_t member) {
  if (m_fetch)
    return;  // The next poll requests the changes that follow the one being fetched.
  for (const wire::DocumentChange& change : delta.steps) {
    const bool replaces_document = m_need_full_document && change.base == 0;
    if (change.version <= m_document->version && !replaces_document)
      continue;
    if (static_cast<std::int64_t>(change.edits.size()) < change.bytes) {
      BeginFetch(change, member);
      break;
    }
    if (!PatchHeldDocument(change))
      break;
  }
  PublishDocument();
}

bool HostedStatePoller::PatchHeldDocument(const wire::DocumentChange& change) {
  Result<wire::Document> document = PatchDocument(*m_document, change);
  if (!document) {
    POPPYWAY_LOG(warning, "document_step_refused")
        .Field("base", change.base)
        .Field("version", change.version)
        .Field("have", m_document->version)
        .Field("why", document.error().m_message);
    m_need_full_document = true;
    m_document_poll.m_not_before = ReadClock() + kPollBackoff;
    return false;
  }
  m_need_full_document = false;
  m_document = std::make_shared<const wire::Document>(std::move(*document));
  return true;
}

void HostedStatePoller::PublishDocument() {
  if (m_document->version <= m_published_version)
    return;
  m_published_version = m_document->version;
  LogWaits();
  const Instant begun = ReadClock();
  m_callbacks.m_on_document(m_document);
  const Instant now = ReadClock();
  const Duration rest = std::min(kAdoptionRestFactor * (now - begun), kMaxAdoptionRest);
  m_document_poll.m_not_before = std::max(m_document_poll.m_not_before, now + rest);
}

void HostedStatePoller::LogWaits() {
  const Instant now = ReadClock();
  const DocumentWaits waits = std::exchange(m_waits, {});
  const bool was_behind = waits.m_behind_since != Instant{};
  POPPYWAY_LOG(info, "document_received")
      .Field("version", m_published_version)
      .Field("member", m_document_poll.m_member)
      .Field("behind_ms", was_behind ? (now - waits.m_behind_since).count() / 1000 : 0)
      .Field("polled_ms", (now - m_document_poll.m_sent).count() / 1000)
      .Field("polls_failed", waits.m_failed)
      .Field("polls_overdue", waits.m_overdue)
      .Field("fetches_ended", waits.m_fetches_ended);
}

void HostedStatePoller::BeginFetch(const wire::DocumentChange& change, std::size_t member) {
  m_fetch = std::make_unique<Fetch>(Fetch{change, member, ReadClock(), {}, ++m_fetch_number});
  m_fetch->m_change.edits.clear();
  FetchPiece();
}

void HostedStatePoller::FetchPiece() {
  wire::PieceRequest request;
  request.base = m_fetch->m_change.base;
  request.version = m_fetch->m_change.version;
  request.offset = static_cast<std::int64_t>(m_fetch->m_change.edits.size());
  wire::Body body;
  body.__set_piece_request(request);
  m_fetch->m_requested = m_last_tick;
  m_callbacks.m_call_member(m_fetch->m_member, std::move(body), kPieceTimeout,
                            [this, number = m_fetch->m_number](const Result<wire::Body>& reply) {
                              if (m_fetch && m_fetch->m_number == number)
                                OnPiece(reply);
                            });
}

void HostedStatePoller::CheckFetchOverdue(Instant now) {
  const Instant last_read = m_callbacks.m_last_receive_time(m_fetch->m_member);
  if (now - std::max(m_fetch->m_requested, last_read) < kPieceOverdue)
    return;
  EndFetch("overdue");
  AvoidMember(m_document_poll, now);
}

void HostedStatePoller::EndFetch(std::string_view why) {
  const wire::DocumentChange& change = m_fetch->m_change;
  POPPYWAY_LOG(info, "document_fetch_ended")
      .Field("base", change.base)
      .Field("version", change.version)
      .Field("bytes", change.edits.size())
      .Field("of", change.bytes)
      .Field("why", why);
  ++m_waits.m_fetches_ended;
  m_fetch.reset();
}

void HostedStatePoller::OnPiece(const Result<wire::Body>& reply) {
  wire::DocumentChange& change = m_fetch->m_change;
  // A piece without bytes means that the member has dropped this document change.
  if (!reply || !reply->__isset.piece || reply->piece.bytes.empty()) {
    const bool dropped = reply && reply->__isset.piece;
    EndFetch(dropped ? "gone" : "no_answer");
    if (!dropped)
      AvoidMember(m_document_poll, ReadClock());
    return;
  }
  change.edits += reply->piece.bytes;
  if (static_cast<std::int64_t>(change.edits.size()) < change.bytes) {
    FetchPiece();
    return;
  }
  FinishFetch();
}

void HostedStatePoller::FinishFetch() {
  const std::unique_ptr<Fetch> fetch = std::move(m_fetch);
  POPPYWAY_LOG(info, "document_fetched")
      .Field("base", fetch->m_change.base)
      .Field("version", fetch->m_change.version)
      .Field("bytes", fetch->m_change.bytes)
      .Field("took_ms", (ReadClock() - fetch->m_started).count() / 1000);
  if (PatchHeldDocument(fetch->m_change))
    PublishDocument();
}

void HostedStatePoller::CheckOverdue(LongPoll& poll, bool behind, Instant now) {
  if (!behind) {
    poll.m_behind_since = {};
    poll.m_overdue_after = kPollOverdue;
    return;
  }
  if (poll.m_behind_since == Instant{})
    poll.m_behind_since = now;
  const std::size_t leader = m_callbacks.m_leader();
  const Instant last_read = m_callbacks.m_last_receive_time(poll.m_member);
  // While bytes still arrive, another request would only delay the reply.
  const bool arriving = last_read != Instant{} && now - last_read < kPollOverdue;
  const bool within_tolerance = now - poll.m_behind_since < poll.m_overdue_after;
  const bool at_leader = poll.m_member == leader;
  const bool stays_at_leader = at_leader && poll.m_kind != wire::NewsKind::DOCUMENT;
  if (within_tolerance || arriving || stays_at_leader)
    return;
  POPPYWAY_LOG(info, "news_overdue")
      .Field("kind", NameOf(poll.m_kind))
      .Field("member", poll.m_member)
      .Field("have_servers", m_servers_index)
      .Field("have_document", m_published_version)
      .Field("last_byte_ms", last_read == Instant{} ? -1 : (now - last_read).count() / 1000);
  m_callbacks.m_avoid(poll.m_member, now);
  m_waits.m_overdue += poll.m_kind == wire::NewsKind::DOCUMENT ? 1 : 0;
  poll.m_overdue_after = std::min(2 * poll.m_overdue_after, MaxOverdueAfter(poll.m_kind));
  poll.m_member = at_leader ? m_callbacks.m_choose_member(now) : leader;
  SendPoll(poll, now);
}

void HostedStatePoller::AvoidMember(LongPoll& poll, Instant now) {
  m_callbacks.m_avoid(poll.m_member, now);
  poll.m_not_before = now + kPollBackoff;
}

}  // namespace poppyway
