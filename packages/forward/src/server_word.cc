// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What backend servers say of themselves in their answers, beside the answer itself.
#include "steps.h"

namespace poppyway::impl {

void TakeServerWord(ForwarderState& state,
                    const Forwarding& forwarding,
                    const ServerAnswer& answer) {
  if (!answer.m_unreadable.empty()) {
    state.m_metrics.Add("poppyway_forward_unreadable_fields_total",
                        "field=\"" + answer.m_unreadable + "\"");
    POPPYWAY_LOG(warning, "field_unreadable")
        .Field("request", forwarding.m_request.m_id)
        .Field("server", forwarding.m_server)
        .Field("field", answer.m_unreadable);
  }
  if (!answer.m_back_off)
    return;
  state.m_metrics.Add("poppyway_forward_back_offs_total");
  POPPYWAY_LOG(info, "server_backs_off")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", forwarding.m_server)
      .Field("status", answer.m_status)
      .Field("for_ms", answer.m_back_off->count() / 1000);
}

}  // namespace poppyway::impl
