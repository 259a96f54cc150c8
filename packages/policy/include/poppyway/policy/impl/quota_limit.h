// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

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

/// \brief What a request asks of a limit.
struct QuotaRequest {
  double m_cost = 0;
  double m_reserve = 0;  ///< Share of the burst that it leaves to more urgent requests.

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// \brief The limit that is aimed at: some of the tolerance is used, so that what is below the
/// operator's limit isn't refused for the time that a request takes to reach its server.
[[nodiscard]] QuotaLimit WithTolerance(const QuotaLimit& limit,
                                       const QuotaTolerance& tolerance) noexcept;

}  // namespace poppyway
