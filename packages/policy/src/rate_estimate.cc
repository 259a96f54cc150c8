// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {
namespace {

constexpr double kWeight = 0.25;
constexpr std::int64_t kMinTokens = 16;  // The time of a shorter prompt is mostly overhead.
constexpr double kOverdueFactor = 2.0;   // A first token is overdue after twice its expected time.
constexpr double kSlowestRate = 1.0;     // Keeps predicted times finite.

}  // namespace

RateEstimate Observe(const RateEstimate& before, std::int64_t tokens, Duration elapsed) noexcept {
  if (tokens < kMinTokens || elapsed.count() <= 0)
    return before;
  const double sample = static_cast<double>(tokens) / Seconds(elapsed);
  if (before.m_samples == 0)
    return {sample, 1};
  return {before.m_tokens_per_s + kWeight * (sample - before.m_tokens_per_s), before.m_samples + 1};
}

double PlanningRate(const RateEstimate& estimate,
                    std::int64_t overdue_tokens,
                    Duration overdue_age,
                    double fallback) noexcept {
  const double planned = estimate.m_samples == 0 ? fallback : estimate.m_tokens_per_s;
  const double expected_s = static_cast<double>(overdue_tokens) / planned;
  const double age_s = Seconds(overdue_age);
  const bool overdue = overdue_tokens >= kMinTokens && age_s > kOverdueFactor * expected_s;
  if (!overdue)
    return std::max(planned, kSlowestRate);
  return std::max(static_cast<double>(overdue_tokens) / age_s, kSlowestRate);
}

}  // namespace poppyway
