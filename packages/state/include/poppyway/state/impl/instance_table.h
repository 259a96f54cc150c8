// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief One instance as the leader knows it.
struct InstanceRecord {
  wire::Heartbeat m_heartbeat;
  Instant m_last_heartbeat{};
};

/// \brief The leader's memory of heartbeats. A new leader begins with an empty one.
struct InstanceTable {
  Duration m_lease{3'000'000};
  Duration m_margin{500'000};
  Instant m_leading_since{};
  std::map<std::string, InstanceRecord> m_live;  ///< By incarnation.
  std::set<std::string> m_ended_incarnations;    ///< Incarnations to tell the ledger of.
};

/// \brief A leader's empty table.
[[nodiscard]] InstanceTable MakeInstanceTable(Duration lease, Duration margin, Instant now);

/// \brief Takes a heartbeat. A new incarnation of an instance ends the former one at once.
void RecordHeartbeat(InstanceTable& table, const wire::Heartbeat& beat, Instant now);

/// \brief Moves instances whose lease ran out to `m_ended_incarnations`, together with owners of
/// running claims that never showed up since this leader began.
void ExpireInstances(InstanceTable& table,
                     const std::set<std::string>& running_owners,
                     Instant now);

/// \brief Lease grants that are due: pools without a live, willing holder. Nothing is granted until
/// a predecessor's lease has surely run out.
[[nodiscard]] std::vector<wire::LeaseGrant> PlanLeaseGrants(
    const InstanceTable& table,
    const std::vector<std::string>& leases,
    const std::map<std::string, wire::LeaseGrant>& held,
    Instant now);

}  // namespace poppyway
