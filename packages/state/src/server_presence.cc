// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

// A single heartbeat may be a delayed one of an ended process. Delayed ones may also arrive at
// once.
constexpr int kSteadyHeartbeats = 2;
constexpr Duration kSteadyTime{900'000};
// A server that announced its removal may still send heartbeats until it ends, which takes seconds.
constexpr Duration kReturnTime{30'000'000};
constexpr int kReturnHeartbeats = 5;
// Heartbeats that are further apart aren't steady.
constexpr Duration kMaxGap{15'000'000};
// While servers contend for an address, each entry doubles the heartbeats needed, at most so often.
constexpr int kMaxDoublings = 5;
constexpr Duration kProposalMemory{300'000'000};  // Older entries don't count any more.
constexpr Duration kMinProposalInterval{1'000'000};

using Run = ContradictingHeartbeats::Run;

bool WasTakenOutOfUse(const wire::ServerRecord& record) noexcept {
  return record.stage != wire::ServerStage::READY;
}

/// Returns true if the heartbeat follows the last one of the run.
bool Continues(const Run& run, const wire::ServerRecord& heartbeat, Instant now) noexcept {
  const bool newer = heartbeat.sequence == 0 || heartbeat.sequence > run.m_sequence;
  return run.m_count > 0 && run.m_started_ms == heartbeat.born && newer &&
         now - run.m_last <= kMaxGap;
}

/// Erases the entry with the oldest `m_last` if there is no room for a further one.
template <typename Key, typename Entry>
void MakeRoom(std::map<Key, Entry>& entries, const Key& key) {
  if (entries.contains(key) || entries.size() < kMaxContradictingServers)
    return;
  entries.erase(std::min_element(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
    return a.second.m_last < b.second.m_last;
  }));
}

/// Returns the number of entries that were proposed for the address within the last minutes.
int RecentProposals(const ContradictingHeartbeats& heartbeats,
                    const Endpoint& address,
                    Instant now) {
  const auto proposals = heartbeats.m_proposals.find(address);
  const bool recent =
      proposals != heartbeats.m_proposals.end() && now - proposals->second.m_last < kProposalMemory;
  return recent ? proposals->second.m_count : 0;
}

bool IsSteady(const ContradictingHeartbeats& heartbeats,
              const Run& run,
              const wire::ServerRecord& known,
              Instant now) {
  const Duration lasted = now - run.m_first;
  if (WasTakenOutOfUse(known))
    return run.m_count >= kReturnHeartbeats && lasted >= kReturnTime;
  const int doublings = std::min(RecentProposals(heartbeats, AddressOf(known), now), kMaxDoublings);
  return run.m_count >= (kSteadyHeartbeats << doublings) && lasted >= kSteadyTime;
}

wire::ServerPresence Propose(ContradictingHeartbeats& heartbeats,
                             const wire::ServerRecord& known,
                             bool returns,
                             Instant now) {
  const Endpoint address = AddressOf(known);
  MakeRoom(heartbeats.m_proposals, address);
  const int before = RecentProposals(heartbeats, address, now);
  heartbeats.m_proposals[address] = {before + 1, now};
  wire::ServerPresence presence;
  presence.id = known.id;
  presence.born = known.born;
  presence.returns = returns;
  return presence;
}

}  // namespace

Endpoint AddressOf(const wire::ServerRecord& record) {
  return {record.address, static_cast<std::uint16_t>(record.port)};
}

bool IsReplaced(const HostedState& state, const wire::ServerRecord& record) {
  const auto owner = state.m_address_owners.find(AddressOf(record));
  return owner != state.m_address_owners.end() && owner->second.m_server != record.id;
}

void ClaimAddress(HostedState& state, const wire::ServerRecord& record) {
  // Of an earlier build's record the last change is known only, which may be its drain.
  const bool shown = record.present_index != 0 || record.stage == wire::ServerStage::READY;
  const std::int64_t index = PresenceIndex(record.present_index, record.index);
  if (shown && index >= 0)
    (void)ClaimAddress(state.m_address_owners[AddressOf(record)], record.id, index);
}

void ReleaseAddress(HostedState& state, const Endpoint& address, const std::string& server) {
  const auto owner = state.m_address_owners.find(address);
  if (owner == state.m_address_owners.end() || owner->second.m_server != server)
    return;
  state.m_address_owners.erase(owner);
  for (const auto& [id, record] : state.m_servers) {
    if (id != server && AddressOf(record) == address)
      ClaimAddress(state, record);
  }
}

void RebuildAddressOwners(HostedState& state) {
  state.m_address_owners.clear();
  for (const auto& [id, record] : state.m_servers)
    ClaimAddress(state, record);
}

void ApplyServerPresence(HostedState& state,
                         const wire::ServerPresence& presence,
                         std::int64_t index) {
  const auto found = state.m_servers.find(presence.id);
  if (found == state.m_servers.end() || found->second.born != presence.born)
    return;
  wire::ServerRecord& record = found->second;
  if (presence.returns && WasTakenOutOfUse(record) && !IsOutOfUseByRollout(state, record))
    record.stage = wire::ServerStage::READY;
  record.present_index = index;
  record.index = index;
  state.m_servers_index = index;
  ClaimAddress(state, record);
}

bool ContradictsState(const HostedState& state, const wire::ServerRecord& heartbeat) {
  const auto found = state.m_servers.find(heartbeat.id);
  if (found == state.m_servers.end() || heartbeat.stage != wire::ServerStage::READY)
    return false;
  const wire::ServerRecord& known = found->second;
  const bool other_process = heartbeat.born > 0 && heartbeat.born != known.born;
  const bool late = heartbeat.sequence != 0 && heartbeat.sequence < known.sequence;
  if (other_process || late || AddressOf(heartbeat) != AddressOf(known))
    return false;
  if (WasTakenOutOfUse(known))
    return !IsOutOfUseByRollout(state, known);
  return IsReplaced(state, known);
}

std::optional<wire::ServerPresence> RecordContradictingHeartbeat(
    ContradictingHeartbeats& heartbeats,
    const HostedState& state,
    const wire::ServerRecord& heartbeat,
    Instant now) {
  MakeRoom(heartbeats.m_servers, heartbeat.id);
  Run& run = heartbeats.m_servers[heartbeat.id];
  const bool repeated =
      run.m_count > 0 && heartbeat.sequence != 0 && heartbeat.sequence == run.m_sequence;
  if (repeated)
    return std::nullopt;
  if (!Continues(run, heartbeat, now))
    run = {heartbeat.born, 0, 0, now, now};
  run.m_sequence = heartbeat.sequence;
  run.m_last = now;
  ++run.m_count;
  const wire::ServerRecord& known = state.m_servers.at(heartbeat.id);
  if (!IsSteady(heartbeats, run, known, now))
    return std::nullopt;
  heartbeats.m_servers.erase(heartbeat.id);
  return Propose(heartbeats, known, WasTakenOutOfUse(known), now);
}

std::optional<wire::ServerPresence> RecordResponse(ContradictingHeartbeats& heartbeats,
                                                   const HostedState& state,
                                                   const std::string& server,
                                                   const std::string& expected,
                                                   Instant now) {
  const auto responded = state.m_servers.find(server);
  const auto other = state.m_servers.find(expected);
  if (responded == state.m_servers.end() || other == state.m_servers.end())
    return std::nullopt;
  const Endpoint address = AddressOf(responded->second);
  if (address != AddressOf(other->second) || !IsReplaced(state, responded->second))
    return std::nullopt;
  const auto proposed = heartbeats.m_proposals.find(address);
  const bool just_proposed = proposed != heartbeats.m_proposals.end() &&
                             now - proposed->second.m_last < kMinProposalInterval;
  if (just_proposed)
    return std::nullopt;
  return Propose(heartbeats, responded->second, false, now);
}

}  // namespace poppyway
