// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>

#include "poppyway/core.h"

namespace poppyway {

/// \brief What a pool says of its servers while they are cold, that is, slow after a start.
struct ColdLimit {
  double m_per_s = 0;       ///< Requests a second that one handles; zero: they are never cold.
  Duration m_time{};        ///< From a start until it is warm.
  double m_most_per_s = 0;  ///< Over all instances; beyond it a cold server falls over.

  friend bool operator==(const ColdLimit&, const ColdLimit&) = default;
};

/// \brief How far the most that a cold server may get lies above what it handles; a deployment's
/// settings.
struct ColdTolerance {
  double m_overage = 1;  ///< Times what it handles,
  double m_slack = 0;    ///< and requests beyond.

  friend bool operator==(const ColdTolerance&, const ColdTolerance&) = default;
};

/// \brief What one server got while it is, or may be, cold.
struct ColdRamp {
  Instant m_cold_until{};      ///< Told by the server, or presumed.
  std::deque<Instant> m_sent;  ///< Requests given to it, of the last second.

  friend bool operator==(const ColdRamp&, const ColdRamp&) = default;
};

/// \brief True if the server is, or may be, cold.
[[nodiscard]] inline bool IsCold(const ColdRamp& ramp, Instant now) noexcept {
  return now < ramp.m_cold_until;
}

}  // namespace poppyway
