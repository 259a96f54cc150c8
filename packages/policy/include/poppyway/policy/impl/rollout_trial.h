// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Identifies a route within evidence.
using RouteKey = std::uint64_t;

/// \brief The part of a pool's requests that a version under trial may get.
struct ExposureBounds {
  double m_share = 0.1;  ///< Share of all requests to the pool since the roll-out was ordered.
  double m_slack = 50;   ///< Number of requests beyond that share.

  friend bool operator==(const ExposureBounds&, const ExposureBounds&) = default;
};

/// \brief One response, as evidence on the version that sent it.
struct VersionSample {
  bool m_target = false;  ///< From the version under trial, else from another one.
  RouteKey m_route = 0;
  std::string m_server;
  bool m_failed = false;    ///< The response reports a failure.
  bool m_cut = false;       ///< No complete response: broken off, unreachable or unsigned.
  double m_latency_ms = 0;  ///< Per event of a stream, or of a plain response; zero if unknown.

  friend bool operator==(const VersionSample&, const VersionSample&) = default;
};

/// \brief Evidence on one server. Latencies are logarithms of milliseconds.
struct ServerEvidence {
  double m_usual = 0;         ///< Slow average; the server's own responses are compared with it.
  double m_recent = 0;        ///< Fast average; the versions are compared by it.
  int m_timed = 0;            ///< Responses with a known latency.
  double m_contribution = 0;  ///< Sum that its bad responses added to the test.

  friend bool operator==(const ServerEvidence&, const ServerEvidence&) = default;
};

/// \brief Responses of one version on one route.
struct RouteEvidence {
  double m_runs = 0;     ///< Responses; for other versions decayed, thus of the last seconds.
  double m_bad = 0;      ///< Those of `m_runs` that were bad.
  double m_against = 0;  ///< Cumulative sum of the sequential test; for the target version only.
  Instant m_at{};

  friend bool operator==(const RouteEvidence&, const RouteEvidence&) = default;
};

/// \brief What the evidence shows about the target version.
enum class TrialFinding : std::uint8_t {
  kTooLittle,  ///< Too few responses to decide.
  kDoubtful,   ///< More bad responses than chance explains, but not enough for `kFails`.
  kGood,
  /// It fails more often than the other versions, or was still in doubt at a review.
  kFails,
  kSlow,  ///< It is slower than the other versions.
};

/// \brief Returns the finding's name in logs.
[[nodiscard]] std::string_view TrialFindingName(TrialFinding finding) noexcept;

/// \brief Returns true for a version that must not get work.
[[nodiscard]] constexpr bool IsBad(TrialFinding finding) noexcept {
  return finding == TrialFinding::kFails || finding == TrialFinding::kSlow;
}

/// \brief A roll-out in progress: the target's exposure and the evidence on it.
struct RolloutTrial {
  std::int64_t m_number = 0;
  std::string m_target;
  bool m_moving = false;        ///< The target was found good and gets all new requests.
  std::int64_t m_requests = 0;  ///< Requests to the pool since the roll-out was ordered.
  std::int64_t m_sent = 0;      ///< Those of `m_requests` sent to the target.
  std::int64_t m_allowed = 0;   ///< Committed maximum of `m_sent`.
  std::int64_t m_runs = 0;      ///< Responses of the target, complete or failed.
  std::int64_t m_bad_runs = 0;  ///< Those of `m_runs` that were bad.
  TrialFinding m_finding = TrialFinding::kTooLittle;  ///< As of the last response; bad is final.
  /// Finding of an earlier leader. It stands until this leader has evidence of its own.
  TrialFinding m_inherited = TrialFinding::kTooLittle;
  ExposureBounds m_bounds;
  std::size_t m_reviews = 0;  ///< Reviews done as moving work neared the bounds.
  std::map<RouteKey, RouteEvidence> m_target_routes;
  std::map<RouteKey, RouteEvidence> m_other_routes;
  std::map<std::string, ServerEvidence> m_target_servers;
  std::map<std::string, ServerEvidence> m_other_servers;
};

/// \brief The committed state of a roll-out.
struct TrialCheckpoint {
  std::int64_t m_number = 0;
  std::string m_target;
  bool m_moving = false;
  std::int64_t m_requests = 0;
  std::int64_t m_allowed = 0;
  TrialFinding m_finding = TrialFinding::kTooLittle;

  friend bool operator==(const TrialCheckpoint&, const TrialCheckpoint&) = default;
};

/// \brief Returns a trial that continues from a checkpoint. Of an earlier leader's evidence only
/// the finding is known, so all requests that it allowed count as sent.
[[nodiscard]] RolloutTrial BeginTrial(const TrialCheckpoint& start, const ExposureBounds& bounds);

/// \brief Returns the number of requests that the target may have got after `requests` to the pool:
/// the bounds, less a margin since some requests never reach a server.
[[nodiscard]] std::int64_t AllowedBy(const ExposureBounds& bounds, std::int64_t requests) noexcept;

/// \brief Returns true if a request of this route may go to the target now: some are allowed, and
/// the route hasn't had many more runs than the others, unless many are allowed.
[[nodiscard]] bool MayExpose(const RolloutTrial& trial, RouteKey route);

/// \brief Counts a request that is sent to a server of the pool.
void CountSent(RolloutTrial& trial, bool to_target);

/// \brief Updates the trial's evidence and finding from a response.
void Learn(RolloutTrial& trial, const VersionSample& sample, Instant now);

/// \brief Returns the finding from the evidence so far.
///
/// A version that isn't found bad is doubtful if it has more bad responses, on one route or in all,
/// than chance explains. That matters when work is to move, and at some reviews as moving work
/// nears the bounds on exposure.
///
/// Failures and responses far slower than is usual for their server are tested one by one, by
/// route, with a cumulative sum (Page 1954) of the log-likelihood ratio: a share of bad responses
/// `kExcessBadShare` above that of the other versions in the same seconds, against an equal share.
/// The test finds a version that turns bad later as well as one that is bad from the start, and a
/// burst that makes all versions fail counts against none. One server adds at most a part of the
/// threshold, so that one that dies doesn't make its version bad. Speeds are compared as means over
/// servers, since servers of one version may differ by a factor of several.
[[nodiscard]] TrialFinding Judge(const RolloutTrial& trial);

/// \brief The next step of a roll-out.
enum class RolloutDecision : std::uint8_t { kWait, kMove, kComplete, kRollBack };

/// \brief The inputs of `DecideRollout`.
struct RolloutInputs {
  bool m_moving = false;
  TrialFinding m_finding = TrialFinding::kTooLittle;
  bool m_others_left = true;  ///< Servers of other versions still take work, or would.
  bool m_others_busy = true;  ///< Requests are in flight at those servers.
  Duration m_service{};       ///< Usual time of a response.
  Duration m_duration{};      ///< Time from the order to the deadline.
  Duration m_left{};          ///< Time until the deadline.
};

/// \brief Returns the next step and sets `why` to its reason.
///
/// A bad version is rolled back at once. A good one is kept on trial for as long as is safe, since
/// some versions turn bad later or under load only: work moves when the time of a few responses is
/// left, and the roll-out is completed once the other servers are idle or only the time that an
/// acknowledgement takes is left. A version without enough evidence when work has to move is rolled
/// back: with all of the work it could break the bound on exposure, while rolling back a good one
/// costs only another order.
[[nodiscard]] RolloutDecision DecideRollout(const RolloutInputs& inputs,
                                            std::string_view& why) noexcept;

}  // namespace poppyway
