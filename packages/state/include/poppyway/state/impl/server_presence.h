// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief The owners of the backend servers' addresses in the replicated state; `AddressOwner` has
/// the rule. Nothing here is thread-safe, but for the pure functions.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "poppyway/core.h"
#include "poppyway/settings.h"
#include "poppyway/wire.h"

namespace poppyway {

struct HostedState;

/// \brief Returns the address of a record.
[[nodiscard]] Endpoint AddressOf(const wire::ServerRecord& record);

/// \brief Returns true if another server owns the address of the record. Pure.
[[nodiscard]] bool IsReplaced(const HostedState& state, const wire::ServerRecord& record);

/// \brief Makes a record the owner of its address, unless another one was shown there later.
void ClaimAddress(HostedState& state, const wire::ServerRecord& record);

/// \brief Gives up the address if `server` owns it: of the other servers there, the one that was
/// shown last becomes the owner. Linear in the number of servers.
void ReleaseAddress(HostedState& state, const Endpoint& address, const std::string& server);

/// \brief Derives the owners of all addresses from the records, as after a snapshot was read.
void RebuildAddressOwners(HostedState& state);

/// \brief Applies an entry that shows a server at its address. It changes nothing for an unknown
/// server, or if it is about another process of the server. `index` is its log index.
void ApplyServerPresence(HostedState& state,
                         const wire::ServerPresence& presence,
                         std::int64_t index);

/// \brief Returns true if a heartbeat is from a server that the state takes for away although the
/// heartbeat says that it is ready: another server owns its address, or its drain or removal was
/// recorded, except where a roll-out took it out of use.
[[nodiscard]] bool ContradictsState(const HostedState& state, const wire::ServerRecord& heartbeat);

/// \brief The heartbeats that a leader has received from servers that the state takes for away.
struct ContradictingHeartbeats {
  /// Consecutive heartbeats of one process.
  struct Run {
    std::int64_t m_started_ms = 0;
    std::int64_t m_sequence = 0;
    int m_count = 0;
    Instant m_first{};
    Instant m_last{};

    friend bool operator==(const Run&, const Run&) = default;
  };
  /// Presence entries that were proposed for the servers of an address.
  struct Proposals {
    int m_count = 0;
    Instant m_last{};

    friend bool operator==(const Proposals&, const Proposals&) = default;
  };
  std::map<std::string, Run> m_servers;       ///< By server id.
  std::map<Endpoint, Proposals> m_proposals;  ///< Those of the last minutes.
};

/// \brief The most servers whose contradicting heartbeats are counted, and the most addresses whose
/// proposals are remembered. It is above the number of servers of any deployment, since all of them
/// may be hidden at once.
inline constexpr std::size_t kMaxContradictingServers = 16'384;

/// \brief Records a heartbeat for which `ContradictsState` holds.
/// \return the presence entry to propose, once heartbeats of the server have arrived steadily:
/// two of them, or for half a minute if its drain or removal was recorded. If servers contend for
/// an address, each further entry takes twice as many heartbeats, up to a limit.
[[nodiscard]] std::optional<wire::ServerPresence> RecordContradictingHeartbeat(
    ContradictingHeartbeats& heartbeats,
    const HostedState& state,
    const wire::ServerRecord& heartbeat,
    Instant now);

/// \brief Records that a server has responded to a request that was meant for `expected`.
/// \return the presence entry to propose; nullopt if the state shows the server there already,
/// knows them at different addresses, or an entry for the address was proposed within the last
/// second.
[[nodiscard]] std::optional<wire::ServerPresence> RecordResponse(
    ContradictingHeartbeats& heartbeats,
    const HostedState& state,
    const std::string& server,
    const std::string& expected,
    Instant now);

}  // namespace poppyway
