// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The broker and servers that start again under their id.
#include <catch2/catch.hpp>

#include "place_rig.h"

namespace poppyway {
namespace {

constexpr Duration kMilli{1'000};

PlaceServer Server(std::int64_t born, const std::string& address = "10.0.0.1") {
  PlaceServer server = Engine("s0");
  server.m_born = born;
  server.m_address = address;
  server.m_port = 80;
  return server;
}

PlaceBroker BrokerWith(const PlaceServer& server) {
  return BrokerFor({"a"}, {server});
}

PlaceAnswer AskFor(PlaceBroker& broker, PlaceRef ref) {
  PlaceAsk ask = WantedPlace(ref);
  ask.m_expected_tokens = 100;
  ask.m_parts = {{77, 600}};
  return AskOnce(broker, "a", std::move(ask));
}

PlaceReport End(PlaceRef ref, ServerSign sign) {
  PlaceReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_sign = sign;
  report.m_service = 300 * kMilli;
  return report;
}

void Tell(PlaceBroker& broker, const PlaceReport& report) {
  std::vector<PlaceAnswer> out;
  Report(broker, "a", report, kStart + kMilli, out);
}

const ServerView& ViewOf(const PlaceBroker& broker) {
  return broker.m_pools.at("engines").m_views[0];
}

const ServerHealth& HealthOf(const PlaceBroker& broker) {
  return broker.m_pools.at("engines").m_health[0];
}

TEST_CASE("a place says at which life of its server it is, and where that is") {
  PlaceBroker broker = BrokerWith(Server(5));
  const PlaceAnswer answer = AskFor(broker, 1);
  CHECK(answer.m_verdict == PlaceVerdict::kPlaced);
  CHECK(answer.m_born == 5);
  CHECK(answer.m_address == "10.0.0.1");
  CHECK(answer.m_port == 80);
}

TEST_CASE("a server that started again is empty, whatever is held at its earlier life") {
  for (const std::string address : {"10.0.0.1", "10.0.0.2"}) {
    PlaceBroker broker = BrokerWith(Server(5));
    (void)AskFor(broker, 1);
    (void)AskFor(broker, 2);
    CHECK(AskFor(broker, 3).m_verdict == PlaceVerdict::kQueued);
    Withdraw(broker, "a", 3);
    SetServers(broker, {Server(9, address)});
    CHECK(ViewOf(broker).m_others == 0);
    CHECK(ViewOf(broker).m_reading_tokens == 0);
    const PlaceAnswer answer = AskFor(broker, 4);
    CHECK(answer.m_verdict == PlaceVerdict::kPlaced);
    CHECK(answer.m_born == 9);
    CHECK(answer.m_address == address);
  }
}

TEST_CASE("what ends at an earlier life frees no place at the later one and teaches nothing") {
  PlaceBroker broker = BrokerWith(Server(5));
  (void)AskFor(broker, 1);
  (void)AskFor(broker, 2);
  SetServers(broker, {Server(9)});
  (void)AskFor(broker, 3);
  const ServerPace pace = ViewOf(broker).m_pace;
  PlaceReport first;
  first.m_ref = 1;
  first.m_first = 90 * kMilli;
  first.m_tokens_read = 600;
  Tell(broker, first);
  CHECK(ViewOf(broker).m_reading_tokens == 600);
  for (const PlaceRef ref : {1, 2})
    Tell(broker, End(ref, ServerSign::kUnreachable));
  CHECK(ViewOf(broker).m_others == 1);
  CHECK(ViewOf(broker).m_reading_tokens == 600);
  CHECK(ViewOf(broker).m_pace == pace);
  CHECK(HealthOf(broker) == ServerHealth{});
  Tell(broker, End(3, ServerSign::kGood));
  CHECK(ViewOf(broker).m_others == 0);
  CHECK(ViewOf(broker).m_reading_tokens == 0);
  CHECK_FALSE(ViewOf(broker).m_pace == pace);
}

TEST_CASE("of an earlier life only the pace stays known") {
  PlaceBroker broker = BrokerWith(Server(5));
  (void)AskFor(broker, 1);
  Tell(broker, End(1, ServerSign::kGood));
  const ServerPace pace = ViewOf(broker).m_pace;
  REQUIRE_FALSE(pace == ServerPace{});
  for (const PlaceRef ref : {2, 3}) {
    (void)AskFor(broker, ref);
    Tell(broker, End(ref, ServerSign::kUnreachable));
  }
  REQUIRE(Avoided(HealthOf(broker), kStart + kMilli));
  SetServers(broker, {Server(9)});
  CHECK(HealthOf(broker) == ServerHealth{});
  (void)AskFor(broker, 4);
  CHECK(ViewOf(broker).m_kept_tokens == 0);
}

TEST_CASE("an instance that goes tells nothing of the later life either") {
  PlaceBroker broker = BrokerWith(Server(5));
  (void)AskFor(broker, 1);
  SetServers(broker, {Server(9)});
  (void)AskFor(broker, 2);
  std::vector<PlaceAnswer> out;
  DropHolder(broker, "a", kStart, out);
  CHECK(ViewOf(broker).m_others == 0);
  CHECK(ViewOf(broker).m_reading_tokens == 0);
}

TEST_CASE("a place told anew counts only at the life where it is held") {
  HeldPlace held;
  held.m_server = "s0";
  held.m_reading_tokens = 50;
  PlaceBroker broker = BrokerWith(Server(9));
  held.m_ref = 1;
  held.m_born = 5;
  Hold(broker, "a", held, kStart);
  CHECK(ViewOf(broker).m_others == 0);
  held.m_ref = 2;
  held.m_born = 9;
  Hold(broker, "a", held, kStart);
  held.m_ref = 3;
  held.m_born = 0;  // Its instance had no word of the birth.
  Hold(broker, "a", held, kStart);
  CHECK(ViewOf(broker).m_others == 2);
  held.m_ref = 4;
  held.m_born = 12;  // Its instance has heard of the next life first.
  Hold(broker, "a", held, kStart);
  CHECK(ViewOf(broker).m_others == 2);
  SetServers(broker, {Server(12)});
  CHECK(ViewOf(broker).m_others == 1);
  CHECK(ViewOf(broker).m_reading_tokens == 50);
  for (const PlaceRef ref : {1, 2, 3, 4})
    Tell(broker, End(ref, ServerSign::kGood));
  CHECK(ViewOf(broker).m_others == 0);
  CHECK(ViewOf(broker).m_reading_tokens == 0);
}

TEST_CASE("places stay counted when a birth is told for the first time, and not after the next") {
  PlaceBroker broker = BrokerWith(Server(0));
  (void)AskFor(broker, 1);
  (void)AskFor(broker, 2);
  SetServers(broker, {Server(5)});
  CHECK(ViewOf(broker).m_others == 2);
  Tell(broker, End(1, ServerSign::kGood));
  CHECK(ViewOf(broker).m_others == 1);
  SetServers(broker, {Server(9)});
  CHECK(ViewOf(broker).m_others == 0);
  Tell(broker, End(2, ServerSign::kGood));
  CHECK(ViewOf(broker).m_others == 0);
}

TEST_CASE("a version under trial answers for what its earlier lives did") {
  PlaceServer server = Server(5);
  server.m_version = "v2";
  PlaceServer other = Server(1);
  other.m_id = "s1";
  other.m_version = "v1";
  PlaceBroker broker = BeginBroker(1, 7, Duration(4'500'000), kStart);
  SetServers(broker, {server, other});
  SetRollouts(broker, {{"engines", {1, "v2", false, 0, 1'000}}}, {});
  Resync(broker, "a", 1, kStart);
  HeldPlace held;
  held.m_ref = 1;
  held.m_server = "s0";
  held.m_born = 5;
  Hold(broker, "a", held, kStart);
  server.m_born = 9;
  server.m_version = "v1";
  SetServers(broker, {server, other});
  REQUIRE(broker.m_pools.at("engines").m_trial);
  const auto bad = broker.m_pools.at("engines").m_trial->m_bad_runs;
  PlaceReport report = End(1, ServerSign::kBad);
  report.m_failed = true;
  Tell(broker, report);
  CHECK(broker.m_pools.at("engines").m_trial->m_bad_runs == bad + 1);
}

}  // namespace
}  // namespace poppyway
