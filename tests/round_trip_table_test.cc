// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Round-trip times between regions: how they are learned and what they add to the choice of a
// server.
#include <catch2/catch.hpp>
#include <random>

#include "forwarder_fixture.h"

namespace poppyway {
namespace {

const Instant kStart{Duration(10'000'000)};
constexpr Duration kTrip{60'000};

ServerView Service(int at_work, Duration round_trip) {
  ServerView view;
  view.m_slots = 4;
  view.m_other_in_flight = at_work;
  view.m_performance.m_service_ms = 15;
  view.m_same_data_centre = round_trip == Duration(0);
  view.m_round_trip = round_trip;
  return view;
}

RequestShape Booking(Duration target = Duration(200'000)) {
  RequestShape shape;
  shape.m_latency_target = target;
  return shape;
}

std::optional<ServerChoice> Choose(const std::vector<ServerView>& views,
                                   const RequestShape& shape) {
  return ChooseServer(views, shape, AveragePerformance(views), 7);
}

TEST_CASE("a round trip is learned from connections, the same both ways") {
  RoundTripTable table;
  CHECK(RoundTrip(table, "east", "west") == Duration(0));
  ObserveConnect(table, "east", "west", kTrip);
  CHECK(RoundTrip(table, "west", "east") == kTrip);
  CHECK(RoundTrip(table, "east", "north") == Duration(0));
  CHECK(RoundTripsFrom(table, "west") == RoundTrips{{"east", kTrip}});
  CHECK(RoundTripTo(RoundTripsFrom(table, "west"), "east") == kTrip);
  CHECK(RoundTripsFrom(table, "north").empty());
}

TEST_CASE("nothing is learned within a region, of unknown regions or without a new connection") {
  RoundTripTable table;
  ObserveConnect(table, "east", "east", kTrip);
  ObserveConnect(table, "", "east", kTrip);
  ObserveConnect(table, "east", "", kTrip);
  ObserveConnect(table, "", "", kTrip);
  ObserveConnect(table, "east", "west", Duration(0));
  CHECK(table == RoundTripTable{});
}

TEST_CASE("lost packets and busy machines hardly change a round trip, whenever they come") {
  std::mt19937 random(1);
  std::uniform_real_distribution<double> part;
  for (const bool slow_first : {false, true}) {
    RoundTripTable table;
    if (slow_first)
      ObserveConnect(table, "east", "west", Duration(290'000));
    for (int i = 0; i < 300; ++i) {
      Duration connect = kTrip + Duration(static_cast<std::int64_t>(part(random) * 4'000));
      const double luck = part(random);
      if (luck < 0.05)
        connect += Duration(1'000'000);  // The first packet is lost.
      else if (luck < 0.25)
        connect +=
            Duration(static_cast<std::int64_t>(part(random) * 150'000));  // The machine is busy.
      ObserveConnect(table, "east", "west", connect);
    }
    CHECK(RoundTrip(table, "east", "west") >= kTrip);
    CHECK(RoundTrip(table, "east", "west") < kTrip + Duration(6'000));
  }
}

TEST_CASE("a way that gets longer or shorter is learned anew") {
  RoundTripTable table;
  for (const Duration trip : {kTrip, 2 * kTrip, kTrip / 3}) {
    for (int i = 0; i < 600; ++i)
      ObserveConnect(table, "east", "west", trip);
    CHECK(RoundTrip(table, "east", "west").count() == Approx(trip.count()).epsilon(0.02));
  }
}

TEST_CASE("a forecast holds the round trip") {
  const ServerView near = Service(0, Duration(0));
  const ServerView far = Service(0, kTrip);
  CHECK(PredictTimeToFirstEvent(far, Booking(), {}) ==
        PredictTimeToFirstEvent(near, Booking(), {}) + kTrip);
  CHECK(PredictUnloadedTimeToFirstEvent(far, Booking(), {}) ==
        PredictUnloadedTimeToFirstEvent(near, Booking(), {}) + kTrip);
}

TEST_CASE("a short answer isn't fetched from far away while its own region gives it sooner") {
  // The near server has 15 ms of queue; the far one is 60 ms away.
  const std::vector<ServerView> views{Service(7, Duration(0)), Service(0, kTrip)};
  CHECK(Choose(views, Booking())->m_index == 0);
}

TEST_CASE("a region that has room serves its own, although another one would be sooner") {
  ServerView near;
  near.m_slots = 4;
  near.m_performance.m_prefill_tokens_per_ms = 10;
  ServerView far = near;
  far.m_round_trip = kTrip;
  near.m_same_data_centre = true;
  near.m_pending_prefill_tokens = 2'000;  // 200 ms ahead here; 60 ms round trip there.
  RequestShape prompt;
  prompt.m_prompt_tokens = 500;
  prompt.m_latency_target = Duration(800'000);
  CHECK(Choose({near, far}, prompt)->m_index == 0);
  near.m_pending_prefill_tokens = 9'000;
  CHECK(Choose({near, far}, prompt)->m_index == 1);
}

TEST_CASE("what finds no room in its region goes to another one where it is in time") {
  const std::vector<ServerView> views{Service(40, Duration(0)), Service(0, kTrip)};
  const std::optional<ServerChoice> choice = Choose(views, Booking());
  REQUIRE(choice);
  CHECK(choice->m_index == 1);
  CHECK(choice->m_time_to_first_event == Duration(75'000));
}

TEST_CASE("what would be late by the way waits for its own region, if that has a server at all") {
  const RequestShape hurried = Booking(Duration(80'000));
  CHECK_FALSE(Choose({Service(40, Duration(0)), Service(0, kTrip)}, hurried));
  ServerView gone = Service(40, Duration(0));
  gone.m_usable = false;
  CHECK(Choose({gone, Service(0, kTrip)}, hurried)->m_index == 1);
}

TEST_CASE("a prompt whose first event the way makes late has no room there") {
  ServerView far;
  far.m_slots = 4;
  far.m_performance.m_prefill_tokens_per_ms = 10;
  RequestShape prompt;
  prompt.m_prompt_tokens = 4'500;  // 450 ms of prefill, 15 ms besides.
  prompt.m_latency_target = Duration(600'000);
  CHECK(HasRoom(far, prompt, {}));
  far.m_pending_prefill_tokens = 300;
  CHECK(HasRoom(far, prompt, {}));
  far.m_round_trip = kTrip;
  far.m_pending_prefill_tokens = 2'000;
  CHECK_FALSE(HasRoom(far, prompt, {}));
}

// ---- Broker -------------------------------------------------------------------------------------

BackendServer ServerAt(const std::string& id, const std::string& data_centre) {
  BackendServer server;
  server.m_id = id;
  server.m_pool = "app";
  server.m_data_centre = data_centre;
  server.m_slots = 4;
  return server;
}

SlotBroker MakeBrokerWith(const RegionMap& regions) {
  SlotBroker broker = MakeSlotBroker(1, 7, Duration(4'500'000), kStart);
  SetRegions(broker, regions);
  std::vector<BackendServer> servers{ServerAt("s0", "e1"), ServerAt("s1", "w1"),
                                     ServerAt("s2", "w1")};
  for (BackendServer& server : servers)
    server.m_region = RegionOf(regions, server.m_data_centre);
  SetServers(broker, servers);
  ForgetInstance(broker, "a", 1, kStart);
  return broker;
}

SlotRequest MakeSlotRequest(SlotRef ref, const std::string& data_centre = "e1") {
  SlotRequest slot_request;
  slot_request.m_ref = ref;
  slot_request.m_pool = "app";
  slot_request.m_data_centre = data_centre;
  slot_request.m_shape.m_latency_target = Duration(200'000);
  slot_request.m_shape.m_left = Duration(3'000'000);
  slot_request.m_wait = Duration(200'000);
  return slot_request;
}

SlotReport MakeEndReport(SlotRef ref, Duration service, Duration connect) {
  SlotReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_health_signal = HealthSignal::kSuccess;
  report.m_service = service;
  report.m_connect = connect;
  return report;
}

TEST_CASE("the broker learns the way between regions, and counts it neither as speed nor as wait") {
  SlotBroker broker = MakeBrokerWith({{"e1", "east"}, {"w1", "west"}});
  SlotRequest slot_request = MakeSlotRequest(1);
  slot_request.m_tried = {"s0"};
  std::vector<SlotResponse> out;
  RequestSlot(broker, "a", slot_request, kStart, out);
  REQUIRE(out.at(0).m_verdict == SlotVerdict::kPlaced);
  ApplyReport(broker, "a", MakeEndReport(1, Duration(75'000), kTrip), kStart, out);
  CHECK(RoundTrip(broker.m_round_trip_table, "east", "west") == kTrip);
  const SlotPool& pool = broker.m_pools.at("app");
  CHECK(pool.m_views[1].m_performance.m_service_ms + pool.m_views[2].m_performance.m_service_ms ==
        Approx(15));
  // To an instance in the other region the same servers are near.
  out.clear();
  SlotRequest there = MakeSlotRequest(2, "w1");
  there.m_tried = {"s0"};
  RequestSlot(broker, "a", there, kStart, out);
  CHECK(out.at(0).m_time_to_first_event == Duration(15'000));
  out.clear();
  slot_request.m_ref = 3;
  RequestSlot(broker, "a", slot_request, kStart, out);
  CHECK(out.at(0).m_time_to_first_event == Duration(75'000));
}

TEST_CASE("in one region, or without regions, nothing is learned and every place is the same") {
  SlotBroker none = MakeBrokerWith({});
  SlotBroker one = MakeBrokerWith({{"e1", "east"}, {"w1", "east"}});
  std::mt19937 random(3);
  for (SlotRef ref = 1; ref <= 400; ++ref) {
    const Instant now = kStart + Duration(5'000 * ref);
    const std::string from = random() % 2 == 0 ? "e1" : "w1";
    const Duration service(10'000 + static_cast<std::int64_t>(random() % 40'000));
    const Duration connect(static_cast<std::int64_t>(random() % 90'000));
    std::vector<SlotResponse> left;
    std::vector<SlotResponse> right;
    RequestSlot(none, "a", MakeSlotRequest(ref, from), now, left);
    RequestSlot(one, "a", MakeSlotRequest(ref, from), now, right);
    ApplyReport(none, "a", MakeEndReport(ref - 9, service, connect), now, left);
    ApplyReport(one, "a", MakeEndReport(ref - 9, service, connect), now, right);
    REQUIRE(left == right);
  }
  CHECK(one.m_round_trip_table == RoundTripTable{});
  CHECK(none.m_pools.at("app").m_views[1].m_performance ==
        one.m_pools.at("app").m_views[1].m_performance);
}

// ---- Instance -----------------------------------------------------------------------------------

TEST_CASE("an instance learns the way for itself and tells the broker of new connections") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture;
  ForwarderState& state = fixture.m_forwarder->state();
  state.m_settings.m_data_centre = "e1";
  state.m_settings.m_regions = {{"e1", "east"}, {"w1", "west"}};
  wire::ServerRecord record = fixture.Record("s0", server);
  record.data_centre = "w1";
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  std::vector<SlotRequest> slot_requests;
  std::vector<SlotReport> reports;
  const auto note = [&](const SlotBatch& batch) {
    slot_requests.insert(slot_requests.end(), batch.m_slot_requests.begin(),
                         batch.m_slot_requests.end());
    reports.insert(reports.end(), batch.m_reports.begin(), batch.m_reports.end());
  };
  fixture.m_forwarder->SetBrokerPort({note, [] {}});
  fixture.m_forwarder->HandleMessage(BrokerConnected{1});
  BackgroundCall call(fixture, Request("/safe/", "i"));
  fixture.RunUntil([&] { return !slot_requests.empty(); });
  REQUIRE(slot_requests.size() == 1);
  SlotResponse answer;
  answer.m_ref = slot_requests[0].m_ref;
  answer.m_server = "s0";
  fixture.m_forwarder->HandleMessage(SlotResponses{1, {answer}});
  CHECK(call.AwaitResponse(fixture).status() == 200);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].m_connect > Duration(0));
  CHECK(RoundTrip(state.m_round_trip_table, "east", "west") == reports[0].m_connect);
}

}  // namespace
}  // namespace poppyway
