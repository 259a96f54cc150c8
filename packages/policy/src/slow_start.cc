// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// A window is divided into this many parts. A delay of half a second can put the requests of six
// parts into one window.
constexpr int kParts = 4;
// Servers report their cold time about every 1.2 s; this covers two reports and the log's delay.
constexpr Duration kReportTime{3'000'000};
// Share of what the broker leaves below the upper bound. Instances without a broker share no clock,
// so some of their requests coincide: with the whole remainder, one of 100 simulated runs exceeded
// the limit by 1 to 3 requests.
constexpr double kSharedWithoutBroker = 0.5;
// Longest send interval of an instance without a broker. Avoids overflow if hardly anything is left
// to share.
constexpr double kLongestGapS = 600;

int SentSince(const SlowStartState& slow_start, Instant since) noexcept {
  const auto first = std::upper_bound(slow_start.m_sent.begin(), slow_start.m_sent.end(), since);
  return static_cast<int>(std::distance(first, slow_start.m_sent.end()));
}

/// Returns the number of requests that a broker sends to a cold server per window. It is at least
/// one, or the server would never be used.
int MaxPerWindow(const SlowStartLimit& limit) noexcept {
  const double target = std::max(1.0, std::floor(limit.m_per_s));
  return static_cast<int>(std::min(target, std::floor(limit.m_most_per_s)));
}

/// Returns the send interval of an instance without a broker; zero if it must send nothing.
Duration GapWithoutBroker(const SlowStartLimit& limit, int instances) noexcept {
  const double shared = kSharedWithoutBroker * (limit.m_most_per_s - MaxPerWindow(limit));
  if (shared <= 0)
    return Duration(0);
  const double gap_s = std::min(kLongestGapS, std::max(1, instances) / shared);
  return Duration(static_cast<std::int64_t>(gap_s * 1e6));
}

void PresumeCold(SlowStartState& slow_start, Duration presumed, Instant now) noexcept {
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
  if (now < slow_start.m_unknown_until)
    return true;
  const int most = MaxPerWindow(limit);
  const int part = (most + kParts - 1) / kParts;
  return SentSince(slow_start, now - kColdWindow) >= most ||
         SentSince(slow_start, now - kColdWindow / kParts) >= part;
}

void RecordSent(SlowStartState& slow_start, const SlowStartLimit& limit, Instant now) {
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
  slow_start.m_reports_cold = slow_start.m_reports_cold || update.m_left > Duration(0);
  if (known && update == before)
    return;
  const bool another = known && update.m_started_ms != before.m_started_ms;
  const bool returned = known && before.m_evacuated && !update.m_evacuated;
  if (update.m_left > Duration(0) && (!known || another || update.m_left != before.m_left)) {
    slow_start.m_silent = false;
    slow_start.m_cold_until = now + update.m_left;
  } else if (another || returned || (!known && presume_new)) {
    PresumeCold(slow_start, presumed, now);
  } else if (update.m_left == Duration(0) && before.m_left > Duration(0)) {
    slow_start.m_silent = false;
    slow_start.m_cold_until = {};
  }
}

Duration PresumedTime(const SlowStartLimit& limit, bool servers_report) noexcept {
  return servers_report ? std::min(kReportTime, limit.m_time) : limit.m_time;
}

void ObserveRestartSign(SlowStartState& slow_start,
                        HealthSignal sign,
                        const ServerHealth& health,
                        Duration presumed,
                        Instant now) noexcept {
  if (sign == HealthSignal::kSuccess) {
    if (slow_start.m_silent)
      PresumeCold(slow_start, presumed, now);
    slow_start.m_silent = false;
    return;
  }
  // A single failed response isn't taken for a restart: with 3 in 100 failing, every server would
  // be presumed cold.
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
  const Duration gap = GapWithoutBroker(limit, instances);
  // An unused send time expires. Otherwise those of all instances would be used at the moment when
  // the warm servers are full.
  const Duration lapses = std::min(gap, kColdWindow / kParts);
  const bool pending = slow_start.m_next_without_broker != Instant{} &&
                       now < slow_start.m_next_without_broker + lapses;
  if (pending || gap == Duration(0))
    return;
  slow_start.m_next_without_broker =
      now + Duration(static_cast<std::int64_t>(random * static_cast<double>(gap.count())));
}

void RecordSendWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             Instant now) noexcept {
  const Duration gap = GapWithoutBroker(limit, instances);
  slow_start.m_next_without_broker = gap == Duration(0) ? Instant{} : now + gap;
}

}  // namespace poppyway
