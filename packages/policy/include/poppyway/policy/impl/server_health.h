// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief The health of a backend server, learned from its responses.
struct ServerHealth {
  int m_failures = 0;         ///< Consecutive failures.
  double m_failure_rate = 0;  ///< Exponentially weighted share of failed requests.
  Instant m_ejected_until{};  ///< No new work before, unless too few others are left.
  Instant m_probe_until{};    ///< A probe request is in flight; no other request is sent before.

  friend bool operator==(const ServerHealth&, const ServerHealth&) = default;
};

/// \brief The outcome of a request with regard to the server's health.
enum class HealthSignal : std::uint8_t {
  kSuccess,      ///< The server sent a complete response.
  kFailure,      ///< The server failed, reset the connection or broke off its response.
  kUnreachable,  ///< The connection failed, or nothing was received in time.
};

/// \brief Returns the health after one request.
///
/// A single failure changes only the failure rate. Several in a row, a high failure rate or a
/// failed connection eject the server for a time that doubles up to a limit. A success ends the
/// ejection.
[[nodiscard]] ServerHealth Observe(const ServerHealth& health,
                                   HealthSignal signal,
                                   Instant now) noexcept;

/// \brief Returns true if new work should go to other servers where it can: the server is ejected
/// or being probed.
[[nodiscard]] bool IsEjected(const ServerHealth& health, Instant now) noexcept;

/// \brief Returns true if the server was ejected and hasn't succeeded since: it gets one probe
/// request at a time.
[[nodiscard]] bool IsHalfOpen(const ServerHealth& health) noexcept;

/// \brief Returns the health after a probe request was sent to a half-open server.
[[nodiscard]] ServerHealth BeginProbe(const ServerHealth& health, Instant now) noexcept;

}  // namespace poppyway
