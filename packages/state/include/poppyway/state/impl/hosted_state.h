// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "poppyway/policy.h"
#include "poppyway/state/impl/server_presence.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Replicated state of a hosted deployment: the operator's document, kept byte for byte, the
/// backend servers that registered themselves, roll-outs, evacuations, and requests that crash
/// servers.
///
/// The log holds only changes of a server (it registers, drains, is removed), not its heartbeats: a
/// pool of thousands of servers costs a few entries a second while it is replaced.
struct HostedState {
  wire::Document m_document;                              ///< Version 0: none accepted yet.
  std::map<std::string, wire::ServerRecord> m_servers;    ///< By id; includes gone servers.
  std::int64_t m_servers_index = 0;                       ///< Log index of their last change.
  std::map<Endpoint, AddressOwner> m_address_owners;      ///< Derived from the servers' records.
  std::map<std::string, wire::Rollout> m_rollouts;        ///< By pool; the last one.
  std::map<std::string, wire::Evacuation> m_evacuations;  ///< By data centre; the last one.
  CrashSuspects m_crash_suspects;       ///< Requests that were running when servers crashed.
  std::int64_t m_quarantine_index = 0;  ///< Log index of the last change of the quarantine.
};

/// \brief Most gone servers remembered, so that a late heartbeat can't register one again.
inline constexpr std::size_t kMaxGoneServers = 4096;

/// \brief Replaces the document if `document` has a higher version; otherwise changes nothing.
void ApplyDocument(HostedState& state, const wire::Document& document);

/// \brief Applies a change to the document that leads to a higher version.
/// \return false, without a change, if the document is at another version than the change's base or
/// the change can't be applied. True, also without a change, if it leads to a version that isn't
/// above the current one.
[[nodiscard]] bool ApplyDocumentChange(HostedState& state, const wire::DocumentChange& change);

/// \brief Applies a server's heartbeat or removal unless it is stale. `index` is its log index.
///
/// A server process is identified by its id and its process start time (`born`). A record with a
/// later start time replaces the known one as a whole; a record with an earlier one is stale.
/// Within one process, a server that has begun to leave never becomes READY again, and a gone one
/// stays gone.
///
/// Only the registration of a READY server process, or its move to another address, shows it at its
/// address (see `AddressOwner`); no other change does.
///
/// A record without a start time counts for the known process. A known READY server without a start
/// time takes the first one that is reported.
void ApplyServer(HostedState& state, const wire::ServerRecord& record, std::int64_t index);

/// \brief True if applying `record` would change what instances have to know. The begin and the end
/// of a server's slow start count. A slow start that lasts longer than reported before can't be
/// detected without a clock: see `ChangesColdTime`.
[[nodiscard]] bool ChangesServer(const HostedState& state, const wire::ServerRecord& record);

/// \brief True if applying `record` would change the server's remaining slow-start time. Each
/// heartbeat of a cold server changes it, so the proposer decides which ones become log entries.
[[nodiscard]] bool ChangesColdTime(const HostedState& state, const wire::ServerRecord& record);

/// \brief Most servers kept of pools that the document doesn't list, since a heartbeat may name any
/// pool. The limit is above what a large deployment registers before its first document; a rejected
/// server is retried with its next heartbeat.
inline constexpr std::size_t kMaxUnlistedPoolServers = 8192;

/// \brief True if `record` would register a server of a pool that isn't in `named` while
/// `kMaxUnlistedPoolServers` servers of such pools are kept already.
[[nodiscard]] bool ExceedsUnlistedPoolLimit(const HostedState& state,
                                            const std::set<std::string>& named,
                                            const wire::ServerRecord& record);

/// \brief Returns the servers that changed after log index `from`, gone ones included.
[[nodiscard]] std::vector<wire::ServerRecord> ServersSince(const HostedState& state,
                                                           std::int64_t from);

}  // namespace poppyway
