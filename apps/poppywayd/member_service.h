// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "log_writer.h"
#include "membership_watch.h"
#include "poppyway/log.h"
#include "poppyway/settings.h"
#include "poppyway/state.h"
#include "poppyway/telemetry.h"
#include "poppyway/wire.h"
#include "registration_limit.h"
#include "rollout_controller.h"
#include "slot_broker_service.h"

namespace poppyway {

/// \brief Sends the response to one request.
using ReplyFn = std::function<void(wire::Body)>;

/// \brief A member of the replicated log: it drives `LogNode` with storage, peers and the state
/// machine. Not thread-safe: it belongs to the control task.
class MemberService {
 public:
  /// `loop` must outlive the service. `Open` must succeed before any other function is called.
  MemberService(EventLoop& loop, const DaemonSettings& settings);
  ~MemberService();

  /// Opens the data folder and restores the state from it, or returns why that failed.
  [[nodiscard]] Result<void> Open();
  /// Adds members through which this one can join. Hosted deployments only.
  void AddSeeds(const std::vector<MemberSettings>& seeds);
  /// Advances elections and proposals, retries a full disk and responds to polls that are due.
  void Tick(Instant now);

  /// Handles a message of another member's replicated log.
  void OnLogMessage(const wire::LogMessage& message);
  /// Handles another member's introduction. A blank member notes it for the first start; the leader
  /// notes a blank or unknown member as one that joins. Replies with this member's own
  /// introduction.
  void OnHello(const wire::Hello& hello, const ReplyFn& reply);
  /// Proposes commands. Replies once every command is committed and applied, or with an error.
  void OnPropose(const wire::Propose& propose, const ReplyFn& reply);
  /// Records an instance's heartbeat. Replies with the leases and versions, or with `kNotLeader`
  /// unless this member is confirmed as leader.
  void OnHeartbeat(const wire::Heartbeat& heartbeat, const ReplyFn& reply);
  /// Handles a batch of slot requests and reports about slots; responses go over `from`.
  void OnSlotBatch(const wire::PlaceBatch& batch, PeerConnection& from);
  /// Replies as soon as the state is newer than the caller's, or after the poll's wait.
  void OnPoll(const wire::ConfigPoll& poll, const ReplyFn& reply);
  /// Replies with a piece of a document change, without bytes if the change is no longer kept.
  void OnPieceRequest(const wire::PieceRequest& request, const ReplyFn& reply);
  void OnObjects(const wire::ObjectsRequest& request, const ReplyFn& reply);
  [[nodiscard]] wire::StatusReply Status() const;

  /// Submits an operator's document, on any member. Replies `done` once it is committed, or with an
  /// error after which the caller may retry at any member. Hosted deployments only, as are the
  /// functions below up to `SetSlowStartLimitReader`.
  void SubmitDocument(const wire::Document& document, const ReplyFn& reply);
  /// Submits a document that another member forwards as the change from the version held there.
  /// Replies `kVersionConflict` if this member holds another version. Precondition: this member
  /// leads.
  void SubmitDocumentChange(const wire::DocumentChange& change, const ReplyFn& reply);
  /// Replies with the changes from another member's version to the newest document, or with an
  /// error unless this member is confirmed as leader.
  void ReadDocumentSteps(const wire::DocumentRead& read, const ReplyFn& reply);
  /// Replies with the newest accepted document, or with an error if no confirmed leader responds.
  void ReadDocument(const ReplyFn& reply);
  /// Handles the heartbeat or deregistration of a backend server. Replies `done` once its content
  /// is committed, so that every connected instance will receive it, or with an error.
  void SubmitServer(const wire::ServerRecord& record, const ReplyFn& reply);

  /// Submits an operator's order of a roll-out. Replies `done` once it is committed, also to a
  /// repeated order, or with an error.
  void SubmitRollout(const wire::RolloutOrder& order, const ReplyFn& reply);
  /// Replies with the last roll-out of a pool, or with an error if there was none or no confirmed
  /// leader responds.
  void ReadRollout(const std::string& pool, const ReplyFn& reply);

  /// Submits an operator's order to begin or end the evacuation of a data centre. Replies `done`
  /// once it is committed, also to a repeated order, or with an error after which the caller may
  /// retry at any member.
  void SubmitEvacuation(const wire::EvacuationOrder& order, const ReplyFn& reply);

  /// Reads the slow-start limits from an operator's document. Returns them by pool, or why the
  /// document can't be decoded.
  using SlowStartLimitReader =
      std::function<Result<std::map<std::string, SlowStartLimit>>(const wire::Document&)>;
  /// Sets the reader and reads the limits of the current document.
  void SetSlowStartLimitReader(SlowStartLimitReader reader);

  [[nodiscard]] bool is_leader() const noexcept { return m_node.m_role == Role::kLeader; }
  /// Returns the `kNotLeader` error, with the leader's address if another member is known to lead.
  [[nodiscard]] wire::Body NotLeader() const;
  void AddMetrics(MetricSet& metrics) const;
  [[nodiscard]] SendQueueStats queue_stats() const;
  /// Returns true if this member leads with a quorum, or had contact with its leader within the
  /// longest election timeout.
  [[nodiscard]] bool IsConnectedToQuorum(Instant now) const;
  /// Returns the bytes sent to other members.
  [[nodiscard]] std::uint64_t bytes_sent() const;

 private:
  /// Why proposals fail when another member may lead.
  static constexpr const char* kLeadershipLost = "leadership was lost";

  /// Operators' documents, of one or several versions, that are acknowledged together.
  struct DocumentOrder {
    wire::Document m_document;  ///< The newest of the documents.
    std::vector<ReplyFn> m_replies;
  };
  /// A poll whose response waits for a change or the poll's timeout.
  struct PendingPoll {
    wire::ConfigPoll m_poll;
    ReplyFn m_reply;
    Instant m_expires{};
  };

  /// This member's role and known leader, compared before and after a step of the log.
  struct RoleState {
    Role m_role = Role::kFollower;
    MemberId m_leader = 0;
  };
  [[nodiscard]] RoleState CurrentRole() const { return {m_node.m_role, m_node.m_leader}; }
  /// Logs whether this member started or stopped leading, or found or lost a leader.
  /// \param last_contact the last contact with the leader before the step, or when this member
  /// began to lead.
  void LogRoleChange(const RoleState& before, Instant last_contact, Instant now) const;

  /// Queues effects for the next flush.
  void QueueEffects(LogEffects&& effects);
  /// Sends and applies the queued effects and starts to save them.
  void Flush();
  /// Sends the messages that depend on durable state only; the others wait for the next save.
  void SendOrDefer(std::vector<wire::LogMessage> messages);
  /// Sends or defers the messages of the queued effects and adds the rest to the unsaved effects.
  /// Returns the entries that are to be applied.
  [[nodiscard]] std::vector<wire::LogEntry> ProcessEffects();
  /// Saves the unsaved effects, or a snapshot if one is due, unless a save is in progress.
  /// Precondition: `ProcessEffects` has just been called, so that the save covers the whole log.
  void StartSave();
  void OnSaved(SaveOutcome outcome);
  /// Puts effects that weren't saved before all unsaved effects that came later.
  void RequeueEffects(LogEffects&& effects);
  /// Ends the state of a full disk after a save succeeded.
  void OnDiskSpaceAvailable();
  void Apply(const std::vector<wire::LogEntry>& entries);
  void RespondToPolls(Instant now);
  void SendHellos(Instant now);
  void TryBootstrap(Instant now);
  /// Proposes the membership change that is due, if any. Precondition: this member leads.
  void ProposeMembershipIfDue(LogEffects& effects, Instant now);
  void ProposeOwnCommands(Instant now);
  [[nodiscard]] bool SnapshotDue() const;
  void SendTo(const wire::LogMessage& message);
  /// Counts the bytes of the entries that a message carries.
  void CountEntries(const wire::LogMessage& message);
  /// Returns the client of a member. In hosted deployments a member's name is its peer endpoint,
  /// and a client is added for an unknown name. Returns null if the name is this member's own or
  /// isn't an endpoint; in other deployments, if it is unknown.
  [[nodiscard]] PeerClient* FindOrAddPeer(const std::string& name);
  /// Forwards a request to the leader and passes its response to `reply`, or an error if no leader
  /// is known or it doesn't respond.
  void CallLeader(wire::Body body, const ReplyFn& reply);
  /// Proposes the change to the document. Only one change may be in progress, since it must apply
  /// to the document that is held at that time.
  void ProposeDocument(DocumentOrder order);
  void OnDocumentProposed(const wire::Body& answer);
  /// Forwards a document to the leader, as the change from the version held here or as a whole.
  void ForwardDocument(const wire::Document& document, bool whole, const ReplyFn& reply);
  /// Proposes a command and replies `done` once it is applied, or with an error.
  void CommitCommand(wire::Command command, const ReplyFn& reply);
  /// Calls `action` once this new leader's state holds all that earlier leaders committed, or
  /// `reply` with an error if that fails.
  void AwaitCommittedState(const ReplyFn& reply, std::function<void()> action);
  /// Returns this member's name: its peer endpoint in hosted deployments, otherwise the instance's.
  [[nodiscard]] std::string MemberName() const;
  /// Returns true if this member follows and its last contact with a leader is too long ago.
  [[nodiscard]] bool LacksLeader(Instant now) const;
  /// Returns true if the state is newer than the poll's and may be sent now.
  [[nodiscard]] bool HasUpdate(const wire::ConfigPoll& poll) const;
  /// Returns true if changes of servers may be sent now.
  [[nodiscard]] bool MaySendServers(const wire::ConfigPoll& poll) const;
  /// Returns the term of the known leader, which may be this member, or zero if none is known.
  [[nodiscard]] std::int64_t KnownLeaderTerm() const;
  /// Returns what the poll's caller lacks, and counts its bytes. Hosted deployments only.
  [[nodiscard]] wire::ConfigDelta MakeDelta(const wire::ConfigPoll& poll);
  [[nodiscard]] wire::MemberInfo Self() const;
  /// Returns true if this member knows no membership yet.
  [[nodiscard]] bool IsBlank() const { return m_node.m_membership.members.empty(); }
  /// Adds, on the leader, which members are silent and how many voters may still be lost.
  void AddMembershipStatus(wire::StatusReply& status, Instant now) const;
  void AddMembershipMetrics(MetricSet& metrics) const;
  /// Returns the status of each data centre for which an evacuation was ordered.
  [[nodiscard]] std::vector<wire::EvacuationStatus> EvacuationStatuses() const;
  /// Logs the error and ends the process.
  void FatalDisk(const Error& why);
  /// Puts effects back that a full disk rejected. No message is sent until a save succeeds.
  void OnDiskFull(LogEffects&& effects, const Error& why);
  /// Retries the save on a full disk if the retry is due.
  void RetryDisk(Instant now);
  /// Advances the log and, on the leader, proposes its commands and runs the slot broker.
  void Lead(Instant now);
  /// Proposes the steps of roll-outs that are due. Hosted deployments only; precondition: this
  /// member leads.
  void ProposeRollouts(Instant now);
  /// Proposes to forget requests whose last crash of a server is too long ago, if there are any.
  /// Hosted deployments only; precondition: this member leads.
  void ProposeCrashExpiry(Instant now);
  /// Logs the requests that are quarantined now.
  void LogQuarantine() const;
  [[nodiscard]] bool KnowsPool(const std::string& pool) const;
  /// Returns true if a majority has recently confirmed that this member leads and its state holds
  /// all acknowledged entries.
  [[nodiscard]] bool IsConfirmedLeader(Instant now) const;
  /// Returns whether this member is confirmed as leader; if it isn't, replies with an error.
  [[nodiscard]] bool RequireConfirmedLeader(const ReplyFn& reply) const;
  /// Returns true if this member follows a leader and its state already holds what a server's
  /// heartbeat reports, so that the leader isn't needed. Four of five heartbeats report nothing new
  /// to a member that doesn't lead; with 3,000 servers, forwarding them would make 2,000 requests
  /// per second to the leader.
  [[nodiscard]] bool IsAlreadyApplied(const wire::ServerRecord& record) const;
  /// Returns true if a server's heartbeat differs from the state, or if the server will be cold
  /// for longer than it last reported, which is judged on this member's clock.
  [[nodiscard]] bool HasServerChange(const wire::ServerRecord& record) const;
  /// Counts a heartbeat of a server that the state takes for away, and proposes that it is present
  /// once they arrive steadily. Precondition: this member leads.
  void RecordContradiction(const wire::ServerRecord& heartbeat);
  /// Proposes that servers are present which have responded to an instance in place of others.
  void RecordResponses(const wire::PlaceBatch& batch);
  void ProposePresence(const wire::ServerPresence& presence, const char* shown_by);
  /// Updates the end of the cold time of the servers that changed after log index `index`.
  void UpdateColdTimes(std::int64_t index, Instant now);
  /// Recomputes what is derived from the state after a snapshot replaced it.
  void OnStateReplaced();
  void ReadSlowStartLimits();

  EventLoop& m_loop;
  DaemonSettings m_settings;
  LogNode m_node;
  std::unique_ptr<LogWriter> m_writer;
  StateMachine m_machine;
  InstanceTable m_table;
  SlotBrokerService m_slot_broker;  ///< Hosted only; runs a broker while this member leads.
  RolloutController m_rollouts;
  SlowStartLimitReader m_slow_start_limit_reader;
  std::map<std::string, Instant> m_cold_until;  ///< End of each server's last reported cold time.
  RegistrationLimit m_registration_limit;
  ContradictingHeartbeats m_contradicting_heartbeats;
  std::uint64_t m_presences_proposed = 0;
  std::map<std::string, std::unique_ptr<PeerClient>> m_peers;  ///< By member name.
  std::map<MemberId, std::string> m_member_names;              ///< Names learned from messages.
  ClusterBootstrap m_bootstrap;
  MembershipWatch m_membership_watch;
  std::map<std::string, wire::MemberInfo> m_joining;  ///< Members that requested to join, by name.
  LogEffects m_effects;                               ///< Effects queued for the next flush.
  LogEffects m_unsaved;                      ///< Processed effects that the next save writes.
  std::vector<wire::LogMessage> m_deferred;  ///< Messages that depend on state not durable yet.
  bool m_flush_due = false;
  bool m_disk_full = false;     ///< While it is set, this member takes no part in the log.
  Instant m_disk_full_since{};  ///< Zero if the disk isn't full.
  Instant m_disk_retry{};
  Mailbox<int> m_flusher;
  PendingProposals m_pending;
  std::vector<PendingPoll> m_polls;
  DocumentHistory m_document_history;                ///< Changes of the document, kept for readers.
  std::optional<DocumentOrder> m_proposed_document;  ///< The proposal in progress.
  std::optional<DocumentOrder> m_waiting_document;   ///< Proposed after `m_proposed_document`.
  Instant m_servers_sent{};  ///< When pending polls last got changes of servers.
  Instant m_hello_due{};
  Instant m_crash_expiry_due{};  ///< When the leader next looks for old suspects of crashes.
  std::int64_t m_last_own_proposal = 0;  ///< Last log index of the leader's own open proposals.
  std::uint64_t m_syncs = 0;
  DurationHistogram m_sync_times;
  std::uint64_t m_entries_synced = 0;
  std::map<MemberId, std::int64_t> m_sent_until;  ///< Last log index sent to each member.
  std::uint64_t m_log_bytes = 0;                  ///< Bytes of entries sent to members.
  std::uint64_t m_log_bytes_resent = 0;     ///< Those of `m_log_bytes` sent to the member before.
  std::uint64_t m_heartbeats_rejected = 0;  ///< Heartbeats rejected by an unconfirmed leader.
  std::uint64_t m_poll_responses = 0;       ///< Responses to hosted polls.
  std::uint64_t m_document_bytes_sent = 0;  ///< Bytes of document changes sent.
};

}  // namespace poppyway
