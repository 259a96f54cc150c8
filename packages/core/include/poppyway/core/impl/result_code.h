// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace poppyway {

/// \brief Whether a request ran on a back end, as far as it is known.
enum class RunState : std::uint8_t {
  kNotRun,   ///< No byte of the request reached a back end.
  kUnknown,  ///< A byte was written, so the outcome is not known.
  kRan,      ///< The back end answered.
};

/// \brief Result codes; docs/RESULT_CODES.md is generated from the same table.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  // 1xxx: the caller's request is invalid; it did not run.
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
  // 2xxx: the request was refused because of the state of the system; it did not run.
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
  kQuarantined = 2012,
  kStreamUnknown = 2013,
  // 3xxx: the request may have run.
  kOutcomeUnknown = 3000,
  kInProgress = 3001,
  kAnswerIncomplete = 3002,
  kAnswerCrossed = 3003,
  kDeadlinePassed = 3004,
  kAnswerNotKept = 3005,
  // 4xxx: errors in settings, declarations and operators' requests.
  kBadSettings = 4000,
  kBadDeclaration = 4001,
  kVersionConflict = 4002,
  kNotLeader = 4003,
  kNoMajority = 4004,
  kBadSelector = 4005,
  kNotFound = 4006,
  kOtherRollout = 4007,
  // 5xxx: errors of storage and peers.
  kDataDamaged = 5000,
  kDataForeign = 5001,
  kDataNewer = 5002,
  kDiskFailed = 5003,
  kPeerProtocol = 5004,
  kPeerUnreachable = 5005,
  kDiskFull = 5006,
};

/// \brief The properties of a result code: one row of the table.
struct ResultInfo {
  ResultCode m_code;
  std::string_view m_name;     ///< Stable name; also the label value of its counter.
  int m_http_status;           ///< HTTP status of the response; 0 if none is sent.
  RunState m_run;              ///< Run state that the response reports.
  bool m_retry_after;          ///< True if the response has a `Retry-After` header.
  std::string_view m_meaning;  ///< Description in one sentence, sent as the title.
};

/// \brief Returns the rows of all result codes, in numeric order.
[[nodiscard]] std::span<const ResultInfo> ResultTable() noexcept;

/// \brief Returns the row of one code. Precondition: `code` is an enumerator.
[[nodiscard]] const ResultInfo& ResultInfoOf(ResultCode code) noexcept;

/// \brief Returns "not run", "outcome unknown" or "ran".
[[nodiscard]] std::string_view RunStateName(RunState state) noexcept;

}  // namespace poppyway
