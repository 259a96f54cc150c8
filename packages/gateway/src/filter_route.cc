// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {
namespace {

WaitingRequest ToWaiting(const Exchange& exchange) {
  WaitingRequest waiting;
  waiting.m_ref = exchange.m_ref;
  waiting.m_tier = TierOf(exchange);
  waiting.m_workspace = exchange.m_workspace;
  waiting.m_event = exchange.m_event->m_name;
  waiting.m_model = exchange.m_model;
  waiting.m_prompt_tokens = exchange.m_prompt_tokens;
  waiting.m_prefixes = exchange.m_prefixes;
  waiting.m_avoid = exchange.m_avoid;
  waiting.m_arrived = exchange.m_arrived;
  waiting.m_deadline = exchange.m_deadline;
  return waiting;
}

}  // namespace

/// Takes a standing credit where nothing of the same or a higher tier waits; else waits for a grant.
Verdict Route(GatewayState& state, Exchange& exchange) {
  PoolSide& pool = PoolOf(state, exchange);
  const Instant now = ReadClock();
  if (!pool.m_contended && pool.m_queue.size() == 0) {
    std::optional<Credit> credit = TakeStanding(pool.m_book, UsableEngines(state, exchange),
                                                exchange.m_prompt_tokens, now);
    if (credit) {
      exchange.m_credit = *credit;
      return Verdict::kContinue;
    }
  }
  exchange.m_stage = Stage::kWaiting;
  pool.m_queue.Push(ToWaiting(exchange));
  pool.m_dirty = true;
  FlushDemand(state, exchange.m_event->m_pool, pool, now);
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
