// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

void DropAnswer(DispatchLedger& ledger, wire::KeyRecord& record) {
  if (ledger.m_kept.erase({record.expires_ms, record.key}) == 0)
    return;
  ledger.m_stored_answer_bytes -= record.answer.body.size();
  record.answer.body.clear();
  record.answer.kept = false;
}

void KeepAnswer(DispatchLedger& ledger, wire::KeyRecord& record) {
  if (!record.answer.kept)
    return;
  ledger.m_kept.insert({record.expires_ms, record.key});
  ledger.m_stored_answer_bytes += record.answer.body.size();
  while (ledger.m_stored_answer_bytes > kMaxKeptBytes)
    DropAnswer(ledger, ledger.m_keys.at(ledger.m_kept.begin()->second));
}

void StopRunning(DispatchLedger& ledger, const wire::KeyRecord& record) {
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
  StopRunning(ledger, record);
  ledger.m_by_expiry.erase({record.expires_ms, record.key});
  ledger.m_keys.erase(found);
}

void InsertKey(DispatchLedger& ledger, wire::KeyRecord record) {
  const std::string key = record.key;
  ledger.m_by_expiry.insert({record.expires_ms, key});
  if (record.state == wire::KeyState::RUNNING)
    ledger.m_running_by_owner[record.owner].insert(key);
  wire::KeyRecord& stored = ledger.m_keys[key] = std::move(record);
  KeepAnswer(ledger, stored);
}

void Expire(DispatchLedger& ledger, std::int64_t now_ms) {
  ledger.m_now_ms = std::max(ledger.m_now_ms, now_ms);
  while (!ledger.m_by_expiry.empty() && ledger.m_by_expiry.begin()->first <= ledger.m_now_ms)
    EraseKey(ledger, std::string(ledger.m_by_expiry.begin()->second));
}

wire::ClaimResult Verdict(wire::ClaimVerdict::type verdict) {
  wire::ClaimResult result;
  result.verdict = verdict;
  return result;
}

wire::ClaimResult Grant(DispatchLedger& ledger, const wire::LedgerClaim& claim) {
  if (ledger.m_keys.size() >= kMaxKeys)
    return Verdict(wire::ClaimVerdict::UNAVAILABLE);
  wire::KeyRecord record;
  record.key = claim.key;
  record.owner = claim.owner;
  record.ref = claim.ref;
  record.fingerprint = claim.fingerprint;
  record.state = wire::KeyState::RUNNING;
  record.expires_ms = ledger.m_now_ms + claim.retention_ms;
  InsertKey(ledger, std::move(record));
  return Verdict(wire::ClaimVerdict::GRANTED);
}

/// An owner that was taken for gone asks again for its claim. It dispatches only once it is
/// granted: while it asks, nothing has run.
wire::ClaimResult GrantAgain(DispatchLedger& ledger, wire::KeyRecord& record) {
  record.state = wire::KeyState::RUNNING;
  ledger.m_running_by_owner[record.owner].insert(record.key);
  return Verdict(wire::ClaimVerdict::GRANTED);
}

bool IsClaimant(const wire::KeyRecord& record, const std::string& owner, std::int64_t ref) {
  return record.owner == owner && record.ref == ref;
}

}  // namespace

wire::ClaimResult ApplyClaim(DispatchLedger& ledger, const wire::LedgerClaim& claim) {
  Expire(ledger, claim.now_ms);
  const auto found = ledger.m_keys.find(claim.key);
  if (found == ledger.m_keys.end())
    return Grant(ledger, claim);
  wire::KeyRecord& record = found->second;
  const bool own = IsClaimant(record, claim.owner, claim.ref);
  if (record.state == wire::KeyState::RELEASED) {
    if (own)
      return Verdict(wire::ClaimVerdict::UNAVAILABLE);  // Given up already.
    EraseKey(ledger, claim.key);
    return Grant(ledger, claim);
  }
  if (record.fingerprint != claim.fingerprint)
    return Verdict(wire::ClaimVerdict::KEY_REUSED);
  switch (record.state) {
    case wire::KeyState::RUNNING:
      return Verdict(own ? wire::ClaimVerdict::GRANTED : wire::ClaimVerdict::RUNNING);
    case wire::KeyState::DONE: {
      wire::ClaimResult result = Verdict(wire::ClaimVerdict::DONE);
      result.answer = record.answer;
      return result;
    }
    case wire::KeyState::UNKNOWN:
      if (own)
        return GrantAgain(ledger, record);
      if (!claim.rerun_unknown)
        return Verdict(wire::ClaimVerdict::UNKNOWN);
      EraseKey(ledger, claim.key);
      return Grant(ledger, claim);
    case wire::KeyState::RELEASED:
      break;
  }
  return Verdict(wire::ClaimVerdict::UNKNOWN);
}

void ApplyFinish(DispatchLedger& ledger, const wire::LedgerFinish& finish) {
  const auto found = ledger.m_keys.find(finish.key);
  const bool ours =
      found != ledger.m_keys.end() && IsClaimant(found->second, finish.owner, finish.ref);
  const bool missing = found == ledger.m_keys.end();
  if (!ours && !(missing && finish.kind == wire::FinishKind::NOT_RUN))
    return;
  wire::KeyRecord record;
  if (ours)
    record = found->second;
  if (ours && record.state == wire::KeyState::DONE)
    return;  // A repeated message.
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
      record.owner.clear();  // A late copy of its claim is no claimant any more.
      break;
    case wire::FinishKind::NOT_RUN:
      // The key is free for others; only the late twin of this claim is kept out.
      record.state = wire::KeyState::RELEASED;
      record.expires_ms = ledger.m_now_ms + kReleasedMs;
      break;
  }
  InsertKey(ledger, std::move(record));
}

void ApplyGone(DispatchLedger& ledger, const std::string& owner) {
  const auto running = ledger.m_running_by_owner.find(owner);
  if (running == ledger.m_running_by_owner.end())
    return;
  for (const std::string& key : running->second)
    ledger.m_keys.at(key).state = wire::KeyState::UNKNOWN;
  ledger.m_running_by_owner.erase(running);
}

std::vector<wire::KeyRecord> SaveLedger(const DispatchLedger& ledger) {
  std::vector<wire::KeyRecord> keys;
  keys.reserve(ledger.m_keys.size());
  for (const auto& [expiry, key] : ledger.m_by_expiry)
    keys.push_back(ledger.m_keys.at(key));
  return keys;
}

void LoadLedger(DispatchLedger& ledger, const wire::MachineState& state) {
  ledger = {};
  ledger.m_now_ms = state.now_ms;
  for (const wire::KeyRecord& record : state.keys)
    InsertKey(ledger, record);
}

}  // namespace poppyway
