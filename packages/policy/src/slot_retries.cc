// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The limit of retries that all instances share, kept by the slot broker.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {

bool CountAgainstRetryLimit(const SlotBroker& broker,
                            SlotPool& pool,
                            const SlotRequest& slot_request) {
  RetryBudget& budget = pool.m_retries.m_budget;
  if (slot_request.m_retry)
    return RetriesLeft(broker, pool) >= 1 && Withdraw(budget);
  const bool is_new = slot_request.m_tried.empty();
  if (is_new)
    budget = Deposit(budget, broker.m_retry_limit);
  return true;
}

double RetriesLeft(const SlotBroker& broker, const SlotPool& pool) noexcept {
  const double withheld = (1 - ReachableShare(broker)) * broker.m_retry_limit.m_burst;
  return std::max(0.0, pool.m_retries.m_budget.m_tokens - withheld);
}

void SetRetryLimit(SlotBroker& broker, const RetryLimit& limit) {
  broker.m_retry_limit = limit;
}

void ApplyRetryReport(SlotBroker& broker, const RetryReport& report, Instant now) {
  SharedRetryBudget& retries = broker.m_pools[report.m_pool].m_retries;
  // A level that this broker reported itself adds nothing.
  if (report.m_epoch != 0 && report.m_epoch < broker.m_epoch)
    TakeOver(retries, broker.m_retry_limit, report.m_left, now - report.m_age);
  ChargeLate(retries, broker.m_retry_limit, report.m_used_without_broker);
}

}  // namespace poppyway
