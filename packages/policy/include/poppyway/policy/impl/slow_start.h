// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy/impl/server_health.h"

namespace poppyway {

/// \brief What a pool says of its servers while they are cold, that is, slow after a start.
struct SlowStartLimit {
  double m_per_s = 0;       ///< Requests a second that one handles; zero: they are never cold.
  Duration m_time{};        ///< From a start until it is warm.
  double m_most_per_s = 0;  ///< Over all instances; beyond it a cold server falls over.

  friend bool operator==(const SlowStartLimit&, const SlowStartLimit&) = default;
};

/// \brief How far the most that a cold server may get lies above what it handles; a deployment's
/// settings.
struct SlowStartTolerance {
  double m_overage = 1;  ///< Times what it handles,
  double m_slack = 0;    ///< and requests beyond.

  friend bool operator==(const SlowStartTolerance&, const SlowStartTolerance&) = default;
};

/// \brief What a server's record says that bears on whether it is cold.
struct SlowStartUpdate {
  Duration m_left{};              ///< As the server said; zero: warm, or it doesn't say.
  std::int64_t m_started_ms = 0;  ///< Of its life; zero: not told.
  bool m_evacuated = false;       ///< Its data centre is to get nothing new.

  friend bool operator==(const SlowStartUpdate&, const SlowStartUpdate&) = default;
};

/// \brief What one server got while it is, or may be, cold.
struct SlowStartState {
  Instant m_cold_until{};           ///< Told by the server, or presumed.
  std::vector<Instant> m_sent;      ///< Requests given to it, of the last second; in order.
  Instant m_blind_until{};          ///< Before it, what others gave to it isn't known: no room.
  Instant m_next_without_broker{};  ///< Who decides alone may send the next one then.
  bool m_silent = false;            ///< It failed as one does that starts again; no answer since.
  bool m_known = false;             ///< `m_update` was taken before.
  bool m_full = false;              ///< At the last look it had got as much as it may.
  bool m_tells = false;             ///< It has said once that it is cold.
  bool m_logged = false;            ///< That it is cold was logged.
  SlowStartUpdate m_update;

  friend bool operator==(const SlowStartState&, const SlowStartState&) = default;
};

/// \brief The span that limits of cold servers count in.
inline constexpr Duration kColdWindow{1'000'000};

/// \brief The limit of a pool's servers with the most that one may get over all instances.
[[nodiscard]] SlowStartLimit WithTolerance(SlowStartLimit limit,
                                           const SlowStartTolerance& tolerance) noexcept;

/// \brief True if the server is, or may be, cold.
[[nodiscard]] inline bool IsCold(const SlowStartState& slow_start, Instant now) noexcept {
  return slow_start.m_silent || now < slow_start.m_cold_until;
}

/// \brief True if one that keeps to `limit` must give a server nothing now: it is, or may be, cold
/// and has got in the last second as much as it handles, or in the last quarter of it a quarter.
/// The quarter keeps sends that bunch up on a slow link below the most that is allowed.
[[nodiscard]] bool ColdFull(const SlowStartState& slow_start,
                            const SlowStartLimit& limit,
                            Instant now) noexcept;

/// \brief A request was given to the server. To be noted of warm ones too: one may turn cold.
void NoteSent(SlowStartState& slow_start, const SlowStartLimit& limit, Instant now);

/// \brief Takes what the server's record says now.
/// \param presume_new a server that wasn't known and says nothing is presumed cold.
/// \param presumed for how long a server is presumed cold: see `PresumedTime`.
void UpdateSlowStart(SlowStartState& slow_start,
                     const SlowStartUpdate& update,
                     bool presume_new,
                     Duration presumed,
                     Instant now) noexcept;

/// \brief For how long a server is presumed cold. Where servers tell, its own word is there after
/// some heartbeats; where none has told yet, until it is warm for sure.
[[nodiscard]] Duration PresumedTime(const SlowStartLimit& limit, bool servers_tell) noexcept;

/// \brief Learns from how a request ended, `health` being what that led to: a server that gave no
/// connection, or failed several times in a row, may have started again and is presumed cold from
/// its next good answer on.
void ObserveRestartSign(SlowStartState& slow_start,
                        HealthSignal sign,
                        const ServerHealth& health,
                        Duration presumed,
                        Instant now) noexcept;

/// \brief True if one that decides alone may send a request to a cold server. All that do share
/// half of what the broker leaves of the limit in even parts.
[[nodiscard]] bool MaySendWithoutBroker(const SlowStartState& slow_start,
                                        const SlowStartLimit& limit,
                                        Instant now) noexcept;

/// \brief Sets when one that decides alone may first send: spread over the time between two sends,
/// so that not all begin at once. No change if it is set and not long past.
/// \param random uniform in [0, 1).
void BeginSendsWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             double random,
                             Instant now) noexcept;

/// \brief One that decides alone sent a request to a cold server.
void RecordSendWithoutBroker(SlowStartState& slow_start,
                             const SlowStartLimit& limit,
                             int instances,
                             Instant now) noexcept;

}  // namespace poppyway
