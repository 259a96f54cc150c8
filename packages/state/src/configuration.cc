// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

ObjectName NameOf(const wire::ObjectText& object) {
  return {object.kind, object.name};
}

ObjectName NameOf(const wire::ObjectKey& key) {
  return {key.kind, key.name};
}

std::int64_t Fingerprint(const wire::ConfigChange& change) {
  wire::ConfigChange content = change;
  content.change_id.clear();
  content.author.clear();
  content.base_version = 0;
  return static_cast<std::int64_t>(Hash(Serialize(content)));
}

wire::ConfigOutcome MakeOutcome(ResultCode code, std::int64_t version, std::string message) {
  wire::ConfigOutcome outcome;
  outcome.code = static_cast<std::int32_t>(code);
  outcome.version = version;
  outcome.message = std::move(message);
  return outcome;
}

DeclarationText TextOf(const wire::ObjectText& object) {
  return {object.kind, object.name, object.body};
}

/// Returns the declarations that would result from the change; an error if they don't compile.
Result<ParsedDeclarations> PreviewChange(const Configuration& configuration,
                                         const wire::ConfigChange& change) {
  ParsedDeclarations parsed = configuration.m_parsed;
  for (const wire::ObjectKey& key : change.removals)
    RemoveDeclaration(parsed, key.kind, key.name);
  for (const wire::ObjectText& object : change.upserts) {
    if (Result<void> put = PutDeclaration(parsed, TextOf(object)); !put)
      return tl::unexpected<Error>(put.error());
  }
  if (Result<void> ok = CheckReferences(parsed); !ok)
    return tl::unexpected<Error>(ok.error());
  return parsed;
}

void Remember(Configuration& configuration,
              const wire::ConfigChange& change,
              const wire::ConfigOutcome& outcome) {
  wire::ChangeState state;
  state.change_id = change.change_id;
  state.fingerprint = Fingerprint(change);
  state.outcome = outcome;
  configuration.m_changes[change.change_id] = std::move(state);
  configuration.m_change_order.push_back(change.change_id);
  while (configuration.m_change_order.size() > kMaxRememberedChanges) {
    configuration.m_changes.erase(configuration.m_change_order.front());
    configuration.m_change_order.pop_front();
  }
}

void TrimRemovals(Configuration& configuration) {
  while (configuration.m_removals.size() > kMaxRememberedRemovals) {
    const auto oldest =
        std::min_element(configuration.m_removals.begin(), configuration.m_removals.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    configuration.m_full_before = std::max(configuration.m_full_before, oldest->second);
    configuration.m_removals.erase(oldest);
  }
}

void AcceptChange(Configuration& configuration, const wire::ConfigChange& change) {
  const std::int64_t version = ++configuration.m_version;
  for (const wire::ObjectKey& key : change.removals) {
    if (configuration.m_objects.erase(NameOf(key)) > 0)
      configuration.m_removals[NameOf(key)] = version;
  }
  for (const wire::ObjectText& object : change.upserts) {
    wire::ObjectState& state = configuration.m_objects[NameOf(object)];
    state.object = object;
    state.version = version;
    configuration.m_removals.erase(NameOf(object));
  }
  TrimRemovals(configuration);
  wire::HistoryRow row;
  row.version = version;
  row.change_id = change.change_id;
  row.author = change.author;
  row.upserts = static_cast<std::int32_t>(change.upserts.size());
  row.removals = static_cast<std::int32_t>(change.removals.size());
  configuration.m_history.push_back(std::move(row));
  if (configuration.m_history.size() > kMaxRememberedChanges)
    configuration.m_history.pop_front();
}

}  // namespace

Result<void> ParseObjects(Configuration& configuration) {
  configuration.m_parsed = {};
  for (const auto& [name, state] : configuration.m_objects) {
    if (Result<void> put = PutDeclaration(configuration.m_parsed, TextOf(state.object)); !put)
      return put;
  }
  return {};
}

wire::ConfigOutcome ApplyChange(Configuration& configuration, const wire::ConfigChange& change) {
  const auto known = configuration.m_changes.find(change.change_id);
  if (known != configuration.m_changes.end()) {
    if (known->second.fingerprint == Fingerprint(change))
      return known->second.outcome;
    return MakeOutcome(ResultCode::kVersionConflict, configuration.m_version,
                       "change id '" + change.change_id + "' names another change");
  }
  if (change.base_version != configuration.m_version) {
    return MakeOutcome(ResultCode::kVersionConflict, configuration.m_version,
                       "made on version " + std::to_string(change.base_version) + ", but version " +
                           std::to_string(configuration.m_version) +
                           " was accepted since; look at it and apply again");
  }
  Result<ParsedDeclarations> next = PreviewChange(configuration, change);
  if (!next)
    return MakeOutcome(next.error().m_code, configuration.m_version, next.error().m_message);
  configuration.m_parsed = std::move(*next);
  AcceptChange(configuration, change);
  const wire::ConfigOutcome outcome =
      MakeOutcome(ResultCode::kOk, configuration.m_version, "accepted");
  Remember(configuration, change, outcome);
  return outcome;
}

wire::ConfigDelta DeltaSince(const Configuration& configuration, std::int64_t from_version) {
  wire::ConfigDelta delta;
  delta.from_version = from_version;
  delta.to_version = configuration.m_version;
  delta.whole = from_version < configuration.m_full_before ||
                from_version > configuration.m_version || from_version == 0;
  for (const auto& [name, state] : configuration.m_objects) {
    if (delta.whole || state.version > from_version)
      delta.upserts.push_back(state.object);
  }
  if (delta.whole)
    return delta;
  for (const auto& [name, version] : configuration.m_removals) {
    if (version <= from_version)
      continue;
    wire::ObjectKey key;
    key.kind = name.first;
    key.name = name.second;
    delta.removals.push_back(std::move(key));
  }
  return delta;
}

bool ApplyDelta(ParsedDeclarations& parsed, std::int64_t& version, const wire::ConfigDelta& delta) {
  if (delta.to_version <= version || (!delta.whole && delta.from_version != version))
    return false;
  ParsedDeclarations next = delta.whole ? ParsedDeclarations{} : parsed;
  for (const wire::ObjectKey& key : delta.removals)
    RemoveDeclaration(next, key.kind, key.name);
  for (const wire::ObjectText& object : delta.upserts) {
    if (!PutDeclaration(next, TextOf(object)))
      return false;
  }
  parsed = std::move(next);
  version = delta.to_version;
  return true;
}

}  // namespace poppyway
