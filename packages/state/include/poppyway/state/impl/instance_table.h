// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief The last heartbeat of an instance, and when the leader received it.
struct InstanceRecord {
  wire::Heartbeat m_heartbeat;
  Instant m_last_heartbeat{};
};

/// \brief The heartbeats that the leader received. A new leader starts with an empty table.
struct InstanceTable {
  Duration m_lease{3'000'000};  ///< Duration of the lease that a heartbeat renews.
  Duration m_margin{500'000};   ///< Added to the lease before it expires here.
  Instant m_leading_since{};
  std::map<std::string, InstanceRecord> m_live;  ///< By incarnation.
  std::set<std::string> m_ended_incarnations;    ///< To be reported to the ledger.
  /// Instances that pass on calls of others, as of `m_relays_at`.
  std::vector<wire::PeerAddress> m_relays;
  Instant m_relays_at{};
};

/// \brief Largest number of helpers that an instance is told.
inline constexpr std::size_t kMaxHelpers = 6;

/// \brief Returns the empty table of a leader that starts at `now`.
[[nodiscard]] InstanceTable MakeInstanceTable(Duration lease, Duration margin, Instant now);

/// \brief Records a heartbeat. A new incarnation of an instance ends its earlier ones at once.
void RecordHeartbeat(InstanceTable& table, const wire::Heartbeat& heartbeat, Instant now);

/// \brief Moves instances without a heartbeat for lease plus margin to `m_ended_incarnations`. Once
/// this leader has led for that long, adds the owners of running claims that aren't live.
void ExpireInstances(InstanceTable& table,
                     const std::set<std::string>& running_owners,
                     Instant now);

/// \brief Returns some instances that pass on calls to servers, for one that may need them: each is
/// chosen at random, so that many that are cut off at once don't ask the same. Those that are cut
/// off themselves, are stopping or haven't sent a heartbeat lately are left out.
/// \param for_instance the heartbeat of the instance that asks.
[[nodiscard]] std::vector<wire::PeerAddress> ChooseHelpers(InstanceTable& table,
                                                           const wire::Heartbeat& for_instance,
                                                           std::uint64_t random,
                                                           Instant now);

/// \brief Returns the lease grants to propose now: one for each of `leases` without a live holder
/// that isn't stopping, if an instance can take it.
///
/// A lease whose holder isn't live moves only once this leader has led for lease plus margin: the
/// holder may have renewed it with the previous leader and still act on it.
[[nodiscard]] std::vector<wire::LeaseGrant> PlanLeaseGrants(
    const InstanceTable& table,
    const std::vector<std::string>& leases,
    const std::map<std::string, wire::LeaseGrant>& held,
    Instant now);

}  // namespace poppyway
