// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "poppyway/state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief How the reader of news reaches members, which it names by their index, and who takes what
/// it reads.
struct PollerCallbacks {
  std::function<void(std::size_t member, wire::Body, Duration timeout, PeerClient::OnReply)>
      m_call_member;
  /// When bytes last came from a member; zero: never.
  std::function<Instant(std::size_t member)> m_last_receive_time;
  /// The member to read from now.
  std::function<std::size_t(Instant now)> m_choose_member;
  /// A member lags or doesn't answer: others are read for a while.
  std::function<void(std::size_t member, Instant now)> m_avoid;
  std::function<std::size_t()> m_leader;
  std::function<void(const wire::ConfigDelta&)> m_on_leader;   ///< With every answer.
  std::function<void(const wire::ConfigDelta&)> m_on_servers;  ///< With those that are newer.
  std::function<void(std::shared_ptr<const wire::Document>)> m_on_document;
};

/// \brief Reads news from the members for one instance: servers, evacuations and the leader's name
/// on one long poll, the operator's document on another, so that neither waits for the other. A
/// document comes as steps; what is large of them comes piece by piece, each asked for when the one
/// before is here. Belongs to the control task.
class HostedStatePoller {
 public:
  explicit HostedStatePoller(PollerCallbacks port);

  /// Asks where nothing is being asked. `leader_document` and `leader_servers` are what the leader
  /// last said it has: a member that has not told as much in time is passed over.
  void Tick(std::int64_t leader_document, std::int64_t leader_servers, Instant now);
  [[nodiscard]] std::int64_t document_version() const noexcept { return m_document->version; }
  [[nodiscard]] std::int64_t servers_index() const noexcept { return m_servers_index; }
  /// Of the latest leader that was named, for the members' answers to be newer than it.
  void SetLeaderTerm(std::int64_t term) { m_leader_term = term; }

 private:
  /// One long poll.
  struct Question {
    wire::NewsKind::type m_kind = wire::NewsKind::SERVERS;
    std::size_t m_member = 0;
    bool m_open = false;
    std::uint64_t m_number = 0;  ///< Of the last time it was asked.
    Instant m_after{};           ///< Not to be asked before.
    Instant m_behind_since{};  ///< While open, the leader knows something newer; zero: it doesn't.
    Duration m_patience{};     ///< For which an answer may be late.
  };
  /// A step that is being fetched.
  struct Fetch {
    wire::DocumentChange m_step;  ///< With the edits that are here.
    std::size_t m_member = 0;
    Instant m_begun{};
  };

  /// Asks the nearest member, or looks whether its answer is overdue.
  void Attend(Question& question, bool behind, Instant now);
  void Ask(Question& question, Instant now);
  void OnAnswer(Question& question,
                std::uint64_t number,
                std::size_t member,
                const Result<wire::Body>& reply);
  void OnServers(const wire::ConfigDelta& delta);
  void OnDocument(const wire::ConfigDelta& delta, std::size_t member);
  /// Takes a whole step; false if it can't be taken here.
  bool TakeStep(const wire::DocumentChange& step);
  void BeginFetch(const wire::DocumentChange& step, std::size_t member);
  void FetchPiece();
  void OnPiece(const Result<wire::Body>& reply);
  void EndFetch();
  /// Turns a question to the leader if the member that is asked has not told what the leader has.
  void CheckBehind(Question& question, bool behind, Instant now);
  /// The member of a question lags or doesn't answer.
  void TurnAway(Question& question, Instant now);
  void PublishDocument();

  PollerCallbacks m_port;
  Question m_servers;
  Question m_documents;
  std::int64_t m_servers_index = 0;
  std::int64_t m_leader_term = 0;
  std::shared_ptr<const wire::Document> m_document = std::make_shared<const wire::Document>();
  std::int64_t m_published = 0;    ///< Version that was last handed on.
  bool m_whole_wanted = false;     ///< A step could not be taken: the next answer begins anew.
  std::unique_ptr<Fetch> m_fetch;  ///< Null: none.
};

}  // namespace poppyway
