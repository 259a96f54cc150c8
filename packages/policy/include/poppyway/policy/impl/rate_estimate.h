// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief Exponentially weighted estimate of an engine's prefill speed, in tokens a second.
///
/// Fed by observed first tokens only; an engine's own report is never trusted for speed.
struct RateEstimate {
  double m_tokens_per_s = 0;  ///< Zero until the first observation.
  int m_samples = 0;

  friend bool operator==(const RateEstimate&, const RateEstimate&) = default;
};

/// \brief The estimate after seeing `tokens` prefilled in `elapsed`.
/// Precondition: `elapsed` is positive.
[[nodiscard]] RateEstimate Observe(const RateEstimate& before,
                                   std::int64_t tokens,
                                   Duration elapsed) noexcept;

/// \brief The speed to plan with: the estimate, but never more than an overdue first token allows.
/// \param overdue_tokens prompt tokens that the oldest unanswered request has to wait for.
/// \param overdue_age how long it has waited.
/// \param fallback speed where nothing was observed yet.
[[nodiscard]] double PlanningRate(const RateEstimate& estimate,
                                  std::int64_t overdue_tokens,
                                  Duration overdue_age,
                                  double fallback) noexcept;

}  // namespace poppyway
