// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief Exponentially weighted estimate of an engine's prefill speed, in tokens per
/// second.
///
/// It is updated by observed first tokens only, never by what an engine reports of its speed.
struct RateEstimate {
  double m_tokens_per_s = 0;  ///< Zero until the first observation.
  int m_samples = 0;

  friend bool operator==(const RateEstimate&, const RateEstimate&) = default;
};

/// \brief Returns the estimate after `tokens` prompt tokens were prefilled in `elapsed`.
///
/// Samples of few tokens, or without a positive `elapsed`, leave the estimate as it is.
[[nodiscard]] RateEstimate Observe(const RateEstimate& before,
                                   std::int64_t tokens,
                                   Duration elapsed) noexcept;

/// \brief Returns the prefill speed to plan with, in tokens per second: the estimate, but no more
/// than an overdue first token allows.
/// \param overdue_tokens the prompt tokens to prefill before
/// the first token of the request that has waited longest for one.
/// \param overdue_age the time for
/// which that request has waited.
/// \param fallback the speed to use before the first observation.
[[nodiscard]] double PlanningRate(const RateEstimate& estimate,
                                  std::int64_t overdue_tokens,
                                  Duration overdue_age,
                                  double fallback) noexcept;

}  // namespace poppyway
