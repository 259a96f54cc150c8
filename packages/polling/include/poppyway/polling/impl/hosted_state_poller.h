// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "poppyway/state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Callbacks by which a `HostedStatePoller` calls members and delivers results. Members are
/// identified by their index.
struct PollerCallbacks {
  /// Sends a request to a member; the last argument receives the reply or an error.
  std::function<void(std::size_t member, wire::Body, Duration timeout, PeerClient::OnReply)>
      m_call_member;
  /// Returns when bytes last arrived from a member; zero if none ever did.
  std::function<Instant(std::size_t member)> m_last_receive_time;
  /// Returns the member to poll next.
  std::function<std::size_t(Instant now)> m_choose_member;
  /// Reports a member that lags or doesn't reply, so that it isn't chosen for a while.
  std::function<void(std::size_t member, Instant now)> m_avoid;
  /// Returns the index of the current leader.
  std::function<std::size_t()> m_leader;
  /// Receives each successful reply, for the leader that it names.
  std::function<void(const wire::ConfigDelta&)> m_on_leader;
  /// Receives each reply whose servers are newer than those received before.
  std::function<void(const wire::ConfigDelta&)> m_on_servers;
  /// Receives each document whose version is above those received before.
  std::function<void(std::shared_ptr<const wire::Document>)> m_on_document;
};

/// \brief Polls the members of a hosted deployment (`poppywayd --hosted`) for their state on behalf
/// of one instance.
///
/// One long poll covers servers, evacuations and the leader's name, another the operator's
/// document, so that neither waits for the other. A document arrives as document changes; a large
/// change is fetched in pieces, one request at a time. Not thread-safe: belongs to the control
/// task.
class HostedStatePoller {
 public:
  explicit HostedStatePoller(PollerCallbacks callbacks);

  /// \brief Sends the polls that are due, and moves a poll to the leader if its member lags.
  /// \param leader_document version of the document that the leader last reported.
  /// \param leader_servers index of the servers that the leader last reported.
  void Tick(std::int64_t leader_document, std::int64_t leader_servers, Instant now);
  [[nodiscard]] std::int64_t document_version() const noexcept { return m_document->version; }
  [[nodiscard]] std::int64_t servers_index() const noexcept { return m_servers_index; }
  /// \brief Sets the term of the latest known leader; it is sent with each poll, so that members
  /// reply once they know a later leader.
  void SetLeaderTerm(std::int64_t term) { m_leader_term = term; }

 private:
  /// One long poll.
  struct LongPoll {
    wire::NewsKind::type m_kind = wire::NewsKind::SERVERS;
    std::size_t m_member = 0;
    bool m_in_flight = false;
    std::uint64_t m_request_number = 0;  ///< Number of the last request of this poll.
    Instant m_sent{};                    ///< When the last request was sent.
    Instant m_not_before{};              ///< Earliest time of the next request.
    /// Since when the leader has had something newer while the poll is in flight; zero: it hasn't.
    Instant m_behind_since{};
    Duration m_overdue_after{};  ///< How long a reply may lag behind the leader.
  };
  /// A document change that is being fetched in pieces.
  struct Fetch {
    wire::DocumentChange m_change;  ///< `edits` holds the bytes received so far.
    std::size_t m_member = 0;
    Instant m_started{};
    Instant m_requested{};       ///< Tick before the last piece was requested.
    std::uint64_t m_number = 0;  ///< Identifies the fetch; late pieces of others are ignored.
  };
  /// What the next document has waited for so far, for its log line.
  struct DocumentWaits {
    Instant m_behind_since{};  ///< Since when the leader is known to have it; zero: not known.
    int m_failed = 0;          ///< Polls that failed.
    int m_overdue = 0;         ///< Polls that were moved to another member.
    int m_fetches_ended = 0;   ///< Fetches that were given up.
  };

  /// Sends the poll if none is in flight, or else checks whether its reply is overdue.
  void DrivePoll(LongPoll& poll, bool behind, Instant now);
  void SendPoll(LongPoll& poll, Instant now);
  void OnPollReply(LongPoll& poll,
                   std::uint64_t number,
                   std::size_t member,
                   const Result<wire::Body>& reply);
  /// Passes the reply of a poll for servers to `m_on_servers` if its servers are newer.
  void OnServersReply(const wire::ConfigDelta& delta);
  void OnDocumentChanges(const wire::ConfigDelta& delta, std::size_t member);
  /// Applies a document change with all its edits; false if it doesn't apply to the document held.
  bool PatchHeldDocument(const wire::DocumentChange& change);
  void BeginFetch(const wire::DocumentChange& change, std::size_t member);
  void FetchPiece();
  /// Gives up a fetch whose member sends nothing.
  void CheckFetchOverdue(Instant now);
  void EndFetch(std::string_view why);
  void OnPiece(const Result<wire::Body>& reply);
  void FinishFetch();
  /// Moves a poll to the leader if its member has not replied with what the leader has in time. A
  /// poll for documents moves on from the leader too.
  void CheckOverdue(LongPoll& poll, bool behind, Instant now);
  /// Reports the poll's member as one to avoid and delays the next request.
  void AvoidMember(LongPoll& poll, Instant now);
  void PublishDocument();
  /// Logs what the document that is about to be published has waited for.
  void LogWaits();

  PollerCallbacks m_callbacks;
  LongPoll m_servers_poll;
  LongPoll m_document_poll;
  std::int64_t m_servers_index = 0;
  std::int64_t m_leader_term = 0;
  std::shared_ptr<const wire::Document> m_document = std::make_shared<const wire::Document>();
  std::int64_t m_published_version = 0;  ///< Version that was last passed to `m_on_document`.
  /// A document change didn't apply: the next poll requests the full document.
  bool m_need_full_document = false;
  std::unique_ptr<Fetch> m_fetch;  ///< Null: no fetch is in progress.
  std::uint64_t m_fetch_number = 0;
  DocumentWaits m_waits;
  Instant m_last_tick{};
};

}  // namespace poppyway
