// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "member_service.h"

#include <cstdlib>
#include <random>
#include <set>

#include "broker_convert.h"

namespace poppyway {
namespace {

constexpr Duration kProposalTimeout{3'000'000};
constexpr Duration kMaxPollWait{30'000'000};

/// Returns a digest by which lists of members are compared.
std::int64_t MembershipDigest(const wire::Membership& membership) {
  return static_cast<std::int64_t>(Hash(Serialize(membership)));
}

/// Returns the reply to a proposal as it is sent.
wire::Body ToBody(const Result<std::vector<wire::CommandResult>>& results) {
  if (!results)
    return ErrorBody(results.error().m_code, results.error().m_message);
  wire::ProposeReply reply;
  reply.results = *results;
  wire::Body body;
  body.__set_propose_reply(std::move(reply));
  return body;
}

MemberId RandomId() {
  std::random_device device;
  std::uniform_int_distribution<MemberId> any(1, std::numeric_limits<MemberId>::max());
  return any(device);
}

}  // namespace

MemberService::MemberService(EventLoop& loop, const DaemonSettings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_slot_broker({settings.m_exposure_share, settings.m_exposure_slack},
                    {settings.m_retry_ratio, settings.m_retry_burst},
                    settings.m_regions),
      m_rollouts({settings.m_exposure_share, settings.m_exposure_slack}),
      m_flusher(loop, [this](int) { Flush(); }) {
  for (const MemberSettings& member : settings.m_members) {
    m_bootstrap.m_names.push_back(member.m_name);
    if (member.m_name != MemberName())
      m_peers[member.m_name] =
          std::make_unique<PeerClient>(loop, member.m_peer.m_address, member.m_peer.m_port);
  }
}

MemberService::~MemberService() = default;

Result<void> MemberService::Open() {
  StoredLog stored;
  Result<std::unique_ptr<LogStore>> store =
      LogStore::Open(m_settings.m_data_folder, m_settings.m_cluster, RandomId(), stored);
  if (!store)
    return tl::unexpected<Error>(store.error());
  m_node.m_name = MemberName();
  m_node.m_cluster = m_settings.m_cluster;
  m_node.m_tolerance = {m_settings.m_tolerated_members, m_settings.m_tolerated_data_centres};
  if (m_settings.m_member_removal_ms > 0)
    m_node.m_timing.m_removal_timeout = std::chrono::milliseconds(m_settings.m_member_removal_ms);
  m_node.m_random.seed(static_cast<std::uint64_t>(stored.m_id) ^
                       static_cast<std::uint64_t>(ReadClock().time_since_epoch().count()));
  if (stored.m_snapshot) {
    if (Result<void> loaded = RestoreStateMachine(m_machine, *stored.m_snapshot); !loaded)
      return loaded;
  }
  RestoreLog(m_node, stored);
  m_writer = std::make_unique<LogWriter>(
      m_loop, std::move(*store), [this](SaveOutcome outcome) { OnSaved(std::move(outcome)); });
  OnStateReplaced();
  m_bootstrap.m_self = Self();
  POPPYWAY_LOG(info, "log_opened")
      .Field("member_id", m_node.m_id)
      .Field("blank", stored.m_newly_created)
      .Field("last_index", LastIndex(m_node))
      .Field("torn_bytes", stored.m_torn_bytes);
  return {};
}

void MemberService::OnStateReplaced() {
  const Instant now = ReadClock();
  m_document_history = {};
  m_rollouts.OnApplied(m_machine.m_hosted, now);
  ReadSlowStartLimits();
  m_cold_until.clear();
  UpdateColdTimes(0, now);
}

void MemberService::QueueEffects(LogEffects&& effects) {
  MergeEffects(m_effects, std::move(effects));
  if (m_flush_due)
    return;
  m_flush_due = true;
  m_flusher.Send(0);  // All effects that arrive before the flush share one sync.
}

void MemberService::SendTo(const wire::LogMessage& message) {
  const wire::MemberInfo* member = FindMember(m_node.m_membership, message.to_id);
  const auto learned = m_member_names.find(message.to_id);
  std::string name;
  if (member != nullptr)
    name = member->name;
  else if (learned != m_member_names.end())
    name = learned->second;
  PeerClient* peer = FindOrAddPeer(name);
  if (peer == nullptr)
    return;
  CountEntries(message);
  wire::Body body;
  body.__set_log(message);
  peer->Notify(std::move(body));
}

void MemberService::CountEntries(const wire::LogMessage& message) {
  std::int64_t& until = m_sent_until[message.to_id];
  for (const wire::LogEntry& entry : message.body.append.entries) {
    m_log_bytes += EntrySizeBytes(entry);
    if (entry.index <= until)
      m_log_bytes_resent += EntrySizeBytes(entry);
    until = std::max(until, entry.index);
  }
}

void MemberService::Apply(const std::vector<wire::LogEntry>& entries) {
  const std::int64_t version_before = m_machine.m_configuration.m_version;
  const std::int64_t document_before = m_machine.m_hosted.m_document.version;
  const std::int64_t servers_before = m_machine.m_hosted.m_servers_index;
  const std::int64_t quarantine_before = m_machine.m_hosted.m_quarantine_index;
  const std::map<std::string, wire::Rollout> rollouts_before = m_machine.m_hosted.m_rollouts;
  for (const wire::LogEntry& entry : entries) {
    if (entry.index <= m_machine.m_applied_index)
      continue;
    const std::int64_t held = m_machine.m_hosted.m_document.version;
    wire::CommandResult result = ApplyEntry(m_machine, entry);
    if (m_machine.m_hosted.m_document.version != held)
      AppendToHistory(m_document_history, entry.command.document_change);
    CompleteCommand(m_pending, entry.index, entry.term, std::move(result));
  }
  const bool declared = m_machine.m_configuration.m_version != version_before;
  const bool document = m_machine.m_hosted.m_document.version != document_before;
  const bool servers = m_machine.m_hosted.m_servers_index != servers_before;
  const bool rollouts = m_machine.m_hosted.m_rollouts != rollouts_before;
  if (rollouts)
    m_rollouts.OnApplied(m_machine.m_hosted, ReadClock());
  if (document)
    ReadSlowStartLimits();
  if (servers)
    UpdateColdTimes(servers_before, ReadClock());
  if (servers || rollouts)
    m_slot_broker.UpdateServers(m_machine.m_hosted, ReadClock());
  if (!declared && !document && !servers)
    return;
  if (m_machine.m_hosted.m_quarantine_index != quarantine_before)
    LogQuarantine();
  if (declared)
    POPPYWAY_LOG(info, "configuration_accepted")
        .Field("version", m_machine.m_configuration.m_version);
  if (document)
    POPPYWAY_LOG(info, "document_accepted")
        .Field("version", m_machine.m_hosted.m_document.version)
        .Field("log_index", m_machine.m_applied_index);
  RespondToPolls(ReadClock());
}

void MemberService::Tick(Instant now) {
  RetryDisk(now);
  if (!m_disk_full)
    Lead(now);
  ExpireProposals(m_pending, now);
  RespondToPolls(now);
}

void MemberService::LogRoleChange(const RoleState& before,
                                  Instant last_contact,
                                  Instant now) const {
  const std::int64_t silent_ms = (now - last_contact).count() / 1000;
  const bool led = before.m_role == Role::kLeader;
  if (is_leader() && !led)
    POPPYWAY_LOG(info, "leading").Field("term", m_node.m_hard_state.term);
  if (led && !is_leader())
    POPPYWAY_LOG(info, "lead_lost")
        .Field("term", m_node.m_hard_state.term)
        .Field("led_ms", silent_ms);
  if (!is_leader() && before.m_leader == 0 && m_node.m_leader != 0)
    POPPYWAY_LOG(info, "following").Field("term", m_node.m_hard_state.term);
  if (!led && before.m_leader != 0 && m_node.m_leader == 0)
    POPPYWAY_LOG(info, "leader_lost")
        .Field("term", m_node.m_hard_state.term)
        .Field("silent_ms", silent_ms);
}

void MemberService::Lead(Instant now) {
  const RoleState before = CurrentRole();
  const Instant last_contact = m_node.m_last_leader_contact;
  QueueEffects(TickLog(m_node, now));
  LogRoleChange(before, last_contact, now);
  if ((IsBlank() || LacksLeader(now)) && now >= m_hello_due)
    SendHellos(now);
  if (!is_leader()) {
    m_table = {};
    m_membership_watch.Reset();
    m_contradicting_heartbeats = {};
    m_slot_broker.OnLeadershipLost();
    FailProposals(m_pending, kLeadershipLost);
    return;
  }
  if (m_table.m_leading_since == Instant{})
    // A hosted instance without contact may serve until its last confirmation expires.
    m_table = MakeInstanceTable(std::chrono::milliseconds(std::max(
                                    m_settings.m_lease_ms, m_settings.m_confirmation_ttl_ms)),
                                std::chrono::milliseconds(m_settings.m_lease_ms / 5), now);
  m_membership_watch.Update(m_node, now);
  ProposeOwnCommands(now);
  if (m_settings.m_hosted && m_slot_broker.epoch() != m_node.m_hard_state.term)
    m_slot_broker.OnLeadershipGained(m_node.m_hard_state.term, m_machine.m_hosted,
                                     std::chrono::milliseconds(m_settings.m_confirmation_ttl_ms),
                                     now);
  m_slot_broker.Tick(IsConfirmedLeader(now), now);
  ProposeRollouts(now);
  ProposeCrashExpiry(now);
}

/// Proposes the leader's own commands: membership changes, gone instances and broker leases.
void MemberService::ProposeOwnCommands(Instant now) {
  if (m_machine.m_applied_index < m_last_own_proposal)
    return;
  LogEffects effects;
  ProposeMembershipIfDue(effects, now);
  std::set<std::string> owners;
  for (const auto& [owner, keys] : m_machine.m_ledger.m_running_by_owner)
    owners.insert(owner);
  ExpireInstances(m_table, owners, now);
  std::vector<wire::Command> commands;
  for (const std::string& incarnation : m_table.m_ended_incarnations) {
    wire::InstanceGone gone;
    gone.incarnation = incarnation;
    commands.emplace_back().__set_gone(gone);
    POPPYWAY_LOG(info, "instance_gone")
        .Field("incarnation", incarnation)
        .Field("led_ms", (now - m_table.m_leading_since).count() / 1000)
        .Field("beats_refused", m_heartbeats_rejected);
  }
  m_table.m_ended_incarnations.clear();
  std::vector<std::string> pools;
  for (const auto& [name, object] : m_machine.m_configuration.m_objects) {
    if (name.first == "pool")
      pools.push_back(name.second);
  }
  for (const wire::LeaseGrant& grant : PlanLeaseGrants(m_table, pools, m_machine.m_leases, now)) {
    commands.emplace_back().__set_lease(grant);
    POPPYWAY_LOG(info, "lease_proposed").Field("lease", grant.lease).Field("holder", grant.holder);
  }
  if (!commands.empty() && ProposeLog(m_node, commands, effects, now))
    m_last_own_proposal = LastIndex(m_node);
  QueueEffects(std::move(effects));
}

void MemberService::OnLogMessage(const wire::LogMessage& message) {
  if (m_disk_full)
    return;  // A member that can't write takes no part, as if it were slow to respond.
  m_member_names[message.from_id] = message.from_name;
  const RoleState before = CurrentRole();
  const Instant last_contact = m_node.m_last_leader_contact;
  const Instant now = ReadClock();
  QueueEffects(StepLog(m_node, message, now));
  if (is_leader() && before.m_role != Role::kLeader)
    m_last_own_proposal = 0;
  LogRoleChange(before, last_contact, now);
}

wire::Body MemberService::NotLeader() const {
  wire::Body body = ErrorBody(ResultCode::kNotLeader, "this member is not the leader");
  const wire::MemberInfo* leader = FindMember(m_node.m_membership, m_node.m_leader);
  // A member that isn't confirmed as leader any more doesn't name itself.
  if (leader == nullptr || leader->id == m_node.m_id)
    return body;
  body.error.leader_address = leader->address;
  body.error.leader_port = leader->port;
  return body;
}

void MemberService::OnPropose(const wire::Propose& propose, const ReplyFn& reply) {
  if (m_disk_full) {
    reply(ErrorBody(ResultCode::kDiskFull, "this member's disk has no room"));
    return;
  }
  LogEffects effects;
  const Instant now = ReadClock();
  const Result<std::int64_t> first = ProposeLog(m_node, propose.commands, effects, now);
  if (!first) {
    reply(NotLeader());
    return;
  }
  AddProposal(m_pending, *first, propose.commands.size(), m_node.m_hard_state.term,
              now + kProposalTimeout, [reply](const auto& results) { reply(ToBody(results)); });
  QueueEffects(std::move(effects));
}

void MemberService::OnHeartbeat(const wire::Heartbeat& heartbeat, const ReplyFn& reply) {
  const Instant now = ReadClock();
  const bool leads = is_leader() && m_table.m_leading_since != Instant{};
  // The heartbeat proves that the instance is alive even if this member may not answer it.
  if (leads)
    RecordHeartbeat(m_table, heartbeat, now);
  if (!leads || !IsConfirmedLeader(now)) {
    m_heartbeats_rejected += leads ? 1 : 0;
    reply(NotLeader());
    return;
  }
  wire::HeartbeatReply answer;
  // The list is omitted if the instance already has it, since it is long in large deployments.
  answer.leases_index = m_machine.m_leases_index;
  answer.leases_same = heartbeat.leases_seen == m_machine.m_leases_index;
  if (!answer.leases_same) {
    for (const auto& [name, lease] : m_machine.m_leases)
      answer.leases.push_back(lease);
  }
  answer.version = m_machine.m_configuration.m_version;
  answer.leader_term = m_node.m_hard_state.term;
  answer.live = static_cast<std::int32_t>(m_table.m_live.size());
  if (m_settings.m_hosted) {
    answer.members_digest = MembershipDigest(m_node.m_membership);
    if (answer.members_digest != heartbeat.members_seen)
      answer.members = m_node.m_membership.members;
    answer.document_version = m_machine.m_hosted.m_document.version;
    answer.servers_index = m_machine.m_hosted.m_servers_index;
    if (heartbeat.wants_helpers)
      answer.helpers =
          ChooseHelpers(m_table, heartbeat,
                        MixHash(Hash(heartbeat.incarnation),
                                static_cast<std::uint64_t>(now.time_since_epoch().count())),
                        now);
    m_slot_broker.RecordContact(heartbeat.incarnation, now);
  }
  wire::Body body;
  body.__set_heartbeat_reply(answer);
  reply(std::move(body));
}

void MemberService::OnSlotBatch(const wire::PlaceBatch& batch, PeerConnection& from) {
  const Instant now = ReadClock();
  m_slot_broker.OnBatch(batch, from, IsConfirmedLeader(now), now);
  if (IsConfirmedLeader(now))
    RecordResponses(batch);
}

void MemberService::OnPoll(const wire::ConfigPoll& poll, const ReplyFn& reply) {
  const Instant now = ReadClock();
  const Duration wait = std::min<Duration>(std::chrono::milliseconds(poll.wait_ms), kMaxPollWait);
  m_polls.push_back({poll, reply, now + wait});
  RespondToPolls(now);
}

void MemberService::RespondToPolls(Instant now) {
  std::map<std::int64_t, wire::Body> by_version;  // Polls with the same version share a response.
  std::vector<PendingPoll> pending;
  pending.swap(m_polls);
  bool sent_servers = false;
  for (PendingPoll& poll : pending) {
    if (!HasUpdate(poll.m_poll) && now < poll.m_expires) {
      m_polls.push_back(std::move(poll));
      continue;
    }
    if (poll.m_poll.hosted) {
      wire::Body body;
      body.__set_delta(MakeDelta(poll.m_poll));
      ++m_poll_responses;
      sent_servers = sent_servers || (poll.m_poll.have_servers != 0 && !body.delta.servers.empty());
      poll.m_reply(std::move(body));
      continue;
    }
    const auto [entry, added] = by_version.try_emplace(poll.m_poll.have_version);
    if (added)
      entry->second.__set_delta(DeltaSince(m_machine.m_configuration, poll.m_poll.have_version));
    poll.m_reply(entry->second);
  }
  if (sent_servers)
    m_servers_sent = now;
}

}  // namespace poppyway
