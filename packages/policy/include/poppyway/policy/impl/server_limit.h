// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <optional>

#include "poppyway/core.h"

namespace poppyway {

/// \brief The requests per second that a server stated to take from all instances together, and how
/// many of them may be sent now.
///
/// The broker sends at the stated rate, from a bucket of `kServerLimitBurst`. Instances without a
/// broker know nothing of each other and get even shares of a part of the rate, evenly paced; the
/// part is what a server in need tolerates above its limit while a broker serves other instances.
struct ServerLimit {
  std::optional<double> m_per_s;  ///< Unset: the server takes any number.
  Instant m_changed{};            ///< When the limit last changed.
  double m_tokens = 0;            ///< Requests that could be sent at `m_counted`; may be negative.
  Instant m_counted{};            ///< Time of `m_tokens`.
  Instant m_next_without_broker{};  ///< Earliest time of the next request sent without a broker.

  friend bool operator==(const ServerLimit&, const ServerLimit&) = default;
};

/// \brief Requests that may be sent to a server with a limit at once after a pause.
inline constexpr double kServerLimitBurst = 2;
/// \brief Part of a limit that all instances without a broker use together.
inline constexpr double kServerLimitWithoutBroker = 0.5;

/// \brief Applies what a response stated: a limit, or, if unset, that the server has none.
/// \param sent when the response's request was sent. A response without a limit to a request that
/// was sent before the last change may be older than the change, and is ignored.
/// \return true if the limit changed.
bool ApplyStatedLimit(ServerLimit& limit,
                      std::optional<double> per_s,
                      Instant sent,
                      Instant now) noexcept;

/// \brief Returns true if the broker may send a request to the server now. Pure and thread-safe.
[[nodiscard]] bool TakesRequest(const ServerLimit& limit, Instant now) noexcept;

/// \brief Counts a request that was sent to the server.
void CountRequest(ServerLimit& limit, Instant now) noexcept;

/// \brief Returns true if an instance without a broker may send a request to the server. Pure and
/// thread-safe.
[[nodiscard]] bool TakesRequestWithoutBroker(const ServerLimit& limit, Instant now) noexcept;

/// \brief Sets when an instance without a broker may first send to the server: at a random time
/// within one send interval, so that instances don't start at once. Does nothing if a time is set
/// and hasn't expired unused.
/// \param random uniform in [0, 1).
void BeginPacingWithoutBroker(ServerLimit& limit,
                              int instances,
                              double random,
                              Instant now) noexcept;

/// \brief Counts a request that an instance without a broker sent to the server.
void CountRequestWithoutBroker(ServerLimit& limit, int instances, Instant now) noexcept;

}  // namespace poppyway
