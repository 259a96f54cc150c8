// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the broker learns from instances that are cut off from all backend servers.
//
// Guards against a broker that takes the lost paths of a few instances for lost servers: sound
// servers, data centres and versions are then kept from all other instances too.
#include <algorithm>

#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

constexpr Duration kStep{20'000};
constexpr Duration kConnectLimit{300'000};
constexpr int kSteps = 200;  // Four seconds.
constexpr int kCutFromStep = 50;

const std::vector<std::string> kCutOff{"cut-1", "cut-2"};
const std::vector<std::string> kOthers{"other-1", "other-2"};

/// \brief A broker whose instances send a request in each step. Those that are cut off find no
/// connection; the others get a response in the next step.
struct CutOffFixture {
  struct Pending {
    std::string m_instance;
    SlotRef m_ref = 0;
    Instant m_ends{};
    bool m_fails = false;
  };

  SlotBroker m_broker;
  std::vector<Pending> m_pending;
  std::vector<SlotResponse> m_out;
  Instant m_now = kStart;
  SlotRef m_next = 1;
  std::vector<OutageEvent> m_outages;

  CutOffFixture() {
    std::vector<BackendServer> servers;
    for (int i = 0; i < 12; ++i) {
      servers.push_back(Engine("s" + std::to_string(i), i < 6 ? "east" : "west"));
      servers.back().m_slots = 10;
    }
    std::vector<std::string> all = kCutOff;
    all.insert(all.end(), kOthers.begin(), kOthers.end());
    m_broker = BrokerFor(all, servers);
  }
  void Send(const std::string& instance, bool fails) {
    const SlotResponse response = AskOnce(m_broker, instance, WantedPlace(m_next), m_now);
    if (response.m_verdict == SlotVerdict::kPlaced)
      m_pending.push_back({instance, m_next, m_now + (fails ? kConnectLimit : kStep), fails});
    else
      CancelRequest(m_broker, instance, m_next);
    ++m_next;
  }
  void EndDue() {
    for (const Pending& pending : m_pending) {
      if (pending.m_ends > m_now)
        continue;
      SlotReport report;
      report.m_ref = pending.m_ref;
      report.m_ended = true;
      report.m_may_have_run = !pending.m_fails;
      report.m_health_signal =
          pending.m_fails ? HealthSignal::kUnreachable : HealthSignal::kSuccess;
      report.m_service = pending.m_fails ? Duration(0) : kStep;
      ApplyReport(m_broker, pending.m_instance, report, m_now, m_out);
    }
    std::erase_if(m_pending, [this](const Pending& pending) { return pending.m_ends <= m_now; });
  }
  /// Plays all steps; from `kCutFromStep` on the first instances are cut off.
  void Play() {
    for (int step = 0; step < kSteps; ++step) {
      m_now += kStep;
      EndDue();
      for (const std::string& instance : kCutOff)
        Send(instance, step >= kCutFromStep);
      for (const std::string& instance : kOthers)
        Send(instance, false);
      TickBroker(m_broker, m_now, m_out);
    }
  }
};

TEST_CASE("sound servers aren't avoided on the word of instances that reach no server") {
  CutOffFixture fixture;
  fixture.Play();
  CHECK(fixture.m_broker.m_ejected.empty());
}

TEST_CASE("no data centre is held to be lost on the word of instances that reach no server") {
  CutOffFixture fixture;
  fixture.Play();
  const auto lost = std::count_if(
      fixture.m_broker.m_outage_events.begin(), fixture.m_broker.m_outage_events.end(),
      [](const OutageEvent& event) { return event.m_transition == OutageTransition::kSuspect; });
  CHECK(lost == 0);
}

TEST_CASE("a server that responds to nobody is avoided on the word of one instance") {
  CutOffFixture fixture;
  const SlotResponse placed =
      AskOnce(fixture.m_broker, kOthers[0], WantedPlace(1), fixture.m_now + kStep);
  REQUIRE(placed.m_verdict == SlotVerdict::kPlaced);
  SlotReport report;
  report.m_ref = 1;
  report.m_ended = true;
  report.m_may_have_run = false;
  report.m_health_signal = HealthSignal::kUnreachable;
  ApplyReport(fixture.m_broker, kOthers[0], report, fixture.m_now + kConnectLimit, fixture.m_out);
  REQUIRE(fixture.m_broker.m_ejected.size() == 1);
  CHECK(fixture.m_broker.m_ejected[0].m_server == placed.m_server);
}

}  // namespace
}  // namespace poppyway
