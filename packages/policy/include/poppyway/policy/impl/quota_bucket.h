// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"
#include "poppyway/policy/impl/quota_limit.h"

namespace poppyway {

/// \brief The token bucket of a workspace, kept by the broker. It is exact, since every request of
/// the workspace is charged here before it reaches a server.
struct QuotaBucket {
  /// Remaining amount; negative after a request that cost more than was left.
  double m_tokens = 0;
  double m_spent = 0;     ///< Amount charged since this broker began, less refunds.
  Instant m_filled{};     ///< Time of the last refill; zero before the first use.
  double m_withheld = 0;  ///< Amount reserved for unreachable instances.
  /// Time of the earlier broker's level that this bucket continues; zero if none is known.
  Instant m_known_at{};

  friend bool operator==(const QuotaBucket&, const QuotaBucket&) = default;
};

/// \brief Returns the bucket of a limit whose level a new broker doesn't know. The limit may have
/// been used up just before the broker began, so the bucket starts with a fifth of the burst and
/// refills at the limit's rate.
[[nodiscard]] QuotaBucket BeginLimit(const QuotaLimit& limit, Instant began) noexcept;

/// \brief Charges the request's cost if more than its reserve is left. A request may overdraw the
/// limit once.
/// \return false if the request must be rejected; nothing is charged then.
/// Precondition: `limit` has a rate above zero.
[[nodiscard]] bool Spend(QuotaBucket& bucket,
                         const QuotaLimit& limit,
                         const QuotaRequest& request,
                         Instant now) noexcept;

/// \brief Charges `cost` whatever is left, since it was already spent without the broker.
void Charge(QuotaBucket& bucket, double cost) noexcept;
/// \brief Reserves the part of the limit's rate that unreachable instances may spend, for the time
/// since the last refill.
///
/// What they spent is taken from this reserve when they are reachable again. Charged to the bucket
/// instead, it would count twice, and all requests of the workspace would be rejected for it. Once
/// all instances are reachable the reserve drains at the limit's rate. Call it before `Spend`.
/// \param reachable_share share of the instances that are reachable.
/// \param max_time time that an unreachable instance goes on serving.
void Withhold(QuotaBucket& bucket,
              const QuotaLimit& limit,
              double reachable_share,
              Duration max_time,
              Instant now) noexcept;

/// \brief Charges cost that was spent without the broker and is reported late, as far as it isn't
/// covered by the reserve. The bucket drops no lower than a debt of one burst: older overruns lie
/// before the time window that a limit is judged by.
void ChargeLate(QuotaBucket& bucket, const QuotaLimit& limit, double cost) noexcept;
/// \brief Refunds the cost of a request that no server executed.
void Refund(QuotaBucket& bucket, double cost) noexcept;

/// \brief Continues from the level `left` that an earlier broker reported at time `at`. Does
/// nothing if a later level is known.
void TakeOver(QuotaBucket& bucket,
              const QuotaLimit& limit,
              double left,
              Instant at,
              Instant now) noexcept;

/// \brief An instance's even share of a workspace's limit, for use without a broker.
///
/// Each instance starts with a random debt, uniform between zero and the mean cost of a request
/// that overdraws a limit. Without the debt all instances could send one request at once whatever
/// is left: 295 instances with prompts of 7,000 tokens would send 2 million tokens. With it the sum
/// over all instances is, on average, what one bucket would allow.
struct LocalQuotaBucket {
  double m_tokens = 0;
  double m_spent = 0;  ///< Amount spent since the broker was lost.
  QuotaLimit m_limit;  ///< Limit at the last charge.
  /// Time of the last refill; zero if nothing was charged since the broker was lost.
  Instant m_filled{};

  friend bool operator==(const LocalQuotaBucket&, const LocalQuotaBucket&) = default;
};

/// \brief Sums over the costs of requests, from which `OverdrawingCost` is computed.
struct CostSums {
  double m_costs = 0;
  double m_squares = 0;

  friend bool operator==(const CostSums&, const CostSums&) = default;
};

/// \brief Returns the sums with one more request.
[[nodiscard]] CostSums Add(const CostSums& sums, double cost) noexcept;

/// \brief Returns the mean cost of a request that overdraws a limit; zero if unknown. Expensive
/// requests do so more often, so the mean is weighted by cost.
[[nodiscard]] double OverdrawingCost(const CostSums& sums) noexcept;

/// \brief What an instance knows when it charges a limit without the broker.
struct LocalQuotaShare {
  int m_instances = 1;       ///< Number of instances that share the limit.
  double m_limit_left = 0;   ///< Remaining amount of the whole limit that a broker last reported.
  double m_random = 0;       ///< Uniform in [0, 1).
  double m_overdrawing = 0;  ///< See `OverdrawingCost`.

  friend bool operator==(const LocalQuotaShare&, const LocalQuotaShare&) = default;
};

/// \brief Charges the request's cost to the instance's share of the limit if more than its reserve
/// is left.
/// \return false if the request must be rejected; nothing is charged then.
/// Precondition: `limit` has a rate above zero.
[[nodiscard]] bool ChargeWithoutBroker(LocalQuotaBucket& local_quota,
                                       const QuotaLimit& limit,
                                       const QuotaRequest& request,
                                       const LocalQuotaShare& share,
                                       Instant now) noexcept;

}  // namespace poppyway
