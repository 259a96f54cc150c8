// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which parts of prompts crash servers: the decision and its replicated state.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr PromptPartId kFatal = 1;
constexpr PromptPartId kBeside = 2;
constexpr PromptPartId kCommon = 3;

using Parts = std::vector<PromptPartId>;

/// Records the crash of a server under a request that is like no other.
void Crash(CrashSuspects& suspects,
           ServerProcessId process,
           const std::vector<SuspectPart>& parts,
           std::int64_t now_ms = 1'000) {
  RecordCrash(suspects, {process, {1'000 + process}, parts}, now_ms);
}

Parts Quarantined(const CrashSuspects& suspects) {
  Parts parts;
  for (const QuarantinedParts& together : suspects.m_quarantined_parts)
    parts.insert(parts.end(), together.m_parts.begin(), together.m_parts.end());
  return parts;
}

wire::CrashReport Report(std::int64_t process, const std::vector<std::int64_t>& parts) {
  wire::CrashReport report;
  report.process = process;
  report.running = {1'000 + process};
  for (const std::int64_t part : parts) {
    wire::SuspectPart& sent = report.parts.emplace_back();
    sent.part = part;
    sent.answered = false;
  }
  report.now_ms = 1'000;
  return report;
}

}  // namespace

// Guards against crashes that no single request explains, since no two are alike.
TEST_CASE("a part is quarantined once three servers have crashed under requests with it") {
  CrashSuspects suspects;
  Crash(suspects, 10, {{kFatal, false}});
  Crash(suspects, 11, {{kFatal, false}});
  CHECK(Quarantined(suspects).empty());
  Crash(suspects, 12, {{kFatal, false}});
  CHECK(Quarantined(suspects) == Parts{kFatal});
  CHECK(QuarantinedRequests(suspects).empty());
}

TEST_CASE("a part that had responses before is not held to be the cause beside one that had none") {
  CrashSuspects suspects;
  for (ServerProcessId process = 10; process < 13; ++process)
    Crash(suspects, process, {{kCommon, true}, {kFatal, false}});
  Crash(suspects, 13, {{kCommon, true}});
  Crash(suspects, 14, {{kCommon, true}});
  CHECK(Quarantined(suspects) == Parts{kFatal});
}

// Guards against sound requests that are held back for one of the parts they share.
TEST_CASE("parts that were in the same crashes hold back only prompts that have all of them") {
  CrashSuspects suspects;
  for (ServerProcessId process = 10; process < 13; ++process)
    Crash(suspects, process, {{kBeside, false}, {kFatal, false}});
  REQUIRE(suspects.m_quarantined_parts.size() == 1);
  CHECK(suspects.m_quarantined_parts[0].m_parts == Parts{kFatal, kBeside});
  CHECK(HasQuarantinedParts(suspects.m_quarantined_parts, {kBeside, 9, kFatal}));
  CHECK_FALSE(HasQuarantinedParts(suspects.m_quarantined_parts, {kBeside, 9}));
  CHECK_FALSE(HasQuarantinedParts(suspects.m_quarantined_parts, {kFatal}));
  // A crash without the other part tells them apart.
  Crash(suspects, 13, {{kFatal, false}});
  CHECK(Quarantined(suspects) == Parts{kFatal});
}

TEST_CASE("two parts that crash servers in turn are both quarantined") {
  CrashSuspects suspects;
  for (ServerProcessId process = 10; process < 16; ++process)
    Crash(suspects, process, {{process % 2 == 0 ? kFatal : kBeside, false}});
  CHECK(Quarantined(suspects) == Parts{kFatal, kBeside});
}

TEST_CASE("a request that was repeated explains its crashes before its parts do") {
  CrashSuspects suspects;
  for (ServerProcessId process = 10; process < 13; ++process)
    RecordCrash(suspects, {process, {7}, {{kFatal, false}}}, 1'000);
  CHECK(QuarantinedRequests(suspects) == std::vector<RequestFingerprint>{7});
  CHECK(Quarantined(suspects).empty());
  Crash(suspects, 13, {{kFatal, false}});
  CHECK(Quarantined(suspects) == Parts{kFatal});
  CHECK(QuarantinedRequests(suspects).empty());
}

TEST_CASE("a part that a server has responded to is no suspect any more") {
  CrashSuspects suspects;
  for (ServerProcessId process = 10; process < 13; ++process)
    Crash(suspects, process, {{kFatal, false}});
  ClearPart(suspects, kFatal);
  CHECK(Quarantined(suspects).empty());
  CHECK(suspects.m_parts.empty());
}

// Guards against a part that is held back by mistake for long, and against one that crashes three
// servers more each time.
TEST_CASE("the quarantine of a part ends, begins again with one more crash and lasts longer then") {
  CrashSuspects suspects;
  std::int64_t now_ms = 1'000;
  for (ServerProcessId process = 10; process < 13; ++process)
    Crash(suspects, process, {{kFatal, false}}, now_ms);
  std::int64_t lasts_ms = kPartQuarantineMs;
  for (ServerProcessId process = 20; process < 30; ++process) {
    ExpireSuspects(suspects, now_ms + lasts_ms - 1);
    CHECK(Quarantined(suspects) == Parts{kFatal});
    now_ms += lasts_ms;
    CHECK(HasExpiredSuspects(suspects, now_ms));
    ExpireSuspects(suspects, now_ms);
    CHECK(Quarantined(suspects).empty());
    Crash(suspects, process, {{kFatal, false}}, now_ms);
    CHECK(Quarantined(suspects) == Parts{kFatal});
    lasts_ms = std::min(2 * lasts_ms, kQuarantineMs);
  }
  CHECK(lasts_ms == kQuarantineMs);
}

TEST_CASE("the number of suspect parts is bounded") {
  CrashSuspects suspects;
  for (std::uint64_t part = 1; part <= kMaxCrashSuspects + 10; ++part)
    Crash(suspects, 10, {{part, false}}, static_cast<std::int64_t>(part));
  CHECK(suspects.m_parts.size() == kMaxCrashSuspects);
}

// ---- The replicated state -----------------------------------------------------------------------

TEST_CASE("instances are told of quarantined parts only when these change") {
  HostedState state;
  ApplyCrashReport(state, Report(10, {1}), 5);
  ApplyCrashReport(state, Report(11, {1}), 6);
  CHECK(state.m_servers_index == 0);
  ApplyCrashReport(state, Report(12, {1}), 7);
  CHECK(state.m_servers_index == 7);
  CHECK(state.m_quarantine_index == 7);
  REQUIRE(QuarantinedPartsList(state).size() == 1);
  CHECK(QuarantinedPartsList(state)[0].parts == std::vector<std::int64_t>{1});
  CHECK(QuarantinedPartsList(state)[0].first_ms == 1'000);
  ApplyCrashReport(state, Report(13, {1}), 8);
  CHECK(state.m_quarantine_index == 7);
  wire::CrashReport cleared;
  cleared.cleared_parts = {1};
  cleared.now_ms = 1'000;
  ApplyCrashReport(state, cleared, 9);
  CHECK(QuarantinedPartsList(state).empty());
  CHECK(state.m_quarantine_index == 9);
}

TEST_CASE("suspect parts and their quarantine survive a snapshot") {
  StateMachine machine;
  for (std::int64_t process = 10; process < 13; ++process)
    ApplyCrashReport(machine.m_hosted, Report(process, {-1, 2}), process);
  wire::CrashReport expiry;
  expiry.now_ms = 1'000 + kPartQuarantineMs;
  ApplyCrashReport(machine.m_hosted, expiry, 13);
  ApplyCrashReport(machine.m_hosted, Report(14, {-1}), 14);
  wire::Snapshot snapshot;
  snapshot.index = 14;
  snapshot.state = SerializeStateMachine(machine);
  StateMachine restored;
  REQUIRE(RestoreStateMachine(restored, snapshot));
  CHECK(restored.m_hosted.m_crash_suspects == machine.m_hosted.m_crash_suspects);
  CHECK(QuarantinedPartsList(restored.m_hosted).size() == 1);
}

}  // namespace poppyway
