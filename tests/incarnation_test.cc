// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The registry of backend servers: a server that restarts under the same id, and late heartbeats of
// its earlier process.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr std::int64_t kFirst = 1'000;
constexpr std::int64_t kSecond = 2'000;
constexpr auto kReady = wire::ServerStage::READY;
constexpr auto kLeaving = wire::ServerStage::LEAVING;
constexpr auto kGone = wire::ServerStage::GONE;

wire::ServerRecord Heartbeat(std::int64_t started_ms,
                             std::int64_t sequence,
                             wire::ServerStage::type stage = kReady) {
  wire::ServerRecord record;
  record.id = "a";
  record.pool = "models";
  record.data_centre = "east";
  record.address = "10.0.0.1";
  record.port = 80;
  record.slots = 4;
  record.stage = stage;
  record.sequence = sequence;
  record.born = started_ms;
  return record;
}

wire::ServerRecord Removal() {
  wire::ServerRecord record;
  record.id = "a";
  record.stage = kGone;
  return record;
}

/// Returns a registry to which these records were applied in turn.
HostedState After(const std::vector<wire::ServerRecord>& records) {
  HostedState state;
  std::int64_t index = 10;
  for (const wire::ServerRecord& record : records)
    ApplyServer(state, record, index++);
  return state;
}

TEST_CASE("a later birth replaces a server's record whole, whatever stage the earlier one had") {
  for (const auto stage : {kReady, kLeaving, kGone}) {
    CAPTURE(stage);
    wire::ServerRecord earlier = Heartbeat(kFirst, 90, stage == kGone ? kReady : stage);
    earlier.version = "v1";
    earlier.cold_for_ms = 7;
    HostedState state = After({earlier});
    if (stage == kGone)
      ApplyServer(state, Removal(), 20);
    REQUIRE(state.m_servers.at("a").stage == stage);
    wire::ServerRecord later = Heartbeat(kSecond, 1);
    later.address = "10.0.0.2";
    REQUIRE(ChangesServer(state, later));
    ApplyServer(state, later, 30);
    later.index = 30;
    later.present_index = 30;  // Its registration shows it at its address.
    CHECK(state.m_servers.at("a") == later);
    CHECK(state.m_servers_index == 30);
  }
}

TEST_CASE("late heartbeats and drains of an earlier life change nothing") {
  const HostedState state = After({Heartbeat(kFirst, 90), Heartbeat(kSecond, 1)});
  CHECK_FALSE(ChangesServer(state, Heartbeat(kFirst, 91)));
  CHECK_FALSE(ChangesServer(state, Heartbeat(kFirst, 92, kLeaving)));
  wire::ServerRecord elsewhere = Heartbeat(kFirst, 93);
  elsewhere.address = "10.0.0.7";
  CHECK_FALSE(ChangesServer(state, elsewhere));
  HostedState same = state;
  ApplyServer(same, Heartbeat(kFirst, 92, kLeaving), 40);
  CHECK(same.m_servers == state.m_servers);
  CHECK(same.m_servers_index == state.m_servers_index);
}

TEST_CASE("late news of an earlier life doesn't bring a gone one back") {
  const HostedState state = After({Heartbeat(kFirst, 3), Heartbeat(kSecond, 1), Removal()});
  CHECK_FALSE(ChangesServer(state, Heartbeat(kFirst, 91)));
  CHECK_FALSE(ChangesServer(state, Heartbeat(kSecond, 2)));
  CHECK(ChangesServer(state, Heartbeat(kSecond + 1, 1)));
}

TEST_CASE("a removal carries no birth and counts for the life that is known") {
  HostedState state = After({Heartbeat(kFirst, 90), Heartbeat(kSecond, 1)});
  ApplyServer(state, Removal(), 40);
  CHECK(state.m_servers.at("a").stage == kGone);
  CHECK(state.m_servers.at("a").born == kSecond);
  CHECK(state.m_servers.at("a").pool == "models");
}

TEST_CASE("within one life the order by stage and count stays") {
  HostedState state = After({Heartbeat(kSecond, 5)});
  wire::ServerRecord late = Heartbeat(kSecond, 4);
  late.slots = 9;
  CHECK_FALSE(ChangesServer(state, late));
  late.sequence = 6;
  CHECK(ChangesServer(state, late));
  ApplyServer(state, Heartbeat(kSecond, 7, kLeaving), 41);
  CHECK_FALSE(ChangesServer(state, Heartbeat(kSecond, 8)));
}

TEST_CASE("a server at work takes over the first birth that is told, and loses it to none") {
  HostedState state = After({Heartbeat(0, 90)});
  CHECK(ChangesServer(state, Heartbeat(kFirst, 1)));
  ApplyServer(state, Heartbeat(kFirst, 1), 20);
  CHECK(state.m_servers.at("a").born == kFirst);
  CHECK(state.m_servers.at("a").sequence == 1);
  wire::ServerRecord without_start_time = Heartbeat(0, 2);
  without_start_time.slots = 9;
  ApplyServer(state, without_start_time, 21);
  CHECK(state.m_servers.at("a").slots == 9);
  CHECK(state.m_servers.at("a").born == kFirst);
}

TEST_CASE("a server that left before any birth was told stays away") {
  CHECK_FALSE(ChangesServer(After({Heartbeat(0, 3), Removal()}), Heartbeat(kFirst, 1)));
  CHECK_FALSE(ChangesServer(After({Heartbeat(0, 3, kLeaving)}), Heartbeat(kFirst, 1)));
}

TEST_CASE("a new life in a version that is held back is held back") {
  HostedState state = After({Heartbeat(kFirst, 3)});
  wire::Rollout rollout;
  rollout.pool = "models";
  rollout.target = "v2";
  rollout.stage = wire::RolloutStage::ROLLED_BACK;
  state.m_rollouts["models"] = rollout;
  wire::ServerRecord later = Heartbeat(kSecond, 1);
  later.version = "v2";
  ApplyServer(state, later, 40);
  CHECK(state.m_servers.at("a").stage == kLeaving);
}

TEST_CASE("servers of pools that no document names are kept up to a bound") {
  HostedState state;
  const auto server = [](const std::string& id, const std::string& pool) {
    wire::ServerRecord record = Heartbeat(0, 1);
    record.id = id;
    record.pool = pool;
    return record;
  };
  const std::set<std::string> named = {"models"};
  for (std::size_t i = 0; i < kMaxUnlistedPoolServers; ++i) {
    const wire::ServerRecord record = server("u" + std::to_string(i), "nowhere");
    CHECK_FALSE(ExceedsUnlistedPoolLimit(state, named, record));
    state.m_servers[record.id] = record;
  }
  CHECK(ExceedsUnlistedPoolLimit(state, named, server("one more", "nowhere")));
  CHECK(ExceedsUnlistedPoolLimit(state, named, server("one more", "elsewhere")));
  CHECK_FALSE(ExceedsUnlistedPoolLimit(state, named, server("one more", "models")));
  CHECK_FALSE(
      ExceedsUnlistedPoolLimit(state, named, server("u0", "elsewhere")));  // It is counted already.
  CHECK_FALSE(ExceedsUnlistedPoolLimit(state, named, Removal()));
  state.m_servers.at("u0").stage = kGone;
  CHECK_FALSE(ExceedsUnlistedPoolLimit(state, named, server("one more", "nowhere")));
}

}  // namespace
}  // namespace poppyway
