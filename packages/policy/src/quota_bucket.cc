// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Shares of the operator's tolerance that are used. The broker's charges are exact; the rest covers
// what instances spend without a broker, and requests that queue on their way to a server.
constexpr double kOverageShare = 0.3;
constexpr double kSlackShare = 0.1;
// Share of the burst that a bucket starts with if its level is unknown.
constexpr double kInitialShare = 0.2;

void Refill(QuotaBucket& bucket, const QuotaLimit& limit, Instant now) noexcept {
  const double seconds = Seconds(now - bucket.m_filled);
  const double filled = bucket.m_tokens + seconds * limit.m_rate_per_s;
  bucket.m_tokens = std::min(filled, std::max(1.0, limit.m_burst));
  bucket.m_filled = now;
}

}  // namespace

QuotaLimit WithTolerance(const QuotaLimit& limit, const QuotaTolerance& tolerance) noexcept {
  const double factor = 1 + kOverageShare * tolerance.m_overage;
  return {limit.m_rate_per_s * factor, limit.m_burst * factor + kSlackShare * tolerance.m_slack};
}

QuotaBucket BeginLimit(const QuotaLimit& limit, Instant began) noexcept {
  QuotaBucket bucket;
  bucket.m_tokens = kInitialShare * limit.m_burst;
  bucket.m_filled = began;
  return bucket;
}

bool Spend(QuotaBucket& bucket,
           const QuotaLimit& limit,
           const QuotaRequest& request,
           Instant now) noexcept {
  Refill(bucket, limit, now);
  if (bucket.m_tokens <= request.m_reserve * limit.m_burst)
    return false;
  Charge(bucket, request.m_cost);
  return true;
}

void Charge(QuotaBucket& bucket, double cost) noexcept {
  bucket.m_tokens -= cost;
  bucket.m_spent += cost;
}

void Withhold(QuotaBucket& bucket,
              const QuotaLimit& limit,
              double reachable_share,
              Duration max_time,
              Instant now) noexcept {
  const double seconds = Seconds(now - bucket.m_filled);
  const double change =
      (reachable_share < 1 ? 1 - reachable_share : -1) * limit.m_rate_per_s * seconds;
  const double bound =
      (reachable_share < 1 ? 1 - reachable_share : 1) * limit.m_rate_per_s * Seconds(max_time);
  bucket.m_withheld = std::clamp(bucket.m_withheld + change, 0.0, bound);
}

void ChargeLate(QuotaBucket& bucket, const QuotaLimit& limit, double cost) noexcept {
  const double withheld = std::min(cost, bucket.m_withheld);
  bucket.m_withheld -= withheld;
  const double max_charge = std::max(0.0, bucket.m_tokens + limit.m_burst);
  Charge(bucket, std::min(cost - withheld, max_charge));
}

void Refund(QuotaBucket& bucket, double cost) noexcept {
  Charge(bucket, -cost);
}

void TakeOver(QuotaBucket& bucket,
              const QuotaLimit& limit,
              double left,
              Instant at,
              Instant now) noexcept {
  if (at <= bucket.m_known_at)
    return;
  const double filled = left + Seconds(now - at) * limit.m_rate_per_s;
  bucket.m_tokens = std::min(filled, std::max(1.0, limit.m_burst)) - bucket.m_spent;
  bucket.m_known_at = at;
  bucket.m_filled = now;
}

CostSums Add(const CostSums& sums, double cost) noexcept {
  return {sums.m_costs + cost, sums.m_squares + cost * cost};
}

double OverdrawingCost(const CostSums& sums) noexcept {
  return sums.m_costs > 0 ? sums.m_squares / sums.m_costs : 0;
}

bool ChargeWithoutBroker(LocalQuotaBucket& local_quota,
                         const QuotaLimit& limit,
                         const QuotaRequest& request,
                         const LocalQuotaShare& share,
                         Instant now) noexcept {
  const double part = 1.0 / std::max(1, share.m_instances);
  const double max_tokens = std::max(1.0, limit.m_burst) * part;
  if (local_quota.m_filled == Instant{}) {
    const double overdrawing = share.m_overdrawing > 0 ? share.m_overdrawing : request.m_cost;
    const double debt = share.m_instances > 1 ? share.m_random * overdrawing : 0;
    local_quota.m_tokens = std::min(max_tokens, std::max(0.0, share.m_limit_left) * part) - debt;
    local_quota.m_filled = now;
  }
  local_quota.m_limit = limit;
  local_quota.m_tokens += Seconds(now - local_quota.m_filled) * limit.m_rate_per_s * part;
  local_quota.m_tokens = std::min(local_quota.m_tokens, max_tokens);
  local_quota.m_filled = now;
  if (local_quota.m_tokens <= request.m_reserve * max_tokens)
    return false;
  local_quota.m_tokens -= request.m_cost;
  local_quota.m_spent += request.m_cost;
  return true;
}

}  // namespace poppyway
