// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {

// The steps of one request in order. After `Dispatch` the callbacks in relay.cc handle the back
// end's response, and `EndExchange` ends the exchange and records the outcome.
void RunChain(GatewayState& state, Exchange& exchange) {
  if (CheckRunning(state, exchange) == Verdict::kSuspended)
    return;
  if (IdentifyCaller(state, exchange) == Verdict::kSuspended)
    return;
  if (MatchEventFilter(state, exchange) == Verdict::kSuspended)
    return;
  if (CheckDeadline(state, exchange) == Verdict::kSuspended)
    return;
  if (CheckDuplicate(state, exchange) == Verdict::kSuspended)
    return;
  RunChainAfterClaim(state, exchange);
}

void RunChainAfterClaim(GatewayState& state, Exchange& exchange) {
  if (Admit(state, exchange) == Verdict::kSuspended)
    return;
  if (Route(state, exchange) == Verdict::kSuspended)
    return;
  Dispatch(state, exchange);
}

}  // namespace poppyway::impl
