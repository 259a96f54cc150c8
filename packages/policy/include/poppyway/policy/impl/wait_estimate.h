// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief The inputs of a gateway's estimate of the wait in a pool's queue.
struct WaitInputs {
  TierCounts m_backlog{};    ///< Requests waiting at all gateways, as last reported by the broker.
  TierCounts m_local{};      ///< Requests waiting at this gateway.
  double m_drain_per_s = 0;  ///< Requests finished per second; zero if unknown.
  Tier m_tier = 0;
  int m_local_ahead = 0;  ///< Requests of the same tier ahead at this gateway.
};

/// \brief Returns the expected time until a request is dispatched, or zero while the drain rate is
/// unknown.
[[nodiscard]] Duration ExpectedWait(const WaitInputs& inputs) noexcept;

}  // namespace poppyway
