// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Share of the latency target that a request may be predicted to wait in a server's own queue, by
// tier. That queue ignores tiers, so lower tiers have to stay out of it sooner.
constexpr double kQueueShare[] = {0.30, 0.15, 0.05};
constexpr double kDefaultServiceMs = 50;     // Used until a pool's first response.
constexpr double kDefaultTokensPerMs = 30;   // Likewise; engines prefill 10 to 150.
constexpr double kLongestSampleMs = 10'000;  // Slower first events are ignored.
// Shorter prompts say nothing about the prefill rate.
constexpr std::int64_t kMinPrefillTokens = 256;
constexpr double kFixedFirstMs = 15;  // A first event's time besides prefill: 14 to 20 ms.
// Towards a faster sample: interference only ever slows a request.
constexpr double kGainUp = 0.25;
constexpr double kGainDown = 0.04;  // Towards a slower one.
// Share of the target's remaining time that a prediction may fill.
constexpr double kTargetShare = 0.85;
// Share of the target that others may take ahead of a prompt that is late anyway.
constexpr double kAheadShare = 0.3;
// A request that yields to one of a higher tier gets no slot at a server where this share of the
// slots is taken.
constexpr double kYieldShare = 0.85;
constexpr double kEventGain = 0.1;  // Averages about ten streams, with the load beside them.
// With the gain below, tracks the longest pause of five streams in six.
constexpr double kPauseGainUp = 0.2;
constexpr double kPauseGainDown = 0.04;
// Share of the gap target above which a usual pause counts as a risk.
constexpr double kRiskFrom = 0.6;
// A stream of this many events meets a server's usual longest pause.
constexpr double kRiskEvents = 40;
// Share of the target added where the end would miss the deadline.
constexpr double kLateEndWeight = 1;
// Share of the time left that a whole stream may be expected to fill.
constexpr double kDeadlineShare = 0.9;
// Share of the target that an idle server may need to the first event.
constexpr double kUnloadedShare = 0.6;
constexpr double kTieMs = 2;           // Predictions within this difference count as equal.
constexpr double kRemoteShare = 0.12;  // Share of the target added for another data centre.

// Share of the target added for another region, besides the round-trip time. It is the whole
// target, so that a region with room serves its own requests and only those that find none leave
// it.
constexpr double kRegionShare = 1;

/// Returns the penalty of a server outside the data centre, besides the round-trip time, as a share
/// of the latency target.
double DistancePenalty(const ServerView& server) noexcept {
  if (server.m_same_data_centre)
    return 0;
  return server.m_round_trip > Duration(0) ? kRegionShare : kRemoteShare;
}

double Known(double value, double typical, double fallback) noexcept {
  if (value > 0)
    return value;
  return typical > 0 ? typical : fallback;
}

double QueueMs(const ServerView& server, const ServerPerformance& typical) noexcept {
  const int ahead = server.m_own_in_flight + server.m_other_in_flight - server.m_slots + 1;
  if (ahead <= 0)
    return 0;
  const double service =
      Known(server.m_performance.m_service_ms, typical.m_service_ms, kDefaultServiceMs);
  return ahead * service / std::max(1, server.m_slots);
}

double Ms(Duration duration) noexcept {
  return static_cast<double>(duration.count()) / 1000;
}

/// Returns the time from when the request reaches the server until its first event leaves it.
double WorkMs(const ServerView& server,
              const RequestShape& request,
              const ServerPerformance& typical) noexcept {
  const double queue = QueueMs(server, typical);
  if (request.m_prompt_tokens == 0)
    return queue +
           Known(server.m_performance.m_service_ms, typical.m_service_ms, kDefaultServiceMs);
  const double rate = Known(server.m_performance.m_prefill_tokens_per_ms,
                            typical.m_prefill_tokens_per_ms, kDefaultTokensPerMs);
  const std::int64_t own =
      std::max<std::int64_t>(0, request.m_prompt_tokens - server.m_cached_tokens);
  return queue + kFixedFirstMs + static_cast<double>(server.m_pending_prefill_tokens + own) / rate;
}

double FirstMs(const ServerView& server,
               const RequestShape& request,
               const ServerPerformance& typical) noexcept {
  return WorkMs(server, request, typical) + Ms(server.m_round_trip);
}

/// Returns the time to the first event as if no other request were in flight at the server.
double UnloadedFirstMs(const ServerView& server,
                       const RequestShape& request,
                       const ServerPerformance& typical) noexcept {
  ServerView idle = server;
  idle.m_pending_prefill_tokens = 0;
  idle.m_own_in_flight = 0;
  idle.m_other_in_flight = 0;
  return FirstMs(idle, request, typical);
}

Duration FromMs(double ms) noexcept {
  return Duration(static_cast<std::int64_t>(ms * 1000));
}

double Blend(double before, double sample, double gain) noexcept {
  return before == 0 ? sample : before + gain * (sample - before);
}

}  // namespace

Duration PredictTimeToFirstEvent(const ServerView& server,
                                 const RequestShape& request,
                                 const ServerPerformance& typical) noexcept {
  return FromMs(FirstMs(server, request, typical));
}

Duration PredictUnloadedTimeToFirstEvent(const ServerView& server,
                                         const RequestShape& request,
                                         const ServerPerformance& typical) noexcept {
  return FromMs(UnloadedFirstMs(server, request, typical));
}

namespace {

/// Returns what is added to the prediction of a stream that would likely be late after its first
/// event.
double RiskMs(const ServerView& server,
              const RequestShape& request,
              const ServerPerformance& typical) {
  if (request.m_gap_target <= Duration(0))
    return 0;
  const double pause = Known(server.m_performance.m_pause_ms, typical.m_pause_ms, 0);
  const double over = (pause / Ms(request.m_gap_target) - kRiskFrom) / (1 - kRiskFrom);
  const double length = request.m_events > 0 ? std::min(1.0, request.m_events / kRiskEvents) : 1;
  double risk = std::clamp(over, 0.0, 1.0) * length;
  const double event =
      Known(server.m_performance.m_event_interval_ms, typical.m_event_interval_ms, 0);
  const bool late = request.m_left > Duration(0) &&
                    request.m_events * event > kDeadlineShare * Ms(request.m_left);
  if (late)
    risk += kLateEndWeight;
  return risk * Ms(request.m_latency_target);
}

}  // namespace

bool HasRoom(const ServerView& server,
             const RequestShape& request,
             const ServerPerformance& typical) noexcept {
  constexpr std::size_t kLowest = std::size(kQueueShare) - 1;
  const double share = kQueueShare[std::min<std::size_t>(
      static_cast<std::size_t>(std::max(0, static_cast<int>(request.m_tier))), kLowest)];
  const double target = Ms(request.m_latency_target);
  // A more urgent request waits for a slot, so this one may not use the last ones.
  const int in_flight = server.m_own_in_flight + server.m_other_in_flight;
  if (request.m_yields_to_higher_priority && in_flight >= kYieldShare * server.m_slots)
    return false;
  const double queue = QueueMs(server, typical);
  if (queue > share * target)
    return false;
  const bool full = in_flight >= server.m_slots || server.m_available_slots <= 0;
  if (full && (server.m_no_queue || request.m_prompt_tokens > 0))
    return false;
  if (request.m_prompt_tokens == 0)
    return true;
  const double left = kTargetShare * (target - Ms(request.m_waited));
  const double first = FirstMs(server, request, typical);
  if (first <= left)
    return true;
  const double unloaded = UnloadedFirstMs(server, request, typical);
  return unloaded > left && first - unloaded <= kAheadShare * target;
}

bool CanMeetTargets(const ServerView& server,
                    const RequestShape& request,
                    const ServerPerformance& typical) noexcept {
  const bool is_plain = request.m_prompt_tokens == 0;
  if (is_plain && server.m_round_trip == Duration(0))
    return true;
  const double first = UnloadedFirstMs(server, request, typical);
  if (is_plain)
    return first <= kTargetShare * Ms(request.m_latency_target);
  if (first > kUnloadedShare * Ms(request.m_latency_target))
    return false;
  const double event =
      Known(server.m_performance.m_event_interval_ms, typical.m_event_interval_ms, 0);
  const double end = first + request.m_events * event;
  return request.m_left <= Duration(0) || end <= kDeadlineShare * Ms(request.m_left);
}

bool AnyCanMeetTargets(std::span<const ServerView> servers,
                       const RequestShape& request,
                       const ServerPerformance& typical) noexcept {
  return std::any_of(servers.begin(), servers.end(), [&](const ServerView& server) {
    return server.m_usable && CanMeetTargets(server, request, typical);
  });
}

double ChoiceCostMs(const ServerView& server,
                    const RequestShape& request,
                    const ServerPerformance& typical) noexcept {
  // A loaded batch slows every token, so the predicted work at a busy server counts for more.
  const double filled = static_cast<double>(server.m_own_in_flight + server.m_other_in_flight) /
                        std::max(1, server.m_slots);
  return WorkMs(server, request, typical) * (1 + filled) + Ms(server.m_round_trip) +
         RiskMs(server, request, typical) + DistancePenalty(server) * Ms(request.m_latency_target);
}

std::optional<ServerChoice> ChooseServer(std::span<const ServerView> servers,
                                         const RequestShape& request,
                                         const ServerPerformance& typical,
                                         std::uint64_t random) {
  std::optional<ServerChoice> best;
  double best_ms = 0;
  std::uint64_t equals = 0;
  const bool any_can_meet = AnyCanMeetTargets(servers, request, typical);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const ServerView& server = servers[i];
    if (!server.m_usable || !HasRoom(server, request, typical))
      continue;
    if (any_can_meet && !CanMeetTargets(server, request, typical))
      continue;
    const double ms = ChoiceCostMs(server, request, typical);
    if (best && ms > best_ms + kTieMs)
      continue;
    const bool tie = best && ms >= best_ms - kTieMs;
    equals = tie ? equals + 1 : 1;
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    const bool take = !tie || (random >> 33) % equals == 0;
    if (!take)
      continue;
    best = ServerChoice{i, PredictTimeToFirstEvent(server, request, typical)};
    best_ms = tie ? std::min(best_ms, ms) : ms;
  }
  return best;
}

ServerPerformance AveragePerformance(std::span<const ServerView> servers) noexcept {
  ServerPerformance sum;
  int rates = 0;
  int events = 0;
  int services = 0;
  int pauses = 0;
  for (const ServerView& server : servers) {
    sum.m_prefill_tokens_per_ms += server.m_performance.m_prefill_tokens_per_ms;
    sum.m_event_interval_ms += server.m_performance.m_event_interval_ms;
    sum.m_service_ms += server.m_performance.m_service_ms;
    sum.m_pause_ms += server.m_performance.m_pause_ms;
    rates += server.m_performance.m_prefill_tokens_per_ms > 0 ? 1 : 0;
    events += server.m_performance.m_event_interval_ms > 0 ? 1 : 0;
    services += server.m_performance.m_service_ms > 0 ? 1 : 0;
    pauses += server.m_performance.m_pause_ms > 0 ? 1 : 0;
  }
  sum.m_prefill_tokens_per_ms /= std::max(1, rates);
  sum.m_event_interval_ms /= std::max(1, events);
  sum.m_service_ms /= std::max(1, services);
  sum.m_pause_ms /= std::max(1, pauses);
  return sum;
}

ServerPerformance ObserveFirstEvent(const ServerPerformance& before,
                                    std::int64_t tokens_read,
                                    Duration elapsed) noexcept {
  if (tokens_read < kMinPrefillTokens || Ms(elapsed) > kLongestSampleMs)
    return before;
  ServerPerformance after = before;
  const double sample =
      static_cast<double>(tokens_read) / std::max(1.0, Ms(elapsed) - kFixedFirstMs);
  after.m_prefill_tokens_per_ms =
      Blend(before.m_prefill_tokens_per_ms, sample,
            sample > before.m_prefill_tokens_per_ms ? kGainUp : kGainDown);
  return after;
}

ServerPerformance ObserveStream(const ServerPerformance& before,
                                std::int64_t events,
                                Duration span,
                                Duration pause) noexcept {
  if (events <= 0)
    return before;
  ServerPerformance after = before;
  const double sample = Ms(span) / static_cast<double>(events);
  after.m_event_interval_ms = Blend(before.m_event_interval_ms, sample, kEventGain);
  after.m_pause_ms = Blend(before.m_pause_ms, Ms(pause),
                           Ms(pause) > before.m_pause_ms ? kPauseGainUp : kPauseGainDown);
  return after;
}

ServerPerformance ObserveService(const ServerPerformance& before, Duration elapsed) noexcept {
  constexpr double kGain = 0.1;
  ServerPerformance after = before;
  after.m_service_ms = Blend(before.m_service_ms, Ms(elapsed), kGain);
  return after;
}

}  // namespace poppyway
