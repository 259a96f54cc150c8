// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {

/// Refuses a request that is shed or can't be served before its deadline. Where the queue is full,
/// a waiting request of a lower tier may be refused in its place.
Verdict Admit(GatewayState& state, Exchange& exchange) {
  const Admission admission =
      AdmitRequest(PoolOf(state, exchange), ToWaiting(exchange),
                   static_cast<std::size_t>(state.m_settings.m_max_queue), exchange.m_arrived);
  if (admission.m_evict)
    Refuse(state, *state.m_exchanges.at(*admission.m_evict), ResultCode::kQueueFull,
           "a higher tier needed the place");
  if (admission.m_code == ResultCode::kOk)
    return Verdict::kContinue;
  Refuse(state, exchange, admission.m_code, admission.m_reason);
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
