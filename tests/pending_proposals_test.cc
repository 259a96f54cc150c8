// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>
#include <optional>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr Instant kNow{Duration{1'000'000}};
constexpr Duration kLimit{3'000'000};
constexpr std::int64_t kTerm = 4;

/// The reply to one proposal.
struct Outcome {
  int m_replies = 0;
  std::optional<Result<std::vector<wire::CommandResult>>> m_result;

  [[nodiscard]] bool failed() const { return m_result && !*m_result; }
};

wire::CommandResult Done(bool done) {
  wire::CommandResult result;
  result.done = done;
  return result;
}

void Propose(PendingProposals& pending,
             std::int64_t first,
             std::size_t commands,
             Outcome& outcome) {
  AddProposal(pending, first, commands, kTerm, kNow + kLimit, [&outcome](auto result) {
    ++outcome.m_replies;
    outcome.m_result = std::move(result);
  });
}

TEST_CASE("a proposal gets its results in the order of its commands once all are applied") {
  PendingProposals pending;
  Outcome outcome;
  Propose(pending, 7, 2, outcome);
  CompleteCommand(pending, 6, kTerm, Done(false));
  CompleteCommand(pending, 7, kTerm, Done(false));
  CHECK(outcome.m_replies == 0);
  CompleteCommand(pending, 8, kTerm, Done(true));
  REQUIRE(outcome.m_replies == 1);
  REQUIRE_FALSE(outcome.failed());
  CHECK_FALSE((**outcome.m_result)[0].done);
  CHECK((**outcome.m_result)[1].done);
  CHECK(pending.m_commands.empty());
}

// Guards against an order that is never answered, and holds up all later ones of that member: the
// first that a former leader hears of the new one may be an entry at its order's index.
TEST_CASE("a proposal whose index another term's entry took is failed") {
  PendingProposals pending;
  Outcome outcome;
  Propose(pending, 7, 2, outcome);
  CompleteCommand(pending, 7, kTerm + 1, Done(true));
  CHECK(outcome.m_replies == 1);
  CHECK(outcome.failed());
  CompleteCommand(pending, 8, kTerm + 1, Done(true));
  FailProposals(pending, "leadership was lost");
  CHECK(outcome.m_replies == 1);
}

TEST_CASE("proposals that fail may propose again") {
  PendingProposals pending;
  Outcome again;
  AddProposal(pending, 7, 1, kTerm, kNow + kLimit,
              [&](const auto&) { Propose(pending, 8, 1, again); });
  FailProposals(pending, "leadership was lost");
  CHECK(again.m_replies == 0);
  CompleteCommand(pending, 8, kTerm, Done(true));
  CHECK(again.m_replies == 1);
}

TEST_CASE("a proposal expires with all of its commands, and once") {
  PendingProposals pending;
  Outcome outcome;
  Propose(pending, 7, 3, outcome);
  CompleteCommand(pending, 7, kTerm, Done(true));
  ExpireProposals(pending, kNow + kLimit - Duration(1));
  CHECK(outcome.m_replies == 0);
  ExpireProposals(pending, kNow + kLimit);
  CHECK(outcome.m_replies == 1);
  CHECK(outcome.failed());
  CHECK(pending.m_commands.empty());
}

}  // namespace
}  // namespace poppyway
