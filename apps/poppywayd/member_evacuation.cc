// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Handling of operators' evacuation orders at a member. An evacuated data centre gets no new
// requests.

#include <algorithm>

#include "broker_convert.h"
#include "member_service.h"

namespace poppyway {

void MemberService::SubmitEvacuation(const wire::EvacuationOrder& order, const ReplyFn& reply) {
  wire::EvacuationOrder numbered = order;
  if (!order.__isset.known)
    numbered.__set_known(LastEvacuationNumber(m_machine.m_hosted, order.data_centre));
  if (!is_leader()) {
    wire::Body body;
    body.__set_evacuation_order(numbered);
    CallLeader(std::move(body), reply);
    return;
  }
  const bool named = m_settings.m_regions.contains(order.data_centre);
  if (!named && !KnowsDataCentre(m_machine.m_hosted, order.data_centre)) {
    if (RequireConfirmedLeader(reply))
      reply(ErrorBody(ResultCode::kNotFound,
                      "data centre '" + order.data_centre +
                          "' is not in the settings and no backend server registered from it"));
    return;
  }
  // An unconfirmed leader rejects the order at once, so that the operator retries at another
  // member. Without a majority, the response would come long after the caller's timeout.
  if (!RequireConfirmedLeader(reply))
    return;
  // A repeated order takes a log entry too, since only a leader that still leads may acknowledge
  // it, and only once the first order is committed.
  wire::Command command;
  command.__set_evacuation(numbered);
  const std::int64_t before = LastEvacuationNumber(m_machine.m_hosted, order.data_centre);
  CommitCommand(std::move(command), [this, order, before, reply](wire::Body answer) {
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
    const auto in_data_centre = [&name = data_centre](const auto& entry) {
      const wire::ServerRecord& record = entry.second;
      return record.stage != wire::ServerStage::GONE && record.data_centre == name;
    };
    wire::EvacuationStatus& status = statuses.emplace_back();
    status.evacuation = evacuation;
    status.servers = static_cast<std::int32_t>(
        std::count_if(hosted.m_servers.begin(), hosted.m_servers.end(), in_data_centre));
    status.running = m_slot_broker.CountRunningIn(data_centre).value_or(-1);
  }
  return statuses;
}

}  // namespace poppyway
