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

/// \brief A member's part in roll-outs: their deadlines on its own steady clock, and, while it
/// leads, the decisions that are due. Belongs to the control task.
///
/// All that a decision rests on beyond the log is evidence at the broker, which a new leader has
/// to gather anew; how many requests the target version may get is in the log before it gets them.
class RolloutController {
 public:
  explicit RolloutController(const ExposureBounds& bounds) : m_bounds(bounds) {}

  /// Entries were applied, or a snapshot was loaded. A member that follows keeps time too, so that
  /// a new leader knows the deadline.
  void OnApplied(const HostedState& state, Instant now);

  /// This member leads: what is to be proposed now.
  [[nodiscard]] std::vector<wire::RolloutStep> DueSteps(const HostedState& state,
                                                        const SlotBrokerService& places,
                                                        Instant now);

  /// True if `order` is that of the pool's last roll-out, which was ordered a short while ago: the
  /// operator got no answer and sends it again. It begins nothing, also where that one has ended.
  [[nodiscard]] bool IsRetriedOrder(const HostedState& state,
                                    const wire::RolloutOrder& order,
                                    Instant now) const;

 private:
  /// One roll-out as this member has seen it.
  struct Watch {
    std::int64_t m_number = 0;
    Instant m_seen{};
    Instant m_deadline{};
    Instant m_told{};     ///< When its progress was last proposed.
    Instant m_decided{};  ///< When its next stage was last proposed.
    Instant m_logged{};
  };

  [[nodiscard]] std::optional<wire::RolloutStep> DueStep(const wire::Rollout& rollout,
                                                         Watch& watch,
                                                         const SlotBrokerService& places,
                                                         Instant now);

  ExposureBounds m_bounds;
  std::map<std::string, Watch> m_watches;  ///< By pool.
};

}  // namespace poppyway
