// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include <random>

#include "poppyway/state.h"

using namespace poppyway;
using Verdict = wire::ClaimVerdict;

namespace {

wire::LedgerClaim Claim(const std::string& key,
                        const std::string& owner,
                        std::int64_t ref,
                        bool rerun = false,
                        std::int64_t now_ms = 0) {
  wire::LedgerClaim claim;
  claim.key = key;
  claim.owner = owner;
  claim.ref = ref;
  claim.fingerprint = 7;
  claim.now_ms = now_ms;
  claim.retention_ms = 10'000;
  claim.rerun_unknown = rerun;
  return claim;
}

wire::LedgerFinish Finish(const std::string& key,
                          const std::string& owner,
                          std::int64_t ref,
                          wire::FinishKind::type kind,
                          const std::string& body = "") {
  wire::LedgerFinish finish;
  finish.key = key;
  finish.owner = owner;
  finish.ref = ref;
  finish.kind = kind;
  finish.answer.status = 200;
  finish.answer.body = body;
  finish.answer.kept = true;
  return finish;
}

}  // namespace

TEST_CASE("a key has one claimant, and a repeated claim is the same claim", "[ledger]") {
  DispatchLedger ledger;
  CHECK(ApplyClaim(ledger, Claim("k", "a", 1)).verdict == Verdict::GRANTED);
  CHECK(ApplyClaim(ledger, Claim("k", "a", 1)).verdict == Verdict::GRANTED);
  CHECK(ApplyClaim(ledger, Claim("k", "a", 2)).verdict == Verdict::RUNNING);
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1)).verdict == Verdict::RUNNING);
}

// Guards against "outcome unknown" for a request that was never sent: its owner was considered gone
// while it still repeated its claim.
TEST_CASE("an owner that was taken for gone and still asks for its claim is granted it",
          "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1));
  ApplyInstanceGone(ledger, "a");
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1)).verdict == Verdict::UNKNOWN);
  CHECK(ApplyClaim(ledger, Claim("k", "a", 2)).verdict == Verdict::UNKNOWN);
  CHECK(ApplyClaim(ledger, Claim("k", "a", 1)).verdict == Verdict::GRANTED);
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1)).verdict == Verdict::RUNNING);
  ApplyInstanceGone(ledger, "a");  // The second grant made it a running owner again.
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1)).verdict == Verdict::UNKNOWN);
}

TEST_CASE("a late copy of a claim whose outcome was lost is granted nothing", "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1));
  ApplyFinish(ledger, Finish("k", "a", 1, wire::FinishKind::UNKNOWN));
  CHECK(ApplyClaim(ledger, Claim("k", "a", 1)).verdict == Verdict::UNKNOWN);
  CHECK(ledger.m_running_by_owner.empty());
}

TEST_CASE("a done key gives back its whole answer", "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1));
  ApplyFinish(ledger, Finish("k", "a", 1, wire::FinishKind::DONE, "booked"));
  const wire::ClaimResult again = ApplyClaim(ledger, Claim("k", "b", 9));
  CHECK(again.verdict == Verdict::DONE);
  CHECK(again.answer.body == "booked");
}

TEST_CASE("a key that was not run is free, but not for the late twin of its claim", "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1));
  ApplyFinish(ledger, Finish("k", "a", 1, wire::FinishKind::NOT_RUN));
  CHECK(ApplyClaim(ledger, Claim("k", "a", 1)).verdict == Verdict::UNAVAILABLE);
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1)).verdict == Verdict::GRANTED);
  // The claim is given up before it arrives.
  ApplyFinish(ledger, Finish("late", "a", 2, wire::FinishKind::NOT_RUN));
  CHECK(ApplyClaim(ledger, Claim("late", "a", 2)).verdict == Verdict::UNAVAILABLE);
}

TEST_CASE("what a dead instance had running is unknown, and runs again only if repeatable",
          "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1));
  ApplyInstanceGone(ledger, "a");
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1, false)).verdict == Verdict::UNKNOWN);
  CHECK(ApplyClaim(ledger, Claim("k", "b", 2, true)).verdict == Verdict::GRANTED);
  // The first owner was only cut off: its late result is ignored.
  ApplyFinish(ledger, Finish("k", "a", 1, wire::FinishKind::DONE, "late"));
  CHECK(ApplyClaim(ledger, Claim("k", "c", 1, false)).verdict == Verdict::RUNNING);
}

TEST_CASE("another body under the same key is refused", "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1));
  wire::LedgerClaim other = Claim("k", "b", 1);
  other.fingerprint = 8;
  CHECK(ApplyClaim(ledger, other).verdict == Verdict::KEY_REUSED);
}

TEST_CASE("keys expire by the commands' own time", "[ledger]") {
  DispatchLedger ledger;
  (void)ApplyClaim(ledger, Claim("k", "a", 1, false, 1000));
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1, false, 10'999)).verdict == Verdict::RUNNING);
  CHECK(ApplyClaim(ledger, Claim("k", "b", 1, false, 11'000)).verdict == Verdict::GRANTED);
}

TEST_CASE("kept answers are bounded and dropped soonest-expiring first", "[ledger]") {
  DispatchLedger ledger;
  const std::string big(60'000, 'x');
  const int count = static_cast<int>(kMaxStoredAnswerBytes / big.size()) + 50;
  for (int i = 0; i < count; ++i) {
    const std::string key = "k" + std::to_string(i);
    (void)ApplyClaim(ledger, Claim(key, "a", i, false, i));
    ApplyFinish(ledger, Finish(key, "a", i, wire::FinishKind::DONE, big));
  }
  CHECK(ledger.m_stored_answer_bytes <= kMaxStoredAnswerBytes);
  CHECK_FALSE(ApplyClaim(ledger, Claim("k0", "b", 1)).answer.kept);
  CHECK(ApplyClaim(ledger, Claim("k" + std::to_string(count - 1), "b", 1)).answer.kept);
}

TEST_CASE("random histories never give a key to two claimants that may both have run it",
          "[ledger][random]") {
  std::mt19937_64 random(5);
  for (int round = 0; round < 200; ++round) {
    DispatchLedger ledger;
    std::map<std::string, std::string> may_have_run;  // Claimant by key.
    for (int step = 0; step < 200; ++step) {
      const std::string key = "k" + std::to_string(random() % 4);
      const std::string owner = "g" + std::to_string(random() % 3);
      const auto ref = static_cast<std::int64_t>(random() % 5);
      const std::string claimant = owner + "#" + std::to_string(ref);
      switch (random() % 5) {
        case 0:
        case 1:
          if (ApplyClaim(ledger, Claim(key, owner, ref)).verdict == Verdict::GRANTED) {
            const auto [held, added] = may_have_run.emplace(key, claimant);
            if (!added && held->second != claimant)
              FAIL("key " << key << " went to " << held->second << " and " << claimant);
          }
          break;
        case 2:
          if (may_have_run.contains(key) && may_have_run[key] == claimant) {
            ApplyFinish(ledger, Finish(key, owner, ref, wire::FinishKind::DONE));
          }
          break;
        case 3:
          // Only the claimant knows that the request did not run.
          if (may_have_run.contains(key) && may_have_run[key] == claimant &&
              ApplyClaim(ledger, Claim(key, owner, ref)).verdict == Verdict::GRANTED) {
            ApplyFinish(ledger, Finish(key, owner, ref, wire::FinishKind::NOT_RUN));
            may_have_run.erase(key);
          }
          break;
        case 4:
          ApplyInstanceGone(ledger, owner);
          break;
      }
    }
  }
}
