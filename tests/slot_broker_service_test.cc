// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The slot broker of a member and its connections to instances.
#include "slot_broker_service.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "loopback.h"
#include "poppyway/wire.h"

namespace poppyway {
namespace {

constexpr int kPortTries = 20;
constexpr std::int64_t kTerm = 3;
constexpr int kRoundTripMillis = 50;
constexpr int kWaitMillis = 100;
const std::string kPool = "engines";

HostedState OneServerWithOneSlot() {
  wire::ServerRecord record;
  record.id = "s";
  record.pool = kPool;
  record.address = "127.0.0.1";
  record.port = 1;
  record.slots = 1;
  record.stage = wire::ServerStage::READY;
  record.index = 1;
  HostedState state;
  ApplyServer(state, record, 1);
  return state;
}

wire::PlaceAsk Ask(SlotRef ref) {
  wire::PlaceAsk ask;
  ask.ref = static_cast<std::int64_t>(ref);
  ask.pool = kPool;
  ask.prompt_tokens = 600;  // Engines have no queue.
  ask.aim_ms = 10'000;
  ask.left_ms = 10'000;
  ask.wait_ms = kWaitMillis;
  return ask;
}

/// A broker, and an instance that is connected to it.
class BrokerAndInstance {
 public:
  BrokerAndInstance() {
    Listen();
    m_instance->SetOnPush([this](const wire::Body& body) {
      for (const wire::PlaceAnswer& answer : body.place_answers.answers)
        m_answers.push_back(answer);
    });
    m_service.OnLeadershipGained(kTerm, OneServerWithOneSlot(), Duration(0), ReadClock());
  }

  /// Sends requests for slots and handles the answers to them.
  void Request(std::vector<wire::PlaceAsk> asks) {
    wire::PlaceBatch batch;
    batch.incarnation = "edge";
    batch.epoch = kTerm;
    batch.resync = true;
    batch.instances = 1;
    batch.asks = std::move(asks);
    wire::Body body;
    body.__set_place_batch(batch);
    m_instance->Notify(std::move(body));
    m_loop.RunFor(kRoundTripMillis);
  }
  /// Lets the broker act on what waits, and handles its answers.
  void Tick(bool may_decide) {
    m_service.Tick(may_decide, ReadClock());
    m_loop.RunFor(kRoundTripMillis);
  }
  void RunFor(int millis) { m_loop.RunFor(millis); }
  /// Returns the verdicts that the instance has received.
  [[nodiscard]] std::vector<wire::PlaceVerdict::type> Verdicts() const {
    std::vector<wire::PlaceVerdict::type> verdicts;
    for (const wire::PlaceAnswer& answer : m_answers)
      verdicts.push_back(answer.verdict);
    return verdicts;
  }

 private:
  /// Listens on a free port. Another test's process may take it before.
  void Listen() {
    Result<void> listening;
    std::uint16_t port = 0;
    for (int i = 0; i < kPortTries; ++i) {
      const test::LoopbackListener free = test::ListenOnLoopback(1);
      close(free.m_fd);
      port = free.m_port;
      m_server.emplace(
          m_loop,
          [this](PeerConnection& from, const wire::Envelope& envelope) {
            m_service.OnBatch(envelope.body.place_batch, from, true, ReadClock());
          },
          [](const Error& /*why*/) {});
      listening = m_server->Listen("127.0.0.1", port);
      if (listening)
        break;
    }
    REQUIRE(listening);
    m_instance = std::make_unique<PeerClient>(m_loop, "127.0.0.1", port);
  }

  EventLoop m_loop;
  SlotBrokerService m_service{{}, {1, 50, 1}, {}};
  std::optional<PeerServer> m_server;
  std::unique_ptr<PeerClient> m_instance;
  std::vector<wire::PlaceAnswer> m_answers;
};

// Guards against a leader that stood still and answers what has waited at it since, although
// another member leads by then and knows other servers: a slot would be granted twice, or a stream
// go on at a server of another version.
TEST_CASE("a leader that isn't confirmed answers no request that waits for a slot") {
  BrokerAndInstance both;
  std::vector<wire::PlaceAsk> asks;  // More than the server has room for.
  for (SlotRef ref = 1; ref <= 50; ++ref)
    asks.push_back(Ask(ref));
  both.Request(asks);
  const std::vector<wire::PlaceVerdict::type> first = both.Verdicts();
  REQUIRE(first.size() == asks.size());
  REQUIRE(first.back() == wire::PlaceVerdict::QUEUED);
  both.RunFor(2 * kWaitMillis);
  both.Tick(false);
  CHECK(both.Verdicts() == first);
  both.Tick(true);
  REQUIRE(both.Verdicts().size() > first.size());
  CHECK(both.Verdicts().back() == wire::PlaceVerdict::NO_ROOM);
}

}  // namespace
}  // namespace poppyway
