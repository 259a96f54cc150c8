// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief Replicated state of a hosted deployment: the operator's document, kept byte for byte, the
/// backend servers that registered themselves, roll-outs, and evacuations.
///
/// Only changes of a server are entries of the log (it appears, leaves, is gone), not its
/// heartbeats: a pool of thousands of servers costs a few entries a second while it is replaced.
struct HostedState {
  wire::Document m_document;                              ///< Version 0: none was accepted yet.
  std::map<std::string, wire::ServerRecord> m_servers;    ///< By id; gone ones are remembered.
  std::int64_t m_servers_index = 0;                       ///< Log index of the last change.
  std::map<std::string, wire::Rollout> m_rollouts;        ///< By pool; the last of each.
  std::map<std::string, wire::Evacuation> m_evacuations;  ///< By data centre; the last of each.
};

/// \brief Servers that are gone and still remembered, so that a late call can't bring them back.
inline constexpr std::size_t kRememberedGone = 4096;

/// \brief The document with the highest version prevails; any other changes nothing.
void ApplyDocument(HostedState& state, const wire::Document& document);

/// \brief Takes a step to a higher version, on the version that it is from.
/// \return false if the document is at another version, or the step can't be taken: nothing
/// changed. True also for a step to a version that isn't above the one held, which changes nothing
/// either.
[[nodiscard]] bool ApplyDocumentChange(HostedState& state, const wire::DocumentChange& change);

/// \brief Takes a server's call unless a later one of the same server is known. A server is (id,
/// born): a later birth replaces the record whole, an earlier one is late news. Within one life a
/// server that has begun to leave never returns to work, and one that is gone stays gone.
///
/// A record without a birth counts for the life that is known. A known server at work whose birth
/// wasn't told takes over the first one that is.
void ApplyServer(HostedState& state, const wire::ServerRecord& record, std::int64_t index);

/// \brief True if applying `record` would change what instances have to know. That a server is cold
/// or warm again counts; that it is cold for longer than it said before can't be told without a
/// clock: see `ChangesColdTime`.
[[nodiscard]] bool ChangesServer(const HostedState& state, const wire::ServerRecord& record);

/// \brief True if applying `record` would change for how long the server is known to be cold. Each
/// call of a cold server would, so who proposes it decides which are news.
[[nodiscard]] bool ChangesColdTime(const HostedState& state, const wire::ServerRecord& record);

/// \brief Servers of pools that no document names that are kept at most: another writer may name
/// any. Above what a large deployment registers before its first document; a server refused comes
/// again with its next heartbeat.
inline constexpr std::size_t kMaxUnlistedPoolServers = 8192;

/// \brief True if `record` tells of a server that would be one too many of pools that aren't among
/// `named`.
[[nodiscard]] bool ExceedsUnlistedPoolLimit(const HostedState& state,
                                            const std::set<std::string>& named,
                                            const wire::ServerRecord& record);

/// \brief Servers that changed after log index `from`.
[[nodiscard]] std::vector<wire::ServerRecord> ServersSince(const HostedState& state,
                                                           std::int64_t from);

}  // namespace poppyway
