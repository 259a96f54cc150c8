// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr double kSmoothingSeconds = 1.0;  // Demand of about the last second.
constexpr double kEvenPart = 0.15;         // Of the limit is split evenly, whatever the demand.

}  // namespace

QuotaShare Refill(const QuotaShare& share, const QuotaLimit& limit, Instant now) noexcept {
  QuotaShare after = share;
  const double most = std::max(1.0, limit.m_burst * share.m_share);
  if (share.m_filled == Instant{}) {
    after.m_tokens = most;
  } else {
    const double seconds = Seconds(now - share.m_filled);
    after.m_tokens =
        std::min(most, share.m_tokens + seconds * limit.m_rate_per_s * share.m_share);
  }
  after.m_filled = now;
  return after;
}

bool Spend(QuotaShare& share, const QuotaLimit& limit, double cost, Instant now) noexcept {
  share.m_wanted += cost;
  if (limit.m_rate_per_s > 0) {
    share = Refill(share, limit, now);
    if (share.m_tokens <= 0)
      return false;
    share.m_tokens -= cost;
  }
  share.m_spent += cost;
  return true;
}

QuotaShare MeasureUse(const QuotaShare& share, Instant now) noexcept {
  QuotaShare after = share;
  if (share.m_measured == Instant{}) {
    after.m_measured = now;
    return after;
  }
  const double seconds = Seconds(now - share.m_measured);
  if (seconds <= 0)
    return after;
  const double gain = std::min(1.0, seconds / kSmoothingSeconds);
  after.m_wanted_per_s += gain * (share.m_wanted / seconds - share.m_wanted_per_s);
  after.m_spent_per_s += gain * (share.m_spent / seconds - share.m_spent_per_s);
  after.m_wanted = 0;
  after.m_spent = 0;
  after.m_measured = now;
  return after;
}

double ShareOf(double own_wanted, double others_wanted, int instances) noexcept {
  const double even = 1.0 / std::max(1, instances);
  const double total = own_wanted + others_wanted;
  if (total <= 0)
    return even;
  return kEvenPart * even + (1 - kEvenPart) * own_wanted / total;
}

}  // namespace poppyway
