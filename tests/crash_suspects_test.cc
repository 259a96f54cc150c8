// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which requests crash servers: the decision and its replicated state.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr RequestFingerprint kFatal = 1;
constexpr RequestFingerprint kInnocent = 2;
constexpr RequestFingerprint kOther = 3;

using Fingerprints = std::vector<RequestFingerprint>;

/// Records crashes of several server processes, each with the same requests.
void Crash(CrashSuspects& suspects,
           const std::vector<ServerProcessId>& processes,
           const Fingerprints& running,
           std::int64_t now_ms = 0) {
  for (const ServerProcessId process : processes)
    RecordCrash(suspects, {process, running}, now_ms);
}

TEST_CASE("a request is quarantined once three servers have crashed under it") {
  CrashSuspects suspects;
  Crash(suspects, {10, 11}, {kFatal});
  CHECK(QuarantinedRequests(suspects).empty());
  Crash(suspects, {12}, {kFatal});
  CHECK(QuarantinedRequests(suspects) == Fingerprints{kFatal});
}

TEST_CASE("several reports of one crash count once") {
  CrashSuspects suspects;
  Crash(suspects, {10, 10, 10, 11, 11}, {kFatal});
  CHECK(QuarantinedRequests(suspects).empty());
}

// Guards against innocent requests that are held back because they ran beside the one at fault.
TEST_CASE("a request that ran beside the cause of the crashes is not quarantined") {
  CrashSuspects suspects;
  Crash(suspects, {10}, {kFatal});
  Crash(suspects, {11, 12, 13}, {kFatal, kInnocent});
  CHECK(QuarantinedRequests(suspects) == Fingerprints{kFatal});
}

TEST_CASE("a request that was quarantined before the cause was known is released") {
  CrashSuspects suspects;
  Crash(suspects, {10, 11, 12}, {kInnocent});
  CHECK(QuarantinedRequests(suspects) == Fingerprints{kInnocent});
  Crash(suspects, {10, 11, 12, 13}, {kFatal});  // Another instance reports what ran there.
  CHECK(QuarantinedRequests(suspects) == Fingerprints{kFatal});
}

TEST_CASE("two requests that crash servers in turn are both quarantined, but none beside them") {
  CrashSuspects suspects;
  Crash(suspects, {10, 12, 14}, {kFatal, kInnocent});
  Crash(suspects, {11, 13, 15}, {kOther, kInnocent});
  Crash(suspects, {16}, {kFatal});
  Crash(suspects, {17}, {kOther});
  Crash(suspects, {18, 19, 20}, {kFatal});
  Crash(suspects, {21, 22, 23}, {kOther});
  CHECK(QuarantinedRequests(suspects) == Fingerprints{kFatal, kOther});
}

TEST_CASE("a request with a complete response is no suspect any more") {
  CrashSuspects suspects;
  Crash(suspects, {10, 11, 12}, {kInnocent});
  ClearSuspect(suspects, kInnocent);
  CHECK(suspects == CrashSuspects{});
  Crash(suspects, {13, 14}, {kInnocent});
  CHECK(QuarantinedRequests(suspects).empty());
}

TEST_CASE("quarantine outlasts mere suspicion, and both end") {
  CrashSuspects suspects;
  Crash(suspects, {10, 11}, {kFatal}, 1'000 - kOneEventMs - 1);
  Crash(suspects, {12}, {kFatal}, 1'000);
  Crash(suspects, {20, 21}, {kInnocent}, 1'000);
  CHECK_FALSE(HasExpiredSuspects(suspects, 1'000 + kSuspectMs - 1));
  CHECK(HasExpiredSuspects(suspects, 1'000 + kSuspectMs));
  ExpireSuspects(suspects, 1'000 + kSuspectMs);
  CHECK_FALSE(suspects.m_suspects.contains(kInnocent));
  CHECK(IsQuarantined(suspects, kFatal));
  ExpireSuspects(suspects, 1'000 + kQuarantineMs);
  CHECK(suspects == CrashSuspects{});
}

// Guards against a sound request that is refused for an hour: servers ended at one moment while
// requests like it ran on all of them, and who saw others of them end well was lost.
TEST_CASE("a request whose crashes may have one cause is tried again soon, and only once") {
  CrashSuspects suspects;
  Crash(suspects, {10, 11, 12, 13}, {kInnocent}, 1'000);
  Crash(suspects, {14}, {kInnocent}, 1'000 + kOneEventMs);
  const std::int64_t tried_ms = 1'000 + kOneEventMs + kDoubtfulQuarantineMs;
  CHECK_FALSE(HasExpiredSuspects(suspects, tried_ms - 1));
  REQUIRE(HasExpiredSuspects(suspects, tried_ms));
  ExpireSuspects(suspects, tried_ms);
  CHECK_FALSE(IsQuarantined(suspects, kInnocent));
  // One crash more, and it is held back for the whole time.
  Crash(suspects, {20}, {kInnocent}, tried_ms + 50);
  CHECK(IsQuarantined(suspects, kInnocent));
  ExpireSuspects(suspects, tried_ms + 50 + kQuarantineMs - 1);
  CHECK(IsQuarantined(suspects, kInnocent));
}

TEST_CASE("the number of suspects is bounded, and quarantined ones are forgotten last") {
  CrashSuspects suspects;
  Crash(suspects, {1, 2, 3}, {kFatal}, 0);
  for (std::size_t i = 0; i < kMaxCrashSuspects + 10; ++i)
    RecordCrash(suspects, {100, {1'000 + i}}, static_cast<std::int64_t>(i));
  CHECK(suspects.m_suspects.size() == kMaxCrashSuspects);
  CHECK(IsQuarantined(suspects, kFatal));
  CHECK_FALSE(suspects.m_suspects.contains(1'000));
}

TEST_CASE("a crash that another state counts is forgotten") {
  CrashSuspects suspects;
  Crash(suspects, {10, 11, 12}, {kFatal});
  ForgetCrash(suspects, 12);
  CHECK_FALSE(IsQuarantined(suspects, kFatal));
  ForgetCrash(suspects, 10);
  ForgetCrash(suspects, 11);
  CHECK(suspects == CrashSuspects{});
}

// ---- The replicated state -----------------------------------------------------------------------

wire::CrashReport Report(std::int64_t process, std::vector<std::int64_t> running) {
  wire::CrashReport report;
  report.process = process;
  report.running = std::move(running);
  report.now_ms = 1'000;
  return report;
}

TEST_CASE("instances are told only when the list of quarantined requests changes") {
  HostedState state;
  ApplyCrashReport(state, Report(10, {1}), 5);
  ApplyCrashReport(state, Report(11, {1, 2}), 6);
  CHECK(state.m_servers_index == 0);
  ApplyCrashReport(state, Report(12, {1}), 7);
  CHECK(state.m_servers_index == 7);
  CHECK(state.m_quarantine_index == 7);
  CHECK(QuarantineList(state) == std::vector<std::int64_t>{1});
  ApplyCrashReport(state, Report(13, {1}), 8);
  CHECK(state.m_quarantine_index == 7);
}

TEST_CASE("a report that a request had a complete response ends its quarantine") {
  HostedState state;
  for (std::int64_t process = 10; process < 13; ++process)
    ApplyCrashReport(state, Report(process, {1}), process);
  wire::CrashReport cleared;
  cleared.cleared = {1};
  cleared.now_ms = 1'000;
  ApplyCrashReport(state, cleared, 20);
  CHECK(QuarantineList(state).empty());
  CHECK(state.m_quarantine_index == 20);
}

TEST_CASE("an empty report ends a quarantine whose time is over") {
  HostedState state;
  for (std::int64_t process = 10; process < 13; ++process)
    ApplyCrashReport(state, Report(process, {1}), process);
  wire::CrashReport expiry;
  expiry.now_ms = 1'000 + kQuarantineMs;
  ApplyCrashReport(state, expiry, 20);
  CHECK(QuarantineList(state).empty());
}

// Guards against a quarantine that is lost with a snapshot, a restart or a change of the leader.
TEST_CASE("suspects and quarantine survive a snapshot") {
  StateMachine machine;
  for (std::int64_t process = 10; process < 13; ++process)
    ApplyCrashReport(machine.m_hosted, Report(process, {-1, 2}), process);
  wire::Snapshot snapshot;
  snapshot.index = 12;
  snapshot.state = SerializeStateMachine(machine);
  StateMachine restored;
  REQUIRE(RestoreStateMachine(restored, snapshot));
  CHECK(restored.m_hosted.m_crash_suspects == machine.m_hosted.m_crash_suspects);
  CHECK(restored.m_hosted.m_quarantine_index == 12);
  CHECK(restored.m_hosted.m_servers_index == 12);
}

}  // namespace
}  // namespace poppyway
