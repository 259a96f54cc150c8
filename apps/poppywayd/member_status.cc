// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The parts of a member that operators read: objects, status and metrics.

#include "broker_convert.h"
#include "member_service.h"

namespace poppyway {

void MemberService::OnObjects(const wire::ObjectsRequest& request, const ReplyFn& reply) {
  if (!IsConfirmedLeader(ReadClock())) {
    reply(NotLeader());
    return;
  }
  wire::ObjectsReply answer;
  const Configuration& configuration = m_machine.m_configuration;
  answer.version = configuration.m_version;
  for (const auto& [name, state] : configuration.m_objects)
    answer.objects.push_back(state.object);
  if (request.history)
    answer.history.assign(configuration.m_history.begin(), configuration.m_history.end());
  wire::Body body;
  body.__set_objects_reply(std::move(answer));
  reply(std::move(body));
}

wire::StatusReply MemberService::Status() const {
  const Instant now = ReadClock();
  wire::StatusReply status;
  status.instance = m_settings.m_instance;
  status.leader_id = m_node.m_leader;
  status.term = m_node.m_hard_state.term;
  status.commit = m_node.m_commit_index;
  status.version = m_machine.m_configuration.m_version;
  status.membership = m_node.m_membership;
  status.leader_here = LeadsWithQuorum(m_node, now);
  status.ledger_keys = static_cast<std::int64_t>(m_machine.m_ledger.m_keys.size());
  status.lease_age_ms = (now - m_node.m_last_leader_contact).count() / 1000;
  for (const auto& [incarnation, record] : m_table.m_live) {
    wire::InstanceStatus instance;
    instance.instance = record.m_heartbeat.instance;
    instance.incarnation = incarnation;
    instance.data_centre = record.m_heartbeat.data_centre;
    instance.version_in_force = record.m_heartbeat.version_in_force;
    instance.ready = record.m_heartbeat.ready;
    instance.stopping = record.m_heartbeat.stopping;
    instance.age_ms = (now - record.m_last_heartbeat).count() / 1000;
    instance.http = record.m_heartbeat.http;
    instance.address = record.m_heartbeat.address;
    instance.port = record.m_heartbeat.port;
    status.instances.push_back(std::move(instance));
  }
  for (const auto& [name, lease] : m_machine.m_leases)
    status.leases.push_back(lease);
  status.evacuations = EvacuationStatuses();
  AddMembershipStatus(status, now);
  return status;
}

void MemberService::AddMembershipStatus(wire::StatusReply& status, Instant now) const {
  if (!is_leader())
    return;
  const MembershipStatus membership = MembershipStatusOf(m_node, now);
  status.__set_tolerated_losses(membership.m_tolerated_losses);
  for (const MemberStatus& member : membership.m_members) {
    if (!member.m_silent)
      continue;
    wire::SilentMember& silent = status.silent.emplace_back();
    silent.id = member.m_id;
    silent.silent_ms = member.m_silent_for.count() / 1000;
  }
}

bool MemberService::IsConnectedToQuorum(Instant now) const {
  if (is_leader())
    return LeadsWithQuorum(m_node, now);
  return m_node.m_leader != 0 &&
         now - m_node.m_last_leader_contact < m_node.m_timing.m_election_max;
}

std::uint64_t MemberService::bytes_sent() const {
  std::uint64_t bytes = 0;
  for (const auto& [name, peer] : m_peers)
    bytes += peer->bytes_sent();
  return bytes;
}

SendQueueStats MemberService::queue_stats() const {
  SendQueueStats all;
  for (const auto& [name, peer] : m_peers)
    all = CombineQueueStats(all, peer->queue_stats());
  return all;
}

void MemberService::AddMembershipMetrics(MetricSet& metrics) const {
  if (!is_leader())
    return;
  const MembershipStatus membership = MembershipStatusOf(m_node, ReadClock());
  int voters = 0;
  int silent = 0;
  for (const MemberStatus& member : membership.m_members) {
    voters += member.m_voter ? 1 : 0;
    silent += member.m_voter && member.m_silent ? 1 : 0;
  }
  metrics.Set("poppyway_log_voters", "", voters);
  metrics.Set("poppyway_log_silent_voters", "", silent);
  metrics.Set("poppyway_log_tolerated_losses", "", membership.m_tolerated_losses);
}

void MemberService::AddMetrics(MetricSet& metrics) const {
  AddMembershipMetrics(metrics);
  metrics.Set("poppyway_log_term", "", static_cast<double>(m_node.m_hard_state.term));
  metrics.Set("poppyway_log_commit", "", static_cast<double>(m_node.m_commit_index));
  metrics.Set("poppyway_log_leader", "", is_leader() ? 1 : 0);
  metrics.Set("poppyway_log_syncs", "", static_cast<double>(m_syncs));
  metrics.SetHistogram("poppyway_log_sync_seconds", "", m_sync_times);
  metrics.Set("poppyway_log_entries_synced", "", static_cast<double>(m_entries_synced));
  metrics.Set("poppyway_log_disk_full", "", m_disk_full ? 1 : 0);
  metrics.Set("poppyway_log_sent_bytes", "", static_cast<double>(m_log_bytes));
  metrics.Set("poppyway_log_sent_again_bytes", "", static_cast<double>(m_log_bytes_resent));
  metrics.Set("poppyway_heartbeats_unconfirmed", "", static_cast<double>(m_heartbeats_rejected));
  metrics.Set("poppyway_server_presences_total", "", static_cast<double>(m_presences_proposed));
  metrics.Set("poppyway_news_answers", "", static_cast<double>(m_poll_responses));
  metrics.Set("poppyway_news_document_bytes", "", static_cast<double>(m_document_bytes_sent));
  metrics.Set("poppyway_ledger_keys", "", static_cast<double>(m_machine.m_ledger.m_keys.size()));
  metrics.Set("poppyway_ledger_kept_bytes", "",
              static_cast<double>(m_machine.m_ledger.m_stored_answer_bytes));
  for (const wire::EvacuationStatus& status : EvacuationStatuses()) {
    const std::string label = "data_centre=\"" + status.evacuation.data_centre + "\"";
    metrics.Set("poppyway_evacuated", label, status.evacuation.ended ? 0 : 1);
    if (status.running >= 0)
      metrics.Set("poppyway_evacuated_running", label, status.running);
  }
  const CrashSuspects& suspects = m_machine.m_hosted.m_crash_suspects;
  metrics.Set("poppyway_crash_suspects", "", static_cast<double>(suspects.m_suspects.size()));
  metrics.Set("poppyway_quarantined_requests", "",
              static_cast<double>(QuarantinedRequests(suspects).size()));
  metrics.Set("poppyway_crash_suspect_parts", "", static_cast<double>(suspects.m_parts.size()));
  metrics.Set("poppyway_quarantined_parts", "",
              static_cast<double>(suspects.m_quarantined_parts.size()));
  m_slot_broker.AddMetrics(metrics);
  m_registration_limit.AddMetrics(metrics);
}

}  // namespace poppyway
