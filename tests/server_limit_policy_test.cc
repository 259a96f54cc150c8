// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The limits that servers state: the rate itself and the broker.
#include <catch2/catch.hpp>

#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

constexpr double kPerS = 2.5;
constexpr Duration kStep{10'000};

/// The most requests that may reach a server in four seconds.
double Allowed(double per_s) {
  return 1.5 * per_s * 4 + 5;
}

/// Returns the largest number of times within four seconds.
std::size_t MostInWindow(const std::vector<Instant>& times) {
  std::size_t most = 0;
  for (std::size_t first = 0, i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= 4 * kSecond)
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

ServerLimit Stated(double per_s) {
  ServerLimit limit;
  ApplyStatedLimit(limit, per_s, kStart, kStart);
  return limit;
}

TEST_CASE("a server without a limit takes any number of requests") {
  ServerLimit limit;
  for (int i = 0; i < 100; ++i) {
    CHECK(TakesRequest(limit, kStart));
    CHECK(TakesRequestWithoutBroker(limit, kStart));
    CountRequest(limit, kStart);
    CountRequestWithoutBroker(limit, 3, kStart);
  }
}

TEST_CASE("requests keep to the stated rate, and use it") {
  ServerLimit limit = Stated(kPerS);
  std::vector<Instant> sent;
  for (Instant now = kStart; now < kStart + 40 * kSecond; now += kStep) {
    if (!TakesRequest(limit, now))
      continue;
    CountRequest(limit, now);
    sent.push_back(now);
  }
  CHECK(MostInWindow(sent) <= static_cast<std::size_t>(kPerS * 4 + kServerLimitBurst));
  CHECK(sent.size() >= 95);
}

TEST_CASE("instances without a broker stay below a limit together with a broker") {
  const int instances = GENERATE(1, 6, 60);
  std::vector<ServerLimit> alone(static_cast<std::size_t>(instances), Stated(kPerS));
  ServerLimit at_broker = Stated(kPerS);
  std::vector<Instant> sent;
  std::uint64_t random = 1;
  for (Instant now = kStart; now < kStart + 60 * kSecond; now += kStep) {
    if (TakesRequest(at_broker, now)) {
      CountRequest(at_broker, now);
      sent.push_back(now);
    }
    for (ServerLimit& limit : alone) {
      random = MixHash(random, 7);
      BeginPacingWithoutBroker(limit, instances, static_cast<double>(random >> 11) * 0x1.0p-53,
                               now);
      if (!TakesRequestWithoutBroker(limit, now))
        continue;
      CountRequestWithoutBroker(limit, instances, now);
      sent.push_back(now);
    }
  }
  CHECK(static_cast<double>(MostInWindow(sent)) <= Allowed(kPerS));
}

// Guards against a server that is never sent a request again, so that it can't end its limit.
TEST_CASE("a server that states to take nothing gets a request each ten seconds") {
  ServerLimit limit = Stated(0);
  CHECK_FALSE(TakesRequest(limit, kStart + 9 * kSecond));
  CHECK(TakesRequest(limit, kStart + 10 * kSecond));
  CountRequest(limit, kStart + 10 * kSecond);
  CHECK_FALSE(TakesRequest(limit, kStart + 19 * kSecond));
  BeginPacingWithoutBroker(limit, 2, 0, kStart);
  CHECK(TakesRequestWithoutBroker(limit, kStart));
  CountRequestWithoutBroker(limit, 2, kStart);
  CHECK_FALSE(TakesRequestWithoutBroker(limit, kStart + 39 * kSecond));
  CHECK(TakesRequestWithoutBroker(limit, kStart + 40 * kSecond));
}

TEST_CASE("only a response to a request that was sent since ends a limit") {
  ServerLimit limit = Stated(kPerS);
  CHECK_FALSE(ApplyStatedLimit(limit, std::nullopt, kStart, kStart + kSecond));
  CHECK(limit.m_per_s == kPerS);
  CHECK(ApplyStatedLimit(limit, std::nullopt, kStart + Duration(1), kStart + kSecond));
  CHECK(TakesRequest(limit, kStart + kSecond));
}

TEST_CASE("another limit replaces the one before and brings no new burst") {
  ServerLimit limit = Stated(kPerS);
  while (TakesRequest(limit, kStart + 2 * kSecond))
    CountRequest(limit, kStart + 2 * kSecond);
  CHECK(ApplyStatedLimit(limit, 20.0, kStart, kStart + 2 * kSecond));
  CHECK_FALSE(TakesRequest(limit, kStart + 2 * kSecond));
  CHECK(TakesRequest(limit, kStart + 2 * kSecond + Duration(60'000)));
}

// ---- The broker ---------------------------------------------------------------------------------

/// Requests a slot every `kStep`, for several instances in turn, and returns when slots were given.
/// Each request ends before the next step with a response that states `per_s`.
std::vector<Instant> PlaceFor(SlotBroker& broker,
                              Duration time,
                              std::optional<double> per_s,
                              Instant begin) {
  std::vector<Instant> placed;
  std::vector<SlotResponse> out;
  SlotRef ref = begin.time_since_epoch().count();
  for (Instant now = begin; now < begin + time; now += kStep, ++ref) {
    TickBroker(broker, now, out);
    RequestSlot(broker, ref % 2 == 0 ? "a" : "b", WantedPlace(ref), now, out);
    while (!out.empty()) {
      const SlotResponse response = out.back();
      out.pop_back();
      if (response.m_verdict != SlotVerdict::kPlaced)
        continue;
      placed.push_back(now);
      SlotReport report;
      report.m_ref = response.m_ref;
      report.m_ended = true;
      report.m_head = true;
      report.m_limit_per_s = per_s;
      ApplyReport(broker, response.m_instance, report, now, out);
    }
  }
  return placed;
}

TEST_CASE("the broker keeps all instances together to what a server states") {
  SlotBroker broker = BrokerFor({"a", "b"}, {Engine("e")});
  (void)PlaceFor(broker, kSecond, kPerS, kStart);
  const std::vector<Instant> placed = PlaceFor(broker, 20 * kSecond, kPerS, kStart + kSecond);
  CHECK(static_cast<double>(MostInWindow(placed)) <= Allowed(kPerS));
  CHECK(placed.size() >= 45);  // It uses what the server takes.
  // The server no longer states a limit.
  (void)PlaceFor(broker, kSecond, std::nullopt, kStart + 21 * kSecond);
  CHECK(PlaceFor(broker, kSecond, std::nullopt, kStart + 22 * kSecond).size() > 90);
}

TEST_CASE("a new broker is told of a limit, and what is sent without a broker counts") {
  SlotBroker broker = BrokerFor({"a", "b"}, {Engine("e")});
  ServerNotice notice;
  notice.m_server = "e";
  notice.m_limit_per_s = kPerS;
  ApplyServerNotice(broker, "a", notice, kStart);
  HeldSlot held;
  held.m_ref = 1;
  held.m_server = "e";
  Hold(broker, "b", held, kStart + kSecond / 2);
  CHECK(AskOnce(broker, "a", WantedPlace(2), kStart + kSecond / 2).m_verdict !=
        SlotVerdict::kPlaced);
  CHECK(AskOnce(broker, "b", WantedPlace(3), kStart + kSecond).m_verdict == SlotVerdict::kPlaced);
}

TEST_CASE("a server that has started again isn't bound by the limit of its earlier process") {
  BackendServer first = Engine("e");
  first.m_started_ms = 1'000;
  SlotBroker broker = BrokerFor({"a"}, {first});
  ServerNotice notice;
  notice.m_server = "e";
  notice.m_started_ms = 1'000;
  notice.m_limit_per_s = 0;
  ApplyServerNotice(broker, "a", notice, kStart);
  CHECK(AskOnce(broker, "a", WantedPlace(1)).m_verdict != SlotVerdict::kPlaced);
  BackendServer second = first;
  second.m_started_ms = 2'000;
  SetServers(broker, {second});
  CHECK(AskOnce(broker, "a", WantedPlace(2)).m_verdict == SlotVerdict::kPlaced);
}

TEST_CASE("other servers of the pool take what one with a limit doesn't") {
  SlotBroker broker = BrokerFor({"a"}, {Engine("e"), Engine("f")});
  ServerNotice notice;
  notice.m_server = "e";
  notice.m_limit_per_s = 0;
  ApplyServerNotice(broker, "a", notice, kStart);
  for (SlotRef ref = 1; ref <= 2; ++ref)
    CHECK(AskOnce(broker, "a", WantedPlace(ref)).m_server == "f");
}

}  // namespace
}  // namespace poppyway
