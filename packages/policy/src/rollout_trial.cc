// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// A tenth of the share is left for requests that were given a place and never reached a server, and
// a third of the slack for what is under way when a version is found bad.
constexpr double kBoundShare = 0.9;
constexpr double kSlackShare = 0.7;
// Of the bounds: where moving work is looked at once more. The rest is for answers still to come.
constexpr double kLookShares[] = {0.7, 0.8, 0.9};
constexpr std::int64_t kPlenty = 10;    // Allowed and not sent: then any route may use them.
constexpr double kAheadOfOthers = 1.2;  // Times the mean of runs that a route may be ahead...
constexpr double kAheadBy = 3;          // ...and this many.

// Failures of 5 in 100 and more beyond those of the other versions are to be found.
constexpr double kWorseBy = 0.06;
// The sum that finds a version bad: a good one reaches it once in some 8,000 answers (e^9).
constexpr double kBadSum = 9;
constexpr double kDoubtDeviations =
    2.3;                              // Above what the others' share comes to: 1 good one in 100.
constexpr double kDoubtMore = 1;      // And so many bad answers more.
constexpr double kServerShare = 0.7;  // Of `kBadSum`, from one server.
constexpr double kOthersMemoryS =
    4;  // "The same seconds": long enough for some answers of a route.
// Until others have answered on a route their share of bad answers is taken to be about this.
constexpr double kPriorShare = 0.03;
constexpr double kPriorRuns = 20;
constexpr double kMostShare = 0.9;
constexpr double kLeastShare = 0.005;
constexpr double kDeviations = 2;  // Above their mean, the others' share is taken to be.

constexpr double kOutlier = 2.5;  // Times its server's usual pace: slower counts as a bad answer.
constexpr int kUsualAfter = 3;    // Answers until a server's usual pace is known.
constexpr double kUsualGain = 0.1;
constexpr double kRecentGain = 0.3;
constexpr double kSlower = 1.5;        // Times the others' pace.
constexpr double kSlowDeviations = 4;  // And so many standard errors of the difference.
constexpr double kLeastSpread = 0.15;  // Of servers of one version, as logarithm of their pace.
constexpr int kTimedAtLeast = 2;       // Answers of a server, for it to be compared.
constexpr std::size_t kLeastServers = 2;
constexpr std::int64_t kLeastRuns = 30;  // Fewer say nothing good of a version.

// For work to move: most requests that run at the others should end there. All that the target gets
// meanwhile it gets before the deadline, so a bad one that was not found does its harm then.
constexpr double kMoveAnswers = 2;   // Times an answer's usual time.
constexpr double kMoveShare = 0.25;  // Of the whole time, at most.
constexpr Duration kMoveLeast{200'000};
// With 3 s all of 500 versions of 60 engines that failed 30 % from the ninth of 12 s on went over
// the bound on exposure, with this none.
constexpr Duration kMoveMost{1'500'000};
// A decision is committed in some ms; readers may ask for it only every few hundred.
constexpr Duration kAckTime{700'000};

double Share(const RouteEvidence& evidence) {
  return (evidence.m_bad + kPriorShare * kPriorRuns) / (evidence.m_runs + kPriorRuns);
}

/// The share of bad answers of the others on a route, at its upper end.
double OthersShare(const RolloutTrial& trial, RouteKey route) {
  const auto found = trial.m_other_routes.find(route);
  const RouteEvidence none;
  const RouteEvidence& others = found == trial.m_other_routes.end() ? none : found->second;
  const double share = Share(others);
  const double error = std::sqrt(share * (1 - share) / (others.m_runs + kPriorRuns));
  return std::clamp(share + kDeviations * error, kLeastShare, kMostShare);
}

void Decay(RouteEvidence& evidence, Instant now) {
  const double factor = std::exp(-Seconds(now - evidence.m_at) / kOthersMemoryS);
  evidence.m_runs *= factor;
  evidence.m_bad *= factor;
  evidence.m_at = now;
}

/// Whether the answer was far slower than its server's are. Learns what is usual.
bool LearnPaceOf(ServerEvidence& server, double pace_ms) {
  if (pace_ms <= 0)
    return false;
  const double pace = std::log(pace_ms);
  const bool outlier = server.m_timed >= kUsualAfter && pace - server.m_usual > std::log(kOutlier);
  const bool first = server.m_timed == 0;
  server.m_usual = first ? pace : server.m_usual + kUsualGain * (pace - server.m_usual);
  server.m_recent = first ? pace : server.m_recent + kRecentGain * (pace - server.m_recent);
  ++server.m_timed;
  return outlier;
}

/// Adds one answer of the target to the sequential test of its route.
void Test(RolloutTrial& trial,
          RouteEvidence& evidence,
          ServerEvidence& server,
          RouteKey route,
          bool bad) {
  const double same = OthersShare(trial, route);
  const double worse = std::min(same + kWorseBy, (same + 1) / 2);
  double step = bad ? std::log(worse / same) : std::log((1 - worse) / (1 - same));
  const bool alone = trial.m_target_servers.size() < kLeastServers;
  if (bad && !alone)
    step = std::min(step, std::max(0.0, kServerShare * kBadSum - server.m_counted_against));
  if (bad)
    server.m_counted_against += step;
  evidence.m_against = std::max(0.0, evidence.m_against + step);
}

double Against(const RolloutTrial& trial) {
  double most = 0;
  for (const auto& [route, evidence] : trial.m_target_routes)
    most = std::max(most, evidence.m_against);
  return most;
}

/// More bad answers than chance gives a good version, on a route or on all of them.
bool InDoubt(const RolloutTrial& trial) {
  double excess = 0;
  double variance = 0;
  for (const auto& [route, evidence] : trial.m_target_routes) {
    const double share = OthersShare(trial, route);
    const double more = evidence.m_bad - evidence.m_runs * share;
    const double spread = evidence.m_runs * share * (1 - share);
    if (more > kDoubtDeviations * std::sqrt(spread) + kDoubtMore)
      return true;
    excess += more;
    variance += spread;
  }
  return excess > kDoubtDeviations * std::sqrt(variance) + kDoubtMore;
}

/// Mean and squared standard error of the servers' recent paces.
struct PaceMean {
  double m_mean = 0;
  double m_error = 0;
  std::size_t m_servers = 0;
};

PaceMean MeanOf(const std::map<std::string, ServerEvidence>& servers) {
  PaceMean mean;
  double squares = 0;
  for (const auto& [id, server] : servers) {
    if (server.m_timed < kTimedAtLeast)
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
  mean.m_error = std::max(variance, kLeastSpread * kLeastSpread) / count;
  return mean;
}

bool IsSlow(const RolloutTrial& trial) {
  const PaceMean target = MeanOf(trial.m_target_servers);
  const PaceMean others = MeanOf(trial.m_other_servers);
  if (target.m_servers < kLeastServers || others.m_servers < kLeastServers)
    return false;
  const double difference = target.m_mean - others.m_mean;
  const double error = std::sqrt(target.m_error + others.m_error);
  return difference > std::log(kSlower) && difference > kSlowDeviations * error;
}

/// Moving work comes near to what a bad version may get: what is in doubt now gets no more.
void LookOnceMore(RolloutTrial& trial) {
  const double most =
      trial.m_bounds.m_share * static_cast<double>(trial.m_requests) + trial.m_bounds.m_slack;
  const bool due = trial.m_moving && trial.m_looks < std::size(kLookShares) &&
                   !IsBad(trial.m_finding) &&
                   static_cast<double>(trial.m_sent) >= kLookShares[trial.m_looks] * most;
  if (!due)
    return;
  ++trial.m_looks;
  if (trial.m_finding == TrialFinding::kDoubtful)
    trial.m_finding = TrialFinding::kFails;
}

Duration Scale(Duration duration, double factor) noexcept {
  return Duration(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

Duration MoveTime(const RolloutInputs& view) noexcept {
  const Duration most = std::min(kMoveMost, Scale(view.m_duration, kMoveShare));
  return std::clamp(Scale(view.m_service, kMoveAnswers), std::min(kMoveLeast, most), most);
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
  if (open > kPlenty || trial.m_target_routes.empty())
    return true;
  double sum = 0;
  for (const auto& [key, evidence] : trial.m_target_routes)
    sum += evidence.m_runs;
  const double mean = sum / static_cast<double>(trial.m_target_routes.size());
  const auto own = trial.m_target_routes.find(route);
  return own == trial.m_target_routes.end() ||
         own->second.m_runs <= kAheadOfOthers * mean + kAheadBy;
}

void CountSent(RolloutTrial& trial, bool to_target) {
  ++trial.m_requests;
  trial.m_sent += to_target ? 1 : 0;
}

void Learn(RolloutTrial& trial, const VersionSample& sample, Instant now) {
  ServerEvidence& server =
      (sample.m_target ? trial.m_target_servers : trial.m_other_servers)[sample.m_server];
  const bool slow = LearnPaceOf(server, sample.m_latency_ms);
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
  Test(trial, evidence, server, sample.m_route, bad);
  if (!IsBad(trial.m_finding))
    trial.m_finding = Judge(trial);
  LookOnceMore(trial);
}

TrialFinding Judge(const RolloutTrial& trial) {
  if (Against(trial) >= kBadSum)
    return TrialFinding::kFails;
  if (IsSlow(trial))
    return TrialFinding::kSlow;
  if (trial.m_runs < kLeastRuns)
    return TrialFinding::kTooLittle;
  return InDoubt(trial) ? TrialFinding::kDoubtful : TrialFinding::kGood;
}

RolloutDecision DecideRollout(const RolloutInputs& view, std::string_view& why) noexcept {
  if (IsBad(view.m_finding)) {
    why = TrialFindingName(view.m_finding);
    return RolloutDecision::kRollBack;
  }
  if (view.m_moving) {
    const bool due = !view.m_others_busy || view.m_left <= kAckTime;
    why = view.m_others_busy ? "time" : "idle";
    return due ? RolloutDecision::kComplete : RolloutDecision::kWait;
  }
  if (!view.m_others_left) {
    why = "no_other_servers";
    return RolloutDecision::kMove;
  }
  if (view.m_left > MoveTime(view) + kAckTime)
    return RolloutDecision::kWait;
  why = TrialFindingName(view.m_finding);
  return view.m_finding == TrialFinding::kGood ? RolloutDecision::kMove
                                               : RolloutDecision::kRollBack;
}

}  // namespace poppyway
