// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which software version began a stream, and what the broker does with requests that go on with
// one.
#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

constexpr StreamKey kStream = 7;

BackendServer EngineOf(const std::string& version, const std::string& id) {
  BackendServer server = Engine(id);
  server.m_version = version;
  return server;
}

SoftwareId Software(const std::string& version) {
  return SoftwareIdOf("engines", version);
}

/// Returns a request that goes on with a stream of which the instance knows no version.
SlotRequest TakeUp(SlotRef ref, StreamKey stream = kStream) {
  SlotRequest slot_request = WantedPlace(ref);
  slot_request.m_wait = 10 * kSecond;
  slot_request.m_continuation = {true, stream, 0};
  return slot_request;
}

SlotBatch BatchWith(const StreamOrigin& origin) {
  SlotBatch batch;
  batch.m_begun_streams.push_back(origin);
  return batch;
}

std::vector<SlotResponse> Tick(SlotBroker& broker, Instant now) {
  std::vector<SlotResponse> out;
  TickBroker(broker, now, out);
  return out;
}

}  // namespace

TEST_CASE("the version that began a stream is known for the record's age at least") {
  StreamOrigins origins;
  RecordOrigin(origins, {kStream, 5}, kStart);
  CHECK(FindOrigin(origins, kStream) == 5);
  CHECK_FALSE(FindOrigin(origins, kStream + 1));
  RecordOrigin(origins, {1, 6}, kStart + kStreamOriginAge);
  CHECK(FindOrigin(origins, kStream) == 5);
  CHECK(AllOrigins(origins).size() == 2);
  RecordOrigin(origins, {2, 6}, kStart + 2 * kStreamOriginAge);
  CHECK_FALSE(FindOrigin(origins, kStream));
}

TEST_CASE("a stream that is recorded again is not forgotten") {
  StreamOrigins origins;
  for (int i = 0; i < 4; ++i) {
    RecordOrigin(origins, {kStream, 5}, kStart + i * kStreamOriginAge);
    CHECK(FindOrigin(origins, kStream) == 5);
  }
  CHECK(AllOrigins(origins) == std::vector<StreamOrigin>{{kStream, 5}});
}

TEST_CASE("records of streams are bounded in number") {
  StreamOrigins origins;
  for (StreamKey stream = 1; stream <= 2 * kMaxStreamOrigins + 10; ++stream)
    RecordOrigin(origins, {stream, 5}, kStart);
  CHECK(AllOrigins(origins).size() <= 2 * kMaxStreamOrigins);
  CHECK(FindOrigin(origins, 2 * kMaxStreamOrigins + 10) == 5);
}

// Guards against one attempt id that two callers use, and against a server whose version is in
// doubt.
TEST_CASE("a stream of which two versions are told is of unknown version for good") {
  StreamOrigins origins;
  RecordOrigin(origins, {kStream, 5}, kStart);
  RecordOrigin(origins, {kStream, 6}, kStart);
  CHECK(FindOrigin(origins, kStream) == 0);
  RecordOrigin(origins, {kStream, 5}, kStart);
  CHECK(FindOrigin(origins, kStream) == 0);
  RecordOrigin(origins, {0, 5}, kStart);
  CHECK_FALSE(FindOrigin(origins, 0));
}

TEST_CASE("streams are told apart by workspace and attempt, versions by pool and text") {
  CHECK(StreamKeyOf("north", "a1") != StreamKeyOf("south", "a1"));
  CHECK(StreamKeyOf("north", "a1") != StreamKeyOf("north", "a2"));
  CHECK(StreamKeyOf("north", "") == 0);
  CHECK(StreamKeyOf("", std::string(100'000, 'x')) != 0);
  CHECK(SoftwareIdOf("a", "v1") != SoftwareIdOf("b", "v1"));
  CHECK(SoftwareIdOf("a", "v1") != SoftwareIdOf("a", ""));
}

TEST_CASE("the broker gives a continuation only a server of the version that began the stream") {
  SlotBroker broker =
      BrokerFor({"a"}, {EngineOf("v1", "s1"), EngineOf("v2", "s2"), EngineOf("v2", "s3")});
  std::vector<SlotResponse> out;
  ApplyBatch(broker, "a", BatchWith({kStream, Software("v1")}), kStart, out);
  CHECK(AskOnce(broker, "a", TakeUp(1)).m_server == "s1");
  CHECK(AskOnce(broker, "a", TakeUp(2)).m_server == "s1");
  CHECK(AskOnce(broker, "a", TakeUp(3)).m_verdict == SlotVerdict::kQueued);
  CHECK(AskOnce(broker, "a", WantedPlace(4)).m_server != "s1");
}

TEST_CASE("a continuation of unknown version waits for the record, then is refused as unknown") {
  SlotBroker broker = BrokerFor({"a"}, {EngineOf("v1", "s1"), EngineOf("v2", "s2")});
  CHECK(AskOnce(broker, "a", TakeUp(1)).m_verdict == SlotVerdict::kQueued);
  CHECK(AskOnce(broker, "a", TakeUp(2, kStream + 1)).m_verdict == SlotVerdict::kQueued);
  std::vector<SlotResponse> out;
  ApplyBatch(broker, "a", BatchWith({kStream, Software("v2")}), kStart, out);
  const std::vector<SlotResponse> placed = Tick(broker, kStart + kSecond / 2);
  REQUIRE(placed.size() == 1);
  CHECK(placed[0].m_server == "s2");
  CHECK(placed[0].m_software == Software("v2"));
  const std::vector<SlotResponse> refused = Tick(broker, kStart + 2 * kSecond);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].m_verdict == SlotVerdict::kUnknownStream);
}

// Guards against callers refused during calm times because a record was lost with its instance.
TEST_CASE(
    "where all servers have one version a stream without a record can only have begun there") {
  SlotBroker broker = BrokerFor({"a"}, {EngineOf("v1", "s1")});
  SetSoleVersions(broker, {{"engines", Software("v1")}});
  CHECK(AskOnce(broker, "a", TakeUp(1, 0)).m_server == "s1");
  SetServers(broker, {EngineOf("v1", "s1"), EngineOf("v2", "s2")});
  SetSoleVersions(broker, {{"engines", 0}});
  CHECK(AskOnce(broker, "a", TakeUp(2)).m_verdict == SlotVerdict::kQueued);
  SetServers(broker, {EngineOf("v2", "s2")});
  SetSoleVersions(broker, {{"engines", Software("v2")}});
  CHECK(AskOnce(broker, "a", TakeUp(3)).m_verdict == SlotVerdict::kQueued);
}

TEST_CASE("a continuation is refused at once when no server of its version stays") {
  SlotBroker broker = BrokerFor({"a"}, {EngineOf("v1", "s1"), EngineOf("v2", "s2")});
  std::vector<SlotResponse> out;
  ApplyBatch(broker, "a", BatchWith({kStream, Software("v1")}), kStart, out);
  CHECK(AskOnce(broker, "a", TakeUp(1)).m_server == "s1");
  CHECK(AskOnce(broker, "a", TakeUp(2)).m_server == "s1");
  CHECK(AskOnce(broker, "a", TakeUp(3)).m_verdict == SlotVerdict::kQueued);
  BackendServer leaving = EngineOf("v1", "s1");
  leaving.m_leaving = true;
  SetServers(broker, {leaving, EngineOf("v2", "s2")});
  CHECK(AskOnce(broker, "a", TakeUp(4)).m_verdict == SlotVerdict::kNoServer);
  const std::vector<SlotResponse> refused = Tick(broker, kStart + Duration(20'000));
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].m_verdict == SlotVerdict::kNoServer);
}

// Guards against take-ups that starve behind new streams which any server could serve.
TEST_CASE("a slot that comes free at the version's server goes to the continuation first") {
  SlotBroker broker = BrokerFor({"a"}, {EngineOf("v1", "s1"), EngineOf("v2", "s2")});
  std::vector<SlotResponse> out;
  ApplyBatch(broker, "a", BatchWith({kStream, Software("v1")}), kStart, out);
  for (SlotRef ref = 1; ref <= 4; ++ref)
    CHECK(AskOnce(broker, "a", WantedPlace(ref)).m_verdict == SlotVerdict::kPlaced);
  SlotRequest fresh = WantedPlace(5);
  fresh.m_wait = 10 * kSecond;
  CHECK(AskOnce(broker, "a", fresh).m_verdict == SlotVerdict::kQueued);
  SlotRequest late = TakeUp(6);
  late.m_expected_tokens = 5000;
  CHECK(AskOnce(broker, "a", late).m_verdict == SlotVerdict::kQueued);
  for (SlotRef ref = 1; ref <= 4; ++ref) {
    if (broker.m_instance_slots["a"].m_held.at(ref).m_server != "s1")
      continue;
    SlotReport report;
    report.m_ref = ref;
    report.m_ended = true;
    ApplyReport(broker, "a", report, kStart, out);
    break;
  }
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_ref == 6);
}

}  // namespace poppyway
