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

int SentSince(const ColdRamp& ramp, Instant since) noexcept {
  const auto first = std::upper_bound(ramp.m_sent.begin(), ramp.m_sent.end(), since);
  return static_cast<int>(std::distance(first, ramp.m_sent.end()));
}

/// What one broker gives in a window: at least one request, or the server would never be used.
int WindowMost(const ColdLimit& limit) noexcept {
  const double aim = std::max(1.0, std::floor(limit.m_per_s));
  return static_cast<int>(std::min(aim, std::floor(limit.m_most_per_s)));
}

/// Between two sends of one that decides alone; zero: it must send nothing.
Duration GapAlone(const ColdLimit& limit, int instances) noexcept {
  const double shared = kSharedAlone * (limit.m_most_per_s - WindowMost(limit));
  if (shared <= 0)
    return Duration(0);
  const double gap_s = std::min(kLongestGapS, std::max(1, instances) / shared);
  return Duration(static_cast<std::int64_t>(gap_s * 1e6));
}

void Presume(ColdRamp& ramp, Duration presumed, Instant now) noexcept {
  ramp.m_cold_until = std::max(ramp.m_cold_until, now + presumed);
}

}  // namespace

ColdLimit WithMost(ColdLimit limit, const ColdTolerance& tolerance) noexcept {
  limit.m_most_per_s = limit.m_per_s * tolerance.m_overage + tolerance.m_slack;
  return limit;
}

bool ColdFull(const ColdRamp& ramp, const ColdLimit& limit, Instant now) noexcept {
  if (limit.m_per_s <= 0 || !IsCold(ramp, now))
    return false;
  if (now < ramp.m_blind_until)
    return true;
  const int most = WindowMost(limit);
  const int part = (most + kParts - 1) / kParts;
  return SentSince(ramp, now - kColdWindow) >= most ||
         SentSince(ramp, now - kColdWindow / kParts) >= part;
}

void NoteSent(ColdRamp& ramp, const ColdLimit& limit, Instant now) {
  if (limit.m_per_s <= 0)
    return;
  std::erase_if(ramp.m_sent, [now](Instant sent) { return sent <= now - kColdWindow; });
  ramp.m_sent.push_back(now);
}

void TakeColdNews(ColdRamp& ramp,
                  const ColdNews& news,
                  bool presume_new,
                  Duration presumed,
                  Instant now) noexcept {
  const ColdNews before = ramp.m_news;
  const bool known = ramp.m_known;
  ramp.m_news = news;
  ramp.m_known = true;
  ramp.m_tells = ramp.m_tells || news.m_left > Duration(0);
  if (known && news == before)
    return;
  const bool another = known && news.m_born != before.m_born;
  const bool returned = known && before.m_evacuated && !news.m_evacuated;
  if (news.m_left > Duration(0) && (!known || another || news.m_left != before.m_left)) {
    ramp.m_silent = false;
    ramp.m_cold_until = now + news.m_left;
  } else if (another || returned || (!known && presume_new)) {
    Presume(ramp, presumed, now);
  } else if (news.m_left == Duration(0) && before.m_left > Duration(0)) {
    ramp.m_silent = false;
    ramp.m_cold_until = {};
  }
}

Duration PresumedTime(const ColdLimit& limit, bool servers_tell) noexcept {
  return servers_tell ? std::min(kOwnWordTime, limit.m_time) : limit.m_time;
}

void NoteColdSign(ColdRamp& ramp,
                  ServerSign sign,
                  const ServerHealth& health,
                  Duration presumed,
                  Instant now) noexcept {
  if (sign == ServerSign::kGood) {
    if (ramp.m_silent)
      Presume(ramp, presumed, now);
    ramp.m_silent = false;
    return;
  }
  // A single broken answer is no start: where 3 in 100 break, every server would be presumed cold.
  if (sign == ServerSign::kUnreachable || Avoided(health, now))
    ramp.m_silent = true;
}

bool MaySendAlone(const ColdRamp& ramp, const ColdLimit& limit, Instant now) noexcept {
  if (limit.m_per_s <= 0 || !IsCold(ramp, now))
    return true;
  return ramp.m_next_alone != Instant{} && now >= ramp.m_next_alone;
}

void BeginAlone(ColdRamp& ramp,
                const ColdLimit& limit,
                int instances,
                double random,
                Instant now) noexcept {
  const Duration gap = GapAlone(limit, instances);
  // A turn that nobody used is over: kept, those of all instances would be used in the one moment
  // in which the warm servers are full.
  const Duration lapses = std::min(gap, kColdWindow / kParts);
  const bool begun = ramp.m_next_alone != Instant{} && now < ramp.m_next_alone + lapses;
  if (begun || gap == Duration(0))
    return;
  ramp.m_next_alone =
      now + Duration(static_cast<std::int64_t>(random * static_cast<double>(gap.count())));
}

void NoteSentAlone(ColdRamp& ramp, const ColdLimit& limit, int instances, Instant now) noexcept {
  const Duration gap = GapAlone(limit, instances);
  ramp.m_next_alone = gap == Duration(0) ? Instant{} : now + gap;
}

}  // namespace poppyway
