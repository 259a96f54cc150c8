// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Requests that instances sent without the broker are counted late, at most this many.
constexpr double kMaxDebt = 4;
// Longest send interval of an instance without a broker.
constexpr double kLongestIntervalS = 600;
// A send time that isn't used expires after this. Otherwise those of all instances would be used at
// the moment when the other servers are full.
constexpr Duration kUnusedTime{250'000};

// A server that states a lower rate gets this one, in requests per second: without any request it
// could not state that its need is over.
constexpr double kLeastPerS = 0.1;

double RateOf(const ServerLimit& limit) noexcept {
  return std::max(kLeastPerS, *limit.m_per_s);
}

double TokensNow(const ServerLimit& limit, Instant now) noexcept {
  const double added = RateOf(limit) * Seconds(now - limit.m_counted);
  return std::min(kServerLimitBurst, limit.m_tokens + std::max(0.0, added));
}

Duration IntervalWithoutBroker(const ServerLimit& limit, int instances) noexcept {
  const double shared = kServerLimitWithoutBroker * RateOf(limit);
  const double interval_s = std::max(1, instances) / shared;
  return Duration(static_cast<std::int64_t>(std::min(kLongestIntervalS, interval_s) * 1e6));
}

}  // namespace

bool ApplyStatedLimit(ServerLimit& limit,
                      std::optional<double> per_s,
                      Instant sent,
                      Instant now) noexcept {
  if (limit.m_per_s == per_s)
    return false;
  if (!per_s && sent <= limit.m_changed)
    return false;
  const double tokens = limit.m_per_s ? TokensNow(limit, now) : 0;
  limit = {};
  limit.m_per_s = per_s;
  limit.m_changed = now;
  limit.m_tokens = tokens;
  limit.m_counted = now;
  return true;
}

bool TakesRequest(const ServerLimit& limit, Instant now) noexcept {
  return !limit.m_per_s || TokensNow(limit, now) >= 1;
}

void CountRequest(ServerLimit& limit, Instant now) noexcept {
  if (!limit.m_per_s)
    return;
  limit.m_tokens = std::max(-kMaxDebt, TokensNow(limit, now) - 1);
  limit.m_counted = now;
}

bool TakesRequestWithoutBroker(const ServerLimit& limit, Instant now) noexcept {
  if (!limit.m_per_s)
    return true;
  return limit.m_next_without_broker != Instant{} && now >= limit.m_next_without_broker;
}

void BeginPacingWithoutBroker(ServerLimit& limit,
                              int instances,
                              double random,
                              Instant now) noexcept {
  if (!limit.m_per_s)
    return;
  const bool pending =
      limit.m_next_without_broker != Instant{} && now < limit.m_next_without_broker + kUnusedTime;
  if (pending)
    return;
  const auto interval = static_cast<double>(IntervalWithoutBroker(limit, instances).count());
  limit.m_next_without_broker = now + Duration(static_cast<std::int64_t>(random * interval));
}

void CountRequestWithoutBroker(ServerLimit& limit, int instances, Instant now) noexcept {
  if (limit.m_per_s)
    limit.m_next_without_broker = now + IntervalWithoutBroker(limit, instances);
}

}  // namespace poppyway
