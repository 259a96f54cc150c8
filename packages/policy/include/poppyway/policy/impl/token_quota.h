// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief A workspace's limit over all instances together.
struct QuotaLimit {
  double m_rate_per_s = 0;  ///< Zero: no limit.
  double m_burst = 0;

  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

/// \brief This instance's part of a limit: a token bucket whose rate follows demand.
struct QuotaShare {
  double m_share = 0;   ///< Of the whole limit, 0 to 1.
  double m_tokens = 0;  ///< That may be spent now; may fall below zero by one request.
  Instant m_filled{};
  double m_wanted_per_s = 0;  ///< Smoothed demand, refused requests included.
  double m_spent_per_s = 0;
  double m_wanted = 0;  ///< Since the last `MeasureUse`.
  double m_spent = 0;
  Instant m_measured{};

  friend bool operator==(const QuotaShare&, const QuotaShare&) = default;
};

/// \brief Adds what has accrued since the last call, up to this instance's part of the burst.
[[nodiscard]] QuotaShare Refill(const QuotaShare& share,
                                const QuotaLimit& limit,
                                Instant now) noexcept;

/// \brief Takes `cost` if any is left. A request may overdraw the share once: it is then paid back
/// before the next. Counts the demand either way.
[[nodiscard]] bool Spend(QuotaShare& share,
                         const QuotaLimit& limit,
                         double cost,
                         Instant now) noexcept;

/// \brief Smooths demand and spending; call some times a second.
[[nodiscard]] QuotaShare MeasureUse(const QuotaShare& share, Instant now) noexcept;

/// \brief This instance's part, by its demand against that of the others. Every instance keeps a
/// small part, so that new demand is served at once.
[[nodiscard]] double ShareOf(double own_wanted, double others_wanted, int instances) noexcept;

}  // namespace poppyway
