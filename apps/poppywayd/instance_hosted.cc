// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The parts of the instance agent that only hosted deployments use: updates of the operator's
// document and of self-registered backend servers, and the connection to the slot broker.

#include <algorithm>

#include "instance_agent.h"
#include "slot_convert.h"

namespace poppyway {
namespace {

// Reports are sent again until a leader accepts them; without one for longer, each instance has
// found most of such requests on its own.
constexpr Duration kCrashReportTimeout{60'000'000};

QuarantineChanged ToQuarantineChanged(const wire::ConfigDelta& delta) {
  QuarantineChanged message;
  message.m_quarantined.assign(delta.quarantined.begin(), delta.quarantined.end());
  const std::int64_t now_ms = ReadWallMillis();
  for (const wire::QuarantinedParts& parts : delta.quarantined_parts) {
    const std::int64_t age_ms = std::max<std::int64_t>(0, now_ms - parts.first_ms);
    message.m_parts.push_back(
        {{{parts.parts.begin(), parts.parts.end()}, parts.first_ms}, Duration(age_ms * 1000)});
  }
  return message;
}

}  // namespace

void InstanceAgent::OnHostedHeartbeatReply(const wire::HeartbeatReply& reply, Instant sent) {
  if (!reply.members.empty()) {
    UpdateMembers(reply.members);
    m_members_digest = reply.members_digest;
  }
  if (!reply.helpers.empty()) {
    HelpersChanged message;
    for (const wire::PeerAddress& helper : reply.helpers)
      message.m_helpers.push_back({helper.address, static_cast<std::uint16_t>(helper.port)});
    m_helpers_at = ReadClock();
    m_forwarder.m_send(std::move(message));
  }
  m_leader_document = std::max(m_leader_document, reply.document_version);
  m_leader_servers = std::max(m_leader_servers, reply.servers_index);
  m_answered_heartbeat_sent = std::max(m_answered_heartbeat_sent, sent);
  PublishConfirmation();
  m_forwarder.m_send(LiveInstanceCount{std::max(1, reply.live)});
  const bool new_broker = !m_broker_announced || reply.leader_term > m_leader_term;
  m_leader_term = std::max(m_leader_term, reply.leader_term);
  m_poller->SetLeaderTerm(m_leader_term);
  if (new_broker && reply.leader_term == m_leader_term) {
    m_broker_announced = true;
    m_forwarder.m_send(BrokerConnected{reply.leader_term});
  }
}

void InstanceAgent::UpdateMembers(const std::vector<wire::MemberInfo>& members) {
  for (PollSource& source : m_sources)
    source.m_removed = true;
  for (const wire::MemberInfo& member : members) {
    const std::size_t index =
        FindOrAddMember({member.address, static_cast<std::uint16_t>(member.port)});
    m_sources[index].m_data_centre = member.data_centre;
    m_sources[index].m_removed = false;
  }
}

std::size_t InstanceAgent::ChooseSource(Instant now) const {
  const PollerLocation here{m_settings.m_data_centre, m_settings.m_region};
  return ChoosePollSource(m_sources, m_settings.m_regions, here, Hash(m_incarnation), now);
}

void InstanceAgent::PublishConfirmation() {
  // A member's update may arrive before a leader's first response; only a leader confirms.
  const bool confirmed = m_answered_heartbeat_sent != Instant{};
  const std::int64_t version = m_poller->document_version();
  if (!confirmed || version == 0 || version < m_leader_document)
    return;
  const Instant until =
      m_answered_heartbeat_sent + std::chrono::milliseconds(m_settings.m_confirmation_ttl_ms);
  if (until <= m_published_until)
    return;
  m_published_until = until;
  m_forwarder.m_send(ConfirmedUntil{until});
}

PollerCallbacks InstanceAgent::MakePollerCallbacks() {
  PollerCallbacks port;
  port.m_call_member = [this](std::size_t member, wire::Body body, Duration timeout,
                              PeerClient::OnReply on_reply) {
    m_members[member]->Call(std::move(body), timeout, std::move(on_reply));
  };
  port.m_last_receive_time = [this](std::size_t member) {
    return m_members[member]->last_receive_time();
  };
  port.m_choose_member = [this](Instant now) { return ChooseSource(now); };
  port.m_avoid = [this](std::size_t member, Instant now) { ExcludeSource(member, now); };
  port.m_leader = [this] { return m_leader; };
  port.m_on_leader = [this](const wire::ConfigDelta& delta) { OnLeaderNamed(delta); };
  port.m_on_servers = [this](const wire::ConfigDelta& delta) {
    m_forwarder.m_send(EvacuationsChanged{delta.evacuations});
    if (delta.__isset.quarantined)
      m_forwarder.m_send(ToQuarantineChanged(delta));
    if (!delta.servers.empty())
      m_forwarder.m_send(ServersChanged{delta.servers});
  };
  port.m_on_document = [this](std::shared_ptr<const wire::Document> document) {
    m_forwarder.m_send(NewDocument{std::move(document)});
    PublishConfirmation();
  };
  return port;
}

void InstanceAgent::OnLeaderNamed(const wire::ConfigDelta& delta) {
  if (delta.leader_term <= m_leader_term)
    return;
  m_leader_term = delta.leader_term;
  m_poller->SetLeaderTerm(m_leader_term);
  m_leader = FindOrAddMember({delta.leader_address, static_cast<std::uint16_t>(delta.leader_port)});
  POPPYWAY_LOG(info, "leader_named").Field("term", m_leader_term).Field("port", delta.leader_port);
  RediscoverBroker();
}

void InstanceAgent::OnPush(std::size_t index, const wire::Body& body) {
  if (index != m_leader || !body.__isset.place_answers)
    return;
  if (body.place_answers.not_broker) {
    RediscoverBroker();
    return;
  }
  SlotResponses message;
  message.m_epoch = body.place_answers.epoch;
  for (const wire::PlaceAnswer& answer : body.place_answers.answers)
    message.m_answers.push_back(FromWire(answer));
  if (body.place_answers.__isset.suspects)
    message.m_suspects = body.place_answers.suspects;
  m_forwarder.m_send(std::move(message));
}

void InstanceAgent::OnMemberDisconnected(std::size_t index) {
  if (index == m_leader && m_broker_announced)
    RediscoverBroker();
}

void InstanceAgent::RediscoverBroker() {
  if (m_broker_announced)
    m_forwarder.m_send(BrokerDisconnected{});
  m_broker_announced = false;
  m_heartbeat_due = std::min(m_heartbeat_due, ReadClock());
}

BrokerPort InstanceAgent::MakeSlotBrokerPort() {
  BrokerPort port;
  port.m_send = [this](SlotBatch batch) {
    wire::Body body;
    body.__set_place_batch(ToWire(batch, m_incarnation, m_settings.m_data_centre));
    Leader().Notify(std::move(body));
  };
  port.m_on_unresponsive = [this] { RediscoverBroker(); };
  port.m_last_member_contact = [this] {
    Instant last{};
    for (const std::unique_ptr<PeerClient>& member : m_members)
      last = std::max(last, member->last_contact_time());
    return last;
  };
  return port;
}

CrashReportPort InstanceAgent::MakeCrashReportPort() {
  return {[this](const CrashReport& report) { QueueCrashReport(report); }};
}

void InstanceAgent::QueueCrashReport(const CrashReport& report) {
  wire::CrashReport command;
  command.process = static_cast<std::int64_t>(report.m_crash.m_process);
  command.running.assign(report.m_crash.m_running.begin(), report.m_crash.m_running.end());
  command.cleared.assign(report.m_cleared.begin(), report.m_cleared.end());
  for (const SuspectPart& part : report.m_crash.m_parts) {
    wire::SuspectPart& sent = command.parts.emplace_back();
    sent.part = static_cast<std::int64_t>(part.m_part);
    sent.answered = part.m_answered;
  }
  command.cleared_parts.assign(report.m_cleared_parts.begin(), report.m_cleared_parts.end());
  command.now_ms = ReadWallMillis();
  QueuedCommand queued;
  queued.m_command.__set_crash(std::move(command));
  queued.m_expires = ReadClock() + kCrashReportTimeout;
  m_commands.push_back(std::move(queued));
  FlushCommands();
}

void InstanceAgent::OnCrashReported(const wire::CrashReport& report) {
  if (report.process != 0)
    m_forwarder.m_send(CrashReported{static_cast<ServerProcessId>(report.process)});
}

}  // namespace poppyway
