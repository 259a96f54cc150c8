// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>

#include "poppyway/state/impl/hosted_state.h"

namespace poppyway {

/// \brief True until the roll-out is completed or rolled back.
[[nodiscard]] bool IsRolloutActive(const wire::Rollout& rollout) noexcept;

/// \brief An operator's order. A pool has at most one roll-out under way; its end is remembered
/// until the next order.
/// \return whether it begins, is under way already, or another one is and nothing changes.
[[nodiscard]] wire::RolloutVerdict::type ApplyRolloutOrder(HostedState& state,
                                                           const wire::RolloutOrder& order,
                                                           std::int64_t index);

/// \brief The leader's word on a roll-out: how far it is, or its next stage. Without effect for one
/// of another number, one that has ended, or a stage that lies behind: a decision is made once.
void ApplyRolloutStep(HostedState& state, const wire::RolloutStep& step, std::int64_t index);

/// \brief True if a roll-out under way keeps the server from ordinary work: the target version
/// during the trial, every other one while work moves.
[[nodiscard]] bool HeldBack(const HostedState& state, const wire::ServerRecord& server);

/// \brief True if the pool's last roll-out was rolled back and the server is of its target version:
/// such a server, however late it appears, gets no work.
[[nodiscard]] bool RolledBack(const HostedState& state, const wire::ServerRecord& server);

}  // namespace poppyway
