// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Parts of the operator's tolerance that are used. The rest covers the lag of reports: at twice the
// limit's demand some 0.3 s of it are spent before the others hear of them.
constexpr double kOveragePart = 0.5;
constexpr double kSlackPart = 0.4;
constexpr double kFirstPart = 0.1;   // Of the burst is there when an instance starts.
constexpr double kDeepestDebt = 1.0;  // In bursts: an older overrun is forgotten.
constexpr double kPeriodPart = 2.0;   // Of its part of the bucket an instance may spend unheard.
constexpr Duration kUnheard{450'000};  // Two reports missed: each instance keeps to an even part.

void Refill(QuotaBucket& bucket,
            const QuotaLimit& limit,
            const QuotaSharers& sharers,
            Instant now) noexcept {
  const double even = 1.0 / std::max(1, sharers.m_instances);
  if (bucket.m_filled == Instant{}) {
    bucket.m_tokens = kFirstPart * limit.m_burst;
    bucket.m_period_left = bucket.m_tokens * even;
    bucket.m_filled = now;
    return;
  }
  const double seconds = Seconds(now - bucket.m_filled);
  const bool unheard = now - bucket.m_heard > kUnheard;
  if (unheard && !bucket.m_alone)
    bucket.m_period_left = std::min(bucket.m_period_left, bucket.m_tokens * even);
  bucket.m_alone = unheard;
  const double others = unheard ? std::max(bucket.m_others_per_s, limit.m_rate_per_s * (1 - even))
                                : bucket.m_others_per_s;
  bucket.m_tokens += seconds * (limit.m_rate_per_s - others);
  bucket.m_tokens =
      std::clamp(bucket.m_tokens, -kDeepestDebt * limit.m_burst, std::max(1.0, limit.m_burst));
  bucket.m_period_left +=
      seconds * limit.m_rate_per_s * (unheard ? even : bucket.m_own_part);
  bucket.m_filled = now;
}

}  // namespace

QuotaLimit Loosen(const QuotaLimit& limit, const QuotaTolerance& tolerance) noexcept {
  return {limit.m_rate_per_s * (1 + kOveragePart * tolerance.m_overage),
          limit.m_burst + kSlackPart * tolerance.m_slack};
}

bool Spend(QuotaBucket& bucket,
           const QuotaLimit& limit,
           double cost,
           const QuotaSharers& sharers,
           Instant now) noexcept {
  bucket.m_wanted += cost;
  Refill(bucket, limit, sharers, now);
  const bool empty = bucket.m_tokens <= 0 || bucket.m_period_left <= 0;
  if (empty)
    return false;
  Charge(bucket, cost);
  return true;
}

void Charge(QuotaBucket& bucket, double cost) noexcept {
  bucket.m_tokens -= cost;
  bucket.m_period_left -= cost;
  bucket.m_spent += cost;
}

void Refund(QuotaBucket& bucket, double cost) noexcept {
  Charge(bucket, -cost);
}

void HearOthers(QuotaBucket& bucket,
                const QuotaLimit& limit,
                const QuotaSharers& sharers,
                const QuotaUse& others,
                Instant now) noexcept {
  Refill(bucket, limit, sharers, now);  // Until now the others spent what they told before.
  const double silent = limit.m_rate_per_s * sharers.m_silent / std::max(1, sharers.m_instances);
  bucket.m_others_per_s = others.m_spent_per_s + silent;
  bucket.m_heard = now;
  const double demand = bucket.m_wanted_per_s + others.m_wanted_per_s;
  const double part = demand > 0 ? bucket.m_wanted_per_s / demand : 1;
  constexpr double kLeastPart = 0.1;  // New demand is served at once.
  bucket.m_own_part = std::min(1.0, kPeriodPart * std::max(part, kLeastPart));
  bucket.m_period_left = std::max(0.0, bucket.m_tokens) * bucket.m_own_part;
}

QuotaUse ReportUse(QuotaBucket& bucket, Instant now) noexcept {
  constexpr double kGain = 0.3;  // Demand is smoothed over some reports, spending is not.
  const double seconds = Seconds(now - bucket.m_reported);
  const bool first = bucket.m_reported == Instant{} || seconds <= 0;
  bucket.m_reported = now;
  if (first)
    return {};
  const QuotaUse use{bucket.m_spent / seconds, 0};
  bucket.m_wanted_per_s += kGain * (bucket.m_wanted / seconds - bucket.m_wanted_per_s);
  bucket.m_spent = 0;
  bucket.m_wanted = 0;
  return {use.m_spent_per_s, bucket.m_wanted_per_s};
}

}  // namespace poppyway
