// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// A limit while some instances are disconnected from the broker, and after they reconnect.
#include <catch2/catch.hpp>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr Duration kMs{1'000};
constexpr Duration kSecond{1'000'000};
constexpr Duration kMayServe{4'500'000};
constexpr double kRate = 1'000;
constexpr double kCost = 10;
const Instant kStart{100 * kSecond};

/// Sends and ends a request; returns its cost if it was placed. Three hundred of them per second
/// exceed the limit.
double RequestAndEnd(SlotBroker& broker, const std::string& instance, SlotRef ref, Instant now) {
  SlotRequest slot_request;
  slot_request.m_ref = ref;
  slot_request.m_pool = "engines";
  slot_request.m_workspace = "north";
  slot_request.m_shape.m_latency_target = kSecond;
  slot_request.m_shape.m_left = 10 * kSecond;
  slot_request.m_quota.m_cost = kCost;
  slot_request.m_limit = {kRate, kRate};
  std::vector<SlotResponse> out;
  RequestSlot(broker, instance, slot_request, now, out);
  if (out.empty() || out[0].m_verdict != SlotVerdict::kPlaced)
    return 0;
  SlotReport end;
  end.m_ref = ref;
  end.m_ended = true;
  ApplyReport(broker, instance, end, now, out);
  return kCost;
}

struct Disconnection {
  SlotBroker m_broker;
  double m_spent = 0;
  SlotRef m_next = 1;

  Disconnection() : m_broker(MakeSlotBroker(1, 7, kMayServe, kStart - 10 * kSecond)) {
    BackendServer server;
    server.m_id = "s0";
    server.m_pool = "engines";
    server.m_slots = 64;
    SetServers(m_broker, {server});
    for (const std::string instance : {"a", "b", "c", "d"})
      ForgetInstance(m_broker, instance, 4, kStart);
  }
  /// `connected` of the four instances send requests; the others are disconnected.
  void Play(Duration from, Duration until, int connected) {
    for (Instant now = kStart + from; now < kStart + until; now += Duration(3'333)) {
      std::vector<SlotResponse> out;
      TickBroker(m_broker, now, out);
      const std::string instance(1, static_cast<char>('a' + m_next % connected));
      m_spent += RequestAndEnd(m_broker, instance, m_next++, now);
    }
  }
  void Reconnect(double spent_without_broker, Duration at) {
    ForgetInstance(m_broker, "d", 4, kStart + at);
    LimitReport report;
    report.m_workspace = "north";
    report.m_limit = {kRate, kRate};
    report.m_charged_without_broker = spent_without_broker;
    ApplyLimitReport(m_broker, report, kStart + at);
    m_spent += spent_without_broker;
  }
};

TEST_CASE("an instance that returns from a cut with its part spent leaves no debt to others") {
  Disconnection run;
  run.Play(Duration(0), 2 * kSecond, 4);
  run.Play(2 * kSecond, 7 * kSecond, 3);
  // The instance spent a quarter of the rate for as long as it may serve.
  run.Reconnect(kRate / 4 * 4.5, 7 * kSecond);
  CHECK(run.m_broker.m_limits.at("north").m_tokens > -kRate / 2);
  const double before = run.m_spent;
  run.Play(7 * kSecond, 8 * kSecond, 4);
  CHECK(run.m_spent - before > 0.5 * kRate);
  CHECK(run.m_spent <= 8 * kRate + kRate + kCost);  // One request may overdraw the limit.
}

TEST_CASE("what is withheld for instances that never return is given to nobody twice") {
  Disconnection run;
  run.Play(Duration(0), 2 * kSecond, 4);
  run.Play(2 * kSecond, 12 * kSecond, 3);
  CHECK(run.m_broker.m_limits.at("north").m_withheld <= kRate / 4 * 4.5 + 1);
  run.Reconnect(0, 12 * kSecond);
  run.Play(12 * kSecond, 15 * kSecond, 4);
  CHECK(run.m_broker.m_limits.at("north").m_withheld == 0);
  CHECK(run.m_spent <= 15 * kRate + kRate + kCost);
}

TEST_CASE("what is spent alone beyond the withheld part is charged as before") {
  QuotaBucket bucket;
  bucket.m_tokens = 100;
  bucket.m_filled = kStart;
  const QuotaLimit limit{kRate, kRate};
  Withhold(bucket, limit, 0.75, kMayServe, kStart + 100 * kMs);
  ChargeLate(bucket, limit, 35);
  CHECK(bucket.m_withheld == Approx(0));
  CHECK(bucket.m_tokens == Approx(90));
}

}  // namespace
}  // namespace poppyway
