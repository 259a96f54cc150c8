// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {

/// Refuses new requests during a planned stop, once the load balancer's lag has passed.
Verdict CheckRunning(GatewayState& state, Exchange& exchange) {
  const bool refusing = state.m_stopping && exchange.m_arrived >= state.m_refuse_from;
  if (!refusing)
    return Verdict::kContinue;
  Refuse(state, exchange, ResultCode::kStopping, "this instance is stopping");
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
