// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Servers that the state takes for away although their heartbeats arrive or they have responded.

#include "member_service.h"

namespace poppyway {

void MemberService::RecordContradiction(const wire::ServerRecord& heartbeat) {
  const std::optional<wire::ServerPresence> presence = RecordContradictingHeartbeat(
      m_contradicting_heartbeats, m_machine.m_hosted, heartbeat, ReadClock());
  if (presence)
    ProposePresence(*presence, "heartbeats");
}

void MemberService::RecordResponses(const wire::PlaceBatch& batch) {
  for (const wire::ServerResponded& responded : batch.responded) {
    const std::optional<wire::ServerPresence> presence =
        RecordResponse(m_contradicting_heartbeats, m_machine.m_hosted, responded.server,
                       responded.expected, ReadClock());
    if (presence)
      ProposePresence(*presence, "response");
  }
}

void MemberService::ProposePresence(const wire::ServerPresence& presence, const char* shown_by) {
  const wire::ServerRecord& record = m_machine.m_hosted.m_servers.at(presence.id);
  ++m_presences_proposed;
  POPPYWAY_LOG(info, "server_present")
      .Field("server", presence.id)
      .Field("pool", record.pool)
      .Field("place", record.address + ":" + std::to_string(record.port))
      .Field("shown_by", shown_by)
      .Field("returns", presence.returns);
  wire::Command command;
  command.__set_presence(presence);
  // If the entry is lost with the leadership, the next heartbeats lead to another one.
  CommitCommand(std::move(command), [](const wire::Body&) {});
}

}  // namespace poppyway
