// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The limit of retries that all instances share. The broker counts every retry, since each asks it
// for a slot; while no broker responds, an instance keeps to its part of the limit.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

bool BrokerResponds(const BrokerLink& link) noexcept {
  return link.m_active && !IsBrokerOverdue(link);
}

/// Returns this instance's part of `amount` retries until the next broker.
double PartWithoutBroker(const ForwarderState& state, double amount) {
  const std::uint64_t rotation = MixHash(Hash(state.m_settings.m_instance),
                                         static_cast<std::uint64_t>(state.m_broker.m_epoch));
  return RetryPart(amount, state.m_instances.m_recent_max, rotation);
}

}  // namespace

void CountNewRequest(ForwarderState& state, PoolState& pool) {
  if (BrokerResponds(state.m_broker))
    return;  // The broker counts it.
  const RetryLimit& limit = state.m_settings.m_retry_limit;
  const double most = PartWithoutBroker(state, limit.m_burst);
  pool.m_retries.m_budget = Deposit(pool.m_retries.m_budget, {limit.m_ratio, most, 1});
}

void BeginRetriesWithoutBroker(ForwarderState& state) {
  // Retries that no broker knows of are part of the same part: a broker that is overdue may be
  // lost.
  for (auto& [name, pool] : state.m_pools)
    pool.m_retries.m_budget = {PartWithoutBroker(state, pool.m_retries_left.m_left) -
                               pool.m_retries.m_used};
}

bool HasRetryLeft(const ForwarderState& state, const PoolState& pool) noexcept {
  const double left = BrokerResponds(state.m_broker) ? pool.m_retries_left.m_left
                                                     : pool.m_retries.m_budget.m_tokens;
  return left >= 1;
}

bool ChargeRetryWithoutBroker(PoolState& pool, Forwarding& forwarding) noexcept {
  if (!forwarding.m_uncounted_retry)
    return true;
  if (!Withdraw(pool.m_retries.m_budget))
    return false;
  ++pool.m_retries.m_used;
  forwarding.m_uncounted_retry = false;
  return true;
}

void RefuseRetry(ForwarderState& state, Forwarding& forwarding) {
  const ResultCode code =
      forwarding.m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kOverload;
  Refuse(state, forwarding, code, "the limit of retries is used up");
}

void RememberRetriesLeft(ForwarderState& state, PoolState& pool, const SlotResponse& answer) {
  if (answer.m_retries_left)
    pool.m_retries_left = {*answer.m_retries_left, ReadClock(), state.m_broker.m_epoch};
}

std::vector<RetryReport> TakeRetryReports(ForwarderState& state, Instant now) {
  std::vector<RetryReport> reports;
  for (auto& [name, pool] : state.m_pools) {
    const ReportedRetries& known = pool.m_retries_left;
    const bool nothing = known.m_epoch == 0 && pool.m_retries.m_used == 0;
    if (nothing)
      continue;
    reports.push_back(
        {name, known.m_left, now - known.m_reported_at, known.m_epoch, pool.m_retries.m_used});
    pool.m_retries.m_used = 0;
  }
  return reports;
}

}  // namespace poppyway::impl
