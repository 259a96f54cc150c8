// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/settings.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Kind and name of a declaration.
using ObjectName = std::pair<std::string, std::string>;

/// \brief The accepted declarations, each with the version that last changed it.
struct Configuration {
  std::int64_t m_version = 0;
  std::map<ObjectName, wire::ObjectState> m_objects;
  ParsedDeclarations m_parsed;                    ///< `m_objects`, parsed.
  std::map<ObjectName, std::int64_t> m_removals;  ///< Version of each remembered removal.
  /// A reader below this version gets the full configuration: older removals were dropped.
  std::int64_t m_full_before = 0;
  std::deque<wire::HistoryRow> m_history;
  std::map<std::string, wire::ChangeState> m_changes;  ///< Outcomes by change id.
  std::deque<std::string> m_change_order;              ///< Change ids, oldest first.
};

/// \brief Applies a change if it was made on the current version and the resulting configuration
/// compiles.
/// \return the new version with `kOk`, or the current one with an error; nothing changes then.
/// `kVersionConflict` if the change was made on another version or its id names another change. A
/// repeated change gets the outcome of its first application, whatever was accepted after it.
[[nodiscard]] wire::ConfigOutcome ApplyChange(Configuration& configuration,
                                              const wire::ConfigChange& change);

/// \brief Returns what a reader at `from_version` lacks: the full configuration if that version is
/// zero, older than the remembered removals, or above the current one.
[[nodiscard]] wire::ConfigDelta DeltaSince(const Configuration& configuration,
                                           std::int64_t from_version);

/// \brief Brings a reader's declarations and `version` to `delta.to_version`.
/// \return false, without a change, if the delta doesn't start at `version`, doesn't raise it, or
/// can't be parsed.
[[nodiscard]] bool ApplyDelta(ParsedDeclarations& parsed,
                              std::int64_t& version,
                              const wire::ConfigDelta& delta);

/// \brief Rebuilds `configuration.m_parsed` from its objects, after a snapshot was restored.
[[nodiscard]] Result<void> ParseObjects(Configuration& configuration);

/// \brief Most changes remembered by id, and most rows of history.
inline constexpr std::size_t kMaxRememberedChanges = 20'000;
/// \brief Most removals remembered for deltas.
inline constexpr std::size_t kMaxRememberedRemovals = 10'000;

}  // namespace poppyway
