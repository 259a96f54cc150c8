// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The parts of a member that only hosted deployments use: discovery of members, updates of the
// operator's document, the registry of backend servers, roll-outs.

#include <algorithm>

#include "broker_convert.h"
#include "member_service.h"

namespace poppyway {
namespace {

// This is several election timeouts. Without contact for longer, a member sends hellos to find a
// leader, and no longer answers heartbeats of servers itself.
constexpr Duration kLeaderTimeout{1'000'000};
// Changes of servers are sent to instances in batches. While pools are replaced or start, some tens
// of changes per second would otherwise each go to hundreds of instances. The interval is a
// twentieth of the time within which a leaving server must stop getting work.
constexpr Duration kServerUpdateInterval{100'000};
// Heartbeats of servers have varying delays, so a longer cold time counts as a change only if it
// differs by more than this.
constexpr Duration kColdTimeSlack{1'000'000};
// The sizes of a document's parts in one message are limited, since other messages on the
// connection wait for them.
constexpr std::int64_t kInlineBytes = 8 << 10;
constexpr std::size_t kPieceBytes = 16 << 10;
constexpr Duration kCallLeaderTimeout{900'000};  // Callers of the HTTP interface wait for a second.

}  // namespace

void MemberService::AddSeeds(const std::vector<MemberSettings>& seeds) {
  for (const MemberSettings& seed : seeds)
    (void)FindOrAddPeer(seed.m_name);
}

std::string MemberService::MemberName() const {
  return m_settings.m_hosted ? ToText(m_settings.m_peer) : m_settings.m_instance;
}

PeerClient* MemberService::FindOrAddPeer(const std::string& name) {
  const auto known = m_peers.find(name);
  if (known != m_peers.end())
    return known->second.get();
  if (!m_settings.m_hosted || name == MemberName())
    return nullptr;
  // The name of a hosted member is its peer endpoint.
  const Result<Endpoint> endpoint = ParseEndpoint(name);
  if (!endpoint)
    return nullptr;
  auto client = std::make_unique<PeerClient>(m_loop, endpoint->m_address, endpoint->m_port);
  return m_peers.emplace(name, std::move(client)).first->second.get();
}

bool MemberService::HasUpdate(const wire::ConfigPoll& poll) const {
  if (!poll.hosted)
    return m_machine.m_configuration.m_version > poll.have_version;
  const HostedState& hosted = m_machine.m_hosted;
  if (poll.kind == wire::NewsKind::DOCUMENT)
    return hosted.m_document.version > poll.have_document;
  return KnownLeaderTerm() > poll.have_term || LastEvacuationIndex(hosted) > poll.have_servers ||
         hosted.m_quarantine_index > poll.have_servers ||
         (hosted.m_servers_index > poll.have_servers && MaySendServers(poll));
}

bool MemberService::MaySendServers(const wire::ConfigPoll& poll) const {
  const bool starting = poll.have_servers == 0;
  return starting || ReadClock() >= m_servers_sent + kServerUpdateInterval;
}

std::int64_t MemberService::KnownLeaderTerm() const {
  const wire::MemberInfo* leader = FindMember(m_node.m_membership, m_node.m_leader);
  return leader == nullptr ? 0 : m_node.m_hard_state.term;
}

wire::ConfigDelta MemberService::MakeDelta(const wire::ConfigPoll& poll) {
  const HostedState& hosted = m_machine.m_hosted;
  wire::ConfigDelta delta;
  if (poll.kind == wire::NewsKind::DOCUMENT) {
    delta.steps = LimitChangeBytes(
        DocumentChangesSince(m_document_history, hosted.m_document, poll.have_document),
        kInlineBytes);
    for (const wire::DocumentChange& step : delta.steps)
      m_document_bytes_sent += step.edits.size();
    return delta;
  }
  delta.servers = ServersSince(hosted, poll.have_servers);
  delta.servers_index = hosted.m_servers_index;
  for (const auto& [data_centre, evacuation] : hosted.m_evacuations)
    delta.evacuations.push_back(evacuation);
  if (hosted.m_quarantine_index > poll.have_servers) {
    delta.__set_quarantined(QuarantineList(hosted));
    delta.quarantined_parts = QuarantinedPartsList(hosted);
  }
  delta.leader_term = KnownLeaderTerm();
  if (const wire::MemberInfo* leader = FindMember(m_node.m_membership, m_node.m_leader)) {
    delta.leader_address = leader->address;
    delta.leader_port = leader->port;
  }
  return delta;
}

void MemberService::OnPieceRequest(const wire::PieceRequest& request, const ReplyFn& reply) {
  wire::Piece piece;
  const wire::DocumentChange* step =
      FindDocumentChange(m_document_history, request.base, request.version);
  const auto offset = static_cast<std::size_t>(std::max<std::int64_t>(request.offset, 0));
  if (step != nullptr && offset < step->edits.size())
    piece.bytes = step->edits.substr(offset, kPieceBytes);
  m_document_bytes_sent += piece.bytes.size();
  wire::Body body;
  body.__set_piece(std::move(piece));
  reply(std::move(body));
}

bool MemberService::LacksLeader(Instant now) const {
  return !is_leader() && now - m_node.m_last_leader_contact > kLeaderTimeout;
}

void MemberService::CallLeader(wire::Body body, const ReplyFn& reply) {
  const auto name = m_member_names.find(m_node.m_leader);
  const wire::MemberInfo* leader = FindMember(m_node.m_membership, m_node.m_leader);
  PeerClient* peer = nullptr;
  if (leader != nullptr)
    peer = FindOrAddPeer(leader->name);
  else if (name != m_member_names.end())
    peer = FindOrAddPeer(name->second);
  if (peer == nullptr) {
    reply(ErrorBody(ResultCode::kNoMajority, "no leader is known"));
    return;
  }
  peer->Call(std::move(body), kCallLeaderTimeout, [reply](Result<wire::Body> answer) {
    reply(answer ? *answer : ErrorBody(answer.error().m_code, answer.error().m_message));
  });
}

void MemberService::CommitCommand(wire::Command command, const ReplyFn& reply) {
  wire::Propose propose;
  propose.commands.push_back(std::move(command));
  OnPropose(propose, [reply](wire::Body answer) {
    if (answer.__isset.error) {
      reply(std::move(answer));
      return;
    }
    wire::Body done;
    done.__set_done(true);
    reply(std::move(done));
  });
}

bool MemberService::IsConfirmedLeader(Instant now) const {
  return CanServeLinearizableReads(m_node, m_machine.m_applied_index, now);
}

bool MemberService::RequireConfirmedLeader(const ReplyFn& reply) const {
  if (IsConfirmedLeader(ReadClock()))
    return true;
  reply(ErrorBody(ResultCode::kNoMajority, "this leader is not confirmed by a majority"));
  return false;
}

void MemberService::SetSlowStartLimitReader(SlowStartLimitReader reader) {
  m_slow_start_limit_reader = std::move(reader);
  ReadSlowStartLimits();
}

void MemberService::ReadSlowStartLimits() {
  const wire::Document& document = m_machine.m_hosted.m_document;
  if (!m_slow_start_limit_reader || document.version == 0)
    return;
  Result<std::map<std::string, SlowStartLimit>> limits = m_slow_start_limit_reader(document);
  if (!limits) {
    POPPYWAY_LOG(error, "cold_limits_unread")
        .Field("version", document.version)
        .Field("why", limits.error().m_message);
    return;
  }
  m_slot_broker.UpdateSlowStartLimits(std::move(*limits), ReadClock());
}

void MemberService::UpdateColdTimes(std::int64_t index, Instant now) {
  for (const wire::ServerRecord& record : ServersSince(m_machine.m_hosted, index)) {
    if (record.cold_for_ms > 0 && record.stage != wire::ServerStage::GONE)
      m_cold_until[record.id] = now + std::chrono::milliseconds(record.cold_for_ms);
    else
      m_cold_until.erase(record.id);
  }
}

bool MemberService::HasServerChange(const wire::ServerRecord& record) const {
  if (ChangesServer(m_machine.m_hosted, record))
    return true;
  const auto expected = m_cold_until.find(record.id);
  if (expected == m_cold_until.end() || !ChangesColdTime(m_machine.m_hosted, record))
    return false;
  const Instant until = ReadClock() + std::chrono::milliseconds(record.cold_for_ms);
  return until > expected->second + kColdTimeSlack;
}

bool MemberService::IsAlreadyApplied(const wire::ServerRecord& record) const {
  const bool has_leader = ReadClock() - m_node.m_last_leader_contact <= kLeaderTimeout;
  return has_leader && !HasServerChange(record);
}

void MemberService::SubmitServer(const wire::ServerRecord& record, const ReplyFn& reply) {
  const bool contradicts = ContradictsState(m_machine.m_hosted, record);
  if (!is_leader() && !contradicts && IsAlreadyApplied(record)) {
    wire::Body done;
    done.__set_done(true);
    reply(std::move(done));
    return;
  }
  if (!is_leader()) {
    wire::Body body;
    body.__set_server_seen(record);
    CallLeader(std::move(body), reply);
    return;
  }
  if (contradicts && IsConfirmedLeader(ReadClock()))
    RecordContradiction(record);
  if (HasServerChange(record)) {
    if (m_registration_limit.Rejects(m_machine.m_hosted, record)) {
      if (RequireConfirmedLeader(reply))
        reply(ErrorBody(ResultCode::kNotFound, "no pool '" + record.pool +
                                                   "' is configured, and too many such servers "
                                                   "are registered"));
      return;
    }
    wire::Command command;
    command.__set_server(record);
    CommitCommand(std::move(command), reply);
    return;
  }
  if (!RequireConfirmedLeader(reply))
    return;
  wire::Body done;
  done.__set_done(true);
  reply(std::move(done));
}

bool MemberService::KnowsPool(const std::string& pool) const {
  const auto& servers = m_machine.m_hosted.m_servers;
  return std::any_of(servers.begin(), servers.end(),
                     [&pool](const auto& entry) { return entry.second.pool == pool; });
}

void MemberService::SubmitRollout(const wire::RolloutOrder& order, const ReplyFn& reply) {
  if (!is_leader()) {
    wire::Body body;
    body.__set_rollout_order(order);
    CallLeader(std::move(body), reply);
    return;
  }
  wire::Body done;
  done.__set_done(true);
  const Instant now = ReadClock();
  if (m_rollouts.IsRetriedOrder(m_machine.m_hosted, order, now) && IsConfirmedLeader(now)) {
    reply(std::move(done));
    return;
  }
  if (!KnowsPool(order.pool)) {
    if (RequireConfirmedLeader(reply))
      reply(ErrorBody(ResultCode::kNotFound,
                      "no backend server of pool '" + order.pool + "' has ever registered"));
    return;
  }
  wire::Propose propose;
  propose.commands.emplace_back().__set_rollout(order);
  OnPropose(propose, [reply, done, order](wire::Body answer) {
    if (answer.__isset.error) {
      reply(std::move(answer));
      return;
    }
    const auto verdict = answer.propose_reply.results.at(0).rollout;
    POPPYWAY_LOG(info, "rollout_ordered")
        .Field("pool", order.pool)
        .Field("version", order.target)
        .Field("duration_ms", order.duration_ms)
        .Field("verdict", static_cast<int>(verdict));
    if (verdict == wire::RolloutVerdict::OTHER_UNDER_WAY)
      reply(ErrorBody(ResultCode::kOtherRollout,
                      "pool '" + order.pool + "' is being rolled out to another version"));
    else
      reply(done);
  });
}

void MemberService::ReadRollout(const std::string& pool, const ReplyFn& reply) {
  if (!is_leader()) {
    wire::Body body;
    body.__set_rollout_request(pool);
    CallLeader(std::move(body), reply);
    return;
  }
  if (!RequireConfirmedLeader(reply))
    return;
  const auto found = m_machine.m_hosted.m_rollouts.find(pool);
  if (found == m_machine.m_hosted.m_rollouts.end()) {
    reply(ErrorBody(ResultCode::kNotFound, "no roll-out of pool '" + pool + "' was ordered"));
    return;
  }
  wire::Body body;
  body.__set_rollout(found->second);
  reply(std::move(body));
}

void MemberService::ProposeRollouts(Instant now) {
  if (!m_settings.m_hosted)
    return;
  std::vector<wire::Command> commands;
  for (wire::RolloutStep& step : m_rollouts.DueSteps(m_machine.m_hosted, m_slot_broker, now))
    commands.emplace_back().__set_rollout_step(std::move(step));
  if (commands.empty())
    return;
  LogEffects effects;
  // A step that isn't accepted is proposed again by the next leader.
  if (!ProposeLog(m_node, commands, effects, now))
    POPPYWAY_LOG(warning, "rollout_step_lost").Field("steps", commands.size());
  QueueEffects(std::move(effects));
}

}  // namespace poppyway
