// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief What a gateway knows of a pool's queue when it estimates a wait.
struct WaitInputs {
  TierCounts m_backlog{};    ///< Over all gateways, as the broker last said.
  TierCounts m_here{};       ///< Waiting in this gateway.
  double m_drain_per_s = 0;  ///< Zero: unknown.
  Tier m_tier = 0;
  int m_ahead_here = 0;  ///< Requests of the same tier ahead in this gateway.
};

/// \brief Expected time until a request is dispatched; zero while the drain rate is unknown.
[[nodiscard]] Duration ExpectedWait(const WaitInputs& inputs) noexcept;

}  // namespace poppyway
