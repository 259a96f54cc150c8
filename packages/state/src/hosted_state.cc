// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cstdint>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr std::int64_t kNeverShown = -1;  // The presence index of a server that registers to leave.

/// Erases the gone server with the oldest change if too many gone servers are remembered.
void EraseOldestGone(HostedState& state) {
  std::size_t gone = 0;
  auto oldest = state.m_servers.end();
  for (auto it = state.m_servers.begin(); it != state.m_servers.end(); ++it) {
    if (it->second.stage != wire::ServerStage::GONE)
      continue;
    ++gone;
    if (oldest == state.m_servers.end() || it->second.index < oldest->second.index)
      oldest = it;
  }
  if (gone <= kMaxGoneServers)
    return;
  const wire::ServerRecord erased = oldest->second;
  state.m_servers.erase(oldest);
  ReleaseAddress(state, AddressOf(erased), erased.id);
}

bool SameRegistration(const wire::ServerRecord& a, const wire::ServerRecord& b) {
  return a.pool == b.pool && a.address == b.address && a.port == b.port && a.slots == b.slots &&
         a.version == b.version && a.data_centre == b.data_centre;
}

/// How the process start time of a record relates to that of the known server.
enum class StartTimeOrder : std::uint8_t {
  kSame,     ///< Equal or not reported: records are ordered by stage and sequence.
  kEarlier,  ///< The record is stale.
  kLater,
};

StartTimeOrder CompareStartTimes(const wire::ServerRecord& known,
                                 const wire::ServerRecord& record) {
  if (record.born <= 0 || record.born == known.born)
    return StartTimeOrder::kSame;
  if (known.born > 0)
    return record.born > known.born ? StartTimeOrder::kLater : StartTimeOrder::kEarlier;
  // The first start time reported: a READY server adopts it; for a server that has left, the record
  // is stale.
  return known.stage == wire::ServerStage::READY ? StartTimeOrder::kLater
                                                 : StartTimeOrder::kEarlier;
}

/// Applies a record of the known process.
void UpdateServer(wire::ServerRecord& known, const wire::ServerRecord& record) {
  const std::int64_t sequence = std::max(known.sequence, record.sequence);
  const std::int64_t started_ms = std::max(known.born, record.born);
  const std::int64_t present_index = known.present_index;
  const bool named = !record.pool.empty();
  if (named) {
    known = record;
  } else {
    known.id = record.id;
    known.stage = record.stage;
  }
  known.sequence = sequence;
  known.born = started_ms;
  known.present_index = present_index;
}

}  // namespace

void ApplyDocument(HostedState& state, const wire::Document& document) {
  if (document.version > state.m_document.version)
    state.m_document = document;
}

bool ApplyDocumentChange(HostedState& state, const wire::DocumentChange& change) {
  if (change.version <= state.m_document.version)
    return true;
  Result<wire::Document> document = PatchDocument(state.m_document, change);
  if (!document)
    return false;
  state.m_document = std::move(*document);
  return true;
}

bool ChangesServer(const HostedState& state, const wire::ServerRecord& record) {
  const auto found = state.m_servers.find(record.id);
  if (found == state.m_servers.end())
    return true;
  const wire::ServerRecord& known = found->second;
  const StartTimeOrder order = CompareStartTimes(known, record);
  if (order != StartTimeOrder::kSame)
    return order == StartTimeOrder::kLater;
  const bool late = record.sequence != 0 && record.sequence < known.sequence;
  if (record.stage < known.stage)
    return false;  // Stages only move towards GONE within one process.
  if (record.stage > known.stage)
    return true;
  if (late || record.stage == wire::ServerStage::GONE)
    return false;
  return !SameRegistration(known, record) || (known.cold_for_ms > 0) != (record.cold_for_ms > 0);
}

bool ChangesColdTime(const HostedState& state, const wire::ServerRecord& record) {
  const auto found = state.m_servers.find(record.id);
  if (found == state.m_servers.end())
    return true;
  const wire::ServerRecord& known = found->second;
  const bool late = record.sequence != 0 && record.sequence < known.sequence;
  const bool same_process = CompareStartTimes(known, record) == StartTimeOrder::kSame &&
                            record.stage == known.stage && record.stage != wire::ServerStage::GONE;
  return same_process && !late && record.cold_for_ms != known.cold_for_ms;
}

void ApplyServer(HostedState& state, const wire::ServerRecord& record, std::int64_t index) {
  if (!ChangesServer(state, record) && !ChangesColdTime(state, record))
    return;
  const auto found = state.m_servers.find(record.id);
  const bool is_new = found == state.m_servers.end() ||
                      CompareStartTimes(found->second, record) == StartTimeOrder::kLater;
  const Endpoint before =
      found == state.m_servers.end() ? AddressOf(record) : AddressOf(found->second);
  wire::ServerRecord& known = state.m_servers[record.id];
  if (is_new)
    known = record;  // The sequence numbers of a new process start over.
  else
    UpdateServer(known, record);
  known.index = index;
  if (is_new || AddressOf(known) != before)
    known.present_index = record.stage == wire::ServerStage::READY ? index : kNeverShown;
  known.held_back = IsHeldBack(state, known);
  if (known.stage == wire::ServerStage::READY && IsRolledBack(state, known))
    known.stage = wire::ServerStage::LEAVING;
  state.m_servers_index = index;
  if (AddressOf(known) != before)
    ReleaseAddress(state, before, known.id);
  if (known.present_index == index)
    ClaimAddress(state, known);
  if (known.stage == wire::ServerStage::GONE)
    EraseOldestGone(state);
}

bool ExceedsUnlistedPoolLimit(const HostedState& state,
                              const std::set<std::string>& named,
                              const wire::ServerRecord& record) {
  if (record.pool.empty() || named.contains(record.pool))
    return false;
  const auto known = state.m_servers.find(record.id);
  const auto counts = [&named](const wire::ServerRecord& server) {
    return server.stage != wire::ServerStage::GONE && !named.contains(server.pool);
  };
  if (known != state.m_servers.end() && counts(known->second))
    return false;  // The server is counted already.
  const auto kept = std::count_if(state.m_servers.begin(), state.m_servers.end(),
                                  [&counts](const auto& entry) { return counts(entry.second); });
  return static_cast<std::size_t>(kept) >= kMaxUnlistedPoolServers;
}

std::vector<wire::ServerRecord> ServersSince(const HostedState& state, std::int64_t from) {
  std::vector<wire::ServerRecord> changed;
  for (const auto& [id, record] : state.m_servers) {
    if (record.index > from)
      changed.push_back(record);
  }
  return changed;
}

}  // namespace poppyway
