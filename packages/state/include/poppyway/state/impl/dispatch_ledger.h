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

/// \brief Which named requests were dispatched by whom, and how they ended. Bounded in keys and in
/// bytes of kept answers. Time is the commands' own, so that all members agree.
struct DispatchLedger {
  std::int64_t m_now_ms = 0;  ///< Latest time seen in a command.
  std::unordered_map<std::string, wire::KeyRecord> m_keys;
  std::set<std::pair<std::int64_t, std::string>> m_by_expiry;
  std::map<std::string, std::set<std::string>> m_running_by_owner;
  std::set<std::pair<std::int64_t, std::string>> m_kept;  ///< Answers kept, soonest expiry first.
  std::size_t m_stored_answer_bytes = 0;
};

/// \brief Most keys remembered; further claims are answered UNAVAILABLE until some expire.
inline constexpr std::size_t kMaxKeys = 400'000;
/// \brief Most bytes of answers kept; beyond, those that expire first lose their bodies.
inline constexpr std::size_t kMaxKeptBytes = 32u << 20;
/// \brief How long a released claim is remembered, so that its late twin can't take the key.
inline constexpr std::int64_t kReleasedMs = 60'000;

/// \brief One claimant per key: GRANTED to the first, and again to the same owner and ref.
[[nodiscard]] wire::ClaimResult ApplyClaim(DispatchLedger& ledger, const wire::LedgerClaim& claim);

/// \brief Ends a claim. Ignored unless owner and ref are the claimant's.
void ApplyFinish(DispatchLedger& ledger, const wire::LedgerFinish& finish);

/// \brief An instance is gone: what it had running has an unknown outcome.
void ApplyGone(DispatchLedger& ledger, const std::string& owner);

[[nodiscard]] std::vector<wire::KeyRecord> SaveLedger(const DispatchLedger& ledger);
void LoadLedger(DispatchLedger& ledger, const wire::MachineState& state);

}  // namespace poppyway
