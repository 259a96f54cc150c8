// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Gain of the failure rate: it averages about twenty responses. With 0.15, and two failures in a
// row for an ejection, servers that fail 3 in 100 at random are ejected for up to a third of the
// time, and a service at half its load rejects 150 requests in a second.
constexpr double kGain = 0.05;
constexpr double kMaxFailureRate = 0.25;  // Above this rate each further failure ejects the server.
// A server that fails 3 in 100 at random does so once in 37,000 responses.
constexpr int kFailuresToEject = 3;
// About the time of one request; doubled with each failure.
constexpr Duration kFirstEjection{300'000};
constexpr Duration kMaxEjection{4'000'000};
constexpr int kMaxDoublings = 4;
constexpr Duration kProbeTimeout{1'000'000};  // A probe without a result ends after this time.

}  // namespace

ServerHealth Observe(const ServerHealth& health, HealthSignal signal, Instant now) noexcept {
  ServerHealth after = health;
  after.m_probe_until = {};
  const double sample = signal == HealthSignal::kSuccess ? 0 : 1;
  after.m_failure_rate += kGain * (sample - health.m_failure_rate);
  if (signal == HealthSignal::kSuccess) {
    after.m_failures = 0;
    after.m_ejected_until = {};
    return after;
  }
  ++after.m_failures;
  const bool eject = signal == HealthSignal::kUnreachable || after.m_failures >= kFailuresToEject ||
                     after.m_failure_rate > kMaxFailureRate;
  if (!eject)
    return after;
  const int doublings = std::clamp(after.m_failures - kFailuresToEject, 0, kMaxDoublings);
  const Duration span = std::min<Duration>(kFirstEjection * (1 << doublings), kMaxEjection);
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
  after.m_probe_until = now + kProbeTimeout;
  return after;
}

}  // namespace poppyway
