// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Operation while no broker responds: the instance keeps to its share of slots and limits.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {

bool ChargeQuotaWithoutBroker(ForwarderState& state, Forwarding& forwarding, Instant now) {
  const bool pays = forwarding.m_quota.m_cost > 0 && !forwarding.m_charged_without_broker;
  if (!pays)
    return true;
  const std::string& workspace = forwarding.m_workspace->m_name;
  const auto reported = state.m_broker.m_limits_left.find(workspace);
  LocalQuotaShare share;
  share.m_instances = state.m_instances.m_recent_max;
  // A limit that no broker has reported was hardly used here, and nothing shows that it is used up.
  share.m_limit_left = reported == state.m_broker.m_limits_left.end()
                           ? forwarding.m_limit.m_burst
                           : reported->second.m_limit_left;
  share.m_random = static_cast<double>(state.m_random() >> 11) * 0x1.0p-53;
  share.m_overdrawing = OverdrawingCost(state.m_broker.m_costs);
  LocalQuotaBucket& local_quota = state.m_broker.m_local_quota[workspace];
  if (!ChargeWithoutBroker(local_quota, forwarding.m_limit, forwarding.m_quota, share, now)) {
    POPPYWAY_LOG(info, "limit_spent")
        .Field("request", forwarding.m_request.m_id)
        .Field("workspace", workspace)
        .Field("cost", forwarding.m_quota.m_cost)
        .Field("own_left", local_quota.m_tokens)
        .Field("left_when_told", share.m_limit_left)
        .Field("instances", share.m_instances);
    return false;
  }
  forwarding.m_charged_without_broker = true;
  return true;
}

void RefundWithoutBroker(ForwarderState& state, Forwarding& forwarding) {
  if (!forwarding.m_charged_without_broker)
    return;
  forwarding.m_charged_without_broker = false;
  const auto local_quota = state.m_broker.m_local_quota.find(forwarding.m_workspace->m_name);
  if (local_quota == state.m_broker.m_local_quota.end())
    return;  // The charge has been reported to a broker, which keeps it.
  local_quota->second.m_tokens += forwarding.m_quota.m_cost;
  local_quota->second.m_spent -= forwarding.m_quota.m_cost;
}

int SlotsWithoutBroker(const ForwarderState& state, const Backend& backend) {
  const int slots = std::max(1, backend.m_record.slots);
  const std::uint64_t turn = MixHash(Hash(state.m_settings.m_instance), Hash(backend.m_record.id));
  // No other instance uses the slots that were held when the broker was lost. An even share applies
  // if it is larger.
  return std::max(backend.m_in_flight_at_loss,
                  EvenShare(slots, state.m_instances.m_recent_max, turn));
}

}  // namespace poppyway::impl
