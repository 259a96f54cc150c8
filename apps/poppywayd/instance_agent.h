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

/// \brief What every instance does towards the members and the brokers: heartbeats, configuration,
/// ledger claims, demands. Belongs to the control task.
class InstanceAgent {
 public:
  InstanceAgent(EventLoop& loop,
                const DaemonSettings& settings,
                std::string incarnation,
                BrokerService& brokers,
                std::function<void(ControlMessage)> to_gateway);

  /// Hosted: news goes to the forwarder instead of the gateway.
  void SetForwarder(ForwarderPort port) { m_forwarder = std::move(port); }
  /// Hosted: how the forwarder reaches the broker of places.
  [[nodiscard]] BrokerPort MakeSlotBrokerPort();
  void AddSeeds(const std::vector<MemberSettings>& seeds);
  void Tick(Instant now);
  void HandleMessage(GatewayMessage message);
  /// Stops acting as broker, tells the leader, drains the gateway.
  void BeginShutdown();
  /// True once the gateway has drained and the ledger knows all that it has to know.
  [[nodiscard]] bool ShutdownComplete() const;
  /// Passes an operator's request on to the leader.
  void Forward(const wire::Body& body, const std::function<void(wire::Body)>& reply);
  [[nodiscard]] std::int64_t version() const noexcept { return m_version; }
  /// True while commands for the ledger wait.
  [[nodiscard]] bool HasPendingWork() const { return !m_commands.empty(); }
  void AddMetrics(MetricSet& metrics) const;
  [[nodiscard]] SendQueueStats queue_stats() const;
  /// To members and brokers.
  [[nodiscard]] std::uint64_t bytes_sent() const;

 private:
  struct QueuedCommand {
    wire::Command m_command;
    RequestRef m_ref = 0;  ///< Of the exchange that waits for a claim; zero for a finish.
    Instant m_asked{};
    Instant m_deadline{};  ///< Of the request.
    Instant m_expires{};
    int m_tries = 0;  ///< Times that it was sent to a leader.
  };
  struct BrokerLine {
    wire::LeaseGrant m_lease;
    std::unique_ptr<PeerClient> m_client;
    std::int64_t m_sequence = 0;
    std::map<std::int64_t, Instant> m_sent;  ///< When each demand went out, by sequence.
  };

  void Beat(Instant now);
  void OnBeatReply(const wire::HeartbeatReply& reply, Instant sent);
  void OnLeaderError(const Result<wire::Body>& reply);
  void TakeLeases(int live, Instant sent);
  void Poll();
  void OnDelta(const wire::ConfigDelta& delta);
  /// Hosted: takes the members, what the leader confirms, and the load of the other instances.
  void OnHostedBeat(const wire::HeartbeatReply& reply, Instant sent);
  /// Hosted: how news is read, and where it goes.
  [[nodiscard]] PollerCallbacks MakePollerCallbacks();
  /// Turns to the leader that a member has named in a later term.
  void OnLeaderNamed(const wire::ConfigDelta& delta);
  /// A message that answers no call, or the loss of the connection, from the member at `index`.
  void OnPush(std::size_t index, const wire::Body& body);
  void OnMemberLost(std::size_t index);
  /// The broker doesn't answer or doesn't know this instance: it is told anew.
  void FindBrokerAnew();
  /// Tells the forwarder until when its document may be acted on.
  void PublishConfirmation();
  /// Takes the members that a leader lists, with their data centres.
  void TakeMembers(const std::vector<wire::MemberInfo>& members);
  /// Hosted: the member to poll next.
  [[nodiscard]] std::size_t NearestSource(Instant now) const;
  /// A member lags or doesn't answer: others are read for a while.
  void AvoidSource(std::size_t member, Instant now);
  /// The member that is polled lags or doesn't answer: the next one is asked.
  void PollNext();
  /// Index of the contact at this place, added if it is new.
  [[nodiscard]] std::size_t ContactAt(const Endpoint& place);
  void FlushCommands();
  void OnProposed(std::vector<QueuedCommand> sent, const Result<wire::Body>& reply);
  void GiveUp(const QueuedCommand& command);
  void Answer(RequestRef ref, const wire::ClaimResult& result);
  /// One line on a claim that got neither a grant nor an earlier answer.
  static void LogClaim(const char* event, const QueuedCommand& command);
  void ExpireCommands(Instant now);
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
  std::vector<Endpoint> m_places;     ///< Of `m_members`.
  std::vector<PollSource> m_sources;  ///< Of `m_members`.
  std::int64_t m_members_digest = 0;  ///< Of the members as a leader last listed them.
  std::size_t m_leader = 0;           ///< Index of the member believed to lead.
  std::size_t m_poll_member = 0;      ///< Index of the member that is polled.
  bool m_polling = false;
  std::unique_ptr<HostedStatePoller> m_poller;  ///< Null: not hosted.
  std::int64_t m_leader_document = 0;           ///< As the leader last said.
  std::int64_t m_leader_servers = 0;
  std::int64_t m_leader_term = 0;  ///< Of the latest leader that was named or answered.
  bool m_broker_told = false;      ///< The forwarder knows of the broker at the leader.
  Instant m_leader_asked{};        ///< When the heartbeat that it answered was sent.
  Instant m_published_until{};
  Instant m_poll_after{};
  Instant m_beat_due{};
  int m_beats_out = 0;
  Instant m_contact{};                ///< When the last answered heartbeat was sent.
  std::int64_t m_leader_version = 0;  ///< As a leader last said.
  bool m_caught_up = false;           ///< That version, or a later one, has been in force here.
  bool m_fresh = false;
  bool m_stopping = false;
  bool m_drained = false;
  std::int64_t m_version = 0;
  ParsedDeclarations m_declarations;
  std::vector<wire::LeaseGrant> m_leases;  ///< As the leader last listed them.
  std::int64_t m_leases_seen = 0;          ///< Log index of that list.
  std::deque<QueuedCommand> m_commands;
  int m_proposals_out = 0;
  Instant m_propose_after{};
  std::map<std::string, BrokerLine> m_lines;  ///< By pool.
  std::uint64_t m_claims = 0;
  std::uint64_t m_claims_unavailable = 0;
  std::uint64_t m_beats_lost = 0;
};

}  // namespace poppyway
