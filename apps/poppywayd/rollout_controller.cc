// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "rollout_controller.h"

#include <algorithm>

namespace poppyway {
namespace {

// The allowed number of requests to the target version is raised in steps of several requests, with
// at most 5 log entries per second for each roll-out.
constexpr Duration kProgressInterval{200'000};
// A decision that isn't applied by then is proposed again, since its log entry was lost.
constexpr Duration kStageRetryInterval{300'000};
// Operators retry an order for at most as long as they wait for its acknowledgement.
constexpr Duration kOrderRetryWindow{6'000'000};
constexpr Duration kLogInterval{1'000'000};

wire::RolloutStage::type StageAfter(RolloutDecision decision, wire::RolloutStage::type now) {
  switch (decision) {
    case RolloutDecision::kMove:
      return wire::RolloutStage::MOVING;
    case RolloutDecision::kComplete:
      return wire::RolloutStage::COMPLETED;
    case RolloutDecision::kRollBack:
      return wire::RolloutStage::ROLLED_BACK;
    case RolloutDecision::kWait:
      break;
  }
  return now;
}

void LogTrial(const char* event,
              const wire::Rollout& rollout,
              const RolloutObservation& observation,
              Duration left,
              std::string_view why) {
  POPPYWAY_LOG(info, event)
      .Field("pool", rollout.pool)
      .Field("version", rollout.target)
      .Field("number", rollout.number)
      .Field("stage", static_cast<int>(rollout.stage))
      .Field("finding", TrialFindingName(observation.m_finding))
      .Field("why", why)
      .Field("requests", observation.m_requests)
      .Field("sent", observation.m_sent)
      .Field("allowed", rollout.allowed)
      .Field("runs", observation.m_runs)
      .Field("bad_runs", observation.m_bad_runs)
      .Field("others_busy", observation.m_others_busy)
      .Field("left_ms", left.count() / 1000);
}

}  // namespace

void RolloutController::OnApplied(const HostedState& state, Instant now) {
  for (const auto& [pool, rollout] : state.m_rollouts) {
    Watch& watch = m_watches[pool];
    const Instant deadline = now + std::chrono::milliseconds(rollout.left_ms);
    if (watch.m_number == rollout.number) {
      watch.m_deadline = std::min(watch.m_deadline, deadline);
      continue;
    }
    watch = {};
    watch.m_number = rollout.number;
    watch.m_first_applied = now;
    watch.m_deadline = deadline;
  }
}

std::vector<wire::RolloutStep> RolloutController::DueSteps(const HostedState& state,
                                                           const SlotBrokerService& slot_broker,
                                                           Instant now) {
  std::vector<wire::RolloutStep> steps;
  for (const auto& [pool, rollout] : state.m_rollouts) {
    const auto watch = m_watches.find(pool);
    if (!IsRolloutActive(rollout) || watch == m_watches.end())
      continue;
    if (std::optional<wire::RolloutStep> step = DueStep(rollout, watch->second, slot_broker, now))
      steps.push_back(std::move(*step));
  }
  return steps;
}

std::optional<wire::RolloutStep> RolloutController::DueStep(const wire::Rollout& rollout,
                                                            Watch& watch,
                                                            const SlotBrokerService& slot_broker,
                                                            Instant now) {
  const RolloutObservation observation = slot_broker.ObserveRollout(rollout.pool);
  const Duration left = watch.m_deadline - now;
  RolloutInputs inputs;
  inputs.m_moving = rollout.stage == wire::RolloutStage::MOVING;
  inputs.m_finding = observation.m_finding;
  inputs.m_others_left = observation.m_others_left;
  inputs.m_others_busy = observation.m_others_busy;
  inputs.m_service = observation.m_service;
  inputs.m_duration = std::chrono::milliseconds(rollout.duration_ms);
  inputs.m_left = left;
  std::string_view why;
  const RolloutDecision decision = DecideRollout(inputs, why);
  if (now - watch.m_logged >= kLogInterval) {
    watch.m_logged = now;
    LogTrial("rollout_trial", rollout, observation, left, why);
  }
  wire::RolloutStep step;
  step.pool = rollout.pool;
  step.number = rollout.number;
  step.stage = StageAfter(decision, rollout.stage);
  step.left_ms = std::max<std::int64_t>(0, left.count() / 1000);
  step.requests = std::max(rollout.requests, observation.m_requests);
  step.allowed = std::max(rollout.allowed, AllowedBy(m_bounds, step.requests));
  step.why = why;
  step.finding = static_cast<wire::RolloutFinding::type>(observation.m_finding);
  if (step.stage != rollout.stage) {
    if (now - watch.m_stage_proposed < kStageRetryInterval)
      return std::nullopt;
    watch.m_stage_proposed = now;
    LogTrial("rollout_decided", rollout, observation, left, why);
    return step;
  }
  if (now - watch.m_progress_proposed < kProgressInterval)
    return std::nullopt;
  watch.m_progress_proposed = now;
  return step;
}

bool RolloutController::IsRetriedOrder(const HostedState& state,
                                       const wire::RolloutOrder& order,
                                       Instant now) const {
  const auto rollout = state.m_rollouts.find(order.pool);
  const auto watch = m_watches.find(order.pool);
  if (rollout == state.m_rollouts.end() || watch == m_watches.end())
    return false;
  const bool same =
      rollout->second.target == order.target && rollout->second.duration_ms == order.duration_ms;
  return same && now - watch->second.m_first_applied < kOrderRetryWindow;
}

}  // namespace poppyway
