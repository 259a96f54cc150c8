// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

void DropAnswer(DispatchLedger& ledger, wire::KeyRecord& record) {
  if (ledger.m_stored_answers.erase({record.expires_ms, record.key}) == 0)
    return;
  ledger.m_stored_answer_bytes -= record.answer.body.size();
  record.answer.body.clear();
  record.answer.kept = false;
}

void StoreAnswer(DispatchLedger& ledger, wire::KeyRecord& record) {
  if (!record.answer.kept)
    return;
  ledger.m_stored_answers.insert({record.expires_ms, record.key});
  ledger.m_stored_answer_bytes += record.answer.body.size();
  while (ledger.m_stored_answer_bytes > kMaxStoredAnswerBytes)
    DropAnswer(ledger, ledger.m_keys.at(ledger.m_stored_answers.begin()->second));
}

void RemoveRunning(DispatchLedger& ledger, const wire::KeyRecord& record) {
  const auto owner = ledger.m_running_by_owner.find(record.owner);
  if (owner == ledger.m_running_by_owner.end())
    return;
  owner->second.erase(record.key);
  if (owner->second.empty())
    ledger.m_running_by_owner.erase(owner);
}

void EraseKey(DispatchLedger& ledger, const std::string& key) {
  const auto found = ledger.m_keys.find(key);
  if (found == ledger.m_keys.end())
    return;
  wire::KeyRecord& record = found->second;
  DropAnswer(ledger, record);
  RemoveRunning(ledger, record);
  ledger.m_by_expiry.erase({record.expires_ms, record.key});
  ledger.m_keys.erase(found);
}

void InsertKey(DispatchLedger& ledger, wire::KeyRecord record) {
  const std::string key = record.key;
  ledger.m_by_expiry.insert({record.expires_ms, key});
  if (record.state == wire::KeyState::RUNNING)
    ledger.m_running_by_owner[record.owner].insert(key);
  wire::KeyRecord& stored = ledger.m_keys[key] = std::move(record);
  StoreAnswer(ledger, stored);
}

void ExpireKeys(DispatchLedger& ledger, std::int64_t now_ms) {
  ledger.m_now_ms = std::max(ledger.m_now_ms, now_ms);
  while (!ledger.m_by_expiry.empty() && ledger.m_by_expiry.begin()->first <= ledger.m_now_ms)
    EraseKey(ledger, std::string(ledger.m_by_expiry.begin()->second));
}

wire::ClaimResult MakeClaimResult(wire::ClaimVerdict::type verdict) {
  wire::ClaimResult result;
  result.verdict = verdict;
  return result;
}

wire::ClaimResult GrantClaim(DispatchLedger& ledger, const wire::LedgerClaim& claim) {
  if (ledger.m_keys.size() >= kMaxKeys)
    return MakeClaimResult(wire::ClaimVerdict::UNAVAILABLE);
  wire::KeyRecord record;
  record.key = claim.key;
  record.owner = claim.owner;
  record.ref = claim.ref;
  record.fingerprint = claim.fingerprint;
  record.state = wire::KeyState::RUNNING;
  record.expires_ms = ledger.m_now_ms + claim.retention_ms;
  InsertKey(ledger, std::move(record));
  return MakeClaimResult(wire::ClaimVerdict::GRANTED);
}

/// Grants a claim again to an owner that was considered gone and repeats it. An owner dispatches
/// only after a grant, so nothing has run while it still repeats the claim.
wire::ClaimResult RegrantClaim(DispatchLedger& ledger, wire::KeyRecord& record) {
  record.state = wire::KeyState::RUNNING;
  ledger.m_running_by_owner[record.owner].insert(record.key);
  return MakeClaimResult(wire::ClaimVerdict::GRANTED);
}

bool IsClaimant(const wire::KeyRecord& record, const std::string& owner, std::int64_t ref) {
  return record.owner == owner && record.ref == ref;
}

}  // namespace

wire::ClaimResult ApplyClaim(DispatchLedger& ledger, const wire::LedgerClaim& claim) {
  ExpireKeys(ledger, claim.now_ms);
  const auto found = ledger.m_keys.find(claim.key);
  if (found == ledger.m_keys.end())
    return GrantClaim(ledger, claim);
  wire::KeyRecord& record = found->second;
  const bool own = IsClaimant(record, claim.owner, claim.ref);
  if (record.state == wire::KeyState::RELEASED) {
    // The claimant has given this claim up.
    if (own)
      return MakeClaimResult(wire::ClaimVerdict::UNAVAILABLE);
    EraseKey(ledger, claim.key);
    return GrantClaim(ledger, claim);
  }
  if (record.fingerprint != claim.fingerprint)
    return MakeClaimResult(wire::ClaimVerdict::KEY_REUSED);
  switch (record.state) {
    case wire::KeyState::RUNNING:
      return MakeClaimResult(own ? wire::ClaimVerdict::GRANTED : wire::ClaimVerdict::RUNNING);
    case wire::KeyState::DONE: {
      wire::ClaimResult result = MakeClaimResult(wire::ClaimVerdict::DONE);
      result.answer = record.answer;
      return result;
    }
    case wire::KeyState::UNKNOWN:
      if (own)
        return RegrantClaim(ledger, record);
      if (!claim.rerun_unknown)
        return MakeClaimResult(wire::ClaimVerdict::UNKNOWN);
      EraseKey(ledger, claim.key);
      return GrantClaim(ledger, claim);
    case wire::KeyState::RELEASED:
      break;
  }
  return MakeClaimResult(wire::ClaimVerdict::UNKNOWN);
}

void ApplyFinish(DispatchLedger& ledger, const wire::LedgerFinish& finish) {
  const auto found = ledger.m_keys.find(finish.key);
  const bool is_claimant =
      found != ledger.m_keys.end() && IsClaimant(found->second, finish.owner, finish.ref);
  const bool missing = found == ledger.m_keys.end();
  if (!is_claimant && !(missing && finish.kind == wire::FinishKind::NOT_RUN))
    return;
  wire::KeyRecord record;
  if (is_claimant)
    record = found->second;
  if (is_claimant && record.state == wire::KeyState::DONE)
    return;  // The message is a duplicate.
  EraseKey(ledger, finish.key);
  record.key = finish.key;
  record.owner = finish.owner;
  record.ref = finish.ref;
  record.answer = finish.answer;
  switch (finish.kind) {
    case wire::FinishKind::DONE:
      record.state = wire::KeyState::DONE;
      break;
    case wire::FinishKind::UNKNOWN:
      record.state = wire::KeyState::UNKNOWN;
      record.owner.clear();  // A late duplicate of the claim must not match.
      break;
    case wire::FinishKind::NOT_RUN:
      // Others may claim the key; only a late duplicate of this claim is rejected.
      record.state = wire::KeyState::RELEASED;
      record.expires_ms = ledger.m_now_ms + kReleasedClaimRetentionMs;
      break;
  }
  InsertKey(ledger, std::move(record));
}

void ApplyInstanceGone(DispatchLedger& ledger, const std::string& owner) {
  const auto running = ledger.m_running_by_owner.find(owner);
  if (running == ledger.m_running_by_owner.end())
    return;
  for (const std::string& key : running->second)
    ledger.m_keys.at(key).state = wire::KeyState::UNKNOWN;
  ledger.m_running_by_owner.erase(running);
}

std::vector<wire::KeyRecord> SerializeLedger(const DispatchLedger& ledger) {
  std::vector<wire::KeyRecord> keys;
  keys.reserve(ledger.m_keys.size());
  for (const auto& [expiry, key] : ledger.m_by_expiry)
    keys.push_back(ledger.m_keys.at(key));
  return keys;
}

void RestoreLedger(DispatchLedger& ledger, const wire::MachineState& state) {
  ledger = {};
  ledger.m_now_ms = state.now_ms;
  for (const wire::KeyRecord& record : state.keys)
    InsertKey(ledger, record);
}

}  // namespace poppyway
