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

/// \brief The accepted declarations with the version that last changed each.
struct Configuration {
  std::int64_t m_version = 0;
  std::map<ObjectName, wire::ObjectState> m_objects;
  ParsedDeclarations m_parsed;                    ///< The same, parsed.
  std::map<ObjectName, std::int64_t> m_removals;  ///< Version of each removal still remembered.
  std::int64_t m_whole_before = 0;                ///< A reader older than this gets everything.
  std::deque<wire::HistoryRow> m_history;
  std::map<std::string, wire::ChangeState> m_changes;  ///< By change id.
  std::deque<std::string> m_change_order;
};

/// \brief Applies a change: accepted only on the present version and only if the whole still
/// compiles. The same change id gets the first answer again, whatever came since.
[[nodiscard]] wire::ConfigOutcome ApplyChange(Configuration& configuration,
                                              const wire::ConfigChange& change);

/// \brief What a reader that has `from_version` lacks. Whole if it is too old, or from the future.
[[nodiscard]] wire::ConfigDelta DeltaSince(const Configuration& configuration,
                                           std::int64_t from_version);

/// \brief Brings a reader's declarations to `delta.to_version`.
/// \return false, changing nothing, if the delta doesn't start at `version`, would lower it, or
/// can't be parsed.
[[nodiscard]] bool ApplyDelta(ParsedDeclarations& parsed,
                              std::int64_t& version,
                              const wire::ConfigDelta& delta);

/// \brief Parses `configuration.m_objects` anew, after a snapshot was loaded.
[[nodiscard]] Result<void> ParseObjects(Configuration& configuration);

/// \brief How many changes are remembered by id, and shown as history.
inline constexpr std::size_t kRememberedChanges = 20'000;
/// \brief How many removals are remembered for deltas.
inline constexpr std::size_t kRememberedRemovals = 10'000;

}  // namespace poppyway
