// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace poppyway {

/// \brief What is known about whether a request ran on a back end.
enum class RunState : std::uint8_t {
  kNotRun,   ///< Certain: no byte of the request reached a back end.
  kUnknown,  ///< A byte was written; the outcome can't be known.
  kRan,      ///< The back end answered.
};

/// \brief Numbered results; docs/RESULT_CODES.md is generated from the same table.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  // 1xxx: the caller's request is at fault; it did not run.
  kBadRequest = 1000,
  kNoEventMatches = 1001,
  kBodyTooLarge = 1002,
  kBadJson = 1003,
  kKeyRequired = 1004,
  kKeyReused = 1005,
  kKeyTooOld = 1006,
  kUnknownModel = 1007,
  kNoRoute = 1008,
  kUnknownKey = 1009,
  // 2xxx: refused for the state of the system; it did not run.
  kOverload = 2000,
  kDeadlineUnreachable = 2001,
  kStopping = 2002,
  kNotReady = 2003,
  kNoBackend = 2004,
  kLedgerUnavailable = 2005,
  kQueueFull = 2006,
  kCallerGone = 2007,
  kRetryBudgetSpent = 2008,
  kQuotaSpent = 2009,
  kNotConfirmed = 2010,
  kNoHome = 2011,
  // 3xxx: the request may have run.
  kOutcomeUnknown = 3000,
  kInProgress = 3001,
  kAnswerIncomplete = 3002,
  kAnswerCrossed = 3003,
  kDeadlinePassed = 3004,
  kAnswerNotKept = 3005,
  // 4xxx: configuration and operators.
  kBadSettings = 4000,
  kBadDeclaration = 4001,
  kVersionConflict = 4002,
  kNotLeader = 4003,
  kNoMajority = 4004,
  kBadSelector = 4005,
  kNotFound = 4006,
  kOtherRollout = 4007,
  // 5xxx: storage and peers.
  kDataDamaged = 5000,
  kDataForeign = 5001,
  kDataNewer = 5002,
  kDiskFailed = 5003,
  kPeerProtocol = 5004,
  kPeerUnreachable = 5005,
  kDiskFull = 5006,
};

/// \brief One row of the result table.
struct ResultInfo {
  ResultCode m_code;
  std::string_view m_name;     ///< Stable name, also the counter's label.
  int m_http_status;           ///< Status of the answer to the caller; 0 where none is sent.
  RunState m_run;              ///< What the caller is told about the run.
  bool m_retry_after;          ///< True if the answer says when to come back.
  std::string_view m_meaning;  ///< One sentence for people.
};

/// \brief All rows, in numeric order.
[[nodiscard]] std::span<const ResultInfo> ResultTable() noexcept;

/// \brief The row of one code. Precondition: `code` is an enumerator.
[[nodiscard]] const ResultInfo& ResultInfoOf(ResultCode code) noexcept;

/// \brief "not run", "outcome unknown" or "ran".
[[nodiscard]] std::string_view RunStateName(RunState state) noexcept;

}  // namespace poppyway
