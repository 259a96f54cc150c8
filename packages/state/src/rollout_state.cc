// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

using Stage = wire::RolloutStage;

std::int64_t NextNumber(const HostedState& state) {
  std::int64_t last = 0;
  for (const auto& [pool, rollout] : state.m_rollouts)
    last = std::max(last, rollout.number);
  return last + 1;
}

/// Sets a server's stage and `held_back` as its pool's roll-out requires.
void RefreshServer(const HostedState& state, wire::ServerRecord& server) {
  server.held_back = IsHeldBack(state, server);
  if (server.stage != wire::ServerStage::READY)
    return;
  if (IsOutOfUseByRollout(state, server))
    server.stage = wire::ServerStage::LEAVING;
}

void RefreshServers(HostedState& state, const std::string& pool, std::int64_t index) {
  for (auto& [id, server] : state.m_servers) {
    if (server.pool != pool || server.stage == wire::ServerStage::GONE)
      continue;
    const wire::ServerRecord before = server;
    RefreshServer(state, server);
    if (server == before)
      continue;
    server.index = index;
    state.m_servers_index = index;
  }
}

}  // namespace

bool IsRolloutActive(const wire::Rollout& rollout) noexcept {
  return rollout.stage == Stage::TRIAL || rollout.stage == Stage::MOVING;
}

wire::RolloutVerdict::type ApplyRolloutOrder(HostedState& state,
                                             const wire::RolloutOrder& order,
                                             std::int64_t index) {
  const auto known = state.m_rollouts.find(order.pool);
  if (known != state.m_rollouts.end() && IsRolloutActive(known->second)) {
    const bool same = known->second.target == order.target;
    return same ? wire::RolloutVerdict::UNDER_WAY : wire::RolloutVerdict::OTHER_UNDER_WAY;
  }
  wire::Rollout rollout;
  rollout.pool = order.pool;
  rollout.target = order.target;
  rollout.number = NextNumber(state);
  rollout.duration_ms = order.duration_ms;
  rollout.left_ms = order.duration_ms;
  rollout.stage = Stage::TRIAL;
  state.m_rollouts[order.pool] = rollout;
  RefreshServers(state, order.pool, index);
  return wire::RolloutVerdict::TAKEN;
}

void ApplyRolloutStep(HostedState& state, const wire::RolloutStep& step, std::int64_t index) {
  const auto known = state.m_rollouts.find(step.pool);
  if (known == state.m_rollouts.end())
    return;
  wire::Rollout& rollout = known->second;
  const bool valid = rollout.number == step.number && IsRolloutActive(rollout);
  if (!valid || step.stage < rollout.stage)
    return;
  rollout.left_ms = std::min(rollout.left_ms, step.left_ms);
  rollout.requests = std::max(rollout.requests, step.requests);
  rollout.allowed = std::max(rollout.allowed, step.allowed);
  rollout.finding = step.finding;
  if (step.stage == rollout.stage)
    return;
  rollout.stage = step.stage;
  rollout.why = step.why;
  RefreshServers(state, step.pool, index);
}

bool IsHeldBack(const HostedState& state, const wire::ServerRecord& server) {
  const auto rollout = state.m_rollouts.find(server.pool);
  if (rollout == state.m_rollouts.end() || !IsRolloutActive(rollout->second))
    return false;
  const bool target = server.version == rollout->second.target;
  return target == (rollout->second.stage == Stage::TRIAL);
}

bool IsRolledBack(const HostedState& state, const wire::ServerRecord& server) {
  const auto rollout = state.m_rollouts.find(server.pool);
  return rollout != state.m_rollouts.end() && rollout->second.stage == Stage::ROLLED_BACK &&
         server.version == rollout->second.target;
}

bool IsOutOfUseByRollout(const HostedState& state, const wire::ServerRecord& server) {
  const auto rollout = state.m_rollouts.find(server.pool);
  if (rollout == state.m_rollouts.end())
    return false;
  const bool target = server.version == rollout->second.target;
  const Stage::type stage = rollout->second.stage;
  return (stage == Stage::ROLLED_BACK && target) || (stage == Stage::COMPLETED && !target);
}

}  // namespace poppyway
