// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// A tenth of the share is kept for requests that got a slot and never reached a server, and about a
// third of the slack for requests in flight when a version is found bad.
constexpr double kBoundShare = 0.9;
constexpr double kSlackShare = 0.7;
// Shares of the bounds at which moving work is reviewed. The rest is for responses still pending.
constexpr double kReviewShares[] = {0.7, 0.8, 0.9};
// Allowed and unsent requests above which any route may use them.
constexpr std::int64_t kUnrestrictedAbove = 10;
constexpr double kMaxRunsFactor = 1.2;  // A route's runs may exceed the mean by this factor...
constexpr double kMaxRunsExcess = 3;    // ...and this number.

// Excess share of bad responses that the test looks for: a version that fails at least 5
// in 100 requests more than the other versions do has to be found.
constexpr double kExcessBadShare = 0.06;
// The sum at which a version is found bad: a good one reaches it once in some 8,000 responses
// (e^9).
constexpr double kBadThreshold = 9;
// Deviations above the expected number: 1 in 100 good versions.
constexpr double kDoubtDeviations = 2.3;
constexpr double kDoubtExcess = 1;       // Bad responses beyond those deviations.
constexpr double kMaxServerShare = 0.7;  // Maximum share of the threshold from one server.
// Decay time of other versions' evidence; covers several responses of a route.
constexpr double kOthersDecayS = 4;
// Prior of the other versions' share of bad responses on a route, before they have responded there.
constexpr double kPriorShare = 0.03;
constexpr double kPriorRuns = 20;
constexpr double kMaxShare = 0.9;
constexpr double kMinShare = 0.005;
constexpr double kShareDeviations = 2;  // Standard errors added to the other versions' share.

// Multiple of its server's usual latency: a slower response is bad.
constexpr double kOutlierFactor = 2.5;
constexpr int kUsualSamples = 3;  // Responses until a server's usual latency is known.
constexpr double kUsualGain = 0.1;
constexpr double kRecentGain = 0.3;
constexpr double kSlowFactor = 1.5;    // Multiple of the other versions' latency.
constexpr double kSlowDeviations = 4;  // Standard errors that the difference must also exceed.
// Least deviation assumed between servers of one version, in log latency.
constexpr double kMinSpread = 0.15;
constexpr int kMinTimedResponses = 2;  // Responses of a server needed to compare it.
constexpr std::size_t kMinServers = 2;
constexpr std::int64_t kMinRuns = 30;  // Fewer responses can't show that a version is good.

// Time for work to move: most requests in flight at the other servers should end there. Until the
// deadline the target gets all new requests, so an undetected bad version does its harm then.
constexpr double kMoveServiceTimes = 2;  // Multiple of a response's usual time.
constexpr double kMoveShare = 0.25;      // Maximum share of the roll-out's duration.
constexpr Duration kMinMoveTime{200'000};
// With 3 s, 500 of 500 simulated versions on 60 engines that fail 30 % from the ninth of 12 s on
// exceed the bound on exposure; with this limit none does.
constexpr Duration kMaxMoveTime{1'500'000};
// A decision is committed in some ms, but readers may poll for it only every few hundred ms.
constexpr Duration kAckTime{700'000};

double Share(const RouteEvidence& evidence) {
  return (evidence.m_bad + kPriorShare * kPriorRuns) / (evidence.m_runs + kPriorRuns);
}

/// Returns an upper estimate of the other versions' share of bad responses on a route.
double OthersShare(const RolloutTrial& trial, RouteKey route) {
  const auto found = trial.m_other_routes.find(route);
  const RouteEvidence none;
  const RouteEvidence& others = found == trial.m_other_routes.end() ? none : found->second;
  const double share = Share(others);
  const double error = std::sqrt(share * (1 - share) / (others.m_runs + kPriorRuns));
  return std::clamp(share + kShareDeviations * error, kMinShare, kMaxShare);
}

void Decay(RouteEvidence& evidence, Instant now) {
  const double factor = std::exp(-Seconds(now - evidence.m_at) / kOthersDecayS);
  evidence.m_runs *= factor;
  evidence.m_bad *= factor;
  evidence.m_at = now;
}

/// Updates a server's latencies from a response; returns true if it was far slower than usual for
/// the server.
bool LearnLatency(ServerEvidence& server, double latency_ms) {
  if (latency_ms <= 0)
    return false;
  const double latency = std::log(latency_ms);
  const bool outlier =
      server.m_timed >= kUsualSamples && latency - server.m_usual > std::log(kOutlierFactor);
  const bool first = server.m_timed == 0;
  server.m_usual = first ? latency : server.m_usual + kUsualGain * (latency - server.m_usual);
  server.m_recent = first ? latency : server.m_recent + kRecentGain * (latency - server.m_recent);
  ++server.m_timed;
  return outlier;
}

/// Adds one response of the target to the sequential test of its route.
void UpdateTest(RolloutTrial& trial,
                RouteEvidence& evidence,
                ServerEvidence& server,
                RouteKey route,
                bool bad) {
  const double same = OthersShare(trial, route);
  const double worse = std::min(same + kExcessBadShare, (same + 1) / 2);
  double step = bad ? std::log(worse / same) : std::log((1 - worse) / (1 - same));
  const bool single_server = trial.m_target_servers.size() < kMinServers;
  if (bad && !single_server)
    step = std::min(step, std::max(0.0, kMaxServerShare * kBadThreshold - server.m_contribution));
  if (bad)
    server.m_contribution += step;
  evidence.m_against = std::max(0.0, evidence.m_against + step);
}

double MaxTestSum(const RolloutTrial& trial) {
  double most = 0;
  for (const auto& [route, evidence] : trial.m_target_routes)
    most = std::max(most, evidence.m_against);
  return most;
}

/// Returns true if the target has more bad responses than chance gives a good version, on one route
/// or on all of them.
bool InDoubt(const RolloutTrial& trial) {
  double excess = 0;
  double variance = 0;
  for (const auto& [route, evidence] : trial.m_target_routes) {
    const double share = OthersShare(trial, route);
    const double more = evidence.m_bad - evidence.m_runs * share;
    const double spread = evidence.m_runs * share * (1 - share);
    if (more > kDoubtDeviations * std::sqrt(spread) + kDoubtExcess)
      return true;
    excess += more;
    variance += spread;
  }
  return excess > kDoubtDeviations * std::sqrt(variance) + kDoubtExcess;
}

/// Mean and squared standard error of servers' recent latencies.
struct LatencyMean {
  double m_mean = 0;
  double m_error = 0;
  std::size_t m_servers = 0;
};

LatencyMean MeanLatency(const std::map<std::string, ServerEvidence>& servers) {
  LatencyMean mean;
  double squares = 0;
  for (const auto& [id, server] : servers) {
    if (server.m_timed < kMinTimedResponses)
      continue;
    ++mean.m_servers;
    mean.m_mean += server.m_recent;
    squares += server.m_recent * server.m_recent;
  }
  if (mean.m_servers == 0)
    return mean;
  const auto count = static_cast<double>(mean.m_servers);
  mean.m_mean /= count;
  const double variance = std::max(0.0, squares / count - mean.m_mean * mean.m_mean);
  mean.m_error = std::max(variance, kMinSpread * kMinSpread) / count;
  return mean;
}

bool IsSlow(const RolloutTrial& trial) {
  const LatencyMean target = MeanLatency(trial.m_target_servers);
  const LatencyMean others = MeanLatency(trial.m_other_servers);
  if (target.m_servers < kMinServers || others.m_servers < kMinServers)
    return false;
  const double difference = target.m_mean - others.m_mean;
  const double error = std::sqrt(target.m_error + others.m_error);
  return difference > std::log(kSlowFactor) && difference > kSlowDeviations * error;
}

/// Reviews a version once work that moves to it nears the bounds on exposure: a doubtful one is
/// bad.
void ReviewMovingWork(RolloutTrial& trial) {
  const double most =
      trial.m_bounds.m_share * static_cast<double>(trial.m_requests) + trial.m_bounds.m_slack;
  const bool due = trial.m_moving && trial.m_reviews < std::size(kReviewShares) &&
                   !IsBad(trial.m_finding) &&
                   static_cast<double>(trial.m_sent) >= kReviewShares[trial.m_reviews] * most;
  if (!due)
    return;
  ++trial.m_reviews;
  if (trial.m_finding == TrialFinding::kDoubtful)
    trial.m_finding = TrialFinding::kFails;
}

Duration Scale(Duration duration, double factor) noexcept {
  return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

Duration MoveTime(const RolloutInputs& inputs) noexcept {
  const Duration most = std::min(kMaxMoveTime, Scale(inputs.m_duration, kMoveShare));
  return std::clamp(Scale(inputs.m_service, kMoveServiceTimes), std::min(kMinMoveTime, most), most);
}

}  // namespace

std::string_view TrialFindingName(TrialFinding finding) noexcept {
  switch (finding) {
    case TrialFinding::kTooLittle:
      return "too_little";
    case TrialFinding::kDoubtful:
      return "doubtful";
    case TrialFinding::kGood:
      return "good";
    case TrialFinding::kFails:
      return "fails";
    case TrialFinding::kSlow:
      return "slow";
  }
  return "unknown";
}

RolloutTrial BeginTrial(const TrialCheckpoint& start, const ExposureBounds& bounds) {
  RolloutTrial trial;
  trial.m_number = start.m_number;
  trial.m_target = start.m_target;
  trial.m_moving = start.m_moving;
  trial.m_requests = start.m_requests;
  trial.m_allowed = start.m_allowed;
  trial.m_sent = start.m_allowed;
  trial.m_finding = start.m_finding;
  trial.m_inherited = start.m_finding;
  trial.m_bounds = bounds;
  return trial;
}

std::int64_t AllowedBy(const ExposureBounds& bounds, std::int64_t requests) noexcept {
  const double allowed =
      kBoundShare * bounds.m_share * static_cast<double>(requests) + kSlackShare * bounds.m_slack;
  return static_cast<std::int64_t>(allowed);
}

bool MayExpose(const RolloutTrial& trial, RouteKey route) {
  const std::int64_t open = trial.m_allowed - trial.m_sent;
  if (open <= 0)
    return false;
  if (open > kUnrestrictedAbove || trial.m_target_routes.empty())
    return true;
  double sum = 0;
  for (const auto& [key, evidence] : trial.m_target_routes)
    sum += evidence.m_runs;
  const double mean = sum / static_cast<double>(trial.m_target_routes.size());
  const auto own = trial.m_target_routes.find(route);
  return own == trial.m_target_routes.end() ||
         own->second.m_runs <= kMaxRunsFactor * mean + kMaxRunsExcess;
}

void CountSent(RolloutTrial& trial, bool to_target) {
  ++trial.m_requests;
  trial.m_sent += to_target ? 1 : 0;
}

void Learn(RolloutTrial& trial, const VersionSample& sample, Instant now) {
  ServerEvidence& server =
      (sample.m_target ? trial.m_target_servers : trial.m_other_servers)[sample.m_server];
  const bool slow = LearnLatency(server, sample.m_latency_ms);
  const bool bad = sample.m_failed || sample.m_cut || slow;
  if (!sample.m_target) {
    RouteEvidence& evidence = trial.m_other_routes[sample.m_route];
    Decay(evidence, now);
    evidence.m_runs += 1;
    evidence.m_bad += bad ? 1 : 0;
    return;
  }
  RouteEvidence& evidence = trial.m_target_routes[sample.m_route];
  evidence.m_runs += 1;
  evidence.m_bad += bad ? 1 : 0;
  ++trial.m_runs;
  trial.m_bad_runs += bad ? 1 : 0;
  if (const auto others = trial.m_other_routes.find(sample.m_route);
      others != trial.m_other_routes.end())
    Decay(others->second, now);
  UpdateTest(trial, evidence, server, sample.m_route, bad);
  if (!IsBad(trial.m_finding))
    trial.m_finding = Judge(trial);
  ReviewMovingWork(trial);
}

TrialFinding Judge(const RolloutTrial& trial) {
  if (MaxTestSum(trial) >= kBadThreshold)
    return TrialFinding::kFails;
  if (IsSlow(trial))
    return TrialFinding::kSlow;
  const bool enough = trial.m_runs >= kMinRuns;
  if (!enough && trial.m_inherited == TrialFinding::kTooLittle)
    return TrialFinding::kTooLittle;
  if (InDoubt(trial))
    return TrialFinding::kDoubtful;
  return enough ? TrialFinding::kGood : trial.m_inherited;
}

RolloutDecision DecideRollout(const RolloutInputs& inputs, std::string_view& why) noexcept {
  if (IsBad(inputs.m_finding)) {
    why = TrialFindingName(inputs.m_finding);
    return RolloutDecision::kRollBack;
  }
  if (inputs.m_moving) {
    const bool due = !inputs.m_others_busy || inputs.m_left <= kAckTime;
    why = inputs.m_others_busy ? "time" : "idle";
    return due ? RolloutDecision::kComplete : RolloutDecision::kWait;
  }
  if (!inputs.m_others_left) {
    why = "no_other_servers";
    return RolloutDecision::kMove;
  }
  if (inputs.m_left > MoveTime(inputs) + kAckTime)
    return RolloutDecision::kWait;
  why = TrialFindingName(inputs.m_finding);
  return inputs.m_finding == TrialFinding::kGood ? RolloutDecision::kMove
                                                 : RolloutDecision::kRollBack;
}

}  // namespace poppyway
