// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Parts of the operator's tolerance that are used. The charge is exact; the rest covers what is
// spent alone while no broker is in reach, and requests that queue on their way to a server.
constexpr double kOveragePart = 0.3;
constexpr double kSlackPart = 0.1;
constexpr double kFirstPart = 0.2;  // Of the burst is there when nobody tells what was left.

void Refill(SharedLimit& shared, const QuotaLimit& limit, Instant now) noexcept {
  const double seconds = Seconds(now - shared.m_filled);
  const double filled = shared.m_tokens + seconds * limit.m_rate_per_s;
  shared.m_tokens = std::min(filled, std::max(1.0, limit.m_burst));
  shared.m_filled = now;
}

}  // namespace

QuotaLimit Loosen(const QuotaLimit& limit, const QuotaTolerance& tolerance) noexcept {
  const double factor = 1 + kOveragePart * tolerance.m_overage;
  return {limit.m_rate_per_s * factor, limit.m_burst * factor + kSlackPart * tolerance.m_slack};
}

SharedLimit BeginLimit(const QuotaLimit& limit, Instant began) noexcept {
  SharedLimit shared;
  shared.m_tokens = kFirstPart * limit.m_burst;
  shared.m_filled = began;
  return shared;
}

bool Spend(SharedLimit& shared,
           const QuotaLimit& limit,
           const QuotaRequest& request,
           Instant now) noexcept {
  Refill(shared, limit, now);
  if (shared.m_tokens <= request.m_reserve * limit.m_burst)
    return false;
  Charge(shared, request.m_cost);
  return true;
}

void Charge(SharedLimit& shared, double cost) noexcept {
  shared.m_tokens -= cost;
  shared.m_spent += cost;
}

void Withhold(SharedLimit& shared,
              const QuotaLimit& limit,
              double heard,
              Duration most,
              Instant now) noexcept {
  const double seconds = Seconds(now - shared.m_filled);
  const double change = (heard < 1 ? 1 - heard : -1) * limit.m_rate_per_s * seconds;
  const double bound = (heard < 1 ? 1 - heard : 1) * limit.m_rate_per_s * Seconds(most);
  shared.m_withheld = std::clamp(shared.m_withheld + change, 0.0, bound);
}

void ChargeLate(SharedLimit& shared, const QuotaLimit& limit, double cost) noexcept {
  const double withheld = std::min(cost, shared.m_withheld);
  shared.m_withheld -= withheld;
  const double most = std::max(0.0, shared.m_tokens + limit.m_burst);
  Charge(shared, std::min(cost - withheld, most));
}

void Refund(SharedLimit& shared, double cost) noexcept {
  Charge(shared, -cost);
}

void TakeOver(SharedLimit& shared,
              const QuotaLimit& limit,
              double left,
              Instant at,
              Instant now) noexcept {
  if (at <= shared.m_known_at)
    return;
  const double filled = left + Seconds(now - at) * limit.m_rate_per_s;
  shared.m_tokens = std::min(filled, std::max(1.0, limit.m_burst)) - shared.m_spent;
  shared.m_known_at = at;
  shared.m_filled = now;
}

CostSums Add(const CostSums& sums, double cost) noexcept {
  return {sums.m_costs + cost, sums.m_squares + cost * cost};
}

double OverdrawingCost(const CostSums& sums) noexcept {
  return sums.m_costs > 0 ? sums.m_squares / sums.m_costs : 0;
}

bool SpendAlone(LoneLimit& lone,
                const QuotaLimit& limit,
                const QuotaRequest& request,
                const LoneShare& share,
                Instant now) noexcept {
  const double part = 1.0 / std::max(1, share.m_instances);
  const double most = std::max(1.0, limit.m_burst) * part;
  if (lone.m_filled == Instant{}) {
    const double overdrawing = share.m_overdrawing > 0 ? share.m_overdrawing : request.m_cost;
    const double debt = share.m_instances > 1 ? share.m_random * overdrawing : 0;
    lone.m_tokens = std::min(most, std::max(0.0, share.m_left) * part) - debt;
    lone.m_filled = now;
  }
  lone.m_limit = limit;
  lone.m_tokens += Seconds(now - lone.m_filled) * limit.m_rate_per_s * part;
  lone.m_tokens = std::min(lone.m_tokens, most);
  lone.m_filled = now;
  if (lone.m_tokens <= request.m_reserve * most)
    return false;
  lone.m_tokens -= request.m_cost;
  lone.m_spent += request.m_cost;
  return true;
}

}  // namespace poppyway
