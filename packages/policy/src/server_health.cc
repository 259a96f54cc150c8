// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Share of failures: some twenty answers back. At 0.15, and with two failures in a row for a sign,
// servers that fail 3 in 100 at random were avoided for up to a third of the time, and a service at
// half its load refused 150 requests in a second.
constexpr double kGain = 0.05;
constexpr double kBadShare = 0.25;        // Above: avoided after each further failure.
constexpr int kBadInRow = 3;              // At random, 3 in 100 fail so once in 37,000 answers.
constexpr Duration kFirstAvoid{300'000};  // About a request's time; doubled with each failure.
constexpr Duration kLongestAvoid{4'000'000};
constexpr int kMostDoublings = 4;
constexpr Duration kTrialTime{1'000'000};  // A trial that gives no sign for longer is over.

}  // namespace

ServerHealth Observe(const ServerHealth& health, HealthSignal sign, Instant now) noexcept {
  ServerHealth after = health;
  after.m_probe_until = {};
  const double sample = sign == HealthSignal::kSuccess ? 0 : 1;
  after.m_failure_rate += kGain * (sample - health.m_failure_rate);
  if (sign == HealthSignal::kSuccess) {
    after.m_failures = 0;
    after.m_ejected_until = {};
    return after;
  }
  ++after.m_failures;
  const bool avoid = sign == HealthSignal::kUnreachable || after.m_failures >= kBadInRow ||
                     after.m_failure_rate > kBadShare;
  if (!avoid)
    return after;
  const int doublings = std::clamp(after.m_failures - kBadInRow, 0, kMostDoublings);
  const Duration span = std::min<Duration>(kFirstAvoid * (1 << doublings), kLongestAvoid);
  after.m_ejected_until = std::max(health.m_ejected_until, now + span);
  return after;
}

bool IsEjected(const ServerHealth& health, Instant now) noexcept {
  return now < health.m_ejected_until || now < health.m_probe_until;
}

bool IsHalfOpen(const ServerHealth& health) noexcept {
  return health.m_failures > 0 && health.m_ejected_until != Instant{};
}

ServerHealth BeginProbe(const ServerHealth& health, Instant now) noexcept {
  ServerHealth after = health;
  after.m_probe_until = now + kTrialTime;
  return after;
}

}  // namespace poppyway
