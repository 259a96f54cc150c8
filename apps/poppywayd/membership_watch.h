// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>

#include "poppyway/log.h"

namespace poppyway {

/// \brief Logs, on a leader, which members fall silent or reply again, and how many voters may
/// still be lost. Not thread-safe.
class MembershipWatch {
 public:
  /// \brief Logs what has changed since the last call. Calls sooner than the check interval after
  /// the last one do nothing, so the number of lines is bounded. Precondition: `node` leads.
  void Update(const LogNode& node, Instant now);

  /// \brief Forgets what was logged. To be called when the leadership is lost.
  void Reset();

 private:
  void LogMember(const MemberStatus& member);
  void LogTolerance(const MembershipStatus& status);

  Instant m_checked{};
  std::map<MemberId, Duration> m_silent;  ///< By silent member: its last known silence.
  int m_voters = -1;                      ///< Voters, as last logged; -1: nothing was logged.
  int m_tolerated_losses = -1;
};

}  // namespace poppyway
