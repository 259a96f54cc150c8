// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <optional>

#include "poppyway/state.h"

namespace poppyway {
namespace {

/// Returns the instance that isn't stopping with the highest rendezvous hash for this lease.
const InstanceRecord* ChooseHolder(const InstanceTable& table, const std::string& lease) {
  const InstanceRecord* best = nullptr;
  std::uint64_t highest = 0;
  for (const auto& [incarnation, record] : table.m_live) {
    if (record.m_heartbeat.stopping)
      continue;
    const std::uint64_t score = MixHash(Hash(lease), Hash(record.m_heartbeat.instance));
    if (best != nullptr && score <= highest)
      continue;
    best = &record;
    highest = score;
  }
  return best;
}

// The list of all relays is made anew at this interval, not for each of many heartbeats.
constexpr Duration kRelaysAge{250'000};
// A relay without a heartbeat for longer may be gone.
constexpr Duration kRelayHeartbeatAge{1'200'000};

void RefreshRelays(InstanceTable& table, Instant now) {
  if (table.m_relays_at != Instant{} && now - table.m_relays_at < kRelaysAge)
    return;
  table.m_relays_at = now;
  table.m_relays.clear();
  for (const auto& [incarnation, record] : table.m_live) {
    const wire::Heartbeat& heartbeat = record.m_heartbeat;
    const bool relays = heartbeat.relay_port != 0 && !heartbeat.cut_off && !heartbeat.stopping &&
                        now - record.m_last_heartbeat <= kRelayHeartbeatAge;
    if (!relays)
      continue;
    wire::PeerAddress address;
    address.address = heartbeat.address;
    address.port = heartbeat.relay_port;
    table.m_relays.push_back(std::move(address));
  }
}

}  // namespace

std::vector<wire::PeerAddress> ChooseHelpers(InstanceTable& table,
                                             const wire::Heartbeat& for_instance,
                                             std::uint64_t random,
                                             Instant now) {
  RefreshRelays(table, now);
  const std::vector<wire::PeerAddress>& relays = table.m_relays;
  std::vector<wire::PeerAddress> chosen;
  if (relays.empty())
    return chosen;
  // The cost doesn't depend on the number of instances. With few of them, the draws include each
  // one almost certainly.
  constexpr std::uint64_t kDraws = 8 * kMaxHelpers;
  for (std::uint64_t draw = 0; draw < kDraws && chosen.size() < kMaxHelpers; ++draw) {
    const wire::PeerAddress& relay = relays[MixHash(random, draw) % relays.size()];
    const bool own = relay.address == for_instance.address && relay.port == for_instance.relay_port;
    if (!own && std::find(chosen.begin(), chosen.end(), relay) == chosen.end())
      chosen.push_back(relay);
  }
  return chosen;
}

InstanceTable MakeInstanceTable(Duration lease, Duration margin, Instant now) {
  InstanceTable table;
  table.m_lease = lease;
  table.m_margin = margin;
  table.m_leading_since = now;
  return table;
}

void RecordHeartbeat(InstanceTable& table, const wire::Heartbeat& heartbeat, Instant now) {
  for (auto it = table.m_live.begin(); it != table.m_live.end();) {
    const bool ended =
        it->second.m_heartbeat.instance == heartbeat.instance && it->first != heartbeat.incarnation;
    if (!ended) {
      ++it;
      continue;
    }
    table.m_ended_incarnations.insert(it->first);
    it = table.m_live.erase(it);
  }
  table.m_live[heartbeat.incarnation] = {heartbeat, now};
  table.m_ended_incarnations.erase(heartbeat.incarnation);
}

void ExpireInstances(InstanceTable& table,
                     const std::set<std::string>& running_owners,
                     Instant now) {
  const Duration limit = table.m_lease + table.m_margin;
  for (auto it = table.m_live.begin(); it != table.m_live.end();) {
    if (now - it->second.m_last_heartbeat < limit) {
      ++it;
      continue;
    }
    table.m_ended_incarnations.insert(it->first);
    it = table.m_live.erase(it);
  }
  if (now - table.m_leading_since < limit)
    return;
  for (const std::string& owner : running_owners) {
    if (!table.m_live.contains(owner))
      table.m_ended_incarnations.insert(owner);
  }
}

std::vector<wire::LeaseGrant> PlanLeaseGrants(const InstanceTable& table,
                                              const std::vector<std::string>& leases,
                                              const std::map<std::string, wire::LeaseGrant>& held,
                                              Instant now) {
  const bool predecessor_lease_expired =
      now - table.m_leading_since >= table.m_lease + table.m_margin;
  std::vector<wire::LeaseGrant> due;
  for (const std::string& lease : leases) {
    const auto present = held.find(lease);
    const bool granted = present != held.end();
    const auto holder = granted ? table.m_live.find(present->second.holder) : table.m_live.end();
    const bool holder_lives = holder != table.m_live.end();
    if (holder_lives && !holder->second.m_heartbeat.stopping)
      continue;
    // A holder without heartbeats may still act on its lease; one that is stopping has given it up.
    if (granted && !holder_lives && !predecessor_lease_expired)
      continue;
    const InstanceRecord* chosen = ChooseHolder(table, lease);
    if (chosen == nullptr)
      continue;
    wire::LeaseGrant grant;
    grant.lease = lease;
    grant.holder = chosen->m_heartbeat.incarnation;
    grant.address = chosen->m_heartbeat.address;
    grant.port = chosen->m_heartbeat.port;
    grant.epoch = granted ? present->second.epoch + 1 : 1;
    due.push_back(std::move(grant));
  }
  return due;
}

}  // namespace poppyway
