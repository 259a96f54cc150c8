// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief Limits retries to a ratio of new requests, so that retries can't amplify an outage.
struct RetryBudget {
  double m_tokens = 10;  ///< Retries that are allowed now.

  friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

/// \brief Returns the budget after one new request arrived.
[[nodiscard]] RetryBudget Deposit(const RetryBudget& budget) noexcept;

/// \brief Withdraws one retry.
/// \return true if one was left; otherwise the budget is unchanged.
[[nodiscard]] bool Withdraw(RetryBudget& budget) noexcept;

/// \brief The number of retries allowed for each new request.
inline constexpr double kRetryRatio = 0.1;
/// \brief The maximum number of saved retries.
inline constexpr double kRetryBurst = 50;

/// \brief A limit on retries that all instances share; each instance has an equal part of it.
struct RetryLimit {
  double m_ratio = kRetryRatio;  ///< Retries allowed for each new request.
  double m_burst = kRetryBurst;  ///< Maximum of saved retries, over all instances.
  int m_instances = 1;

  friend bool operator==(const RetryLimit&, const RetryLimit&) = default;
};

/// \brief Returns the budget after one new request arrived, under a shared limit.
[[nodiscard]] RetryBudget Deposit(const RetryBudget& budget, const RetryLimit& limit) noexcept;

}  // namespace poppyway
