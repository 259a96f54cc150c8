// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

namespace poppyway {

/// \brief A workspace's limit, which all instances share.
struct QuotaLimit {
  double m_rate_per_s = 0;  ///< Zero: no limit.
  double m_burst = 0;

  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

/// \brief How far all instances together may exceed a limit; set by the operator.
struct QuotaTolerance {
  double m_overage = 0;  ///< Share of the limit.
  double m_slack = 0;    ///< Additional amount in the limit's unit.

  friend bool operator==(const QuotaTolerance&, const QuotaTolerance&) = default;
};

/// \brief The cost of a request and its claim on a limit.
struct QuotaRequest {
  double m_cost = 0;
  double m_reserve = 0;  ///< Share of the burst that the request leaves to more urgent ones.

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// \brief Returns the limit to enforce. It uses part of the tolerance, so that usage below the
/// operator's limit isn't rejected because of the time that requests take to reach their server.
[[nodiscard]] QuotaLimit WithTolerance(const QuotaLimit& limit,
                                       const QuotaTolerance& tolerance) noexcept;

}  // namespace poppyway
