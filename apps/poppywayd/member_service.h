// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "log_writer.h"
#include "poppyway/log.h"
#include "poppyway/settings.h"
#include "poppyway/state.h"
#include "poppyway/telemetry.h"
#include "poppyway/wire.h"
#include "registration_limit.h"
#include "rollout_controller.h"
#include "slot_broker_service.h"

namespace poppyway {

/// \brief Sends the answer to one peer's request.
using ReplyFn = std::function<void(wire::Body)>;

/// \brief A member of the replicated log: drives `LogNode` with storage, peers and the state
/// machine. Belongs to the control task.
class MemberService {
 public:
  MemberService(EventLoop& loop, const DaemonSettings& settings);
  ~MemberService();

  /// Opens the data folder and replays it.
  [[nodiscard]] Result<void> Open();
  /// Hosted: other members to ask for a way in.
  void AddSeeds(const std::vector<MemberSettings>& seeds);
  void Tick(Instant now);

  void OnLogMessage(const wire::LogMessage& message);
  void OnHello(const wire::Hello& hello, const ReplyFn& reply);
  /// Replies once every command is committed and applied, or with an error.
  void OnPropose(const wire::Propose& propose, const ReplyFn& reply);
  void OnHeartbeat(const wire::Heartbeat& beat, const ReplyFn& reply);
  /// Replies as soon as the version is past the caller's, or after its wait.
  /// A batch of place requests and reports about places.
  void OnPlaces(const wire::PlaceBatch& batch, PeerConnection& from);
  void OnPoll(const wire::ConfigPoll& poll, const ReplyFn& reply);
  /// Replies with a part of a step of the document, without bytes if it isn't kept.
  void OnPieceRequest(const wire::PieceRequest& request, const ReplyFn& reply);
  void OnObjects(const wire::ObjectsRequest& request, const ReplyFn& reply);
  [[nodiscard]] wire::StatusReply Status() const;

  /// Hosted deployments: replies `done` once the document is committed, here or at the leader, or
  /// an error after which the caller may send it again anywhere.
  void SubmitDocument(const wire::Document& document, const ReplyFn& reply);
  /// A document that another member passes on, as the step from the version held there.
  /// Precondition: this member leads. Replies `kVersionConflict` if it holds another version.
  void SubmitDocumentChange(const wire::DocumentChange& change, const ReplyFn& reply);
  /// Replies with the steps that lead another member to the newest document. Precondition: as
  /// above.
  void ReadDocumentSteps(const wire::DocumentRead& read, const ReplyFn& reply);
  /// Replies with the newest accepted document, or an error if that can't be made sure of.
  void ReadDocument(const ReplyFn& reply);
  /// A backend server's own call. Replies `done` once every instance in contact will learn of it.
  void SubmitServer(const wire::ServerRecord& record, const ReplyFn& reply);

  /// An operator's order. Replies `done` once it is committed, also to one that repeats it.
  void SubmitRollout(const wire::RolloutOrder& order, const ReplyFn& reply);
  /// Replies with the last roll-out of a pool, or an error if that can't be made sure of.
  void ReadRollout(const std::string& pool, const ReplyFn& reply);

  /// An operator's order for a data centre. Replies `done` once it is committed, also to one that
  /// repeats it, or an error after which the caller may send it again anywhere.
  void SubmitEvacuation(const wire::EvacuationOrder& order, const ReplyFn& reply);

  /// Hosted: reads the limits of cold servers out of an operator's document, by pool.
  using ColdLimitReader =
      std::function<Result<std::map<std::string, SlowStartLimit>>(const wire::Document&)>;
  void SetColdLimitReader(ColdLimitReader reader);

  [[nodiscard]] bool is_leader() const noexcept { return m_node.m_role == Role::kLeader; }
  /// The error for a caller that should ask the leader.
  [[nodiscard]] wire::Body NotLeader() const;
  void AddMetrics(MetricSet& metrics) const;
  [[nodiscard]] SendQueueStats queue_stats() const;
  /// True while this member leads, or follows a leader that it has heard lately.
  [[nodiscard]] bool IsConnectedToQuorum(Instant now) const;
  /// To other members.
  [[nodiscard]] std::uint64_t bytes_sent() const;

 private:
  struct PendingProposal {
    std::size_t m_left = 0;
    std::int64_t m_term = 0;
    std::vector<wire::CommandResult> m_results;
    ReplyFn m_reply;
    Instant m_expires{};
  };
  /// Operators' documents of one version or several, acknowledged together.
  struct DocumentOrder {
    wire::Document m_document;  ///< The newest of them.
    std::vector<ReplyFn> m_replies;
  };
  struct ParkedPoll {
    wire::ConfigPoll m_poll;
    ReplyFn m_reply;
    Instant m_expires{};
  };
  struct Slot {
    std::shared_ptr<PendingProposal> m_proposal;
    std::size_t m_at = 0;
  };

  /// What others may ask about this member's part in the log; compared before and after a step.
  struct Part {
    Role m_role = Role::kFollower;
    MemberId m_leader = 0;
  };
  [[nodiscard]] Part CurrentPart() const { return {m_node.m_role, m_node.m_leader}; }
  /// Writes a line if this member began or ceased to lead, or lost its leader. `heard`: when it had
  /// Writes a line if this member began or ceased to lead, or found or lost a leader. `heard`: when
  /// it had last heard the leader, or began to lead, before the step.
  void LogPartChange(const Part& before, Instant heard, Instant now) const;

  void Take(LogEffects&& effects);
  /// Sends and applies what has gathered, and begins to save it.
  void Flush();
  /// Sends what rests on durable state; the rest waits for the next save.
  void SendOrHold(std::vector<wire::LogMessage> messages);
  /// Takes up what has gathered: sends it, or holds it, and counts it as not saved yet. Returns
  /// what is to be applied.
  [[nodiscard]] std::vector<wire::LogEntry> Perform();
  /// Saves what isn't saved yet, or a snapshot that is due, unless another save is under way.
  /// Precondition: `Perform` has just been called, so that the save holds all that the log does.
  void StartSave();
  void OnSaved(SaveOutcome outcome);
  /// What was refused is saved before all that came after it.
  void PutBack(LogEffects&& effects);
  void DiskHasRoom();
  void Apply(const std::vector<wire::LogEntry>& entries);
  void FailPending(const std::string& why);
  void AnswerPolls(Instant now);
  void SayHello(Instant now);
  void TryForm(Instant now);
  void ProposeDue(Instant now);
  [[nodiscard]] bool SnapshotDue() const;
  void SendTo(const wire::LogMessage& message);
  void CountEntries(const wire::LogMessage& message);
  /// The connection to a member; null if its name is no known place.
  [[nodiscard]] PeerClient* PeerNamed(const std::string& name);
  /// Sends to the leader, or replies that there is none in reach.
  void AskLeader(wire::Body body, const ReplyFn& reply);
  /// Proposes the step to the document; one at a time, since it has to follow on what is held when
  /// it is applied.
  void ProposeDocument(DocumentOrder order);
  void OnDocumentProposed(const wire::Body& answer);
  /// Passes a document on to the leader: the step from the version held here, or the whole.
  void ForwardDocument(const wire::Document& document, bool whole, const ReplyFn& reply);
  /// Proposes commands of this leader and replies `done` once they are applied.
  void Commit(wire::Command command, const ReplyFn& reply);
  /// Calls `act` once this new leader's state holds all that earlier ones committed, or `reply`
  /// with why that failed.
  void AwaitState(const ReplyFn& reply, std::function<void()> act);
  [[nodiscard]] std::string MemberName() const;
  [[nodiscard]] bool LacksLeader(Instant now) const;
  [[nodiscard]] bool HasNews(const wire::ConfigPoll& poll) const;
  /// True if changes of servers may be told now.
  [[nodiscard]] bool MayTellServers(const wire::ConfigPoll& poll) const;
  /// The term of the leader that this member follows or is; zero: it knows none.
  [[nodiscard]] std::int64_t KnownLeaderTerm() const;
  [[nodiscard]] wire::ConfigDelta NewsFor(const wire::ConfigPoll& poll);
  [[nodiscard]] wire::MemberInfo Self() const;
  [[nodiscard]] bool Blank() const { return m_node.m_membership.members.empty(); }
  /// What status shows of each data centre that an order was given for.
  [[nodiscard]] std::vector<wire::EvacuationStatus> EvacuationStatuses() const;
  void FatalDisk(const Error& why);
  /// The disk has no room for these effects: nothing more is sent until it has.
  void HoldBack(LogEffects&& effects, const Error& why);
  /// Tries again what was held back.
  void RetryDisk(Instant now);
  /// Elections, proposals of its own, the broker of places.
  void Lead(Instant now);
  void ExpireProposals(Instant now);
  /// Hosted, as the leader: what is due of roll-outs.
  void ProposeRollouts(Instant now);
  [[nodiscard]] bool KnowsPool(const std::string& pool) const;
  /// True if a majority has confirmed lately that this member leads, and its state holds all that
  /// is acknowledged.
  [[nodiscard]] bool Confirmed(Instant now) const;
  /// True if it is confirmed; if not, replies so.
  [[nodiscard]] bool LeadsForSure(const ReplyFn& reply) const;
  /// Following a leader, this member has applied what the server's call says: it needs no leader.
  /// Four heartbeats of five tell nothing new at another member; with 3,000 servers that were 2,000
  /// calls a second passed on to the leader.
  [[nodiscard]] bool KnowsAlready(const wire::ServerRecord& record) const;
  /// True if a server's call says what the state doesn't: also that it is cold for longer than it
  /// said last, which takes a clock.
  [[nodiscard]] bool TellsNews(const wire::ServerRecord& record) const;
  /// Notes until when servers that changed after `index` said that they are cold.
  void ExpectWarmth(std::int64_t index, Instant now);
  /// A snapshot took the place of the state: what is derived from it is worked out anew.
  void OnStateReplaced();
  void ReadColdLimits();

  EventLoop& m_loop;
  DaemonSettings m_settings;
  LogNode m_node;
  std::unique_ptr<LogWriter> m_writer;
  StateMachine m_machine;
  InstanceTable m_table;
  SlotBrokerService m_places;
  RolloutController m_rollouts;
  ColdLimitReader m_cold_limit_reader;
  std::map<std::string, Instant> m_cold_until;  ///< By server, as each said last.
  RegistrationLimit m_registry;
  std::map<std::string, std::unique_ptr<PeerClient>> m_peers;  ///< By member name.
  std::map<MemberId, std::string> m_names;                     ///< Learned from messages.
  ClusterBootstrap m_bootstrap;
  std::map<std::string, wire::MemberInfo> m_joining;  ///< Members that asked to join, by name.
  LogEffects m_effects;                               ///< What the next flush performs.
  LogEffects m_unsaved;                  ///< Of effects performed, what the next save takes.
  std::vector<wire::LogMessage> m_held;  ///< Until what they rest on is durable.
  bool m_flush_due = false;
  bool m_disk_full = false;     ///< This member takes no part meanwhile.
  Instant m_disk_full_since{};  ///< Zero: it isn't.
  Instant m_disk_retry{};
  Mailbox<int> m_flusher;
  std::map<std::int64_t, Slot> m_pending;  ///< By log index.
  std::vector<ParkedPoll> m_polls;
  DocumentHistory m_document_history;
  std::optional<DocumentOrder> m_proposed_document;  ///< Under way.
  std::optional<DocumentOrder> m_waiting_document;   ///< Comes after it.
  Instant m_servers_told{};  ///< When parked polls last got changes of servers.
  Instant m_hello_due{};
  std::int64_t m_proposing_until = 0;  ///< Leader's own proposals up to here are under way.
  std::uint64_t m_syncs = 0;
  DurationHistogram m_sync_times;
  std::uint64_t m_entries_synced = 0;
  std::map<MemberId, std::int64_t> m_sent_until;  ///< Last log index that each was sent.
  std::uint64_t m_log_bytes = 0;                  ///< Of entries sent to members.
  std::uint64_t m_log_bytes_again = 0;            ///< Of those, sent before to the same member.
  std::uint64_t m_beats_refused = 0;              ///< As a leader that wasn't confirmed.
  std::uint64_t m_news_answers = 0;               ///< To questions for news.
  std::uint64_t m_news_bytes = 0;                 ///< Of documents in them.
};

}  // namespace poppyway
