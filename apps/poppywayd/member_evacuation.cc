// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Operators' orders that a data centre gets nothing new, at a member.

#include <algorithm>

#include "broker_convert.h"
#include "member_service.h"

namespace poppyway {

void MemberService::SubmitEvacuation(const wire::EvacuationOrder& order, const ReplyFn& reply) {
  wire::EvacuationOrder dated = order;
  if (!order.__isset.known)
    dated.__set_known(LastEvacuationNumber(m_machine.m_hosted, order.data_centre));
  if (!is_leader()) {
    wire::Body body;
    body.__set_evacuation_order(dated);
    AskLeader(std::move(body), reply);
    return;
  }
  const bool named = m_settings.m_regions.contains(order.data_centre);
  if (!named && !KnowsDataCentre(m_machine.m_hosted, order.data_centre)) {
    if (LeadsForSure(reply))
      reply(ErrorBody(ResultCode::kNotFound,
                      "data centre '" + order.data_centre +
                          "' is not in the settings and no backend server registered from it"));
    return;
  }
  // Refused at once, so that the operator turns to another member: an order that a leader without a
  // majority takes would be answered long after its caller has given up.
  if (!LeadsForSure(reply))
    return;
  // Also a repeated order goes through the log: its acknowledgement must come from a leader that
  // still is one, and the first one must be safe by then.
  wire::Command command;
  command.__set_evacuation(dated);
  const std::int64_t before = LastEvacuationNumber(m_machine.m_hosted, order.data_centre);
  Commit(std::move(command), [this, order, before, reply](wire::Body answer) {
    if (answer.__isset.error) {
      reply(std::move(answer));
      return;
    }
    const HostedState& hosted = m_machine.m_hosted;
    const std::int64_t number = LastEvacuationNumber(hosted, order.data_centre);
    POPPYWAY_LOG(info, "evacuation_ordered")
        .Field("data_centre", order.data_centre)
        .Field("ends", order.ends)
        .Field("number", number)
        .Field("changed", number != before)
        .Field("log_index", m_machine.m_applied_index);
    if (IsEvacuated(hosted, order.data_centre) == order.ends)
      reply(ErrorBody(ResultCode::kNoMajority, "other orders for '" + order.data_centre +
                                                   "' came in between; send it again"));
    else
      reply(std::move(answer));
  });
}

std::vector<wire::EvacuationStatus> MemberService::EvacuationStatuses() const {
  const HostedState& hosted = m_machine.m_hosted;
  std::vector<wire::EvacuationStatus> statuses;
  for (const auto& [data_centre, evacuation] : hosted.m_evacuations) {
    const auto there = [&name = data_centre](const auto& entry) {
      const wire::ServerRecord& record = entry.second;
      return record.stage != wire::ServerStage::GONE && record.data_centre == name;
    };
    wire::EvacuationStatus& status = statuses.emplace_back();
    status.evacuation = evacuation;
    status.servers = static_cast<std::int32_t>(
        std::count_if(hosted.m_servers.begin(), hosted.m_servers.end(), there));
    status.running = m_places.CountRunningIn(data_centre).value_or(-1);
  }
  return statuses;
}

}  // namespace poppyway
