// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief Records, by idempotency key, which claimant dispatched a request and how it ended.
///
/// The number of keys and the bytes of stored answers are bounded. Time is taken from the commands,
/// so that all members agree.
struct DispatchLedger {
  std::int64_t m_now_ms = 0;  ///< Latest time in any command so far, Unix milliseconds.
  std::unordered_map<std::string, wire::KeyRecord> m_keys;
  std::set<std::pair<std::int64_t, std::string>> m_by_expiry;
  std::map<std::string, std::set<std::string>> m_running_by_owner;
  /// Expiry time and key of each record with a stored answer.
  std::set<std::pair<std::int64_t, std::string>> m_stored_answers;
  std::size_t m_stored_answer_bytes = 0;
};

/// \brief Most keys remembered; above it, claims of new keys get UNAVAILABLE until some expire.
inline constexpr std::size_t kMaxKeys = 400'000;
/// \brief Most bytes of stored answers; above it, the answers that expire first are dropped.
inline constexpr std::size_t kMaxStoredAnswerBytes = 32u << 20;
/// \brief How long a released claim is remembered, so that a late duplicate can't take the key.
inline constexpr std::int64_t kReleasedClaimRetentionMs = 60'000;

/// \brief Claims a key. The first claimant gets GRANTED, and gets it again for the same owner and
/// ref; others get the state of the claim. A key whose outcome is unknown is granted again to an
/// owner that was considered gone, and to a claim with `rerun_unknown`.
[[nodiscard]] wire::ClaimResult ApplyClaim(DispatchLedger& ledger, const wire::LedgerClaim& claim);

/// \brief Ends a claim. Ignored unless owner and ref are the claimant's; but NOT_RUN for an absent
/// key is recorded, so that a claim arriving after it is rejected.
void ApplyFinish(DispatchLedger& ledger, const wire::LedgerFinish& finish);

/// \brief Marks the running claims of an instance that is gone as having an unknown outcome.
void ApplyInstanceGone(DispatchLedger& ledger, const std::string& owner);

/// \brief Returns all records, soonest expiry first, for a snapshot.
[[nodiscard]] std::vector<wire::KeyRecord> SerializeLedger(const DispatchLedger& ledger);
/// \brief Replaces the ledger by a snapshot's.
void RestoreLedger(DispatchLedger& ledger, const wire::MachineState& state);

}  // namespace poppyway
