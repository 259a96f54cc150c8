// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

namespace poppyway {
namespace {

wire::Document MakeDocument(std::int64_t version, const std::string& body) {
  wire::Document document;
  document.version = version;
  document.body = body;
  return document;
}

wire::ServerRecord MakeServer(const std::string& id, wire::ServerStage::type stage, int sequence) {
  wire::ServerRecord record;
  record.id = id;
  record.pool = stage == wire::ServerStage::GONE ? "" : "models";
  record.address = "10.0.0.1";
  record.port = 80;
  record.slots = 4;
  record.stage = stage;
  record.sequence = sequence;
  return record;
}

wire::LogEntry Entry(std::int64_t index, const wire::Command& command) {
  wire::LogEntry entry;
  entry.index = index;
  entry.term = 1;
  entry.command = command;
  return entry;
}

TEST_CASE("the document with the highest version prevails, whatever comes later") {
  HostedState state;
  ApplyDocument(state, MakeDocument(7, "seven"));
  ApplyDocument(state, MakeDocument(5, "five"));
  ApplyDocument(state, MakeDocument(7, "other content"));
  CHECK(state.m_document.body == "seven");
  ApplyDocument(state, MakeDocument(9, "nine"));
  CHECK(state.m_document.body == "nine");
}

TEST_CASE("a server that leaves or is gone never returns to work") {
  HostedState state;
  ApplyServer(state, MakeServer("a", wire::ServerStage::READY, 1), 10);
  ApplyServer(state, MakeServer("a", wire::ServerStage::LEAVING, 5), 11);
  ApplyServer(state, MakeServer("a", wire::ServerStage::READY, 4), 12);
  CHECK(state.m_servers.at("a").stage == wire::ServerStage::LEAVING);
  ApplyServer(state, MakeServer("a", wire::ServerStage::GONE, 0), 13);
  ApplyServer(state, MakeServer("a", wire::ServerStage::READY, 9), 14);
  CHECK(state.m_servers.at("a").stage == wire::ServerStage::GONE);
  CHECK(state.m_servers.at("a").pool == "models");
  CHECK(state.m_servers_index == 13);
}

TEST_CASE("a heartbeat that tells nothing new changes nothing") {
  HostedState state;
  ApplyServer(state, MakeServer("a", wire::ServerStage::READY, 1), 10);
  CHECK_FALSE(ChangesServer(state, MakeServer("a", wire::ServerStage::READY, 2)));
  CHECK(ChangesServer(state, MakeServer("a", wire::ServerStage::LEAVING, 2)));
  CHECK(ChangesServer(state, MakeServer("b", wire::ServerStage::READY, 1)));
}

TEST_CASE("a late call is known by its sequence") {
  HostedState state;
  ApplyServer(state, MakeServer("a", wire::ServerStage::READY, 5), 10);
  wire::ServerRecord late = MakeServer("a", wire::ServerStage::READY, 4);
  late.slots = 9;
  CHECK_FALSE(ChangesServer(state, late));
  late.sequence = 6;
  CHECK(ChangesServer(state, late));
}

TEST_CASE("a reader gets what changed after its index") {
  HostedState state;
  ApplyServer(state, MakeServer("a", wire::ServerStage::READY, 1), 10);
  ApplyServer(state, MakeServer("b", wire::ServerStage::READY, 1), 12);
  CHECK(ServersSince(state, 0).size() == 2);
  CHECK(ServersSince(state, 10).size() == 1);
  CHECK(ServersSince(state, 12).empty());
}

TEST_CASE("gone servers are remembered, but not without bound") {
  HostedState state;
  for (std::size_t i = 0; i < kMaxGoneServers + 50; ++i)
    ApplyServer(state, MakeServer(std::to_string(i), wire::ServerStage::GONE, 0),
                static_cast<std::int64_t>(i) + 1);
  CHECK(state.m_servers.size() <= kMaxGoneServers + 1);
  CHECK(state.m_servers.contains(std::to_string(kMaxGoneServers + 49)));
}

TEST_CASE("document and servers survive a snapshot byte for byte") {
  StateMachine machine;
  wire::Command document;
  document.__set_document(MakeDocument(3, std::string("{\"a\":\"\\u0000\"}\n\0x", 18)));
  wire::Command server;
  server.__set_server(MakeServer("a", wire::ServerStage::LEAVING, 2));
  (void)ApplyEntry(machine, Entry(1, document));
  (void)ApplyEntry(machine, Entry(2, server));
  wire::Snapshot snapshot;
  snapshot.index = 2;
  snapshot.state = SerializeStateMachine(machine);
  StateMachine loaded;
  REQUIRE(RestoreStateMachine(loaded, snapshot));
  CHECK(loaded.m_hosted.m_document == machine.m_hosted.m_document);
  CHECK(loaded.m_hosted.m_servers == machine.m_hosted.m_servers);
  CHECK(loaded.m_hosted.m_servers_index == 2);
}

}  // namespace
}  // namespace poppyway
