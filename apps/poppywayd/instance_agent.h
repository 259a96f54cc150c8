// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "broker_service.h"
#include "poppyway/forward.h"
#include "poppyway/gateway.h"
#include "poppyway/polling.h"
#include "poppyway/settings.h"
#include "poppyway/state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Whether an instance needs others to reach backend servers, or passes on their calls.
struct RelayStatus {
  bool m_cut_off = false;  ///< It reaches no servers itself, or may not.
  bool m_may_help = true;

  friend bool operator==(const RelayStatus&, const RelayStatus&) = default;
};

/// \brief Client of the members and the brokers on every instance: it sends heartbeats, polls the
/// configuration, proposes ledger commands and sends demands. Not thread-safe: it belongs to the
/// control task.
class InstanceAgent {
 public:
  /// `loop` and `brokers` must outlive the agent.
  /// \param to_gateway sends a message to the gateway task.
  InstanceAgent(EventLoop& loop,
                const DaemonSettings& settings,
                std::string incarnation,
                BrokerService& brokers,
                std::function<void(ControlMessage)> to_gateway);

  /// Sends updates to the forwarder instead of the gateway. Hosted deployments only.
  void SetForwarder(ForwarderPort port) { m_forwarder = std::move(port); }
  /// Creates the object through which the forwarder sends slot requests to the slot broker. Hosted
  /// deployments only.
  [[nodiscard]] BrokerPort MakeSlotBrokerPort();
  /// Creates the object through which the forwarder reports crashes of servers. Hosted deployments
  /// only.
  [[nodiscard]] CrashReportPort MakeCrashReportPort();
  /// Sets how the agent learns whether the forwarder needs help or may help others. Hosted
  /// deployments only.
  void SetRelayStatusReader(std::function<RelayStatus()> read) { m_relay_status = std::move(read); }
  /// Adds addresses at which members can be reached.
  void AddSeeds(const std::vector<MemberSettings>& seeds);
  /// Sends heartbeats, polls and ledger commands that are due.
  void Tick(Instant now);
  /// Handles a message of the gateway task.
  void HandleMessage(GatewayMessage message);
  /// Stops the brokers of this instance, notifies the leader and drains the gateway. A repeated
  /// call has no effect.
  void BeginShutdown();
  /// Returns true once the gateway has drained and no ledger command is queued or in flight.
  [[nodiscard]] bool ShutdownComplete() const;
  /// Forwards an operator's request to the leader and passes its response to `reply`, or
  /// `kNoMajority` if the leader doesn't respond.
  void Forward(const wire::Body& body, const std::function<void(wire::Body)>& reply);
  [[nodiscard]] std::int64_t version() const noexcept { return m_version; }
  /// Returns true while commands for the ledger wait to be sent.
  [[nodiscard]] bool HasPendingWork() const { return !m_commands.empty(); }
  void AddMetrics(MetricSet& metrics) const;
  [[nodiscard]] SendQueueStats queue_stats() const;
  /// Returns the bytes sent to members and brokers.
  [[nodiscard]] std::uint64_t bytes_sent() const;

 private:
  struct QueuedCommand {
    wire::Command m_command;
    RequestRef m_ref = 0;  ///< The request that waits for the claim; zero for a finish.
    Instant m_queued_at{};
    Instant m_deadline{};  ///< Deadline of the request.
    Instant m_expires{};
    int m_attempts = 0;  ///< Number of times that the command was sent to a leader.
  };
  /// The lease of a pool's broker and the connection to its holder.
  struct BrokerConnection {
    wire::LeaseGrant m_lease;
    std::unique_ptr<PeerClient> m_client;
    std::int64_t m_sequence = 0;             ///< Of the last demand that was sent.
    std::map<std::int64_t, Instant> m_sent;  ///< Send time of each demand, by sequence number.
    std::int64_t m_session = 0;              ///< The gateway names it in its demands.
    std::int64_t m_session_from = 1;         ///< Sequence number of the session's first demand.
  };

  void SendHeartbeat(Instant now);
  void OnHeartbeatReply(const wire::HeartbeatReply& reply, Instant sent);
  void OnLeaderError(const Result<wire::Body>& reply);
  /// Returns the member to ask after the current leader didn't respond as one.
  [[nodiscard]] std::size_t NextMember() const;
  void ApplyLeases(int live, Instant sent);
  void Poll();
  void OnDelta(const wire::ConfigDelta& delta);
  /// Takes over the members, the leader's versions and term, and the count of live instances.
  /// Hosted deployments only.
  void OnHostedHeartbeatReply(const wire::HeartbeatReply& reply, Instant sent);
  /// Returns the poller's callbacks, which send its polls and pass updates to the forwarder. Hosted
  /// deployments only.
  [[nodiscard]] PollerCallbacks MakePollerCallbacks();
  /// Switches to the leader that a member names, if the leader's term is later than the known one.
  void OnLeaderNamed(const wire::ConfigDelta& delta);
  /// Handles a message of the member at `index` that is no response to a request.
  void OnPush(std::size_t index, const wire::Body& body);
  /// Handles the loss of the connection to the member at `index`.
  void OnMemberDisconnected(std::size_t index);
  /// Reports the broker as disconnected to the forwarder and sends a heartbeat at the next tick,
  /// whose response names the broker. For a broker that doesn't respond or doesn't know this
  /// instance.
  void RediscoverBroker();
  /// Queues a report of the forwarder as a command for the leader.
  void QueueCrashReport(const CrashReport& report);
  /// Tells the forwarder that a leader has committed its report.
  void OnCrashReported(const wire::CrashReport& report);
  /// Tells the forwarder until when its document is confirmed.
  void PublishConfirmation();
  /// Adds the members that a leader lists, with their data centres.
  void UpdateMembers(const std::vector<wire::MemberInfo>& members);
  /// Returns the index of the member to poll next. Hosted deployments only.
  [[nodiscard]] std::size_t ChooseSource(Instant now) const;
  /// Excludes a member that lags or doesn't respond from polling for a while.
  void ExcludeSource(std::size_t member, Instant now);
  /// Switches polling to the next member, since the current one lags or doesn't respond.
  void PollNext();
  /// Returns the index of the member at this endpoint, and adds the member if it is new.
  [[nodiscard]] std::size_t FindOrAddMember(const Endpoint& endpoint);
  void FlushCommands();
  void OnProposed(std::vector<QueuedCommand> sent, const Result<wire::Body>& reply);
  /// Replies to an expired claim that the ledger is unavailable, and queues the key's release.
  void GiveUp(const QueuedCommand& command);
  void Answer(RequestRef ref, const wire::ClaimResult& result);
  /// Logs a claim that got neither a grant nor a stored response.
  static void LogClaim(const char* event, const QueuedCommand& command);
  void ExpireCommands(Instant now);
  /// Begins a session with the broker of `pool`, in which the gateway's first demand is complete.
  /// Must be called when a demand was lost or rejected.
  void BeginSession(const std::string& pool);
  void OnDemand(const SendDemand& message);
  void OnGrants(const wire::Grants& grants);
  [[nodiscard]] PeerClient& Leader();

  EventLoop& m_loop;
  DaemonSettings m_settings;
  std::string m_incarnation;
  BrokerService& m_brokers;
  std::function<void(ControlMessage)> m_to_gateway;
  ForwarderPort m_forwarder;
  std::vector<std::unique_ptr<PeerClient>> m_members;
  std::vector<Endpoint> m_member_endpoints;  ///< Endpoint of each of `m_members`.
  /// For each of `m_members`, its data centre and until when it isn't polled.
  std::vector<PollSource> m_sources;
  std::int64_t m_members_digest = 0;  ///< Digest of the members that a leader last listed.
  std::size_t m_leader = 0;           ///< Index of the presumed leader.
  std::size_t m_poll_member = 0;      ///< Index of the member that is polled.
  bool m_polling = false;
  std::unique_ptr<HostedStatePoller> m_poller;  ///< Null unless the deployment is hosted.
  std::int64_t m_leader_document = 0;  ///< Highest document version that a leader reported.
  std::int64_t m_leader_servers = 0;   ///< Highest index of servers that a leader reported.
  std::int64_t m_leader_term = 0;      ///< Term of the latest leader that was named or responded.
  bool m_broker_announced = false;     ///< The forwarder uses the broker at the leader.
  std::function<RelayStatus()> m_relay_status;
  Instant m_helpers_at{};               ///< When a leader last named helpers.
  Instant m_answered_heartbeat_sent{};  ///< Send time of the last heartbeat that a leader answered.
  Instant m_published_until{};
  Instant m_poll_after{};
  Instant m_heartbeat_due{};
  int m_heartbeats_out = 0;
  Instant m_last_contact{};           ///< Send time of the last answered heartbeat.
  std::int64_t m_leader_version = 0;  ///< Highest configuration version that a leader reported.
  bool m_caught_up = false;           ///< That version or a later one has been in force here.
  /// Caught up, and the last contact is recent enough to report this instance as ready.
  bool m_configuration_fresh = false;
  bool m_stopping = false;
  bool m_drained = false;
  std::int64_t m_version = 0;              ///< Version of `m_declarations`.
  ParsedDeclarations m_declarations;       ///< Last configuration received from a member.
  std::vector<wire::LeaseGrant> m_leases;  ///< Leases that the leader last listed.
  std::int64_t m_leases_seen = 0;          ///< Log index of that list.
  std::deque<QueuedCommand> m_commands;
  int m_proposals_out = 0;
  Instant m_propose_after{};
  std::map<std::string, BrokerConnection> m_broker_connections;  ///< By pool.
  std::uint64_t m_claims = 0;
  std::uint64_t m_claims_unavailable = 0;
  std::uint64_t m_leader_calls_failed = 0;
};

}  // namespace poppyway
