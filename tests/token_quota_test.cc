// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// A workspace's limit over all instances: with a broker, without one, and when it changes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr Duration kStep{1'000};
constexpr double kWindowSeconds = 8;
constexpr double kMeanCost = 4'100;
constexpr double kBiggestCost = 55'000;
constexpr Duration kMayServe{4'500'000};

/// Result of a run of several instances against one limit.
struct LimitRun {
  double m_worst_window = 0;  ///< Highest use of the tolerance in any window; 1 is the bound.
  double m_spent = 0;
  double m_requested = 0;
  double m_central = 0;  ///< Cost that a single bucket with exact state would allow.
};

struct LimitSpec {
  int m_instances = 6;
  double m_rate = 130'000;
  double m_demand = 1;        ///< Load as a multiple of the rate, before and after the peak.
  double m_peak = 1;          ///< Load as a multiple of the rate, from second 5 to 12.
  int m_silent_from_ms = -1;  ///< From then on the broker doesn't respond for `m_silent_ms`.
  int m_silent_ms = 0;
  bool m_new_broker = false;  ///< A new broker begins after that.
  int m_rejoin_ms = 0;        ///< Delay between one instance and the next when they connect to it.
  int m_cut_off = 0;          ///< Number of instances that lose the broker then; zero: all do.
  int m_gap_each_ms = 0;  ///< The broker responds only in the last quarter of each such interval.
  int m_restart_each_ms = 0;  ///< Interval of restarts, one instance at a time, from second 5.
  int m_restart_all_ms = -1;  ///< Time at which all instances restart.
  std::uint64_t m_seed = 1;
};

/// An instance's state of the limit.
struct Spender {
  bool m_linked = false;
  std::int64_t m_reported_epoch = 0;
  double m_left = 0;
  Instant m_reported_at{};
  LocalQuotaBucket m_local_quota;
  CostSums m_costs;
  SlotRef m_next_ref = 1;
};

std::string NameOf(int i) {
  return "i" + std::to_string(i);
}

/// Instances that use a broker with one unlimited server; without it they charge their own shares.
class LimitSimulation {
 public:
  explicit LimitSimulation(const LimitSpec& spec)
      : m_spec(spec),
        m_operators{spec.m_rate, spec.m_rate},
        m_limit(WithTolerance(m_operators, {0.1, 140'000})),
        m_random(spec.m_seed),
        m_spenders(static_cast<std::size_t>(spec.m_instances)) {
    Begin(1, kFirst);
  }

  LimitRun Run() {
    constexpr int kSteps = 20'000;
    double central = m_operators.m_burst;
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> size(7.6, 1.2);  // The mean is 4,100 tokens.
    for (m_step = 1; m_step <= kSteps; ++m_step) {
      m_now = kFirst + Duration(1'000'000) + m_step * kStep;
      Fail();
      central = std::min(m_operators.m_burst, central + m_spec.m_rate / 1000);
      const bool peak = m_step >= 5'000 && m_step < 12'000;
      double arrivals = (peak ? m_spec.m_peak : m_spec.m_demand) * m_spec.m_rate / kMeanCost / 1000;
      for (; uniform(m_random) < arrivals; arrivals -= 1) {
        const double cost = std::min(kBiggestCost, size(m_random));
        m_run.m_requested += cost;
        if (central > 0) {
          central -= cost;
          m_run.m_central += cost;
        }
        // The busiest instance gets a third of the requests.
        const auto any = static_cast<int>(uniform(m_random) * m_spec.m_instances);
        Request(uniform(m_random) < 0.33 ? 0 : any, cost);
      }
      UpdateWindow();
    }
    return m_run;
  }

 private:
  inline static const Instant kFirst{Duration(1'000'000)};

  void Begin(std::int64_t epoch, Instant now) {
    m_broker = MakeSlotBroker(epoch, m_spec.m_seed, kMayServe, now);
    SetServers(m_broker, {{"s0", "pool", "east", 1'000'000, false}});
  }

  [[nodiscard]] bool InTouch(int i) const {
    const int over_ms = m_spec.m_silent_from_ms + m_spec.m_silent_ms;
    const bool outage = m_step >= m_spec.m_silent_from_ms && m_step < over_ms;
    const bool cut = m_spec.m_cut_off == 0 || i < m_spec.m_cut_off;
    if (outage && cut)
      return false;
    const bool rejoins = m_spec.m_new_broker && m_step >= over_ms;
    if (rejoins && m_step < over_ms + i * m_spec.m_rejoin_ms)
      return false;
    const bool gap =
        m_spec.m_gap_each_ms > 0 && m_step % m_spec.m_gap_each_ms < m_spec.m_gap_each_ms * 3 / 4;
    return !gap;
  }

  void Fail() {
    if (m_spec.m_new_broker && m_step == m_spec.m_silent_from_ms + m_spec.m_silent_ms)
      Begin(2, m_now);
    const int each = m_spec.m_restart_each_ms;
    if (each > 0 && m_step >= 5'000 && m_step % each == 0)
      m_spenders[static_cast<std::size_t>(m_step / each % m_spec.m_instances)] = {};
    if (m_step == m_spec.m_restart_all_ms)
      m_spenders.assign(m_spenders.size(), {});
    for (int i = 0; i < m_spec.m_instances; ++i) {
      Spender& spender = m_spenders[static_cast<std::size_t>(i)];
      const bool in_touch = InTouch(i);
      if (in_touch && !spender.m_linked)
        Link(i, spender);
      spender.m_linked = in_touch;
      const bool heartbeat_due = (m_step + i * 37) % 500 == 0;
      if (in_touch && heartbeat_due)
        m_broker.m_instance_slots[NameOf(i)].m_last_heard = m_now;
    }
    std::vector<SlotResponse> out;
    if (m_step % 20 == 0)
      TickBroker(m_broker, m_now, out);
  }

  void Link(int i, Spender& spender) {
    SlotBatch batch;
    batch.m_resync = true;
    batch.m_instances = m_spec.m_instances;
    batch.m_limits.push_back({"north", m_limit, spender.m_left, m_now - spender.m_reported_at,
                              spender.m_reported_epoch, spender.m_local_quota.m_spent});
    spender.m_local_quota = {};
    std::vector<SlotResponse> out;
    ApplyBatch(m_broker, NameOf(i), std::move(batch), m_now, out);
  }

  void Request(int i, double cost) {
    Spender& spender = m_spenders[static_cast<std::size_t>(i)];
    spender.m_costs = Add(spender.m_costs, cost);
    if (!(spender.m_linked ? Granted(i, spender, cost) : ChargeLocally(spender, cost)))
      return;
    m_run.m_spent += cost;
    m_in_window += cost;
    m_window.emplace_back(m_step / 1000.0, cost);
  }

  bool Granted(int i, Spender& spender, double cost) {
    SlotRequest slot_request;
    slot_request.m_ref = spender.m_next_ref++;
    slot_request.m_pool = "pool";
    slot_request.m_workspace = "north";
    slot_request.m_quota.m_cost = cost;
    slot_request.m_limit = m_limit;
    slot_request.m_shape.m_latency_target = Duration(300'000);
    std::vector<SlotResponse> out;
    RequestSlot(m_broker, NameOf(i), std::move(slot_request), m_now, out);
    const bool placed = out.front().m_verdict == SlotVerdict::kPlaced;
    spender.m_left = out.front().m_limit_left;
    spender.m_reported_at = m_now;
    spender.m_reported_epoch = m_broker.m_epoch;
    SlotReport end;
    end.m_ref = out.front().m_ref;
    end.m_ended = true;
    std::vector<SlotResponse> none;
    ApplyReport(m_broker, NameOf(i), end, m_now, none);
    return placed;
  }

  bool ChargeLocally(Spender& spender, double cost) {
    std::uniform_real_distribution<double> uniform(0, 1);
    const double left = spender.m_reported_epoch > 0 ? spender.m_left : m_limit.m_burst;
    return ChargeWithoutBroker(
        spender.m_local_quota, m_limit, {cost, 0},
        {m_spec.m_instances, left, uniform(m_random), OverdrawingCost(spender.m_costs)}, m_now);
  }

  void UpdateWindow() {
    while (!m_window.empty() && m_window.front().first < m_step / 1000.0 - kWindowSeconds) {
      m_in_window -= m_window.front().second;
      m_window.pop_front();
    }
    const double tolerated = (m_spec.m_rate * kWindowSeconds + m_operators.m_burst) * 1.1 + 140'000;
    m_run.m_worst_window = std::max(m_run.m_worst_window, m_in_window / tolerated);
  }

  LimitSpec m_spec;
  QuotaLimit m_operators;
  QuotaLimit m_limit;
  std::mt19937_64 m_random;
  std::vector<Spender> m_spenders;
  SlotBroker m_broker;
  Instant m_now{};
  int m_step = 0;
  LimitRun m_run;
  std::deque<std::pair<double, double>> m_window;
  double m_in_window = 0;
};

LimitRun RunLimit(const LimitSpec& spec) {
  return LimitSimulation(spec).Run();
}

/// Returns the worst window of eight seeds, with few instances and with many.
double WorstOf(LimitSpec spec) {
  double worst = 0;
  for (const int instances : {6, 60, 295}) {
    spec.m_instances = instances;
    for (spec.m_seed = 1; spec.m_seed <= 8; ++spec.m_seed)
      worst = std::max(worst, RunLimit(spec).m_worst_window);
  }
  return worst;
}

TEST_CASE("a workspace that asks for many times its limit never overruns the tolerance") {
  for (const double demand : {1.5, 3.0, 8.0})
    CHECK(WorstOf({.m_demand = demand, .m_peak = 2 * demand}) <= 1);
}

TEST_CASE("a broker that answers nobody for a while doesn't let a limit be overrun") {
  for (const int silent_ms : {300, 1'000, 3'000})
    CHECK(WorstOf(
              {.m_demand = 3, .m_peak = 6, .m_silent_from_ms = 7'000, .m_silent_ms = silent_ms}) <=
          1);
}

TEST_CASE("a broker that falls silent while much of a limit is left doesn't let it be overrun") {
  CHECK(WorstOf({.m_demand = 0.2, .m_peak = 8, .m_silent_from_ms = 4'900, .m_silent_ms = 2'000}) <=
        1);
}

TEST_CASE("a broker that answers late again and again doesn't let a limit be overrun") {
  for (const int gap_ms : {400, 1'000})
    CHECK(WorstOf({.m_demand = 3, .m_peak = 6, .m_gap_each_ms = gap_ms}) <= 1);
}

TEST_CASE("instances that find a new broker one after the other don't let a limit be overrun") {
  LimitSpec spec{.m_demand = 3,
                 .m_peak = 6,
                 .m_silent_from_ms = 7'000,
                 .m_silent_ms = 300,
                 .m_new_broker = true};
  for (spec.m_rejoin_ms = 0; spec.m_rejoin_ms <= 150; spec.m_rejoin_ms += 50) {
    for (spec.m_seed = 1; spec.m_seed <= 8; ++spec.m_seed)
      CHECK(RunLimit(spec).m_worst_window <= 1);
  }
  spec.m_rejoin_ms = 1;
  CHECK(WorstOf(spec) <= 1);
}

TEST_CASE("instances that are cut off and still serve don't let a limit be overrun") {
  LimitSpec spec{.m_demand = 3, .m_peak = 6, .m_silent_from_ms = 7'000, .m_silent_ms = 4'500};
  for (const int instances : {6, 60, 295}) {
    spec.m_instances = instances;
    spec.m_cut_off = instances / 2;
    for (spec.m_seed = 1; spec.m_seed <= 8; ++spec.m_seed)
      CHECK(RunLimit(spec).m_worst_window <= 1);
  }
}

TEST_CASE("instances that start anew don't let a limit be overrun") {
  CHECK(WorstOf({.m_demand = 3, .m_peak = 6, .m_restart_each_ms = 500}) <= 1);
  CHECK(WorstOf({.m_demand = 3, .m_peak = 6, .m_restart_all_ms = 9'000}) <= 1);
}

TEST_CASE("below its limit a workspace gets all that one central bucket would give") {
  for (const int instances : {6, 295}) {
    const LimitRun run = RunLimit({.m_instances = instances, .m_demand = 0.6, .m_peak = 0.8});
    CHECK(run.m_spent >= 0.999 * run.m_central);
  }
}

TEST_CASE("above its limit a workspace gets all that one central bucket would give") {
  for (const int instances : {6, 295}) {
    const LimitRun run = RunLimit({.m_instances = instances, .m_demand = 2, .m_peak = 4});
    CHECK(run.m_spent >= 0.99 * run.m_central);
  }
}

TEST_CASE("below its limit a workspace gets nearly all also while instances start anew") {
  const LimitRun run = RunLimit({.m_demand = 0.6, .m_peak = 0.8, .m_restart_each_ms = 500});
  CHECK(run.m_spent >= 0.99 * run.m_central);
}

TEST_CASE("instances that a new leader has not heard yet still count as sharers") {
  const Instant now{Duration(10'000'000)};
  InstanceCount count = CountInstances({}, 6, kMayServe, now);
  CHECK(count.m_recent_max == 6);
  count = CountInstances(count, 1, kMayServe, now + Duration(1'000'000));
  CHECK(count.m_recent_max == 6);
  count = CountInstances(count, 7, kMayServe, now + Duration(2'000'000));
  CHECK(count.m_recent_max == 7);
  count = CountInstances(count, 2, kMayServe, now + Duration(7'000'000));
  CHECK(count.m_recent_max == 2);
}

TEST_CASE("of a limit that runs out, less urgent requests leave the rest to more urgent ones") {
  const QuotaLimit limit{1'000, 1'000};
  const Instant now{Duration(10'000'000)};
  QuotaBucket bucket = BeginLimit(limit, now);  // The bucket starts with a fifth of the burst.
  CHECK_FALSE(Spend(bucket, limit, {10, 0.2}, now));
  CHECK(Spend(bucket, limit, {110, 0.1}, now));
  CHECK_FALSE(Spend(bucket, limit, {10, 0.1}, now));
  CHECK(Spend(bucket, limit, {10, 0}, now));
  LocalQuotaBucket local_quota;
  CHECK(ChargeWithoutBroker(local_quota, limit, {700, 0}, {1, 1'000, 0}, now));
  CHECK_FALSE(ChargeWithoutBroker(local_quota, limit, {10, 0.4}, {1, 1'000, 0}, now));
  CHECK(ChargeWithoutBroker(local_quota, limit, {10, 0.2}, {1, 1'000, 0}, now));
}

TEST_CASE("a request may overdraw a limit once, and what never ran is given back") {
  const QuotaLimit limit{1'000, 1'000};
  const Instant now{Duration(10'000'000)};
  QuotaBucket bucket = BeginLimit(limit, now);
  CHECK(Spend(bucket, limit, {500, 0}, now));
  CHECK_FALSE(Spend(bucket, limit, {1, 0}, now));
  Refund(bucket, 500);
  CHECK(Spend(bucket, limit, {1, 0}, now));
  CHECK(bucket.m_spent == Approx(1));
  Charge(bucket, 99);
  CHECK(bucket.m_tokens == Approx(100));
}

TEST_CASE("without a broker all instances together spend what one bucket would give") {
  // Each instance sends one large request, which would fit into the whole limit.
  constexpr int kInstances = 295;
  const QuotaLimit limit{200'000, 200'000};
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const Instant now{Duration(10'000'000)};
  double spent = 0;
  for (int i = 0; i < kInstances; ++i) {
    LocalQuotaBucket local_quota;
    if (ChargeWithoutBroker(local_quota, limit, {7'000, 0}, {kInstances, 200'000, uniform(random)},
                            now))
      spent += 7'000;
  }
  CHECK(spent == Approx(200'000).epsilon(0.35));
}

}  // namespace
}  // namespace poppyway
