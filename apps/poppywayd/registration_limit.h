// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <set>
#include <string>

#include "poppyway/state.h"
#include "poppyway/telemetry.h"

namespace poppyway {

/// \brief Limits how many servers can register for pools that the document doesn't list, so that
/// they can't fill the registry. Not thread-safe: it belongs to the control task of the leader.
class RegistrationLimit {
 public:
  /// Returns true, counts and logs the rejection if the server can't be registered; see
  /// `ExceedsUnlistedPoolLimit`.
  [[nodiscard]] bool Rejects(const HostedState& state, const wire::ServerRecord& record);
  void AddMetrics(MetricSet& metrics) const;

 private:
  void ReadPoolNames(const wire::Document& document);

  std::set<std::string> m_listed_pools;  ///< Pools that the document of `m_version` lists.
  std::int64_t m_version = 0;
  std::uint64_t m_rejected = 0;
  Instant m_last_log{};
};

}  // namespace poppyway
