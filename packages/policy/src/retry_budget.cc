// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>
#include <cmath>

namespace poppyway {

RetryBudget Deposit(const RetryBudget& budget) noexcept {
  return {std::min(budget.m_tokens + kRetryRatio, kRetryBurst)};
}

RetryBudget Deposit(const RetryBudget& budget, const RetryLimit& limit) noexcept {
  const double most = limit.m_burst / std::max(1, limit.m_instances);
  return {std::min(budget.m_tokens + limit.m_ratio, most)};
}

double RetryPart(double amount, int instances, std::uint64_t rotation) noexcept {
  const double part = std::max(0.0, amount) / std::max(1, instances);
  if (part >= 1)
    return part;
  const double position = static_cast<double>(rotation >> 11) * 0x1.0p-53;  // Uniform in [0, 1).
  return position < part ? 1 : 0;
}

void TakeOver(SharedRetryBudget& shared,
              const RetryLimit& limit,
              double left,
              Instant at) noexcept {
  if (at <= shared.m_known_at)
    return;
  const double tokens = shared.m_budget.m_tokens + left - shared.m_known_left;
  shared = {{std::min(tokens, limit.m_burst)}, left, at};
}

void ChargeLate(SharedRetryBudget& shared, const RetryLimit& limit, double used) noexcept {
  double& tokens = shared.m_budget.m_tokens;
  tokens -= std::min(used, std::max(0.0, tokens + limit.m_burst));
}

bool Withdraw(RetryBudget& budget) noexcept {
  if (budget.m_tokens < 1)
    return false;
  budget.m_tokens -= 1;
  return true;
}

}  // namespace poppyway
