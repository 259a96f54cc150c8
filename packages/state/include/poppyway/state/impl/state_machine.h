// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <string>

#include "poppyway/state/impl/configuration.h"
#include "poppyway/state/impl/dispatch_ledger.h"
#include "poppyway/state/impl/hosted_state.h"

namespace poppyway {

/// \brief All replicated state of a member.
struct StateMachine {
  Configuration m_configuration;
  DispatchLedger m_ledger;
  HostedState m_hosted;
  std::map<std::string, wire::LeaseGrant> m_leases;  ///< By lease name.
  std::int64_t m_leases_index = 0;                   ///< Log index of their last change.
  std::int64_t m_applied_index = 0;                  ///< Index of the last applied entry.
};

/// \brief Applies one committed entry.
/// \pre `entry` directly follows the last applied one.
[[nodiscard]] wire::CommandResult ApplyEntry(StateMachine& machine, const wire::LogEntry& entry);

/// \brief Serialises the state for a snapshot.
[[nodiscard]] std::string SerializeStateMachine(const StateMachine& machine);

/// \brief Replaces the state by a snapshot's.
/// \return `kDataDamaged` if the snapshot can't be decoded; the state is then unspecified.
[[nodiscard]] Result<void> RestoreStateMachine(StateMachine& machine,
                                               const wire::Snapshot& snapshot);

}  // namespace poppyway
