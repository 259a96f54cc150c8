// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

#include "poppyway/core.h"

namespace poppyway {

/// \brief A workspace's limit over all instances together.
struct QuotaLimit {
  double m_rate_per_s = 0;  ///< Zero: no limit.
  double m_burst = 0;

  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

/// \brief How far all instances together may overrun a limit, as the operator bounds it.
struct QuotaTolerance {
  double m_overage = 0;  ///< Share of the limit.
  double m_slack = 0;    ///< In the limit's unit, on top.

  friend bool operator==(const QuotaTolerance&, const QuotaTolerance&) = default;
};

/// \brief This instance's estimate of a workspace's one shared token bucket.
///
/// Each instance refills the whole bucket by the limit's rate, takes out at once what it spends
/// itself, and what the others spent as soon as it hears of it. So an instance may use all that the
/// others leave, without a message per request. Errors of the lag pay back by themselves: what was
/// overspent is missing from the bucket later. Each instance draws its estimate towards the mean of
/// the others', so that what one of them missed doesn't stay in it.
struct QuotaBucket {
  double m_tokens = 0;        ///< Left for all instances; below zero after an overrun.
  double m_others_total = 0;  ///< What the others had spent when last heard of.
  std::int64_t m_basis = 0;   ///< Whose spending that is the sum of.
  double m_others_per_s = 0;  ///< Their spending of late, for when it can't be told.
  double m_assumed = 0;       ///< Taken out for the others since then, while nothing was heard.
  double m_period_left = 0;   ///< What this instance may spend until it hears of the others again.
  double m_own_part = 1;      ///< Its part of the demand.
  bool m_alone = false;       ///< Nothing was heard of the others lately.
  bool m_agreed = false;      ///< The estimate was compared with the others'.
  Instant m_filled{};
  Instant m_heard{};        ///< Of the others, last.
  double m_spent = 0;       ///< By this instance since it started.
  double m_spent_last = 0;  ///< The same at the last report, and at the one before it.
  double m_spent_before = 0;
  double m_wanted = 0;        ///< Asked for here, refused requests included, since the last report.
  double m_wanted_per_s = 0;  ///< Of the last report.
  Instant m_reported{};

  friend bool operator==(const QuotaBucket&, const QuotaBucket&) = default;
};

/// \brief The instances that share a limit.
struct QuotaSharers {
  int m_instances = 1;  ///< That take callers, this one included.
  int m_silent = 0;     ///< Of those, not heard lately: each may still spend an even part.

  friend bool operator==(const QuotaSharers&, const QuotaSharers&) = default;
};

/// \brief The most instances that were counted of late.
struct SharerMemory {
  int m_most = 1;
  Instant m_counted{};

  friend bool operator==(const SharerMemory&, const SharerMemory&) = default;
};

/// \brief Counts the instances that share a limit. A new leader knows only those that have called
/// it since: the rest of those counted before may be cut off and still serve, so they count as
/// silent for `may_serve`.
[[nodiscard]] QuotaSharers CountSharers(SharerMemory& memory,
                                        int live,
                                        int silent,
                                        Duration may_serve,
                                        Instant now) noexcept;

/// \brief What one instance reports of a workspace, or the sum over several.
struct QuotaUse {
  double m_spent = 0;  ///< Since the start of each.
  double m_wanted_per_s = 0;
  std::int64_t m_basis = 0;  ///< Of a sum: names the instances in it; another one, another sum.
  double m_left = 0;         ///< What each estimates to be left, added up.
  int m_estimates = 0;       ///< How many estimates that is.

  friend bool operator==(const QuotaUse&, const QuotaUse&) = default;
};

/// \brief The limit that is aimed at: some of the tolerance is used, so that what is below the
/// operator's limit isn't refused for an error of ours.
[[nodiscard]] QuotaLimit Loosen(const QuotaLimit& limit, const QuotaTolerance& tolerance) noexcept;

/// \brief What a request asks of a bucket.
struct QuotaRequest {
  double m_cost = 0;
  double m_reserve = 0;  ///< Share of the burst that it leaves to more urgent requests.

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// \brief Takes the cost if the bucket holds more than the reserve. A request may overdraw it once.
/// Precondition: `limit` has a rate above zero.
[[nodiscard]] bool Spend(QuotaBucket& bucket,
                         const QuotaLimit& limit,
                         const QuotaRequest& request,
                         const QuotaSharers& sharers,
                         Instant now) noexcept;

/// \brief Takes `cost` whatever is left: a request runs once more.
void Charge(QuotaBucket& bucket, double cost) noexcept;
/// \brief Puts back what was taken for a request that no server ran.
void Refund(QuotaBucket& bucket, double cost) noexcept;

/// \brief Takes what the other instances report together.
void HearOthers(QuotaBucket& bucket,
                const QuotaLimit& limit,
                const QuotaSharers& sharers,
                const QuotaUse& others,
                Instant now) noexcept;

/// \brief What to report of this instance; begins a new period.
[[nodiscard]] QuotaUse ReportUse(QuotaBucket& bucket,
                                 const QuotaLimit& limit,
                                 const QuotaSharers& sharers,
                                 Instant now) noexcept;

}  // namespace poppyway
