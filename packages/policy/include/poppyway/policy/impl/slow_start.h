// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy/impl/server_health.h"

namespace poppyway {

/// \brief A pool's limit for servers that are cold, that is, slow after a start.
struct SlowStartLimit {
  /// Requests per second that a cold server handles; zero: servers are never cold.
  double m_per_s = 0;
  Duration m_time{};  ///< Time from a start until a server is warm.
  /// Upper bound over all instances; a cold server that gets more requests fails.
  double m_most_per_s = 0;

  friend bool operator==(const SlowStartLimit&, const SlowStartLimit&) = default;
};

/// \brief How far the rate of a cold server may exceed what it handles; set per deployment.
struct SlowStartTolerance {
  double m_overage = 1;  ///< Factor applied to the rate that the server handles.
  double m_slack = 0;    ///< Additional requests per second.

  friend bool operator==(const SlowStartTolerance&, const SlowStartTolerance&) = default;
};

/// \brief The part of a server's record that decides whether it is cold.
struct SlowStartUpdate {
  /// Remaining cold time that the server reported; zero if it is warm or doesn't report.
  Duration m_left{};
  std::int64_t m_started_ms = 0;  ///< Process start time; zero if not reported.
  bool m_evacuated = false;       ///< New work is kept out of the server's data centre.

  friend bool operator==(const SlowStartUpdate&, const SlowStartUpdate&) = default;
};

/// \brief Slow-start state of one server.
struct SlowStartState {
  Instant m_cold_until{};       ///< End of the cold time, reported by the server or presumed.
  std::vector<Instant> m_sent;  ///< Times of the requests sent in the last second, in order.
  /// Until then requests sent by an earlier broker aren't known, so a cold server counts as full.
  Instant m_unknown_until{};
  Instant m_next_without_broker{};  ///< Earliest time of the next request sent without a broker.
  /// The server failed in a way that suggests a restart and hasn't responded since.
  bool m_silent = false;
  bool m_known = false;         ///< `m_update` has been set.
  bool m_full = false;          ///< The server was at its limit when last checked.
  bool m_reports_cold = false;  ///< The server has reported a cold time at least once.
  bool m_logged = false;        ///< The cold time has been logged.
  SlowStartUpdate m_update;

  friend bool operator==(const SlowStartState&, const SlowStartState&) = default;
};

/// \brief The time window of the limits of cold servers.
inline constexpr Duration kColdWindow{1'000'000};

/// \brief Returns the limit with its upper bound over all instances set from the tolerance.
[[nodiscard]] SlowStartLimit WithTolerance(SlowStartLimit limit,
                                           const SlowStartTolerance& tolerance) noexcept;

/// \brief Returns true if the server is, or is presumed, cold.
[[nodiscard]] inline bool IsCold(const SlowStartState& slow_start, Instant now) noexcept {
  return slow_start.m_silent || now < slow_start.m_cold_until;
}

/// \brief Returns true if a server is at its limit: it is, or is presumed, cold and has got as many
/// requests in the last second as it handles, or a quarter of them in the last quarter second. The
/// quarter keeps requests that bunch up on a slow link below the upper bound.
[[nodiscard]] bool ColdFull(const SlowStartState& slow_start,
                            const SlowStartLimit& limit,
                            Instant now) noexcept;

/// \brief Records that a request was sent to the server. Call it for warm servers too, since they
/// may turn cold.
void RecordSent(SlowStartState& slow_start, const SlowStartLimit& limit, Instant now);

/// \brief Updates the state from the server's record. A server that reports no cold time is
/// presumed cold after a restart and when its evacuation ends. \param presume_new if true, a new
/// server that reports no cold time is presumed cold. \param presumed duration of a presumed cold
/// time: see `PresumedTime`.
void UpdateSlowStart(SlowStartState& slow_start,
                     const SlowStartUpdate& update,
                     bool presume_new,
                     Duration presumed,
                     Instant now) noexcept;

/// \brief Returns how long a server is presumed cold. If servers report their cold time, the report
/// arrives within some heartbeats; otherwise the whole time of the limit is presumed.
[[nodiscard]] Duration PresumedTime(const SlowStartLimit& limit, bool servers_report) noexcept;

/// \brief Learns from the outcome of a request. A server that couldn't be reached, or that failed
/// several times in a row, may have restarted. It counts as cold until its next successful
/// response and is presumed cold from then on.
/// \param health health of the server after this outcome.
void ObserveRestartSign(SlowStartState& slow_start,
                        HealthSignal sign,
                        const ServerHealth& health,
                        Duration presumed,
                        Instant now) noexcept;

/// \brief Returns true if an instance without a broker may send a request to the server. A warm
/// server takes any number. All instances without a broker get even shares of half the requests
/// that the broker leaves below the upper bound.
[[nodiscard]] bool MaySendWithoutBroker(const SlowStartState& slow_start,
                                        const SlowStartLimit& limit,
                                        Instant now) noexcept;

/// \brief Sets when an instance without a broker may first send to a cold server: at a random time
/// within one send interval, so that instances don't start at once. Does nothing if a time is set
/// and hasn't expired.
/// \param random uniform in [0, 1).
void BeginSendsWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             double random,
                             Instant now) noexcept;

/// \brief Records that an instance without a broker sent a request to a cold server.
void RecordSendWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             Instant now) noexcept;

}  // namespace poppyway
