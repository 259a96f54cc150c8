// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The addresses of backend servers, and which of the servers at one address this instance sends
// requests to. `AddressOwner` has the rule.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

/// Marks all servers at an address but its owner as replaced: they are gone, even without a notice.
/// The index by address makes a full list take linear time: comparing each of 3,000 servers with
/// all others took seconds of the start of an instance with a quarter of a core.
void UpdateReplaced(ForwarderState& state, const Endpoint& endpoint) {
  const std::string& owner = state.m_address_owners[endpoint].m_server;
  for (const std::string& id : state.m_by_address[endpoint])
    state.m_backends.at(id).m_replaced = !owner.empty() && id != owner;
}

/// Returns true if a record shows its server at its address. A record of an earlier build does so
/// if the server is new to this instance.
bool ShowsPresence(const Backend& backend, bool is_new) {
  if (backend.m_record.present_index != 0)
    return backend.m_record.present_index > 0;
  return is_new && !backend.m_leaving;
}

}  // namespace

std::int64_t PresenceIndexOf(const wire::ServerRecord& record) noexcept {
  return PresenceIndex(record.present_index, record.index);
}

void SetAddress(ForwarderState& state,
                Backend& backend,
                const std::string& id,
                const Endpoint& endpoint) {
  std::vector<std::string>& ids = state.m_by_address[endpoint];
  if (backend.m_endpoint == endpoint && std::find(ids.begin(), ids.end(), id) != ids.end())
    return;
  const Endpoint former = backend.m_endpoint;
  const auto before = state.m_by_address.find(former);
  if (before != state.m_by_address.end())
    std::erase(before->second, id);
  backend.m_endpoint = endpoint;
  ids.push_back(id);
  const auto owner = state.m_address_owners.find(former);
  if (owner == state.m_address_owners.end() || owner->second.m_server != id)
    return;
  state.m_address_owners.erase(owner);
  UpdateReplaced(state, former);
}

void RecordPresence(ForwarderState& state, const Backend& backend, bool is_new, bool restarted) {
  AddressOwner& owner = state.m_address_owners[backend.m_endpoint];
  const std::int64_t shown_at = PresenceIndexOf(backend.m_record);
  // A broker may tell of a new process before the log's entry, whose index isn't known then.
  if (restarted && !backend.m_leaving)
    (void)ClaimAddress(owner, backend.m_record.id, std::max(owner.m_index, shown_at));
  else if (ShowsPresence(backend, is_new))
    (void)ClaimAddress(owner, backend.m_record.id, shown_at);
  UpdateReplaced(state, backend.m_endpoint);
}

void RecordGoneOwner(ForwarderState& state,
                     const wire::ServerRecord& record,
                     const Endpoint& endpoint) {
  if (record.present_index <= 0 || !state.m_by_address.contains(endpoint))
    return;
  if (ClaimAddress(state.m_address_owners[endpoint], record.id, record.present_index))
    UpdateReplaced(state, endpoint);
}

void RecordReplacement(ForwarderState& state,
                       const std::string& expected,
                       const std::string& responding) {
  Backend* backend = FindBackend(state, expected);
  if (backend == nullptr)
    return;
  backend->m_misdirected_at = ReadClock();
  AddressOwner& owner = state.m_address_owners[backend->m_endpoint];
  const bool news = owner.m_server != responding;
  owner.m_server = responding;  // Until a later entry of the log shows another server there.
  UpdateReplaced(state, backend->m_endpoint);
  POPPYWAY_LOG(info, "server_replaced")
      .Field("server", expected)
      .Field("by", responding)
      .Field("restored", news && FindBackend(state, responding) != nullptr);
  if (!news || !state.m_broker.m_active)
    return;
  state.m_broker.m_outbox.m_responded.push_back({responding, expected});
  FlushToBroker(state);
}

}  // namespace poppyway::impl
