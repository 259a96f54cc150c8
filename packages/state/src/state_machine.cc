// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

void ApplyLease(StateMachine& machine, const wire::LeaseGrant& grant, std::int64_t index) {
  const auto found = machine.m_leases.find(grant.lease);
  const std::int64_t epoch = found == machine.m_leases.end() ? 0 : found->second.epoch;
  if (grant.epoch != epoch + 1)
    return;
  machine.m_leases[grant.lease] = grant;
  machine.m_leases_index = index;
}

}  // namespace

wire::CommandResult ApplyEntry(StateMachine& machine, const wire::LogEntry& entry) {
  wire::CommandResult result;
  const wire::Command& command = entry.command;
  machine.m_applied_index = entry.index;
  if (command.__isset.config) {
    result.__set_config(ApplyChange(machine.m_configuration, command.config));
  } else if (command.__isset.rollout) {
    result.__set_rollout(ApplyRolloutOrder(machine.m_hosted, command.rollout, entry.index));
  } else if (command.__isset.document_change) {
    result.__set_done(ApplyDocumentChange(machine.m_hosted, command.document_change));
  } else if (command.__isset.claim) {
    result.__set_claim(ApplyClaim(machine.m_ledger, command.claim));
  } else {
    if (command.__isset.finish)
      ApplyFinish(machine.m_ledger, command.finish);
    else if (command.__isset.lease)
      ApplyLease(machine, command.lease, entry.index);
    else if (command.__isset.gone)
      ApplyInstanceGone(machine.m_ledger, command.gone.incarnation);
    else if (command.__isset.document)
      ApplyDocument(machine.m_hosted, command.document);
    else if (command.__isset.server)
      ApplyServer(machine.m_hosted, command.server, entry.index);
    else if (command.__isset.presence)
      ApplyServerPresence(machine.m_hosted, command.presence, entry.index);
    else if (command.__isset.rollout_step)
      ApplyRolloutStep(machine.m_hosted, command.rollout_step, entry.index);
    else if (command.__isset.evacuation)
      ApplyEvacuation(machine.m_hosted, command.evacuation, entry.index);
    else if (command.__isset.crash)
      ApplyCrashReport(machine.m_hosted, command.crash, entry.index);
    result.__set_done(true);
  }
  return result;
}

std::string SerializeStateMachine(const StateMachine& machine) {
  wire::MachineState state;
  const Configuration& configuration = machine.m_configuration;
  state.version = configuration.m_version;
  for (const auto& [name, object] : configuration.m_objects)
    state.objects.push_back(object);
  for (const auto& [name, version] : configuration.m_removals) {
    wire::RemovalState removal;
    removal.key.kind = name.first;
    removal.key.name = name.second;
    removal.version = version;
    state.removals.push_back(std::move(removal));
  }
  state.whole_before = configuration.m_full_before;
  state.history.assign(configuration.m_history.begin(), configuration.m_history.end());
  for (const std::string& id : configuration.m_change_order)
    state.changes.push_back(configuration.m_changes.at(id));
  state.keys = SerializeLedger(machine.m_ledger);
  state.now_ms = machine.m_ledger.m_now_ms;
  for (const auto& [name, lease] : machine.m_leases)
    state.leases.push_back(lease);
  state.document = machine.m_hosted.m_document;
  for (const auto& [id, record] : machine.m_hosted.m_servers)
    state.servers.push_back(record);
  for (const auto& [pool, rollout] : machine.m_hosted.m_rollouts)
    state.rollouts.push_back(rollout);
  for (const auto& [data_centre, evacuation] : machine.m_hosted.m_evacuations)
    state.evacuations.push_back(evacuation);
  state.crash_suspects = SerializeCrashSuspects(machine.m_hosted.m_crash_suspects);
  state.quarantine_index = machine.m_hosted.m_quarantine_index;
  return Serialize(state);
}

Result<void> RestoreStateMachine(StateMachine& machine, const wire::Snapshot& snapshot) {
  Result<wire::MachineState> state = Deserialize<wire::MachineState>(snapshot.state);
  if (!state)
    return Fail(ResultCode::kDataDamaged, "snapshot: " + state.error().m_message);
  machine = {};
  Configuration& configuration = machine.m_configuration;
  configuration.m_version = state->version;
  for (const wire::ObjectState& object : state->objects)
    configuration.m_objects[{object.object.kind, object.object.name}] = object;
  for (const wire::RemovalState& removal : state->removals)
    configuration.m_removals[{removal.key.kind, removal.key.name}] = removal.version;
  configuration.m_full_before = state->whole_before;
  configuration.m_history.assign(state->history.begin(), state->history.end());
  for (const wire::ChangeState& change : state->changes) {
    configuration.m_changes[change.change_id] = change;
    configuration.m_change_order.push_back(change.change_id);
  }
  if (Result<void> parsed = ParseObjects(configuration); !parsed)
    return Fail(ResultCode::kDataDamaged, "snapshot: " + parsed.error().m_message);
  RestoreLedger(machine.m_ledger, *state);
  for (const wire::LeaseGrant& lease : state->leases)
    machine.m_leases[lease.lease] = lease;
  machine.m_leases_index = snapshot.index;
  machine.m_hosted.m_document = state->document;
  for (const wire::ServerRecord& record : state->servers) {
    machine.m_hosted.m_servers[record.id] = record;
    machine.m_hosted.m_servers_index = std::max(machine.m_hosted.m_servers_index, record.index);
  }
  RebuildAddressOwners(machine.m_hosted);
  for (const wire::Rollout& rollout : state->rollouts)
    machine.m_hosted.m_rollouts[rollout.pool] = rollout;
  for (const wire::Evacuation& evacuation : state->evacuations) {
    machine.m_hosted.m_evacuations[evacuation.data_centre] = evacuation;
    machine.m_hosted.m_servers_index = std::max(machine.m_hosted.m_servers_index, evacuation.index);
  }
  machine.m_hosted.m_crash_suspects = DeserializeCrashSuspects(state->crash_suspects);
  machine.m_hosted.m_quarantine_index = state->quarantine_index;
  machine.m_hosted.m_servers_index =
      std::max(machine.m_hosted.m_servers_index, state->quarantine_index);
  machine.m_applied_index = snapshot.index;
  return {};
}

}  // namespace poppyway
