// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"
#include "poppyway/policy/impl/quota_limit.h"

namespace poppyway {

/// \brief The one token bucket of a workspace, kept by the broker: exact, since every request of
/// the workspace is charged here before a server sees it.
struct QuotaBucket {
  double m_tokens = 0;    ///< Left; below zero after a request that cost more than was left.
  double m_spent = 0;     ///< Charged here since this broker began, less what was given back.
  Instant m_filled{};     ///< Zero: not used yet.
  double m_withheld = 0;  ///< Not granted here: the part of instances that are not heard.
  Instant m_known_at{};   ///< When what an earlier broker left behind was true; zero: not known.

  friend bool operator==(const QuotaBucket&, const QuotaBucket&) = default;
};

/// \brief A limit that nobody has told a new broker of. It may have been used up just before the
/// broker began, so a fifth of the burst is there at first; the rest fills up at the limit's rate.
[[nodiscard]] QuotaBucket BeginLimit(const QuotaLimit& limit, Instant began) noexcept;

/// \brief Takes the cost if more than the reserve is left. A request may overdraw the limit once.
/// Precondition: `limit` has a rate above zero.
[[nodiscard]] bool Spend(QuotaBucket& bucket,
                         const QuotaLimit& limit,
                         const QuotaRequest& request,
                         Instant now) noexcept;

/// \brief Takes `cost` whatever is left: it was spent without the broker.
void Charge(QuotaBucket& bucket, double cost) noexcept;
/// \brief Sets aside what the limit's rate comes to, since the last request, for instances that
/// aren't heard; what they spent meanwhile is taken from it when they are heard again. Charged to
/// what is left instead, it would be taken twice, and all callers of the workspace refused for it.
/// Once all are heard it runs out at the limit's rate. Call before `Spend`.
/// \param heard share of the instances that are heard.
/// \param most an instance that isn't heard serves on for so long.
void Withhold(QuotaBucket& bucket,
              const QuotaLimit& limit,
              double heard,
              Duration most,
              Instant now) noexcept;

/// \brief Takes what was spent without the broker and is told late, as far as it wasn't withheld,
/// down to a debt of one burst: older overruns lie before the time that a limit is judged by.
void ChargeLate(QuotaBucket& bucket, const QuotaLimit& limit, double cost) noexcept;
/// \brief Puts back what was taken for a request that no server ran.
void Refund(QuotaBucket& bucket, double cost) noexcept;

/// \brief Takes over what an earlier broker said to be left at `at`. The latest word counts.
void TakeOver(QuotaBucket& bucket,
              const QuotaLimit& limit,
              double left,
              Instant at,
              Instant now) noexcept;

/// \brief An instance's even part of a workspace's limit while no broker is in reach.
///
/// Each instance begins with a debt drawn evenly between nothing and the cost of a request that
/// overdraws a limit. Without it all instances could send one request at once whatever is left:
/// with 295 of them and prompts of 7,000 tokens that is 2 million tokens. With it the sum over all
/// instances is, on average, what one bucket would give.
struct LocalQuotaBucket {
  double m_tokens = 0;
  double m_spent = 0;  ///< Since the broker was lost.
  QuotaLimit m_limit;  ///< As it was last spent against.
  Instant m_filled{};  ///< Zero: nothing was asked for since the broker was lost.

  friend bool operator==(const LocalQuotaBucket&, const LocalQuotaBucket&) = default;
};

/// \brief Sums over the costs of requests, for what one overdraws a limit by on average.
struct CostSums {
  double m_costs = 0;
  double m_squares = 0;

  friend bool operator==(const CostSums&, const CostSums&) = default;
};

/// \brief The sums with one request more.
[[nodiscard]] CostSums Add(const CostSums& sums, double cost) noexcept;

/// \brief The mean cost of the request that overdraws a limit: large ones do so more often. Zero:
/// not known.
[[nodiscard]] double OverdrawingCost(const CostSums& sums) noexcept;

/// \brief What an instance knows when it spends alone.
struct LocalQuotaShare {
  int m_instances = 1;       ///< That share the limit.
  double m_limit_left = 0;   ///< Of the whole limit, when a broker last told.
  double m_random = 0;       ///< Uniform in [0, 1).
  double m_overdrawing = 0;  ///< See `OverdrawingCost`.

  friend bool operator==(const LocalQuotaShare&, const LocalQuotaShare&) = default;
};

/// \brief Takes the cost if the instance's part allows it.
/// Precondition: `limit` has a rate above zero.
[[nodiscard]] bool ChargeWithoutBroker(LocalQuotaBucket& local_quota,
                                       const QuotaLimit& limit,
                                       const QuotaRequest& request,
                                       const LocalQuotaShare& share,
                                       Instant now) noexcept;

}  // namespace poppyway
