// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "poppyway/policy.h"
#include "poppyway/state.h"
#include "poppyway/telemetry.h"
#include "slot_broker_service.h"

namespace poppyway {

/// \brief Tracks the deadlines of roll-outs on the member's own steady clock and, on the leader,
/// makes the decisions that are due. Not thread-safe: it belongs to the control task.
///
/// Besides the log, a decision depends only on the broker's observations, which a new leader has to
/// collect again. The number of requests that the target version may get is committed to the log
/// before it gets them.
class RolloutController {
 public:
  explicit RolloutController(const ExposureBounds& bounds) : m_bounds(bounds) {}

  /// Updates the deadlines after entries were applied or a snapshot was loaded. Followers track
  /// them too, so that a new leader knows them.
  void OnApplied(const HostedState& state, Instant now);

  /// Returns the steps that are to be proposed now. Precondition: this member leads.
  [[nodiscard]] std::vector<wire::RolloutStep> DueSteps(const HostedState& state,
                                                        const SlotBrokerService& slot_broker,
                                                        Instant now);

  /// Returns true if `order` repeats the order of the pool's last roll-out within a few seconds, as
  /// an operator does who got no response. Such an order starts no new roll-out, even if the last
  /// one has ended.
  [[nodiscard]] bool IsRetriedOrder(const HostedState& state,
                                    const wire::RolloutOrder& order,
                                    Instant now) const;

 private:
  /// This member's times of one roll-out.
  struct Watch {
    std::int64_t m_number = 0;
    Instant m_first_applied{};  ///< When this member first applied it.
    Instant m_deadline{};
    Instant m_progress_proposed{};  ///< When its progress was last proposed.
    Instant m_stage_proposed{};     ///< When its next stage was last proposed.
    Instant m_logged{};
  };

  [[nodiscard]] std::optional<wire::RolloutStep> DueStep(const wire::Rollout& rollout,
                                                         Watch& watch,
                                                         const SlotBrokerService& slot_broker,
                                                         Instant now);

  ExposureBounds m_bounds;
  std::map<std::string, Watch> m_watches;  ///< By pool.
};

}  // namespace poppyway
