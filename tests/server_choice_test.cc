// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr Duration kTarget{800'000};
const Instant kNow{Duration(1'000'000)};

ServerView Engine(double tokens_per_ms, int at_work) {
  ServerView view;
  view.m_slots = 10;
  view.m_other_in_flight = at_work;
  view.m_performance = {
      .m_prefill_tokens_per_ms = tokens_per_ms, .m_event_interval_ms = 25, .m_service_ms = 1500};
  view.m_same_data_centre = true;
  return view;
}

RequestShape Prompt(std::int64_t tokens, Tier tier = 0) {
  RequestShape shape;
  shape.m_tier = tier;
  shape.m_prompt_tokens = tokens;
  shape.m_latency_target = kTarget;
  return shape;
}

std::optional<ServerChoice> Choose(const std::vector<ServerView>& views,
                                   const RequestShape& shape) {
  return ChooseServer(views, shape, AveragePerformance(views), 7);
}

TEST_CASE("a long prompt goes to the engine that reads it soonest") {
  const std::vector<ServerView> views{Engine(30, 0), Engine(150, 5), Engine(55, 0)};
  CHECK(Choose(views, Prompt(20'000))->m_index == 1);
}

TEST_CASE("prompts that an engine still has to read count against it") {
  std::vector<ServerView> views{Engine(50, 3), Engine(50, 3)};
  views[0].m_pending_prefill_tokens = 30'000;
  CHECK(Choose(views, Prompt(1'000))->m_index == 1);
}

TEST_CASE("an engine that keeps most of the prompt is ahead of an equal one") {
  std::vector<ServerView> views{Engine(50, 3), Engine(50, 3)};
  views[1].m_cached_tokens = 9'000;
  CHECK(Choose(views, Prompt(10'000))->m_index == 1);
}

TEST_CASE("nothing is sent where the first event can't be in time") {
  std::vector<ServerView> views{Engine(50, 2)};
  views[0].m_pending_prefill_tokens = 40'000;
  CHECK_FALSE(Choose(views, Prompt(1'000)));
}

TEST_CASE("a prompt that no engine can read in time is still sent where little is ahead of it") {
  const std::vector<ServerView> views{Engine(50, 2)};
  CHECK(Choose(views, Prompt(60'000)));
}

TEST_CASE("nothing is sent to an engine without a free place, whatever its tier") {
  const std::vector<ServerView> views{Engine(50, 10)};
  CHECK_FALSE(Choose(views, Prompt(500, 0)));
  CHECK_FALSE(Choose(views, Prompt(500, 1)));
  CHECK_FALSE(Choose(views, Prompt(500, 2)));
  CHECK(Choose({Engine(50, 9)}, Prompt(500, 2)));
}

TEST_CASE("of a full service's own queue lower tiers use less") {
  // The wait for a slot is 150 ms: more than a lower tier may wait, less than the highest may.
  const std::vector<ServerView> views{Engine(50, 10)};
  CHECK(Choose(views, Prompt(0, 0)));
  CHECK_FALSE(Choose(views, Prompt(0, 1)));
  CHECK_FALSE(Choose(views, Prompt(0, 2)));
}

TEST_CASE("an answer that a slow engine can't end in time waits for one that can") {
  std::vector<ServerView> views{Engine(60, 0), Engine(50, 10)};
  views[0].m_performance.m_event_interval_ms = 80;
  views[1].m_performance.m_event_interval_ms = 18;
  RequestShape shape = Prompt(500);
  shape.m_events = 300;
  shape.m_left = Duration(15'000'000);
  CHECK_FALSE(Choose(views, shape));
  views[1].m_other_in_flight = 9;
  CHECK(Choose(views, shape)->m_index == 1);
  shape.m_events = 50;
  CHECK(Choose(views, shape)->m_index == 0);
}

TEST_CASE("an answer that no engine can end in time still goes to one with room") {
  std::vector<ServerView> views{Engine(60, 0), Engine(50, 10)};
  views[0].m_performance.m_event_interval_ms = 80;
  views[1].m_performance.m_event_interval_ms = 80;
  RequestShape shape = Prompt(500);
  shape.m_events = 300;
  shape.m_left = Duration(15'000'000);
  CHECK(Choose(views, shape)->m_index == 0);
}

TEST_CASE("a prompt that a slow engine reads too late waits for one that reads faster") {
  std::vector<ServerView> views{Engine(20, 0), Engine(100, 10)};
  CHECK_FALSE(Choose(views, Prompt(12'000)));
  CHECK(Choose(views, Prompt(5'000))->m_index == 0);
}

TEST_CASE("a request that yields leaves the last places to what is more urgent") {
  RequestShape shape = Prompt(500, 1);
  shape.m_yields_to_higher_priority = true;
  CHECK(Choose({Engine(50, 5)}, shape));
  CHECK_FALSE(Choose({Engine(50, 9)}, shape));
}

TEST_CASE("a server that is avoided, leaving or tried before gets nothing") {
  std::vector<ServerView> views{Engine(150, 0), Engine(30, 5)};
  views[0].m_usable = false;
  CHECK(Choose(views, Prompt(500))->m_index == 1);
  views[1].m_usable = false;
  CHECK_FALSE(Choose(views, Prompt(500)));
}

TEST_CASE("long streams keep away from engines with long pauses") {
  std::vector<ServerView> views{Engine(50, 2), Engine(45, 2)};
  views[0].m_performance.m_pause_ms = 500;
  views[1].m_performance.m_pause_ms = 100;
  RequestShape shape = Prompt(500);
  shape.m_gap_target = Duration(400'000);
  shape.m_events = 80;
  CHECK(Choose(views, shape)->m_index == 1);
}

TEST_CASE("a stream that would miss its deadline on a slow engine goes to a fast one") {
  std::vector<ServerView> views{Engine(60, 0), Engine(50, 4)};
  views[0].m_performance.m_event_interval_ms = 80;
  views[1].m_performance.m_event_interval_ms = 18;
  RequestShape shape = Prompt(500);
  shape.m_gap_target = Duration(400'000);
  shape.m_events = 300;
  shape.m_left = Duration(15'000'000);
  CHECK(Choose(views, shape)->m_index == 1);
}

TEST_CASE("equal servers share requests evenly") {
  const std::vector<ServerView> views(4, Engine(50, 2));
  std::vector<int> chosen(4);
  for (std::uint64_t random = 0; random < 4'000; ++random)
    ++chosen[ChooseServer(views, Prompt(500), AveragePerformance(views), random * 977)->m_index];
  for (const int n : chosen)
    CHECK(n == Approx(1000).margin(150));
}

TEST_CASE("interference slows a sample, so learning follows the faster ones") {
  ServerPerformance pace;
  pace = ObserveFirstEvent(pace, 5'000, Duration(115'000));
  CHECK(pace.m_prefill_tokens_per_ms == Approx(50));
  const ServerPerformance slower = ObserveFirstEvent(pace, 5'000, Duration(1'015'000));
  CHECK(slower.m_prefill_tokens_per_ms > 45);
  const ServerPerformance faster = ObserveFirstEvent(pace, 5'000, Duration(65'000));
  CHECK(faster.m_prefill_tokens_per_ms > 60);
  CHECK(ObserveFirstEvent(pace, 10, Duration(1'000)) == pace);
}

TEST_CASE("one failure changes nothing, several in a row keep work away for longer and longer") {
  ServerHealth health;
  for (int i = 0; i < 2; ++i) {
    health = Observe(health, HealthSignal::kFailure, kNow);
    CHECK_FALSE(IsEjected(health, kNow));
  }
  health = Observe(health, HealthSignal::kFailure, kNow);
  CHECK(IsEjected(health, kNow));
  const Instant first = health.m_ejected_until;
  health = Observe(health, HealthSignal::kFailure, kNow);
  CHECK(health.m_ejected_until > first);
  for (int i = 0; i < 50; ++i)
    health = Observe(health, HealthSignal::kFailure, kNow);
  CHECK(health.m_ejected_until <= kNow + Duration(4'000'000));
  health = Observe(health, HealthSignal::kSuccess, kNow + Duration(5'000'000));
  CHECK(health.m_failures == 0);
}

TEST_CASE("a server that fails now and then at random is hardly ever avoided") {
  std::mt19937_64 random(1);
  std::bernoulli_distribution fails(0.03);
  ServerHealth health;
  int avoided = 0;
  constexpr int kAnswers = 20'000;
  for (int i = 0; i < kAnswers; ++i) {
    const Instant now = kNow + i * Duration(10'000);
    avoided += IsEjected(health, now) ? 1 : 0;
    health = Observe(health, fails(random) ? HealthSignal::kFailure : HealthSignal::kSuccess, now);
  }
  CHECK(avoided < kAnswers / 200);
}

TEST_CASE("a server that fails most requests is avoided within some tens of them") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    std::bernoulli_distribution fails(0.6);
    ServerHealth health;
    int sent = 0;
    for (; sent < 40 && !IsEjected(health, kNow); ++sent)
      health =
          Observe(health, fails(random) ? HealthSignal::kFailure : HealthSignal::kSuccess, kNow);
    CHECK(sent < 40);
  }
}

TEST_CASE("a server without a connection is avoided at once") {
  CHECK(IsEjected(Observe({}, HealthSignal::kUnreachable, kNow), kNow));
}

TEST_CASE("a shared retry limit is spent in parts") {
  RetryBudget budget{0};
  const RetryLimit limit{0.2, 60, 6};
  for (int i = 0; i < 1'000; ++i)
    budget = Deposit(budget, limit);
  CHECK(budget.m_tokens == Approx(10));
}

}  // namespace
}  // namespace poppyway
