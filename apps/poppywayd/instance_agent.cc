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
constexpr std::size_t kMaxSequences = 512;
constexpr Duration kProposeTimeout{1'000'000};
constexpr Duration kProposeBackoff{50'000};
constexpr Duration kLeastClaimLimit{2'000'000};
constexpr Duration kFinishLimit{60'000'000};
constexpr Duration kPollBackoff{100'000};
// A member that lagged is a follower that was cut off or restarts; it has caught up by then.
constexpr Duration kAvoidSource{5'000'000};
constexpr std::int64_t kPollWaitMs = 5'000;
constexpr Duration kAdoptionRest{100};  // For each microsecond that adopting took.
constexpr Duration kMaxAdoptionRest{2'000'000};
constexpr Duration kForwardTimeout{5'000'000};

wire::LedgerFinish ReleaseOf(const wire::LedgerClaim& claim) {
  wire::LedgerFinish finish;
  finish.key = claim.key;
  finish.owner = claim.owner;
  finish.ref = claim.ref;
  finish.kind = wire::FinishKind::NOT_RUN;
  return finish;
}

/// Until when a claim is awaited. A leader that changes or a slow disk ends by itself; half of what
/// a request has left is kept for its run. What may run without the ledger waits no longer than it
/// must.
Instant ClaimExpiry(const ClaimKey& claim, Instant now) {
  const Duration half = (claim.m_deadline - now) / 2;
  return now + (claim.m_needs_ledger ? std::max(half, kLeastClaimLimit) : kLeastClaimLimit);
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
    (void)ContactAt(member.m_peer);
  // Readers spread over the members.
  m_poll_member = Hash(m_incarnation) % m_members.size();
  if (m_settings.m_hosted)
    m_poller = std::make_unique<HostedStatePoller>(MakePollerCallbacks());
}

std::size_t InstanceAgent::ContactAt(const Endpoint& place) {
  const auto known = std::find(m_places.begin(), m_places.end(), place);
  if (known != m_places.end())
    return static_cast<std::size_t>(known - m_places.begin());
  m_places.push_back(place);
  m_sources.emplace_back();
  const std::size_t index = m_places.size() - 1;
  m_members.push_back(std::make_unique<PeerClient>(m_loop, place.m_address, place.m_port));
  if (m_settings.m_hosted) {
    m_members.back()->SetOnPush([this, index](wire::Body body) { OnPush(index, body); });
    m_members.back()->SetOnLost([this, index] { OnMemberLost(index); });
  }
  return index;
}

void InstanceAgent::AddSeeds(const std::vector<MemberSettings>& seeds) {
  for (const MemberSettings& seed : seeds)
    (void)ContactAt(seed.m_peer);
}

PeerClient& InstanceAgent::Leader() {
  return *m_members[m_leader];
}

void InstanceAgent::Tick(Instant now) {
  if (now >= m_beat_due)
    Beat(now);
  // Right after a restart of all, a member that lags may tell an older configuration than was
  // accepted: until a leader's version is in force here, this instance isn't ready.
  m_caught_up =
      m_caught_up || (m_contact != Instant{} && m_version > 0 && m_version >= m_leader_version);
  const bool fresh =
      m_caught_up && now - m_contact < std::chrono::milliseconds(m_settings.m_stale_after_ms);
  if (fresh != m_fresh) {
    m_fresh = fresh;
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

void InstanceAgent::Beat(Instant now) {
  m_beat_due = now + std::chrono::milliseconds(m_settings.m_heartbeat_ms);
  wire::Heartbeat beat;
  beat.instance = m_settings.m_instance;
  beat.incarnation = m_incarnation;
  beat.address = m_settings.m_peer.m_address;
  beat.port = m_settings.m_peer.m_port;
  beat.data_centre = m_settings.m_data_centre;
  beat.version_in_force = m_version;
  beat.ready = m_fresh && !m_stopping;
  beat.stopping = m_stopping;
  beat.http = ToText(m_settings.m_http);
  beat.leases_seen = m_leases_seen;
  beat.members_seen = m_members_digest;
  if (m_poller)
    beat.version_in_force = m_poller->document_version();
  wire::Body body;
  body.__set_heartbeat(beat);
  Leader().Call(std::move(body), std::chrono::milliseconds(m_settings.m_lease_ms) / 3,
                [this, now, asked = m_leader](Result<wire::Body> reply) {
                  if (m_settings.m_hosted && asked != m_leader)
                    return;  // Another leader has been found since.
                  if (reply && reply->__isset.heartbeat_reply)
                    OnBeatReply(reply->heartbeat_reply, now);
                  else if (!reply && Leader().last_message_time() > now)
                    m_beat_due = ReadClock();  // It has sent something since: a late answer only.
                  else
                    OnLeaderError(reply);
                });
}

void InstanceAgent::OnBeatReply(const wire::HeartbeatReply& reply, Instant sent) {
  m_contact = std::max(m_contact, sent);
  m_leader_version = std::max(m_leader_version, reply.version);
  if (m_settings.m_hosted) {
    OnHostedBeat(reply, sent);
    return;
  }
  if (!reply.leases_same) {
    m_leases = reply.leases;
    m_leases_seen = reply.leases_index;
  }
  TakeLeases(reply.live, sent);
}

/// Turns to the member that is named as leader, or to the next one.
void InstanceAgent::OnLeaderError(const Result<wire::Body>& reply) {
  ++m_beats_lost;
  if (m_broker_told && m_forwarder.m_send)
    m_forwarder.m_send(BrokerDisconnected{});
  m_broker_told = false;
  const bool named = reply && reply->__isset.error && reply->error.leader_port != 0;
  std::size_t next = (m_leader + 1) % m_members.size();
  if (named)
    next = ContactAt(
        {reply->error.leader_address, static_cast<std::uint16_t>(reply->error.leader_port)});
  m_leader = next;
  m_beat_due = std::min(m_beat_due, ReadClock() + kProposeBackoff);
}

void InstanceAgent::TakeLeases(int live, Instant sent) {
  const Instant now = ReadClock();
  for (const wire::LeaseGrant& lease : m_leases) {
    const bool ours = lease.holder == m_incarnation;
    if (ours && !m_stopping) {
      const Instant valid_until = sent + std::chrono::milliseconds(m_settings.m_lease_ms);
      m_brokers.OnLease(lease, live, valid_until, now);
    } else {
      m_brokers.OnLeaseLost(lease.lease);
    }
    BrokerLine& line = m_lines[lease.lease];
    if (line.m_client && line.m_lease.epoch >= lease.epoch)
      continue;
    line.m_lease = lease;
    line.m_sent.clear();
    line.m_client =
        std::make_unique<PeerClient>(m_loop, lease.address, static_cast<std::uint16_t>(lease.port));
    line.m_client->SetOnPush([this](wire::Body body) {
      if (body.__isset.grants)
        OnGrants(body.grants);
    });
    line.m_client->SetOnLost([this, pool = lease.lease] { m_to_gateway(BrokerReconnected{pool}); });
    m_to_gateway(BrokerReconnected{lease.lease});
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

void InstanceAgent::AvoidSource(std::size_t member, Instant now) {
  m_sources[member].m_ejected_until = now + kAvoidSource;
}

void InstanceAgent::OnDelta(const wire::ConfigDelta& delta) {
  if (delta.to_version < m_version) {
    // A member that lags behind us is no source; ask another.
    PollNext();
    return;
  }
  const Instant begun = ReadClock();
  if (!ApplyDelta(m_declarations, m_version, delta))
    return;
  Result<Catalogue> catalogue = BuildCatalogue(m_declarations, m_version);
  if (!catalogue) {
    // Members accept only what compiles, so this is a fault of this program.
    POPPYWAY_LOG(error, "configuration_unusable").Field("why", catalogue.error().m_message);
    return;
  }
  const auto shared = std::make_shared<const Catalogue>(std::move(*catalogue));
  m_brokers.OnCatalogue(shared);
  m_to_gateway(CatalogueUpdate{shared});
  POPPYWAY_LOG(info, "configuration_in_force").Field("version", m_version);
  Beat(ReadClock());  // The leader learns at once what is in force here.
  // Adopting changes takes at most a hundredth of the time, however fast they come.
  const Instant now = ReadClock();
  m_poll_after = now + std::min<Duration>(kAdoptionRest * (now - begun).count(), kMaxAdoptionRest);
}

void InstanceAgent::HandleMessage(GatewayMessage message) {
  const Instant now = ReadClock();
  if (auto* claim = std::get_if<ClaimKey>(&message)) {
    ++m_claims;
    QueuedCommand queued;
    queued.m_command.__set_claim(claim->m_claim);
    queued.m_ref = claim->m_ref;
    queued.m_asked = now;
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
    queued.m_expires = now + kFinishLimit;
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
      ++sent.back().m_tries;
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
      if (sent[i].m_ref == 0)
        continue;
      const wire::ClaimResult& claim = reply->propose_reply.results[i].claim;
      if (claim.verdict == wire::ClaimVerdict::UNKNOWN)
        LogClaim("claim_unknown", sent[i]);
      Answer(sent[i].m_ref, claim);
    }
    return;
  }
  // Every command may be repeated: claims by owner and ref, finishes by their content.
  for (auto it = sent.rbegin(); it != sent.rend(); ++it)
    m_commands.push_front(std::move(*it));
  m_propose_after = ReadClock() + kProposeBackoff;
  OnLeaderError(reply);
}

void InstanceAgent::Answer(RequestRef ref, const wire::ClaimResult& result) {
  m_to_gateway(ClaimReply{ref, result});
}

void InstanceAgent::LogClaim(const char* event, const QueuedCommand& command) {
  const Instant now = ReadClock();
  POPPYWAY_LOG(info, event)
      .Field("waited_ms", (now - command.m_asked).count() / 1000)
      .Field("left_ms", (command.m_deadline - now).count() / 1000)
      .Field("tries", command.m_tries);
}

void InstanceAgent::GiveUp(const QueuedCommand& command) {
  if (command.m_ref == 0)
    return;
  LogClaim("claim_given_up", command);
  ++m_claims_unavailable;
  wire::ClaimResult unavailable;
  unavailable.verdict = wire::ClaimVerdict::UNAVAILABLE;
  Answer(command.m_ref, unavailable);
  // The claim may still be committed: it must not hold the key.
  QueuedCommand release;
  release.m_command.__set_finish(ReleaseOf(command.m_command.claim));
  release.m_expires = ReadClock() + kFinishLimit;
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

void InstanceAgent::OnDemand(const SendDemand& message) {
  const auto found = m_lines.find(message.m_pool);
  const Instant now = ReadClock();
  if (found == m_lines.end()) {
    // No broker is known yet. Uses of credits matter to none; the rest is sent again.
    m_to_gateway(BrokerReconnected{message.m_pool});
    return;
  }
  BrokerLine& line = found->second;
  const std::int64_t sequence = ++line.m_sequence;
  line.m_sent[sequence] = now;
  if (line.m_sent.size() > kMaxSequences)
    line.m_sent.erase(line.m_sent.begin());
  wire::Body body;
  body.__set_demand(ToWire(message.m_pool, message.m_demand, line.m_lease.epoch, sequence, now));
  line.m_client->Notify(std::move(body));
}

void InstanceAgent::OnGrants(const wire::Grants& grants) {
  const auto found = m_lines.find(grants.pool);
  const bool current = found != m_lines.end() && found->second.m_lease.epoch == grants.epoch;
  if (!current)
    return;
  if (grants.not_broker) {
    m_to_gateway(BrokerReconnected{grants.pool});
    return;
  }
  BrokerLine& line = found->second;
  GrantsReceived message;
  message.m_pool = grants.pool;
  message.m_batch = FromWire(grants);
  const auto sent = line.m_sent.find(grants.sequence);
  if (sent != line.m_sent.end()) {
    message.m_lease_end = sent->second + std::chrono::milliseconds(grants.lease_ms);
    line.m_sent.erase(line.m_sent.begin(), sent);
  }
  m_to_gateway(std::move(message));
}

void InstanceAgent::BeginShutdown() {
  if (m_stopping)
    return;
  m_stopping = true;
  m_brokers.DropAll();  // Before the leader may give the leases to another.
  Beat(ReadClock());
  m_to_gateway(ControlMessage(poppyway::BeginShutdown{}));
}

bool InstanceAgent::ShutdownComplete() const {
  return m_drained && m_commands.empty() && m_proposals_out == 0;
}

void InstanceAgent::Forward(const wire::Body& body, const std::function<void(wire::Body)>& reply) {
  Leader().Call(body, kForwardTimeout, [this, reply](Result<wire::Body> answer) {
    const bool misled =
        !answer || (answer->__isset.error &&
                    answer->error.code == static_cast<std::int32_t>(ResultCode::kNotLeader));
    if (misled)
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
  for (const auto& [pool, line] : m_lines)
    bytes += line.m_client ? line.m_client->bytes_sent() : 0;
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
  metrics.Set("poppyway_fresh", "", m_fresh ? 1 : 0);
  metrics.Set("poppyway_ledger_claims", "", static_cast<double>(m_claims));
  metrics.Set("poppyway_ledger_claims_unavailable", "", static_cast<double>(m_claims_unavailable));
  metrics.Set("poppyway_leader_calls_failed", "", static_cast<double>(m_beats_lost));
  metrics.Set("poppyway_commands_waiting", "", static_cast<double>(m_commands.size()));
  metrics.Set("poppyway_control_bytes_sent", "", static_cast<double>(bytes_sent()));
}

}  // namespace poppyway
