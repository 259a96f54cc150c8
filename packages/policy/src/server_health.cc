// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr double kGain = 0.15;            // Share of failures: some ten answers back.
constexpr double kBadShare = 0.25;        // Above: avoided after each further failure.
constexpr int kBadInRow = 2;              // One reset alone is no sign of a dead server.
constexpr Duration kFirstAvoid{300'000};  // About a request's time; doubled with each failure.
constexpr Duration kLongestAvoid{4'000'000};
constexpr int kMostDoublings = 4;

}  // namespace

ServerHealth Observe(const ServerHealth& health, ServerSign sign, Instant now) noexcept {
  ServerHealth after = health;
  const double sample = sign == ServerSign::kGood ? 0 : 1;
  after.m_failed_share += kGain * (sample - health.m_failed_share);
  if (sign == ServerSign::kGood) {
    after.m_failures = 0;
    return after;
  }
  ++after.m_failures;
  const bool avoid = sign == ServerSign::kUnreachable || after.m_failures >= kBadInRow ||
                     after.m_failed_share > kBadShare;
  if (!avoid)
    return after;
  const int doublings = std::min(after.m_failures - 1, kMostDoublings);
  const Duration span = std::min<Duration>(kFirstAvoid * (1 << doublings), kLongestAvoid);
  after.m_avoid_until = std::max(health.m_avoid_until, now + span);
  return after;
}

bool Avoided(const ServerHealth& health, Instant now) noexcept {
  return now < health.m_avoid_until;
}

}  // namespace poppyway
