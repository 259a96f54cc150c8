// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {

RetryBudget Deposit(const RetryBudget& budget) noexcept {
  return {std::min(budget.m_tokens + kRetryRatio, kRetryBurst)};
}

RetryBudget Deposit(const RetryBudget& budget, const RetryLimit& limit) noexcept {
  const double most = limit.m_burst / std::max(1, limit.m_instances);
  return {std::min(budget.m_tokens + limit.m_ratio, most)};
}

bool Withdraw(RetryBudget& budget) noexcept {
  if (budget.m_tokens < 1)
    return false;
  budget.m_tokens -= 1;
  return true;
}

}  // namespace poppyway
