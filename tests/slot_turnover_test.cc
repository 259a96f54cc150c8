// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Forecasts of when a slot comes free, and the broker's decisions that follow from them.
#include <catch2/catch.hpp>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

const Instant kStart{Duration(10'000'000)};

/// Returns the turnover of a pool with these rates of freed slots and urgent requests after 5 s.
SlotTurnover Steady(int freed_per_s, int urgent_per_s) {
  SlotTurnover turnover;
  turnover.m_at = kStart;
  for (int ms = 0; ms < 5'000; ++ms) {
    const Instant now = kStart + ms * Duration(1'000);
    if (ms * freed_per_s / 1'000 != (ms + 1) * freed_per_s / 1'000)
      turnover = CountFreed(turnover, Duration(100'000), now);
    if (ms * urgent_per_s / 1'000 != (ms + 1) * urgent_per_s / 1'000)
      turnover = CountRequested(turnover, 0, now);
  }
  return turnover;
}

TEST_CASE("a request waits for those ahead of it at the rate at which places come free") {
  const SlotTurnover turnover = Steady(100, 0);
  const std::optional<Duration> forecast = ForecastWait(turnover, 0, 9, 10);
  REQUIRE(forecast);
  CHECK(Seconds(*forecast) == Approx(0.1).epsilon(0.05));
}

TEST_CASE("what is more urgent goes on to arrive and takes its part of the places first") {
  const SlotTurnover turnover = Steady(100, 60);
  CHECK(Seconds(*ForecastWait(turnover, 0, 9, 10)) == Approx(0.1).epsilon(0.05));
  CHECK(Seconds(*ForecastWait(turnover, 1, 9, 10)) == Approx(0.25).epsilon(0.1));
  CHECK(*ForecastWait(Steady(100, 120), 1, 0, 10) == kLongestWait);
}

TEST_CASE("a pool that was half used frees twice as much once it is full") {
  const SlotTurnover turnover = Steady(50, 0);  // Five of ten slots are in use, for 100 ms each.
  CHECK(Seconds(*ForecastWait(turnover, 0, 9, 10)) == Approx(0.1).epsilon(0.05));
}

TEST_CASE("nothing is forecast from next to nothing, and a burst is forgotten within seconds") {
  SlotTurnover turnover;
  CHECK_FALSE(ForecastWait(turnover, 0, 0, 0));
  turnover = Steady(100, 200);
  CHECK(*ForecastWait(turnover, 2, 0, 10) == kLongestWait);
  for (int i = 0; i < 300; ++i)
    turnover = CountFreed(turnover, Duration(100'000),
                          kStart + Duration(5'000'000) + i * Duration(10'000));
  CHECK(*ForecastWait(turnover, 2, 0, 10) < Duration(50'000));
}

TEST_CASE(
    "a burst over capacity is refused at once beyond what can be in time, told when to return") {
  // 200 short requests arrive at once for ten slots that each come free after 100 ms.
  SlotBroker broker = MakeSlotBroker(1, 7, Duration(4'500'000), kStart);
  SetServers(broker, {{"s0", "pool", "east", 10, false}});
  ForgetInstance(broker, "a", 1, kStart);
  std::vector<SlotResponse> out;
  SlotRef next = 1;
  const auto request_slot = [&](Instant now) {
    SlotRequest slot_request;
    slot_request.m_ref = next++;
    slot_request.m_pool = "pool";
    slot_request.m_data_centre = "east";
    slot_request.m_shape.m_prompt_tokens = 300;
    slot_request.m_shape.m_latency_target = Duration(800'000);
    slot_request.m_shape.m_left = Duration(10'000'000);
    slot_request.m_wait = Duration(10'000'000);
    RequestSlot(broker, "a", slot_request, now, out);
  };
  std::vector<std::pair<Instant, SlotRef>> running;
  std::size_t read = 0;
  int placed = 0;
  int late = 0;
  int rejected_at_once = 0;
  const auto take = [&](Instant now, Instant requested_at) {
    for (; read < out.size(); ++read) {
      const SlotResponse& response = out[read];
      if (response.m_verdict == SlotVerdict::kPlaced) {
        running.emplace_back(now + Duration(100'000), response.m_ref);
        ++placed;
        late += now - requested_at > Duration(800'000) ? 1 : 0;
      } else if (response.m_verdict == SlotVerdict::kNoRoom && now == requested_at) {
        CHECK(response.m_estimated_wait > Duration(500'000));
        ++rejected_at_once;
      }
    }
  };
  Instant burst{};
  for (int ms = 0; ms < 4'000; ms += 5) {
    const Instant now = kStart + ms * Duration(1'000);
    for (std::size_t i = 0; i < running.size();) {
      if (now < running[i].first) {
        ++i;
        continue;
      }
      SlotReport end;
      end.m_ref = running[i].second;
      end.m_ended = true;
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
      ApplyReport(broker, "a", end, now, out);
    }
    if (ms < 2'000 && ms % 20 == 0)
      request_slot(now);  // Half of the capacity, so that the turnover is known.
    if (ms == 2'000) {
      burst = now;
      for (int i = 0; i < 200; ++i)
        request_slot(now);
    }
    TickBroker(broker, now, out);
    take(now, ms >= 2'000 ? burst : now);
  }
  CHECK(late == 0);
  CHECK(rejected_at_once >= 100);  // 200 less ten and those that come free in 0.68 s.
  CHECK(placed >= 100 + 60);
}

}  // namespace
}  // namespace poppyway
