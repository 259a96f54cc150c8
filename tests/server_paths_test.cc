// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What an instance knows of its own paths to servers, and whom it asks for help.
//
// Guards against an instance that takes its own lost paths for lost servers.
#include <catch2/catch.hpp>
#include <set>

#include "poppyway/forward.h"
#include "poppyway/policy.h"
#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr std::size_t kServers = 14;
const Instant kStart{Duration(10'000'000)};
constexpr Duration kMillisecond{1'000};

TEST_CASE("an instance is cut off once others reach two servers that it doesn't") {
  ServerPaths paths;
  CHECK(RecordBrokenPath(paths, "a", kServers, kStart) == PathTransition::kNone);
  CHECK(IsPathBroken(paths, "a", kStart));
  CHECK_FALSE(IsPathBroken(paths, "b", kStart));
  CHECK(RecordBrokenPath(paths, "a", kServers, kStart) == PathTransition::kNone);
  CHECK(RecordBrokenPath(paths, "b", kServers, kStart) == PathTransition::kCutOff);
  CHECK(IsPathBroken(paths, "c", kStart));
}

TEST_CASE("an instance with one server is cut off when others reach it") {
  ServerPaths paths;
  CHECK(RecordBrokenPath(paths, "a", 1, kStart) == PathTransition::kCutOff);
}

TEST_CASE("a broken path to one server is tried again after a second") {
  ServerPaths paths;
  (void)RecordBrokenPath(paths, "a", kServers, kStart);
  CHECK(IsPathBroken(paths, "a", kStart + 999 * kMillisecond));
  CHECK_FALSE(IsPathBroken(paths, "a", kStart + 1'000 * kMillisecond));
  // Findings that are a second apart aren't of one cause.
  CHECK(RecordBrokenPath(paths, "b", kServers, kStart + 1'000 * kMillisecond) ==
        PathTransition::kNone);
}

TEST_CASE("one open path ends the cut, and it may begin again") {
  ServerPaths paths;
  (void)RecordBrokenPath(paths, "a", kServers, kStart);
  (void)RecordBrokenPath(paths, "b", kServers, kStart);
  CHECK(RecordOpenPath(paths, "c") == PathTransition::kRestored);
  CHECK_FALSE(IsPathBroken(paths, "a", kStart));
  CHECK(RecordOpenPath(paths, "c") == PathTransition::kNone);
  (void)RecordBrokenPath(paths, "a", kServers, kStart);
  CHECK(RecordBrokenPath(paths, "b", kServers, kStart) == PathTransition::kCutOff);
}

TEST_CASE("paths are probed four times a second while the instance is cut off, and only then") {
  ServerPaths paths;
  CHECK_FALSE(TakePathProbe(paths, kStart));
  (void)RecordBrokenPath(paths, "a", kServers, kStart);
  (void)RecordBrokenPath(paths, "b", kServers, kStart);
  int probes = 0;
  for (int ms = 0; ms <= 1'000; ms += 10)
    probes += TakePathProbe(paths, kStart + ms * kMillisecond) ? 1 : 0;
  CHECK(probes == 4);
}

TEST_CASE("calls to several servers that break at once say nothing of the servers") {
  ServerPaths paths;
  const Instant last_byte = kStart - 10 * kMillisecond;
  CHECK_FALSE(RecordBrokenCall(paths, "a", last_byte, kStart));
  CHECK_FALSE(RecordBrokenCall(paths, "a", last_byte, kStart + kMillisecond));
  CHECK(RecordBrokenCall(paths, "b", last_byte, kStart + 2 * kMillisecond));
  // A byte of a server in between shows that the instance reaches servers.
  CHECK_FALSE(RecordBrokenCall(paths, "c", kStart + 5 * kMillisecond, kStart + 6 * kMillisecond));
}

TEST_CASE("a helper that couldn't help is asked after the others") {
  const Endpoint a{"127.0.0.1", 1};
  const Endpoint b{"127.0.0.1", 2};
  std::vector<Helper> helpers;
  CHECK_FALSE(ChooseHelper(helpers, 0, kStart));
  SetHelpers(helpers, {a, b});
  AvoidHelper(helpers, a, kStart);
  for (std::uint64_t random = 0; random < 8; ++random)
    CHECK(ChooseHelper(helpers, random, kStart) == b);
  AvoidHelper(helpers, b, kStart + kMillisecond);
  CHECK(ChooseHelper(helpers, 0, kStart + kMillisecond) == a);
  SetHelpers(helpers, {b, a});
  CHECK(ChooseHelper(helpers, 0, kStart + kMillisecond) == a);
}

wire::Heartbeat RelayHeartbeat(int number) {
  wire::Heartbeat heartbeat;
  heartbeat.instance = "i" + std::to_string(number);
  heartbeat.incarnation = heartbeat.instance + "-1";
  heartbeat.address = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250);
  heartbeat.port = 7600;
  heartbeat.relay_port = 7605;
  return heartbeat;
}

// Guards against a few instances that all cut-off ones of a large deployment ask for help.
TEST_CASE("985 instances are helped by all others alike, and by none that can't help") {
  constexpr int kInstances = 985;
  constexpr int kCutOff = 140;  // A data centre.
  InstanceTable table = MakeInstanceTable(Duration(1'500'000), Duration(500'000), kStart);
  for (int i = 0; i < kInstances; ++i) {
    wire::Heartbeat heartbeat = RelayHeartbeat(i);
    heartbeat.cut_off = i < kCutOff;
    heartbeat.stopping = i == kInstances - 1;
    RecordHeartbeat(table, heartbeat, kStart);
  }
  std::map<std::string, int> asked;
  for (int i = 0; i < kCutOff; ++i) {
    const wire::Heartbeat heartbeat = RelayHeartbeat(i);
    const auto helpers = ChooseHelpers(table, heartbeat, MixHash(Hash(heartbeat.incarnation), 7),
                                       kStart + kMillisecond);
    CHECK(helpers.size() >= kMaxHelpers - 2);
    CHECK(helpers.size() <= kMaxHelpers);
    for (const wire::PeerAddress& helper : helpers)
      ++asked[helper.address];
  }
  for (int i = 0; i < kCutOff; ++i)
    CHECK(asked.count(RelayHeartbeat(i).address) == 0);
  CHECK(asked.count(RelayHeartbeat(kInstances - 1).address) == 0);
  int most = 0;
  for (const auto& [address, times] : asked)
    most = std::max(most, times);
  CHECK(most <= 8);  // 840 places among 844 helpers.
}

TEST_CASE("an instance doesn't help itself, and the only other one does") {
  InstanceTable table = MakeInstanceTable(Duration(1'500'000), Duration(500'000), kStart);
  RecordHeartbeat(table, RelayHeartbeat(1), kStart);
  CHECK(ChooseHelpers(table, RelayHeartbeat(1), 5, kStart).empty());
  RecordHeartbeat(table, RelayHeartbeat(2), kStart);
  const auto helpers = ChooseHelpers(table, RelayHeartbeat(1), 5, kStart + Duration(300'000));
  REQUIRE(helpers.size() == 1);
  CHECK(helpers[0].address == RelayHeartbeat(2).address);
}

}  // namespace
}  // namespace poppyway
