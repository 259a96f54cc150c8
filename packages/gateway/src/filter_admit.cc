// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {
namespace {

/// Makes room in a full queue by refusing the newest request of a lower tier, if there is one.
bool MakeRoom(GatewayState& state, PoolSide& pool, Tier tier) {
  const std::optional<RequestRef> lowest = pool.m_queue.LowestBelow(tier);
  if (!lowest)
    return false;
  Exchange& evicted = *state.m_exchanges.at(*lowest);
  Refuse(state, evicted, ResultCode::kQueueFull, "a higher tier needed the place");
  return true;
}

}  // namespace

/// Refuses what is shed or can't be served in time; all else may go on.
Verdict Admit(GatewayState& state, Exchange& exchange) {
  PoolSide& pool = PoolOf(state, exchange);
  pool.m_retries = Deposit(pool.m_retries);
  const Tier tier = TierOf(exchange);
  const auto refuse = [&](ResultCode code, const std::string& why) {
    Refuse(state, exchange, code, why);
    return Verdict::kSuspended;
  };
  if (!Admits(pool.m_floor, tier))
    return refuse(ResultCode::kOverload, "tier " + std::to_string(tier) + " is shed for overload");
  const Duration wait =
      pool.m_contended ? ExpectedWait({pool.m_backlog, pool.m_queue.counts(), pool.m_drain_per_s,
                                       tier, pool.m_queue.counts()[tier]})
                       : Duration(0);
  const double service_s = pool.m_service_s[exchange.m_event->m_name];
  const Duration service(static_cast<std::int64_t>(service_s * 1e6));
  if (exchange.m_arrived + wait + service > exchange.m_deadline)
    return refuse(ResultCode::kDeadlineUnreachable,
                  "expected wait " + std::to_string(wait.count() / 1000) + " ms and service " +
                      std::to_string(service.count() / 1000) + " ms pass the deadline");
  const bool full = static_cast<std::int64_t>(pool.m_queue.size()) >= state.m_settings.m_max_queue;
  if (full && !MakeRoom(state, pool, tier))
    return refuse(ResultCode::kQueueFull, "this instance's queue is full");
  return Verdict::kContinue;
}

}  // namespace poppyway::impl
