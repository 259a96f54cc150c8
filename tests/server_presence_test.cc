// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which of the servers that registered at one address is there now, in the replicated state.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

namespace poppyway {
namespace {

constexpr Duration kHeartbeat{1'200'000};
const Instant kNow{Duration(100'000'000)};

/// A state, the log index of its next entry, and what its leader has heard.
struct Registry {
  HostedState m_state;
  std::int64_t m_index = 10;
  ContradictingHeartbeats m_heartbeats;
  Instant m_now = kNow;
  int m_presences = 0;
};

wire::ServerRecord MakeRecord(const std::string& id, std::int64_t sequence, int cold_ms = 0) {
  wire::ServerRecord record;
  record.id = id;
  record.pool = "app";
  record.address = "10.0.0.1";
  record.port = 8080;
  record.slots = 4;
  record.version = "v1";
  record.sequence = sequence;
  record.cold_for_ms = cold_ms;
  return record;
}

wire::ServerRecord MakeRemoval(const std::string& id) {
  wire::ServerRecord record;
  record.id = id;
  record.stage = wire::ServerStage::GONE;
  return record;
}

/// Handles a heartbeat as a leader does.
void Receive(Registry& registry, const wire::ServerRecord& heartbeat) {
  if (ContradictsState(registry.m_state, heartbeat)) {
    if (const std::optional<wire::ServerPresence> presence = RecordContradictingHeartbeat(
            registry.m_heartbeats, registry.m_state, heartbeat, registry.m_now)) {
      ApplyServerPresence(registry.m_state, *presence, registry.m_index++);
      ++registry.m_presences;
    }
  }
  if (ChangesServer(registry.m_state, heartbeat))
    ApplyServer(registry.m_state, heartbeat, registry.m_index++);
}

bool TakesWork(const Registry& registry, const std::string& id) {
  const wire::ServerRecord& record = registry.m_state.m_servers.at(id);
  return record.stage == wire::ServerStage::READY && !IsReplaced(registry.m_state, record);
}

/// Registers server `old`, which crashes, and `next` at the same address.
Registry MakeSuccession() {
  Registry registry;
  Receive(registry, MakeRecord("old", 1, 1'000));
  Receive(registry, MakeRecord("next", 1));
  REQUIRE_FALSE(TakesWork(registry, "old"));
  REQUIRE(TakesWork(registry, "next"));
  return registry;
}

// Guards against a heartbeat that arrives after its sender's end and hides the running server.
TEST_CASE("a late heartbeat that changes the record of an ended server hides no other") {
  wire::ServerRecord warm = MakeRecord("old", 2);
  wire::ServerRecord drains = MakeRecord("old", 2, 1'000);
  drains.stage = wire::ServerStage::LEAVING;
  wire::ServerRecord other_slots = MakeRecord("old", 2, 1'000);
  other_slots.slots = 9;
  wire::ServerRecord other_version = MakeRecord("old", 2, 1'000);
  other_version.version = "v2";
  for (const wire::ServerRecord& late :
       {warm, drains, other_slots, other_version, MakeRemoval("old")}) {
    Registry registry = MakeSuccession();
    Receive(registry, late);
    CHECK(registry.m_state.m_servers.at("old").index == 12);
    CHECK(TakesWork(registry, "next"));
    CHECK_FALSE(TakesWork(registry, "old"));
  }
}

TEST_CASE("a single late heartbeat of a known server brings nothing back") {
  Registry registry = MakeSuccession();
  Receive(registry, MakeRecord("old", 2, 1'000));
  Receive(registry, MakeRecord("old", 3, 1'000));  // Delayed together with the one before.
  CHECK(registry.m_presences == 0);
  CHECK(TakesWork(registry, "next"));
}

// Guards against a belief that only a change of the running server's record would end.
TEST_CASE("a server hidden by the first heartbeat of an ended one returns with two heartbeats") {
  Registry registry;
  Receive(registry, MakeRecord("running", 1));
  Receive(registry, MakeRecord("ended", 1, 1'000));
  CHECK_FALSE(TakesWork(registry, "running"));
  registry.m_now += kHeartbeat;
  Receive(registry, MakeRecord("running", 2));
  registry.m_now += kHeartbeat;
  Receive(registry, MakeRecord("running", 3));
  CHECK(TakesWork(registry, "running"));
  CHECK_FALSE(TakesWork(registry, "ended"));
  const std::int64_t entries = registry.m_index;
  for (int i = 4; i < 20; ++i) {
    registry.m_now += kHeartbeat;
    Receive(registry, MakeRecord("running", i));
  }
  CHECK(registry.m_index == entries);  // Steady heartbeats make no entries.
}

TEST_CASE("the first word of an ended server that drains hides no other") {
  Registry registry;
  Receive(registry, MakeRecord("running", 1));
  wire::ServerRecord drains = MakeRecord("ended", 1);
  drains.stage = wire::ServerStage::LEAVING;
  Receive(registry, drains);
  CHECK(TakesWork(registry, "running"));
}

TEST_CASE("an ended server stays away when its successor drains and is gone") {
  Registry registry = MakeSuccession();
  wire::ServerRecord drains = MakeRecord("next", 2);
  drains.stage = wire::ServerStage::LEAVING;
  Receive(registry, drains);
  CHECK_FALSE(TakesWork(registry, "old"));
  Receive(registry, MakeRemoval("next"));
  CHECK_FALSE(TakesWork(registry, "old"));
}

TEST_CASE("two servers that are heard at one address in turn make ever fewer entries") {
  Registry registry = MakeSuccession();
  constexpr int kHeartbeats = 3'000;  // An hour.
  for (int i = 2; i < kHeartbeats; ++i) {
    registry.m_now += kHeartbeat;
    Receive(registry, MakeRecord("old", i, 1'000));
    Receive(registry, MakeRecord("next", i));
  }
  CHECK(registry.m_presences < kHeartbeats / 30);
  CHECK(TakesWork(registry, "old") != TakesWork(registry, "next"));
}

// Guards against servers that drive one another out of the count before any of them is steady.
TEST_CASE("all servers of a large deployment that were hidden at once return") {
  constexpr int kServers = 11'400;  // Twice the planned size.
  Registry registry;
  const auto make = [](const std::string& id, int i, std::int64_t sequence) {
    wire::ServerRecord record = MakeRecord(id + std::to_string(i), sequence);
    record.port = i;
    return record;
  };
  for (int i = 0; i < kServers; ++i) {
    Receive(registry, make("running", i, 1));
    Receive(registry, make("ended", i, 1));
  }
  for (int sequence = 2; sequence <= 3; ++sequence) {
    registry.m_now += kHeartbeat;
    for (int i = 0; i < kServers; ++i)
      Receive(registry, make("running", i, sequence));
  }
  int hidden = 0;
  for (int i = 0; i < kServers; ++i)
    hidden += TakesWork(registry, "running" + std::to_string(i)) ? 0 : 1;
  CHECK(hidden == 0);
}

TEST_CASE("a server that responded in place of another one is present") {
  Registry registry;
  Receive(registry, MakeRecord("running", 1));
  Receive(registry, MakeRecord("ended", 1, 1'000));
  const auto presence =
      RecordResponse(registry.m_heartbeats, registry.m_state, "running", "ended", registry.m_now);
  REQUIRE(presence);
  ApplyServerPresence(registry.m_state, *presence, registry.m_index++);
  CHECK(TakesWork(registry, "running"));
  // Other instances report the same.
  CHECK_FALSE(
      RecordResponse(registry.m_heartbeats, registry.m_state, "running", "ended", registry.m_now));
  CHECK_FALSE(
      RecordResponse(registry.m_heartbeats, registry.m_state, "unknown", "ended", registry.m_now));
}

TEST_CASE("the owners of addresses are the same after a snapshot") {
  StateMachine machine;
  Registry registry = MakeSuccession();
  Receive(registry, MakeRecord("old", 2));
  machine.m_hosted = registry.m_state;
  wire::Snapshot snapshot;
  snapshot.index = 40;
  snapshot.state = SerializeStateMachine(machine);
  StateMachine loaded;
  REQUIRE(RestoreStateMachine(loaded, snapshot));
  CHECK(loaded.m_hosted.m_address_owners == registry.m_state.m_address_owners);
}

TEST_CASE("a record of an earlier build counts by its last change until the server is heard") {
  Registry registry;
  wire::ServerRecord running = MakeRecord("running", 1);
  running.index = 3;
  wire::ServerRecord ended = MakeRecord("ended", 2);
  ended.index = 7;
  wire::ServerRecord gone = MakeRecord("gone", 2);
  gone.index = 9;
  gone.stage = wire::ServerStage::GONE;
  for (const wire::ServerRecord& record : {running, ended, gone})
    registry.m_state.m_servers[record.id] = record;
  RebuildAddressOwners(registry.m_state);
  CHECK_FALSE(TakesWork(registry, "running"));
  for (int i = 2; i < 4; ++i) {
    registry.m_now += kHeartbeat;
    Receive(registry, MakeRecord("running", i));
  }
  CHECK(TakesWork(registry, "running"));
}

// Guards against a removal of an earlier process that takes a server out that keeps its id.
TEST_CASE("a removal ends once the server has been heard steadily for half a minute") {
  Registry registry;
  Receive(registry, MakeRecord("server", 1));
  Receive(registry, MakeRemoval("server"));
  const Instant removed = registry.m_now;
  int sequence = 2;
  while (!TakesWork(registry, "server") && sequence < 100) {
    registry.m_now += kHeartbeat;
    Receive(registry, MakeRecord("server", sequence++));
  }
  CHECK(registry.m_now - removed >= Duration(30'000'000));
  CHECK(registry.m_now - removed <= Duration(33'000'000));
}

TEST_CASE("a server that a roll-out took out of use isn't brought back by its heartbeats") {
  Registry registry;
  Receive(registry, MakeRecord("server", 1));
  wire::Rollout rollout;
  rollout.pool = "app";
  rollout.target = "v2";
  rollout.stage = wire::RolloutStage::COMPLETED;
  registry.m_state.m_rollouts["app"] = rollout;
  registry.m_state.m_servers.at("server").stage = wire::ServerStage::LEAVING;
  for (int i = 2; i < 60; ++i) {
    registry.m_now += kHeartbeat;
    Receive(registry, MakeRecord("server", i));
  }
  CHECK_FALSE(TakesWork(registry, "server"));
}

}  // namespace
}  // namespace poppyway
