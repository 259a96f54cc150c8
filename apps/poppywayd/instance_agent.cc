// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "instance_agent.h"

#include <algorithm>

#include "broker_convert.h"

namespace poppyway {
namespace {

constexpr std::size_t kMaxBatch = 256;  // Commands in one proposal.
constexpr int kMaxProposalsOut = 4;
constexpr std::size_t kMaxCommands = 100'000;
constexpr std::size_t kMaxSequences = 512;  // Demands whose send time is kept, for each broker.
constexpr Duration kProposeTimeout{1'000'000};
constexpr Duration kProposeBackoff{50'000};
constexpr Duration kMinClaimTimeout{2'000'000};
constexpr Duration kFinishTimeout{60'000'000};
constexpr Duration kPollBackoff{100'000};
// A member that lags is a follower that was partitioned or is restarting; it has caught up by then.
constexpr Duration kSourceExclusion{5'000'000};
constexpr std::int64_t kPollWaitMs = 5'000;
// An instance that reaches servers itself asks for helpers at this interval; one that doesn't, with
// each heartbeat.
constexpr Duration kHelpersAge{5'000'000};
constexpr Duration kApplyPauseFactor{100};  // The pause for each microsecond that applying took.
constexpr Duration kMaxApplyPause{2'000'000};
constexpr Duration kForwardTimeout{5'000'000};

wire::LedgerFinish MakeRelease(const wire::LedgerClaim& claim) {
  wire::LedgerFinish finish;
  finish.key = claim.key;
  finish.owner = claim.owner;
  finish.ref = claim.ref;
  finish.kind = wire::FinishKind::NOT_RUN;
  return finish;
}

/// Returns when a claim expires. Leader changes and slow disks are transient, so a request that
/// needs the ledger waits for half of its remaining time and keeps the other half for its run, but
/// waits at least the minimum. A request that may run without the ledger waits the minimum only.
Instant ClaimExpiry(const ClaimKey& claim, Instant now) {
  const Duration half = (claim.m_deadline - now) / 2;
  return now + (claim.m_needs_ledger ? std::max(half, kMinClaimTimeout) : kMinClaimTimeout);
}

}  // namespace

InstanceAgent::InstanceAgent(EventLoop& loop,
                             const DaemonSettings& settings,
                             std::string incarnation,
                             BrokerService& brokers,
                             std::function<void(ControlMessage)> to_gateway)
    : m_loop(loop),
      m_settings(settings),
      m_incarnation(std::move(incarnation)),
      m_brokers(brokers),
      m_to_gateway(std::move(to_gateway)) {
  for (const MemberSettings& member : settings.m_members)
    (void)FindOrAddMember(member.m_peer);
  // The hash spreads the instances' polls over the members.
  m_poll_member = Hash(m_incarnation) % m_members.size();
  if (m_settings.m_hosted)
    m_poller = std::make_unique<HostedStatePoller>(MakePollerCallbacks());
}

std::size_t InstanceAgent::FindOrAddMember(const Endpoint& endpoint) {
  const auto known = std::find(m_member_endpoints.begin(), m_member_endpoints.end(), endpoint);
  if (known != m_member_endpoints.end())
    return static_cast<std::size_t>(known - m_member_endpoints.begin());
  m_member_endpoints.push_back(endpoint);
  m_sources.emplace_back();
  const std::size_t index = m_member_endpoints.size() - 1;
  m_members.push_back(std::make_unique<PeerClient>(m_loop, endpoint.m_address, endpoint.m_port));
  if (m_settings.m_hosted) {
    m_members.back()->SetOnPush([this, index](wire::Body body) { OnPush(index, body); });
    m_members.back()->SetOnLost([this, index] { OnMemberDisconnected(index); });
  }
  return index;
}

void InstanceAgent::AddSeeds(const std::vector<MemberSettings>& seeds) {
  for (const MemberSettings& seed : seeds)
    m_sources[FindOrAddMember(seed.m_peer)].m_removed = false;
}

PeerClient& InstanceAgent::Leader() {
  return *m_members[m_leader];
}

void InstanceAgent::Tick(Instant now) {
  if (now >= m_heartbeat_due)
    SendHeartbeat(now);
  // Right after a restart of all instances, a lagging member may send an older configuration than
  // the accepted one, so this instance isn't ready until a leader's version is in force here.
  m_caught_up = m_caught_up ||
                (m_last_contact != Instant{} && m_version > 0 && m_version >= m_leader_version);
  const bool fresh =
      m_caught_up && now - m_last_contact < std::chrono::milliseconds(m_settings.m_stale_after_ms);
  if (fresh != m_configuration_fresh) {
    m_configuration_fresh = fresh;
    POPPYWAY_LOG(info, "freshness").Field("fresh", fresh).Field("version", m_version);
    m_to_gateway(ConfigFreshness{fresh});
  }
  if (m_poller)
    m_poller->Tick(m_leader_document, m_leader_servers, now);
  else if (!m_polling && now >= m_poll_after)
    Poll();
  ExpireCommands(now);
  FlushCommands();
}

void InstanceAgent::SendHeartbeat(Instant now) {
  m_heartbeat_due = now + std::chrono::milliseconds(m_settings.m_heartbeat_ms);
  wire::Heartbeat heartbeat;
  heartbeat.instance = m_settings.m_instance;
  heartbeat.incarnation = m_incarnation;
  heartbeat.address = m_settings.m_peer.m_address;
  heartbeat.port = m_settings.m_peer.m_port;
  heartbeat.data_centre = m_settings.m_data_centre;
  heartbeat.version_in_force = m_version;
  heartbeat.ready = m_configuration_fresh && !m_stopping;
  heartbeat.stopping = m_stopping;
  heartbeat.http = ToText(m_settings.m_http);
  heartbeat.leases_seen = m_leases_seen;
  heartbeat.members_seen = m_members_digest;
  if (m_poller) {
    heartbeat.version_in_force = m_poller->document_version();
    const RelayStatus status = m_relay_status ? m_relay_status() : RelayStatus{};
    heartbeat.relay_port = status.m_may_help ? m_settings.m_relay.m_port : 0;
    heartbeat.cut_off = status.m_cut_off;
    heartbeat.wants_helpers = heartbeat.cut_off || now - m_helpers_at >= kHelpersAge;
  }
  wire::Body body;
  body.__set_heartbeat(heartbeat);
  Leader().Call(std::move(body), std::chrono::milliseconds(m_settings.m_lease_ms) / 3,
                [this, now, recipient = m_leader](Result<wire::Body> reply) {
                  if (m_settings.m_hosted && recipient != m_leader)
                    return;  // This instance has switched to another leader since.
                  if (reply && reply->__isset.heartbeat_reply)
                    OnHeartbeatReply(reply->heartbeat_reply, now);
                  else if (!reply && Leader().last_message_time() > now)
                    m_heartbeat_due = ReadClock();  // The leader is alive; only this reply is late.
                  else
                    OnLeaderError(reply);
                });
}

void InstanceAgent::OnHeartbeatReply(const wire::HeartbeatReply& reply, Instant sent) {
  m_last_contact = std::max(m_last_contact, sent);
  m_leader_version = std::max(m_leader_version, reply.version);
  if (m_settings.m_hosted) {
    OnHostedHeartbeatReply(reply, sent);
    return;
  }
  if (!reply.leases_same) {
    m_leases = reply.leases;
    m_leases_seen = reply.leases_index;
  }
  ApplyLeases(reply.live, sent);
}

std::size_t InstanceAgent::NextMember() const {
  for (std::size_t step = 1; step < m_members.size(); ++step) {
    const std::size_t next = (m_leader + step) % m_members.size();
    if (!m_sources[next].m_removed)
      return next;
  }
  return (m_leader + 1) % m_members.size();
}

/// Switches to the member that the response names as leader, or to the next one.
void InstanceAgent::OnLeaderError(const Result<wire::Body>& reply) {
  ++m_leader_calls_failed;
  if (m_broker_announced && m_forwarder.m_send)
    m_forwarder.m_send(BrokerDisconnected{});
  m_broker_announced = false;
  const bool named = reply && reply->__isset.error && reply->error.leader_port != 0;
  std::size_t next = NextMember();
  if (named)
    next = FindOrAddMember(
        {reply->error.leader_address, static_cast<std::uint16_t>(reply->error.leader_port)});
  m_leader = next;
  m_heartbeat_due = std::min(m_heartbeat_due, ReadClock() + kProposeBackoff);
}

void InstanceAgent::ApplyLeases(int live, Instant sent) {
  const Instant now = ReadClock();
  for (const wire::LeaseGrant& lease : m_leases) {
    const bool ours = lease.holder == m_incarnation;
    if (ours && !m_stopping) {
      const Instant valid_until = sent + std::chrono::milliseconds(m_settings.m_lease_ms);
      m_brokers.OnLease(lease, live, valid_until, now);
    } else {
      m_brokers.OnLeaseLost(lease.lease);
    }
    BrokerConnection& connection = m_broker_connections[lease.lease];
    if (connection.m_client && connection.m_lease.epoch >= lease.epoch)
      continue;
    connection.m_lease = lease;
    connection.m_sent.clear();
    connection.m_client =
        std::make_unique<PeerClient>(m_loop, lease.address, static_cast<std::uint16_t>(lease.port));
    connection.m_client->SetOnPush([this](wire::Body body) {
      if (body.__isset.grants)
        OnGrants(body.grants);
    });
    connection.m_client->SetOnLost([this, pool = lease.lease] { BeginSession(pool); });
    BeginSession(lease.lease);
  }
}

void InstanceAgent::Poll() {
  m_polling = true;
  wire::ConfigPoll poll;
  poll.have_version = m_version;
  poll.wait_ms = kPollWaitMs;
  wire::Body body;
  body.__set_poll(poll);
  const Duration timeout = std::chrono::milliseconds(kPollWaitMs) + kForwardTimeout;
  m_members[m_poll_member]->Call(std::move(body), timeout, [this](Result<wire::Body> reply) {
    m_polling = false;
    if (reply && reply->__isset.delta)
      OnDelta(reply->delta);
    else
      PollNext();
  });
}

void InstanceAgent::PollNext() {
  m_poll_member = (m_poll_member + 1) % m_members.size();
  m_poll_after = ReadClock() + kPollBackoff;
}

void InstanceAgent::ExcludeSource(std::size_t member, Instant now) {
  m_sources[member].m_ejected_until = now + kSourceExclusion;
}

void InstanceAgent::OnDelta(const wire::ConfigDelta& delta) {
  if (delta.to_version < m_version) {
    // The member lags behind this instance, so another one is polled.
    PollNext();
    return;
  }
  const Instant started = ReadClock();
  if (!ApplyDelta(m_declarations, m_version, delta))
    return;
  Result<Catalogue> catalogue = BuildCatalogue(m_declarations, m_version);
  if (!catalogue) {
    // Members accept only configurations that a catalogue can be built from, so this is a bug.
    POPPYWAY_LOG(error, "configuration_unusable").Field("why", catalogue.error().m_message);
    return;
  }
  const auto shared = std::make_shared<const Catalogue>(std::move(*catalogue));
  m_brokers.OnCatalogue(shared);
  m_to_gateway(CatalogueUpdate{shared});
  POPPYWAY_LOG(info, "configuration_in_force").Field("version", m_version);
  SendHeartbeat(ReadClock());  // The heartbeat reports the version in force to the leader at once.
  // The pause limits applying changes to about a hundredth of the time, however fast they arrive,
  // unless the maximum pause cuts it short.
  const Instant now = ReadClock();
  m_poll_after =
      now + std::min<Duration>(kApplyPauseFactor * (now - started).count(), kMaxApplyPause);
}

void InstanceAgent::HandleMessage(GatewayMessage message) {
  const Instant now = ReadClock();
  if (auto* claim = std::get_if<ClaimKey>(&message)) {
    ++m_claims;
    QueuedCommand queued;
    queued.m_command.__set_claim(claim->m_claim);
    queued.m_ref = claim->m_ref;
    queued.m_queued_at = now;
    queued.m_deadline = claim->m_deadline;
    queued.m_expires = ClaimExpiry(*claim, now);
    if (m_commands.size() >= kMaxCommands)
      GiveUp(queued);
    else
      m_commands.push_back(std::move(queued));
    FlushCommands();
  } else if (auto* finish = std::get_if<FinishKey>(&message)) {
    QueuedCommand queued;
    queued.m_command.__set_finish(std::move(finish->m_finish));
    queued.m_expires = now + kFinishTimeout;
    m_commands.push_back(std::move(queued));
    FlushCommands();
  } else if (auto* demand = std::get_if<SendDemand>(&message)) {
    OnDemand(*demand);
  } else {
    m_drained = true;
  }
}

void InstanceAgent::FlushCommands() {
  while (!m_commands.empty() && m_proposals_out < kMaxProposalsOut &&
         ReadClock() >= m_propose_after) {
    std::vector<QueuedCommand> sent;
    wire::Propose propose;
    while (!m_commands.empty() && sent.size() < kMaxBatch) {
      propose.commands.push_back(m_commands.front().m_command);
      sent.push_back(std::move(m_commands.front()));
      ++sent.back().m_attempts;
      m_commands.pop_front();
    }
    wire::Body body;
    body.__set_propose(std::move(propose));
    ++m_proposals_out;
    Leader().Call(std::move(body), kProposeTimeout,
                  [this, sent = std::move(sent)](Result<wire::Body> reply) mutable {
                    OnProposed(std::move(sent), reply);
                  });
  }
}

void InstanceAgent::OnProposed(std::vector<QueuedCommand> sent, const Result<wire::Body>& reply) {
  --m_proposals_out;
  const bool done =
      reply && reply->__isset.propose_reply && reply->propose_reply.results.size() == sent.size();
  if (done) {
    for (std::size_t i = 0; i < sent.size(); ++i) {
      if (sent[i].m_command.__isset.crash)
        OnCrashReported(sent[i].m_command.crash);
      if (sent[i].m_ref == 0)
        continue;
      const wire::ClaimResult& claim = reply->propose_reply.results[i].claim;
      if (claim.verdict == wire::ClaimVerdict::UNKNOWN)
        LogClaim("claim_unknown", sent[i]);
      Answer(sent[i].m_ref, claim);
    }
    return;
  }
  // Every command may be sent again: owner and ref identify a claim, its content a finish.
  for (auto it = sent.rbegin(); it != sent.rend(); ++it)
    m_commands.push_front(std::move(*it));
  m_propose_after = ReadClock() + kProposeBackoff;
  // A hosted instance finds leaders by its heartbeats: a slow commit doesn't mean a lost broker.
  if (!m_settings.m_hosted)
    OnLeaderError(reply);
}

void InstanceAgent::Answer(RequestRef ref, const wire::ClaimResult& result) {
  m_to_gateway(ClaimReply{ref, result});
}

void InstanceAgent::LogClaim(const char* event, const QueuedCommand& command) {
  const Instant now = ReadClock();
  POPPYWAY_LOG(info, event)
      .Field("waited_ms", (now - command.m_queued_at).count() / 1000)
      .Field("left_ms", (command.m_deadline - now).count() / 1000)
      .Field("tries", command.m_attempts);
}

void InstanceAgent::GiveUp(const QueuedCommand& command) {
  if (command.m_ref == 0)
    return;
  LogClaim("claim_given_up", command);
  ++m_claims_unavailable;
  wire::ClaimResult unavailable;
  unavailable.verdict = wire::ClaimVerdict::UNAVAILABLE;
  Answer(command.m_ref, unavailable);
  // The claim may still be committed, and must not hold the key then.
  QueuedCommand release;
  release.m_command.__set_finish(MakeRelease(command.m_command.claim));
  release.m_expires = ReadClock() + kFinishTimeout;
  m_commands.push_back(std::move(release));
}

void InstanceAgent::ExpireCommands(Instant now) {
  std::vector<QueuedCommand> expired;
  std::deque<QueuedCommand> kept;
  for (QueuedCommand& command : m_commands) {
    if (now >= command.m_expires)
      expired.push_back(std::move(command));
    else
      kept.push_back(std::move(command));
  }
  m_commands.swap(kept);
  for (const QueuedCommand& command : expired)
    GiveUp(command);
}

void InstanceAgent::BeginSession(const std::string& pool) {
  BrokerConnection& connection = m_broker_connections.at(pool);
  ++connection.m_session;
  connection.m_session_from = connection.m_sequence + 1;
  m_to_gateway(BrokerReconnected{pool, connection.m_session});
}

void InstanceAgent::OnDemand(const SendDemand& message) {
  const auto found = m_broker_connections.find(message.m_pool);
  const Instant now = ReadClock();
  if (found == m_broker_connections.end()) {
    // No broker is known yet. No broker needs the credit uses; the rest is sent again.
    m_to_gateway(BrokerReconnected{message.m_pool, 0});
    return;
  }
  BrokerConnection& connection = found->second;
  if (message.m_session != connection.m_session)
    return;  // The first demand of the new session is complete.
  const std::int64_t sequence = ++connection.m_sequence;
  connection.m_sent[sequence] = now;
  if (connection.m_sent.size() > kMaxSequences)
    connection.m_sent.erase(connection.m_sent.begin());
  wire::Body body;
  body.__set_demand(
      ToWire(message.m_pool, message.m_demand, connection.m_lease.epoch, sequence, now));
  connection.m_client->Notify(std::move(body));
}

void InstanceAgent::OnGrants(const wire::Grants& grants) {
  const auto found = m_broker_connections.find(grants.pool);
  const bool current =
      found != m_broker_connections.end() && found->second.m_lease.epoch == grants.epoch;
  if (!current)
    return;
  BrokerConnection& connection = found->second;
  if (grants.not_broker) {
    // A demand of an earlier session needs no answer. A second complete demand would cross the
    // grants that answer the first one, and the broker would give their slots to others.
    if (grants.sequence >= connection.m_session_from)
      BeginSession(grants.pool);
    return;
  }
  GrantsReceived message;
  message.m_pool = grants.pool;
  message.m_batch = FromWire(grants);
  const auto sent = connection.m_sent.find(grants.sequence);
  if (sent != connection.m_sent.end()) {
    message.m_lease_end = sent->second + std::chrono::milliseconds(grants.lease_ms);
    connection.m_sent.erase(connection.m_sent.begin(), sent);
  }
  m_to_gateway(std::move(message));
}

void InstanceAgent::BeginShutdown() {
  if (m_stopping)
    return;
  m_stopping = true;
  m_brokers.StopAll();  // The leader may grant the leases to others after the heartbeat below.
  SendHeartbeat(ReadClock());
  m_to_gateway(ControlMessage(poppyway::BeginShutdown{}));
}

bool InstanceAgent::ShutdownComplete() const {
  return m_drained && m_commands.empty() && m_proposals_out == 0;
}

void InstanceAgent::Forward(const wire::Body& body, const std::function<void(wire::Body)>& reply) {
  Leader().Call(body, kForwardTimeout, [this, reply](Result<wire::Body> answer) {
    const bool wrong_leader =
        !answer || (answer->__isset.error &&
                    answer->error.code == static_cast<std::int32_t>(ResultCode::kNotLeader));
    if (wrong_leader)
      OnLeaderError(answer);
    if (!answer)
      reply(ErrorBody(ResultCode::kNoMajority,
                      "the leader can't be reached: " + answer.error().m_message));
    else
      reply(*answer);
  });
}

std::uint64_t InstanceAgent::bytes_sent() const {
  std::uint64_t bytes = 0;
  for (const auto& member : m_members)
    bytes += member->bytes_sent();
  for (const auto& [pool, connection] : m_broker_connections)
    bytes += connection.m_client ? connection.m_client->bytes_sent() : 0;
  return bytes;
}

SendQueueStats InstanceAgent::queue_stats() const {
  SendQueueStats all;
  for (const auto& member : m_members)
    all = CombineQueueStats(all, member->queue_stats());
  return all;
}

void InstanceAgent::AddMetrics(MetricSet& metrics) const {
  metrics.Set("poppyway_version_in_force", "", static_cast<double>(m_version));
  metrics.Set("poppyway_fresh", "", m_configuration_fresh ? 1 : 0);
  metrics.Set("poppyway_ledger_claims", "", static_cast<double>(m_claims));
  metrics.Set("poppyway_ledger_claims_unavailable", "", static_cast<double>(m_claims_unavailable));
  metrics.Set("poppyway_leader_calls_failed", "", static_cast<double>(m_leader_calls_failed));
  metrics.Set("poppyway_commands_waiting", "", static_cast<double>(m_commands.size()));
  metrics.Set("poppyway_control_bytes_sent", "", static_cast<double>(bytes_sent()));
}

}  // namespace poppyway
