// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What an instance does while no broker answers: it keeps to its part of places and limits.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {

bool ChargeQuotaWithoutBroker(ForwarderState& state, Forwarding& forwarding, Instant now) {
  const bool pays = forwarding.m_quota.m_cost > 0 && !forwarding.m_charged_without_broker;
  if (!pays)
    return true;
  const std::string& workspace = forwarding.m_workspace->m_name;
  const auto told = state.m_broker.m_left.find(workspace);
  LocalQuotaShare share;
  share.m_instances = state.m_instances.m_recent_max;
  // A limit that no broker told of was hardly used here: nothing says that it is used up.
  share.m_limit_left =
      told == state.m_broker.m_left.end() ? forwarding.m_limit.m_burst : told->second.m_limit_left;
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
    return;  // A broker was told of it since; it keeps the charge.
  local_quota->second.m_tokens += forwarding.m_quota.m_cost;
  local_quota->second.m_spent -= forwarding.m_quota.m_cost;
}

int SlotsWithoutBroker(const ForwarderState& state, const Backend& backend) {
  const int slots = std::max(1, backend.m_record.slots);
  const std::uint64_t turn = MixHash(Hash(state.m_settings.m_instance), Hash(backend.m_record.id));
  // What was held when the broker was lost is nobody else's; beyond it, an even part.
  return std::max(backend.m_own_before, EvenShare(slots, state.m_instances.m_recent_max, turn));
}

}  // namespace poppyway::impl
