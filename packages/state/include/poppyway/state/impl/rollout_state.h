// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>

#include "poppyway/state/impl/hosted_state.h"

namespace poppyway {

/// \brief True until the roll-out is completed or rolled back.
[[nodiscard]] bool IsRolloutActive(const wire::Rollout& rollout) noexcept;

/// \brief Applies an operator's order. A pool has at most one active roll-out; an ended one is kept
/// until the next order. `index` is the order's log index.
/// \return TAKEN if a roll-out starts; without a change, UNDER_WAY if one to the same version is
/// active, OTHER_UNDER_WAY if one to another version is.
[[nodiscard]] wire::RolloutVerdict::type ApplyRolloutOrder(HostedState& state,
                                                           const wire::RolloutOrder& order,
                                                           std::int64_t index);

/// \brief Applies the leader's report on a roll-out: its progress or its next stage. Ignored if the
/// number isn't the active roll-out's or the stage is an earlier one, so that each decision is made
/// once.
void ApplyRolloutStep(HostedState& state, const wire::RolloutStep& step, std::int64_t index);

/// \brief True if an active roll-out excludes the server from ordinary requests: during the trial
/// servers of the target version, while requests move all others.
[[nodiscard]] bool IsHeldBack(const HostedState& state, const wire::ServerRecord& server);

/// \brief True if the pool's last roll-out was rolled back and the server has its target version.
/// Such a server gets no requests, even if it registers after the roll-back.
[[nodiscard]] bool IsRolledBack(const HostedState& state, const wire::ServerRecord& server);

/// \brief True if the end of the pool's last roll-out took the server's version out of use.
[[nodiscard]] bool IsOutOfUseByRollout(const HostedState& state, const wire::ServerRecord& server);

}  // namespace poppyway
