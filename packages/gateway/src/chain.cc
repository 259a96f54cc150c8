// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {

// The way of one request, top to bottom. After `Dispatch` the back end's answer drives relay.cc,
// and `Account` closes the books.
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
