// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>

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

/// \brief A limit on retries that all instances share.
struct RetryLimit {
  double m_ratio = kRetryRatio;  ///< Retries allowed for each new request.
  double m_burst = kRetryBurst;  ///< Maximum of saved retries, over all instances.
  int m_instances = 1;           ///< Instances that share the limit.

  friend bool operator==(const RetryLimit&, const RetryLimit&) = default;
};

/// \brief Returns the budget after one new request arrived, under an even part of a shared limit.
[[nodiscard]] RetryBudget Deposit(const RetryBudget& budget, const RetryLimit& limit) noexcept;

/// \brief Returns an instance's part of `amount` retries, for use without a broker.
///
/// A part of one retry or more is exact. Less than one retry can't be used, so of many instances
/// some get one retry and the others none; the parts of all instances add up to `amount` on
/// average.
/// \param rotation differs by instance, and from one loss of a broker to the next.
[[nodiscard]] double RetryPart(double amount, int instances, std::uint64_t rotation) noexcept;

/// \brief The retries of all instances for one pool, kept by the broker. It is exact, since every
/// retry asks the broker for a slot.
struct SharedRetryBudget {
  RetryBudget m_budget{0};
  double m_known_left = 0;  ///< Level of an earlier broker that the budget includes.
  Instant m_known_at{};     ///< When that level was reported; zero: none is known.

  friend bool operator==(const SharedRetryBudget&, const SharedRetryBudget&) = default;
};

/// \brief What an instance reports about the retries for a pool when it connects to a broker.
struct RetryReport {
  std::string m_pool;
  double m_left = 0;         ///< Level that a broker last reported.
  Duration m_age{};          ///< Time since that report.
  std::int64_t m_epoch = 0;  ///< Epoch of the broker that reported it; zero if none did.
  double m_used_without_broker = 0;

  friend bool operator==(const RetryReport&, const RetryReport&) = default;
};

/// \brief Continues from the level `left` that an earlier broker reported at time `at`. Does
/// nothing if a later level is known.
void TakeOver(SharedRetryBudget& shared, const RetryLimit& limit, double left, Instant at) noexcept;

/// \brief Counts retries that were made without the broker. They may leave a debt of at most one
/// burst: older ones lie before the time window that the limit is judged by.
void ChargeLate(SharedRetryBudget& shared, const RetryLimit& limit, double used) noexcept;

}  // namespace poppyway
