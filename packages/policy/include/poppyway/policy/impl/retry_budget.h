// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief Limits retries to a ratio of new requests, so that retries can't multiply an outage.
struct RetryBudget {
  double m_tokens = 10;  ///< Retries that may be made now.

  friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

/// \brief The budget after one new request arrived.
[[nodiscard]] RetryBudget Deposit(const RetryBudget& budget) noexcept;

/// \brief Takes one retry. \return false, leaving the budget as it is, if none is left.
[[nodiscard]] bool Withdraw(RetryBudget& budget) noexcept;

/// \brief Retries allowed for each new request.
inline constexpr double kRetryRatio = 0.1;
/// \brief Most retries that may be saved up.
inline constexpr double kRetryBurst = 50;

/// \brief A limit on second dispatches that all instances share; each spends a part of it.
struct RetryLimit {
  double m_ratio = kRetryRatio;  ///< Second dispatches for each first one.
  double m_burst = kRetryBurst;  ///< That may be saved up, over all instances.
  int m_instances = 1;

  friend bool operator==(const RetryLimit&, const RetryLimit&) = default;
};

/// \brief Accounts for one new request under a shared limit.
[[nodiscard]] RetryBudget Deposit(const RetryBudget& budget, const RetryLimit& limit) noexcept;

}  // namespace poppyway
