// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Servers that end if they must reject more requests in a second than they state.
//
// Guards against instances that send a full server more and more: each counts at most its own
// rejections, and a server that ends takes all of its requests with it.
#include "fake_broker.h"
#include "forwarder_fixture.h"
#include "poppyway/platform.h"
#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

constexpr double kMaxRejections = 6;
const Instant kSent = kStart - Duration(1);

TEST_CASE("a brittle server gets nothing more for a second after half of its rejections") {
  Brittleness brittleness;
  CHECK(MayRiskRejection(brittleness, 1, kStart));
  CHECK(ApplyStatedBrittleness(brittleness, kMaxRejections, kSent, kStart));
  CHECK_FALSE(ApplyStatedBrittleness(brittleness, kMaxRejections, kSent, kStart));
  for (int i = 0; i < 2; ++i) {
    RecordRejection(brittleness, kStart);
    CHECK(MayRiskRejection(brittleness, 1, kStart));
  }
  RecordRejection(brittleness, kStart);
  CHECK_FALSE(MayRiskRejection(brittleness, 1, kStart + Duration(999'999)));
  CHECK(MayRiskRejection(brittleness, 1, kStart + Duration(1'000'000)));
}

TEST_CASE("an older response without the statement doesn't end it, a newer one does") {
  Brittleness brittleness;
  ApplyStatedBrittleness(brittleness, kMaxRejections, kSent, kStart);
  CHECK_FALSE(ApplyStatedBrittleness(brittleness, std::nullopt, kSent, kStart + kSecond));
  CHECK(ApplyStatedBrittleness(brittleness, std::nullopt, kStart + Duration(1), kStart + kSecond));
  CHECK(MayRiskRejection(brittleness, 1, kStart));
}

TEST_CASE("instances without a broker share the rejections that a server stands") {
  Brittleness brittleness;
  ApplyStatedBrittleness(brittleness, kMaxRejections, kSent, kStart);
  RecordRejection(brittleness, kStart);
  CHECK(MayRiskRejection(brittleness, 1, kStart));
  CHECK_FALSE(MayRiskRejection(brittleness, 6, kStart));
}

SlotReport Rejected(SlotRef ref) {
  SlotReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_may_have_run = false;
  report.m_health_signal = HealthSignal::kFailure;
  report.m_head = true;
  report.m_max_rejections = kMaxRejections;
  return report;
}

TEST_CASE("the broker counts the rejections that all instances report") {
  SlotBroker broker = BrokerFor({"a", "b", "c"}, {Engine("s")});
  broker.m_pools["engines"].m_servers[0].m_slots = 20;
  std::vector<SlotResponse> out;
  const std::string instances[] = {"a", "b", "c"};
  for (int i = 0; i < 3; ++i) {
    REQUIRE(AskOnce(broker, instances[i], WantedPlace(i + 1)).m_verdict == SlotVerdict::kPlaced);
    ApplyReport(broker, instances[i], Rejected(i + 1), kStart, out);
  }
  CHECK(AskOnce(broker, "a", WantedPlace(9)).m_verdict != SlotVerdict::kPlaced);
}

/// Returns a request for a plain service, which has a queue of its own.
SlotRequest PlainPlace(SlotRef ref) {
  SlotRequest slot_request = WantedPlace(ref);
  slot_request.m_shape.m_prompt_tokens = 0;
  return slot_request;
}

TEST_CASE("nothing is queued at a brittle plain server") {
  SlotBroker broker = BrokerFor({"a"}, {Engine("s")});  // Two slots.
  std::vector<SlotResponse> out;
  REQUIRE(AskOnce(broker, "a", PlainPlace(1)).m_verdict == SlotVerdict::kPlaced);
  SlotReport head;
  head.m_ref = 1;
  head.m_head = true;
  head.m_max_rejections = kMaxRejections;
  ApplyReport(broker, "a", head, kStart, out);
  CHECK(AskOnce(broker, "a", PlainPlace(2)).m_verdict == SlotVerdict::kPlaced);
  CHECK(AskOnce(broker, "a", PlainPlace(3)).m_verdict != SlotVerdict::kPlaced);
}

TEST_CASE("a new broker is told which servers are brittle") {
  SlotBroker broker = BrokerFor({"a"}, {Engine("s")});
  ServerNotice notice;
  notice.m_server = "s";
  notice.m_max_rejections = kMaxRejections;
  ApplyServerNotice(broker, "a", notice, kStart);
  CHECK(broker.m_pools["engines"].m_brittleness[0].m_max_rejections == kMaxRejections);
}

TEST_CASE("the statement of a brittle server is decoded, and reported if it can't be") {
  const ProtocolAdapter adapter = platform::MakeProtocolAdapter();
  CHECK(adapter.m_decode_response(200, {{"server-brittle", " 4 "}}).m_max_rejections == 4);
  CHECK_FALSE(adapter.m_decode_response(200, {}).m_max_rejections);
  const ServerResponse odd = adapter.m_decode_response(200, {{"server-brittle", "soon"}});
  CHECK_FALSE(odd.m_max_rejections);
  CHECK(odd.m_unreadable == "server-brittle");
}

TEST_CASE("an instance without a broker queues nothing at a brittle server, and tells a new one") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Wait(300), Send(MakeResponseHead(request, "server-brittle: 4\r\ncontent-length: 0\r\n"))};
  });
  ForwarderFixture fixture;
  fixture.Register("s", server);
  REQUIRE(Call(fixture, Request("/safe/x", "r0")).status() == 200);
  std::vector<std::unique_ptr<BackgroundCall>> calls;
  for (int i = 1; i <= 8; ++i)
    calls.push_back(
        std::make_unique<BackgroundCall>(fixture, Request("/safe/x", "r" + std::to_string(i))));
  fixture.m_loop.RunFor(200);
  CHECK(server.requests().size() <= 1 + 4);  // Four slots.
  for (auto& call : calls)
    (void)call->AwaitResponse(fixture);
  FakeBroker broker(fixture);
  REQUIRE(broker.ReceivedNotices().size() == 1);
  CHECK(broker.ReceivedNotices()[0].m_max_rejections == 4);
}

}  // namespace
}  // namespace poppyway
