// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>
#include <cmath>

namespace poppyway {
namespace {

constexpr double kMinSeconds = 1;
constexpr double kMaxSeconds = 120;
constexpr double kJitter = 1.0;  // Jitter adds up to the whole drain time.

}  // namespace

int RetryAfter(std::int64_t backlog, double drain_per_s, std::uint64_t random) noexcept {
  const double drain = std::max(drain_per_s, 0.1);
  const double base = std::clamp(static_cast<double>(backlog) / drain, kMinSeconds, kMaxSeconds);
  const double unit = static_cast<double>(random >> 11) * 0x1.0p-53;
  return static_cast<int>(std::ceil(std::min(base * (1 + kJitter * unit), kMaxSeconds)));
}

}  // namespace poppyway
