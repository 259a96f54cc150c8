// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// A second cut in four: sends delayed by half a second put those of six parts into one window.
constexpr int kParts = 4;
// Servers say how long they are cold about every 1.2 s: two such words and the way through the log.
constexpr Duration kOwnWordTime{3'000'000};
// Of what the broker leaves. Those who decide alone have no common clock, so some of their sends
// coincide: with all of it the limit was exceeded by 1 to 3 requests in one of 100 simulated runs.
constexpr double kSharedAlone = 0.5;
// Of someone who decides alone; keeps clear of overflow where hardly anything is left to share.
constexpr double kLongestGapS = 600;

int SentSince(const SlowStartState& slow_start, Instant since) noexcept {
  const auto first = std::upper_bound(slow_start.m_sent.begin(), slow_start.m_sent.end(), since);
  return static_cast<int>(std::distance(first, slow_start.m_sent.end()));
}

/// What one broker gives in a window: at least one request, or the server would never be used.
int WindowMost(const SlowStartLimit& limit) noexcept {
  const double aim = std::max(1.0, std::floor(limit.m_per_s));
  return static_cast<int>(std::min(aim, std::floor(limit.m_most_per_s)));
}

/// Between two sends of one that decides alone; zero: it must send nothing.
Duration GapAlone(const SlowStartLimit& limit, int instances) noexcept {
  const double shared = kSharedAlone * (limit.m_most_per_s - WindowMost(limit));
  if (shared <= 0)
    return Duration(0);
  const double gap_s = std::min(kLongestGapS, std::max(1, instances) / shared);
  return Duration(static_cast<std::int64_t>(gap_s * 1e6));
}

void Presume(SlowStartState& slow_start, Duration presumed, Instant now) noexcept {
  slow_start.m_cold_until = std::max(slow_start.m_cold_until, now + presumed);
}

}  // namespace

SlowStartLimit WithTolerance(SlowStartLimit limit, const SlowStartTolerance& tolerance) noexcept {
  limit.m_most_per_s = limit.m_per_s * tolerance.m_overage + tolerance.m_slack;
  return limit;
}

bool ColdFull(const SlowStartState& slow_start, const SlowStartLimit& limit, Instant now) noexcept {
  if (limit.m_per_s <= 0 || !IsCold(slow_start, now))
    return false;
  if (now < slow_start.m_blind_until)
    return true;
  const int most = WindowMost(limit);
  const int part = (most + kParts - 1) / kParts;
  return SentSince(slow_start, now - kColdWindow) >= most ||
         SentSince(slow_start, now - kColdWindow / kParts) >= part;
}

void NoteSent(SlowStartState& slow_start, const SlowStartLimit& limit, Instant now) {
  if (limit.m_per_s <= 0)
    return;
  std::erase_if(slow_start.m_sent, [now](Instant sent) { return sent <= now - kColdWindow; });
  slow_start.m_sent.push_back(now);
}

void UpdateSlowStart(SlowStartState& slow_start,
                     const SlowStartUpdate& update,
                     bool presume_new,
                     Duration presumed,
                     Instant now) noexcept {
  const SlowStartUpdate before = slow_start.m_update;
  const bool known = slow_start.m_known;
  slow_start.m_update = update;
  slow_start.m_known = true;
  slow_start.m_tells = slow_start.m_tells || update.m_left > Duration(0);
  if (known && update == before)
    return;
  const bool another = known && update.m_started_ms != before.m_started_ms;
  const bool returned = known && before.m_evacuated && !update.m_evacuated;
  if (update.m_left > Duration(0) && (!known || another || update.m_left != before.m_left)) {
    slow_start.m_silent = false;
    slow_start.m_cold_until = now + update.m_left;
  } else if (another || returned || (!known && presume_new)) {
    Presume(slow_start, presumed, now);
  } else if (update.m_left == Duration(0) && before.m_left > Duration(0)) {
    slow_start.m_silent = false;
    slow_start.m_cold_until = {};
  }
}

Duration PresumedTime(const SlowStartLimit& limit, bool servers_tell) noexcept {
  return servers_tell ? std::min(kOwnWordTime, limit.m_time) : limit.m_time;
}

void ObserveRestartSign(SlowStartState& slow_start,
                        HealthSignal sign,
                        const ServerHealth& health,
                        Duration presumed,
                        Instant now) noexcept {
  if (sign == HealthSignal::kSuccess) {
    if (slow_start.m_silent)
      Presume(slow_start, presumed, now);
    slow_start.m_silent = false;
    return;
  }
  // A single broken answer is no start: where 3 in 100 break, every server would be presumed cold.
  if (sign == HealthSignal::kUnreachable || IsEjected(health, now))
    slow_start.m_silent = true;
}

bool MaySendWithoutBroker(const SlowStartState& slow_start,
                          const SlowStartLimit& limit,
                          Instant now) noexcept {
  if (limit.m_per_s <= 0 || !IsCold(slow_start, now))
    return true;
  return slow_start.m_next_without_broker != Instant{} && now >= slow_start.m_next_without_broker;
}

void BeginSendsWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             double random,
                             Instant now) noexcept {
  const Duration gap = GapAlone(limit, instances);
  // A turn that nobody used is over: kept, those of all instances would be used in the one moment
  // in which the warm servers are full.
  const Duration lapses = std::min(gap, kColdWindow / kParts);
  const bool begun = slow_start.m_next_without_broker != Instant{} &&
                     now < slow_start.m_next_without_broker + lapses;
  if (begun || gap == Duration(0))
    return;
  slow_start.m_next_without_broker =
      now + Duration(static_cast<std::int64_t>(random * static_cast<double>(gap.count())));
}

void RecordSendWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             Instant now) noexcept {
  const Duration gap = GapAlone(limit, instances);
  slow_start.m_next_without_broker = gap == Duration(0) ? Instant{} : now + gap;
}

}  // namespace poppyway
