// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

/// Forgets the gone server that changed longest ago once too many are remembered.
void ForgetOldest(HostedState& state) {
  std::size_t gone = 0;
  auto oldest = state.m_servers.end();
  for (auto it = state.m_servers.begin(); it != state.m_servers.end(); ++it) {
    if (it->second.stage != wire::ServerStage::GONE)
      continue;
    ++gone;
    if (oldest == state.m_servers.end() || it->second.index < oldest->second.index)
      oldest = it;
  }
  if (gone > kRememberedGone)
    state.m_servers.erase(oldest);
}

bool SamePlace(const wire::ServerRecord& a, const wire::ServerRecord& b) {
  return a.pool == b.pool && a.address == b.address && a.port == b.port && a.slots == b.slots &&
         a.version == b.version;
}

}  // namespace

void ApplyDocument(HostedState& state, const wire::Document& document) {
  if (document.version > state.m_document.version)
    state.m_document = document;
}

bool ChangesServer(const HostedState& state, const wire::ServerRecord& record) {
  const auto found = state.m_servers.find(record.id);
  if (found == state.m_servers.end())
    return true;
  const wire::ServerRecord& known = found->second;
  const bool late = record.sequence != 0 && record.sequence < known.sequence;
  if (record.stage < known.stage)
    return false;  // Stages only move towards GONE within one life.
  if (record.stage > known.stage)
    return true;
  if (late || record.stage == wire::ServerStage::GONE)
    return false;
  return !SamePlace(known, record) || (known.cold_left_ms > 0) != (record.cold_left_ms > 0);
}

bool ChangesCold(const HostedState& state, const wire::ServerRecord& record) {
  const auto found = state.m_servers.find(record.id);
  if (found == state.m_servers.end())
    return true;
  const wire::ServerRecord& known = found->second;
  const bool late = record.sequence != 0 && record.sequence < known.sequence;
  const bool same_life = record.stage == known.stage && record.stage != wire::ServerStage::GONE;
  return same_life && !late && record.cold_left_ms != known.cold_left_ms;
}

void ApplyServer(HostedState& state, const wire::ServerRecord& record, std::int64_t index) {
  if (!ChangesServer(state, record) && !ChangesCold(state, record))
    return;
  wire::ServerRecord& known = state.m_servers[record.id];
  const std::int64_t sequence = std::max(known.sequence, record.sequence);
  const bool named = !record.pool.empty();
  if (named) {
    known = record;
  } else {
    known.id = record.id;
    known.stage = record.stage;
  }
  known.sequence = sequence;
  known.index = index;
  known.held_back = HeldBack(state, known);
  if (known.stage == wire::ServerStage::READY && RolledBack(state, known))
    known.stage = wire::ServerStage::LEAVING;
  state.m_servers_index = index;
  if (known.stage == wire::ServerStage::GONE)
    ForgetOldest(state);
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
