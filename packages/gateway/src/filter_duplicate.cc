// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {

/// Claims the caller's key in the dispatch ledger and suspends until the ledger replies. Without a
/// key, refuses the request if its event may not be repeated.
Verdict CheckDuplicate(GatewayState& state, Exchange& exchange) {
  if (exchange.m_key.empty()) {
    if (exchange.m_event->m_repeatable)
      return Verdict::kContinue;
    Refuse(state, exchange, ResultCode::kKeyRequired,
           "event '" + exchange.m_event->m_name + "' may not be repeated: send Idempotency-Key");
    return Verdict::kSuspended;
  }
  ClaimKey claim;
  claim.m_ref = exchange.m_ref;
  claim.m_deadline = exchange.m_deadline;
  claim.m_claim.key = exchange.m_key;
  claim.m_claim.owner = state.m_incarnation;
  claim.m_claim.ref = exchange.m_ref;
  claim.m_claim.fingerprint = static_cast<std::int64_t>(
      Hash(exchange.m_body, Hash(exchange.m_method + " " + exchange.m_path)));
  claim.m_claim.now_ms = ReadWallMillis();
  claim.m_claim.retention_ms = exchange.m_event->m_retention_s * 1000;
  // After an unknown outcome a repeatable service call may run again, a model request never.
  claim.m_claim.rerun_unknown = exchange.m_event->m_repeatable && !exchange.m_model_call;
  claim.m_needs_ledger = !claim.m_claim.rerun_unknown;
  exchange.m_stage = Stage::kClaiming;
  state.m_to_control(std::move(claim));
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
