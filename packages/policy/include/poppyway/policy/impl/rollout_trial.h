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

/// \brief Names a route within evidence.
using RouteKey = std::uint64_t;

/// \brief How much of a pool's work a version under trial may get.
struct ExposureBounds {
  double m_share = 0.1;  ///< Of all requests to the pool since the order.
  double m_slack = 50;   ///< Requests beyond it.

  friend bool operator==(const ExposureBounds&, const ExposureBounds&) = default;
};

/// \brief One answer, as evidence on the version that gave it.
struct VersionSample {
  bool m_target = false;  ///< Of the version under trial, else of another one.
  RouteKey m_route = 0;
  std::string m_server;
  bool m_failed = false;    ///< An answer with a failure.
  bool m_cut = false;       ///< No whole answer: broken off, unreachable, unsigned.
  double m_latency_ms = 0;  ///< Of one event of a stream, or of a plain answer; zero: not known.

  friend bool operator==(const VersionSample&, const VersionSample&) = default;
};

/// \brief What is known of one server's speed. Logarithms of milliseconds.
struct ServerEvidence {
  double m_usual = 0;   ///< Slow average: what an answer is compared with.
  double m_recent = 0;  ///< Fast average: what the versions are compared by.
  int m_timed = 0;
  double m_counted_against = 0;  ///< What its bad answers have added to the evidence.

  friend bool operator==(const ServerEvidence&, const ServerEvidence&) = default;
};

/// \brief Answers of one version on one route.
struct RouteEvidence {
  double m_runs = 0;  ///< Of other versions: decayed, those of the same seconds.
  double m_bad = 0;
  double m_against = 0;  ///< Cumulative sum of the sequential test; the target's only.
  Instant m_at{};

  friend bool operator==(const RouteEvidence&, const RouteEvidence&) = default;
};

/// \brief What the evidence says of the target version.
enum class TrialFinding : std::uint8_t {
  kTooLittle,  ///< Too few answers to tell.
  kDoubtful,   ///< Neither good nor bad.
  kGood,
  kFails,  ///< It answers with failures more often than the others do.
  kSlow,   ///< It is slower than the others.
};

/// \brief Text for logs.
[[nodiscard]] std::string_view TrialFindingName(TrialFinding finding) noexcept;

/// \brief True for a version that must get no work.
[[nodiscard]] constexpr bool IsBad(TrialFinding finding) noexcept {
  return finding == TrialFinding::kFails || finding == TrialFinding::kSlow;
}

/// \brief A roll-out under way as the broker sees it: exposure and evidence.
struct RolloutTrial {
  std::int64_t m_number = 0;
  std::string m_target;
  bool m_moving = false;        ///< Found good: the target gets all new work.
  std::int64_t m_requests = 0;  ///< To the pool since the order.
  std::int64_t m_sent = 0;      ///< Of those, to the target.
  std::int64_t m_allowed = 0;   ///< Of those, to the target at most, as the log has it.
  std::int64_t m_runs = 0;      ///< Whole or failed answers of the target.
  std::int64_t m_bad_runs = 0;
  TrialFinding m_finding = TrialFinding::kTooLittle;  ///< As of the last answer; bad stays bad.
  ExposureBounds m_bounds;
  std::size_t m_looks = 0;  ///< Done when moving work came near to the bounds.
  std::map<RouteKey, RouteEvidence> m_target_routes;
  std::map<RouteKey, RouteEvidence> m_other_routes;
  std::map<std::string, ServerEvidence> m_target_servers;
  std::map<std::string, ServerEvidence> m_other_servers;
};

/// \brief Where the log says that a roll-out stands.
struct TrialCheckpoint {
  std::int64_t m_number = 0;
  std::string m_target;
  bool m_moving = false;
  std::int64_t m_requests = 0;
  std::int64_t m_allowed = 0;

  friend bool operator==(const TrialCheckpoint&, const TrialCheckpoint&) = default;
};

/// \brief A trial that continues there. What an earlier leader saw is not known, so all that it
/// allowed counts as sent.
[[nodiscard]] RolloutTrial BeginTrial(const TrialCheckpoint& start, const ExposureBounds& bounds);

/// \brief How many requests the target may have got by now, by the bounds less a margin for
/// requests that never reach a server.
[[nodiscard]] std::int64_t AllowedBy(const ExposureBounds& bounds, std::int64_t requests) noexcept;

/// \brief True if a request of this route may go to the target now: some are allowed, and the route
/// has not been tried much more than the others, unless plenty are allowed.
[[nodiscard]] bool MayExpose(const RolloutTrial& trial, RouteKey route);

/// \brief A request goes to a server of the pool.
void CountSent(RolloutTrial& trial, bool to_target);

/// \brief Learns from an answer.
void Learn(RolloutTrial& trial, const VersionSample& sample, Instant now);

/// \brief What the evidence comes to.
///
/// At the time to move, and some times more when moving work comes near to the bounds on exposure,
/// a version is held to the whole of its answers as well: with more bad ones than chance gives it
/// is in doubt.
///
/// Failures and answers far slower than their server's usual are tested one by one, by route: a
/// cumulative sum (Page 1954) of the log likelihood of a share `kWorseBy` above that of the other
/// versions in the same seconds, against the same share. It finds a version that turns bad later as
/// well as one that is bad from the start, and a burst that makes all versions fail counts against
/// none. One server adds at most part of what is needed, so a server that dies is not a bad
/// version. Speeds are compared as means of servers, since servers of one version differ several
/// times.
[[nodiscard]] TrialFinding Judge(const RolloutTrial& trial);

/// \brief What to do with a roll-out next.
enum class RolloutDecision : std::uint8_t { kWait, kMove, kComplete, kRollBack };

/// \brief What decides it.
struct RolloutInputs {
  bool m_moving = false;
  TrialFinding m_finding = TrialFinding::kTooLittle;
  bool m_others_left = true;  ///< Servers of other versions still take work, or would.
  bool m_others_busy = true;  ///< Requests run there.
  Duration m_service{};       ///< Usual time of an answer.
  Duration m_duration{};      ///< From the order to the deadline.
  Duration m_left{};          ///< Until the deadline.
};

/// \brief The decision, with its reason in `why`.
///
/// A bad version is rolled back at once. A good one is kept on trial for as long as is safe, since
/// some turn bad later or under load only: work moves when some answers' time is left, and the
/// roll-out is completed once the others are idle or the time that an acknowledgement takes is
/// left. Without enough evidence by then it is rolled back: an unknown version with all of the work
/// could break the bound on exposure, a good one that is rolled back costs another order.
[[nodiscard]] RolloutDecision DecideRollout(const RolloutInputs& view,
                                            std::string_view& why) noexcept;

}  // namespace poppyway
