// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Parts of the operator's tolerance that are used. The rest covers the lag of reports: at twice the
// limit's demand some 0.3 s of it are spent before the others hear of them.
constexpr double kOveragePart = 0.15;
// Of the operator's burst: after a change of leader some of what was spent is never told.
constexpr double kBurstPart = 0.9;
constexpr double kSlackPart = 0.05;
constexpr double kFirstPart = 0.2;    // Of the burst is there when an instance starts.
constexpr double kDeepestDebt = 1.0;  // In bursts: an older overrun is forgotten.
constexpr double kPeriodPart = 1.2;   // Of its part of the bucket an instance may spend unheard.
constexpr double kRejoinPart = 0.1;   // Of the burst at most is left after a silence.
constexpr double kPlenty = 0.5;       // Of the burst is left: no part has to be kept to.
constexpr Duration kCurrent{75'000};  // A report's interval and its way: nothing was missed yet.
// Estimates lack the spending that was not told yet, so a lower one is more likely right.
constexpr double kAgreeDown = 0.1;
constexpr double kAgreeUp = 0.03;
constexpr Duration kUnheard{250'000};  // Five reports missed: each instance keeps to an even part.

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
  // Heard of lately, the others' spending is taken out when it is told.
  const double others = unheard ? limit.m_rate_per_s * (1 - even) : 0;
  bucket.m_assumed += seconds * others;
  bucket.m_tokens += seconds * (limit.m_rate_per_s - others);
  bucket.m_tokens =
      std::clamp(bucket.m_tokens, -kDeepestDebt * limit.m_burst, std::max(1.0, limit.m_burst));
  bucket.m_period_left += seconds * limit.m_rate_per_s * (unheard ? even : bucket.m_own_part);
  bucket.m_filled = now;
}

/// Takes out what the others spent since they were last heard of.
void TakeOut(QuotaBucket& bucket,
             const QuotaLimit& limit,
             const QuotaSharers& sharers,
             const QuotaUse& others,
             Instant now) noexcept {
  constexpr double kGain = 0.2;
  const double seconds = bucket.m_heard != Instant{} ? Seconds(now - bucket.m_heard) : 0;
  const bool comparable = bucket.m_heard != Instant{} && others.m_basis == bucket.m_basis;
  const double told = others.m_spent - bucket.m_others_total;
  const double spent = comparable ? told : bucket.m_others_per_s * seconds;
  // Some of it was taken out while nothing was heard. A guess gives nothing back.
  const double missing = spent - bucket.m_assumed;
  bucket.m_tokens -= comparable ? missing : std::max(0.0, missing);
  bucket.m_assumed = 0;
  const double silent = limit.m_rate_per_s * sharers.m_silent / std::max(1, sharers.m_instances);
  const bool alone = seconds > Seconds(kUnheard);
  if (!alone)
    bucket.m_tokens -= silent * seconds;
  if (alone)
    bucket.m_tokens = std::min(bucket.m_tokens, kRejoinPart * limit.m_burst);
  if (alone && !comparable)
    bucket.m_agreed = false;  // Only the others' estimates tell what was spent meanwhile.
  if (comparable && seconds > 0)
    bucket.m_others_per_s += kGain * (told / seconds - bucket.m_others_per_s);
  bucket.m_others_total = others.m_spent;
  bucket.m_basis = others.m_basis;
}

/// Draws the estimate towards the mean of the others'.
void Agree(QuotaBucket& bucket, const QuotaUse& others) noexcept {
  if (others.m_estimates == 0)
    return;
  // When the others reported they knew of what this instance had spent two reports ago.
  const double unknown = bucket.m_spent - bucket.m_spent_before;
  const double mean = others.m_left / others.m_estimates - unknown;
  const double gain = mean < bucket.m_tokens ? kAgreeDown : kAgreeUp;
  bucket.m_tokens += (bucket.m_agreed ? gain : 1) * (mean - bucket.m_tokens);
  bucket.m_agreed = true;
}

/// The part of what is left that this instance may spend until it hears of the others again.
double OwnPart(const QuotaBucket& bucket,
               const QuotaSharers& sharers,
               const QuotaUse& others) noexcept {
  constexpr double kLeastPart = 0.1;  // New demand is served at once.
  const int instances = std::max(1, sharers.m_instances);
  const int silent = std::min(sharers.m_silent, instances - 1);
  const bool unconfirmed = !bucket.m_agreed && instances > 1;
  // Those that aren't heard keep an even part, and so does one whose estimate nobody has confirmed.
  const double most = unconfirmed ? 1.0 / instances : 1 - static_cast<double>(silent) / instances;
  const double demand = bucket.m_wanted_per_s + others.m_wanted_per_s;
  const double part = demand > 0 ? bucket.m_wanted_per_s / demand : 1;
  return std::min(most, kPeriodPart * std::max(part, kLeastPart));
}

}  // namespace

QuotaSharers CountSharers(SharerMemory& memory,
                          int live,
                          int silent,
                          Duration may_serve,
                          Instant now) noexcept {
  if (live >= memory.m_most || now - memory.m_counted > may_serve)
    memory = {std::max(1, live), now};
  return {memory.m_most, silent + memory.m_most - std::max(1, live)};
}

QuotaLimit Loosen(const QuotaLimit& limit, const QuotaTolerance& tolerance) noexcept {
  return {limit.m_rate_per_s * (1 + kOveragePart * tolerance.m_overage),
          kBurstPart * limit.m_burst + kSlackPart * tolerance.m_slack};
}

bool Spend(QuotaBucket& bucket,
           const QuotaLimit& limit,
           const QuotaRequest& request,
           const QuotaSharers& sharers,
           Instant now) noexcept {
  bucket.m_wanted += request.m_cost;
  Refill(bucket, limit, sharers, now);
  const bool agreed = bucket.m_agreed || sharers.m_instances <= 1;
  const bool current = agreed && sharers.m_silent == 0 && now - bucket.m_heard <= kCurrent;
  const bool plenty = current && bucket.m_tokens > kPlenty * limit.m_burst;
  if (bucket.m_tokens <= request.m_reserve * limit.m_burst)
    return false;
  if (!plenty && bucket.m_period_left <= 0)
    return false;
  Charge(bucket, request.m_cost);
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
  Refill(bucket, limit, sharers, now);
  TakeOut(bucket, limit, sharers, others, now);
  Agree(bucket, others);
  bucket.m_heard = now;
  bucket.m_own_part = OwnPart(bucket, sharers, others);
  bucket.m_period_left = std::max(0.0, bucket.m_tokens) * bucket.m_own_part;
}

QuotaUse ReportUse(QuotaBucket& bucket,
                   const QuotaLimit& limit,
                   const QuotaSharers& sharers,
                   Instant now) noexcept {
  constexpr double kGain = 0.1;  // Demand of about the last ten reports.
  Refill(bucket, limit, sharers, now);
  const double seconds = Seconds(now - bucket.m_reported);
  const bool first = bucket.m_reported == Instant{} || seconds <= 0;
  bucket.m_reported = now;
  bucket.m_spent_before = bucket.m_spent_last;
  bucket.m_spent_last = bucket.m_spent;
  const int estimates = bucket.m_heard != Instant{} && !bucket.m_alone ? 1 : 0;
  if (first)
    return {bucket.m_spent, 0, 0, bucket.m_tokens, estimates};
  bucket.m_wanted_per_s += kGain * (bucket.m_wanted / seconds - bucket.m_wanted_per_s);
  bucket.m_wanted = 0;
  return {bucket.m_spent, bucket.m_wanted_per_s, 0, bucket.m_tokens, estimates};
}

}  // namespace poppyway
