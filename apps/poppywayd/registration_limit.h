// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <set>
#include <string>

#include "poppyway/state.h"
#include "poppyway/telemetry.h"

namespace poppyway {

/// \brief Keeps servers of pools that the document doesn't name from filling the registry. Belongs
/// to the leading member's task.
class RegistrationLimit {
 public:
  /// True if the server can't be registered: see `ExceedsUnlistedPoolLimit`.
  [[nodiscard]] bool Rejects(const HostedState& state, const wire::ServerRecord& record);
  void AddMetrics(MetricSet& metrics) const;

 private:
  void ReadNames(const wire::Document& document);

  std::set<std::string> m_named;  ///< Pools of the document with `m_version`.
  std::int64_t m_version = 0;
  std::uint64_t m_refused = 0;
  Instant m_logged{};
};

}  // namespace poppyway
