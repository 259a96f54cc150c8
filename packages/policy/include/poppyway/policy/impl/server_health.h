// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"

namespace poppyway {

/// \brief What answers say about a backend server's health.
struct ServerHealth {
  int m_failures = 0;         ///< In a row.
  double m_failure_rate = 0;  ///< Of recent requests, smoothed.
  Instant m_ejected_until{};  ///< No new work before, unless too little else is left.
  Instant m_probe_until{};    ///< A single request tries it out; no other goes there before.

  friend bool operator==(const ServerHealth&, const ServerHealth&) = default;
};

/// \brief How a request to a server ended, as far as its health goes.
enum class HealthSignal : std::uint8_t {
  kSuccess,      ///< A whole answer.
  kFailure,      ///< A failure of its own, a broken answer, a reset.
  kUnreachable,  ///< No connection, or silence.
};

/// \brief Learns from one request. A single bad answer changes nothing but the share; several in a
/// row, or no connection, keep new work away for a time that doubles up to a bound.
[[nodiscard]] ServerHealth Observe(const ServerHealth& health,
                                   HealthSignal sign,
                                   Instant now) noexcept;

/// \brief True if new work should go elsewhere where it can.
[[nodiscard]] bool IsEjected(const ServerHealth& health, Instant now) noexcept;

/// \brief True if the server was avoided and has given no good answer since: it is tried out with
/// one request at a time.
[[nodiscard]] bool IsHalfOpen(const ServerHealth& health) noexcept;

/// \brief The health once a request is sent to a server on trial.
[[nodiscard]] ServerHealth BeginProbe(const ServerHealth& health, Instant now) noexcept;

}  // namespace poppyway
