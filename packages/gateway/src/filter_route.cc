// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {

/// Takes a standing credit, or queues the request until it is dispatched by a grant.
Verdict Route(GatewayState& state, Exchange& exchange) {
  PoolClient& pool = PoolOf(state, exchange);
  const Instant now = ReadClock();
  exchange.m_stage = Stage::kWaiting;
  std::optional<Credit> credit =
      DispatchOrEnqueue(pool, ToWaiting(exchange), UsableEngines(state, exchange), now);
  if (credit) {
    exchange.m_credit = *credit;
    return Verdict::kContinue;
  }
  SendDueDemand(state, exchange.m_event->m_pool, pool, now);
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
