// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/policy.h"

using namespace poppyway;

namespace {

Instant At(int millis) {
  return Instant(Duration(10'000'000 + millis * 1000));
}

WaitingRequest Request(RequestRef ref,
                       Tier tier,
                       const std::string& workspace = "w",
                       std::int64_t tokens = 100) {
  WaitingRequest request;
  request.m_ref = ref;
  request.m_tier = tier;
  request.m_workspace = workspace;
  request.m_event = "e";
  request.m_prompt_tokens = tokens;
  request.m_arrived = At(0);
  request.m_deadline = At(60'000);
  return request;
}

GatewayDemand Demand(const std::string& gateway, std::vector<WaitingRequest> items) {
  GatewayDemand demand;
  demand.m_gateway = gateway;
  for (const WaitingRequest& item : items)
    ++demand.m_waiting[item.m_tier];
  demand.m_items = std::move(items);
  return demand;
}

Broker ReadyBroker(const std::vector<EngineBudget>& engines) {
  BrokerSettings settings;
  settings.m_pregranted_share = 0;
  Broker broker = MakeBroker(settings, 1, At(0));
  broker.m_recovering_until = {};
  std::vector<std::string> ids;
  for (const EngineBudget& engine : engines)
    ids.push_back(engine.m_id);
  UpdateEngines(broker, engines, {}, [ids](const std::string&, const std::string&) { return ids; });
  return broker;
}

std::vector<Credit> CreditsOf(const std::vector<GrantBatch>& batches) {
  std::vector<Credit> credits;
  for (const GrantBatch& batch : batches)
    credits.insert(credits.end(), batch.m_credits.begin(), batch.m_credits.end());
  return credits;
}

}  // namespace

TEST_CASE("the highest tier is granted first over all gateways", "[policy][broker]") {
  Broker broker = ReadyBroker({{"e", 1, 10'000}});
  const auto first = HandleDemand(broker, Demand("a", {Request(1, 2)}), At(0));
  const std::vector<Credit> held = CreditsOf(first);
  REQUIRE(held.size() == 1);
  CHECK(CreditsOf(HandleDemand(broker, Demand("a", {Request(2, 2)}), At(1))).empty());
  CHECK(CreditsOf(HandleDemand(broker, Demand("b", {Request(3, 0)}), At(2))).empty());
  GatewayDemand finished = Demand("a", {Request(2, 2)});
  finished.m_uses.push_back({held[0].m_id, UseStage::kFinished, Duration(1000)});
  const std::vector<Credit> next = CreditsOf(HandleDemand(broker, finished, At(3)));
  REQUIRE(next.size() == 1);
  CHECK(next[0].m_ref == 3);
}

TEST_CASE("a request that was granted is not granted again while its message is under way",
          "[policy][broker]") {
  Broker broker = ReadyBroker({{"e", 4, 10'000}});
  CHECK(CreditsOf(HandleDemand(broker, Demand("a", {Request(1, 0)}), At(0))).size() == 1);
  CHECK(CreditsOf(HandleDemand(broker, Demand("a", {Request(1, 0)}), At(1))).empty());
}

TEST_CASE("a new broker grants nothing until every gateway told what it holds",
          "[policy][broker]") {
  BrokerSettings settings;
  Broker broker = MakeBroker(settings, 2, At(0));
  broker.m_live_gateways = 2;
  UpdateEngines(broker, {{"e", 2, 10'000}}, {}, [](const std::string&, const std::string&) {
    return std::vector<std::string>{"e"};
  });
  GatewayDemand a = Demand("a", {Request(1, 0)});
  a.m_resync = true;
  a.m_held = {{77, 5, "e", 100}};
  CHECK(CreditsOf(HandleDemand(broker, a, At(1))).empty());
  GatewayDemand b = Demand("b", {Request(1, 0)});
  b.m_resync = true;
  b.m_held = {{78, 6, "e", 100}};
  // Both slots are taken by the previous broker's grants.
  CHECK(CreditsOf(HandleDemand(broker, b, At(2))).empty());
  GatewayDemand done = Demand("b", {Request(1, 0)});
  done.m_uses.push_back({78, UseStage::kFinished, Duration(1000)});
  CHECK(CreditsOf(HandleDemand(broker, done, At(3))).size() == 1);
}

TEST_CASE("a silent gateway's credits come back after its lease and margin", "[policy][broker]") {
  Broker broker = ReadyBroker({{"e", 1, 10'000}});
  CHECK(CreditsOf(HandleDemand(broker, Demand("a", {Request(1, 0)}), At(0))).size() == 1);
  (void)HandleDemand(broker, Demand("b", {Request(2, 0)}), At(3000));
  CHECK(CreditsOf(TickBroker(broker, At(3400))).empty());
  CHECK(CreditsOf(TickBroker(broker, At(3500))).size() == 1);
}

TEST_CASE("workspaces share a tier by weight, not by how much they ask", "[policy][fairness]") {
  Broker broker = ReadyBroker({{"e", 1, 1'000'000}});
  broker.m_weights = {{"big", 1}, {"small", 1}};
  std::vector<WaitingRequest> items;
  for (int i = 0; i < 40; ++i)
    items.push_back(Request(100 + i, 1, "big"));
  for (int i = 0; i < 5; ++i)
    items.push_back(Request(200 + i, 1, "small"));
  int small_served = 0;
  std::optional<Credit> held;
  for (int turn = 0; turn < 10; ++turn) {
    GatewayDemand demand = Demand("a", items);
    if (held)
      demand.m_uses.push_back({held->m_id, UseStage::kFinished, Duration(1000)});
    const std::vector<Credit> credits = CreditsOf(HandleDemand(broker, demand, At(turn)));
    REQUIRE(credits.size() == 1);
    held = credits[0];
    small_served += held->m_ref >= 200 ? 1 : 0;
    std::erase_if(items, [&](const WaitingRequest& r) { return r.m_ref == held->m_ref; });
  }
  CHECK(small_served == 5);
}

TEST_CASE("long prompts leave engines for short ones of the same tier", "[policy][broker]") {
  Broker broker = ReadyBroker({{"e0", 8, 8000}, {"e1", 8, 8000}});
  std::vector<WaitingRequest> items;
  for (int i = 0; i < 6; ++i)
    items.push_back(Request(i + 1, 1, "w", 7000));
  items.push_back(Request(50, 1, "w", 50));
  const std::vector<Credit> credits = CreditsOf(HandleDemand(broker, Demand("a", items), At(0)));
  const auto short_one =
      std::find_if(credits.begin(), credits.end(), [](const Credit& c) { return c.m_ref == 50; });
  REQUIRE(short_one != credits.end());
  CHECK(short_one->m_engine == "e1");
}

TEST_CASE("a request no engine can answer in time is refused before dispatch", "[policy][broker]") {
  Broker broker = ReadyBroker({{"e", 8, 1'000'000}});
  WaitingRequest request = Request(1, 0, "w", 80'000);  // Ten seconds of prefill.
  request.m_deadline = At(5000);
  const auto batches = HandleDemand(broker, Demand("a", {request}), At(0));
  CHECK(CreditsOf(batches).empty());
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].m_infeasible == std::vector<RequestRef>{1});
}

TEST_CASE("an engine that keeps failing is ejected, but never a whole pool", "[policy][broker]") {
  Broker broker =
      ReadyBroker({{"e0", 8, 10'000}, {"e1", 8, 10'000}, {"e2", 8, 10'000}, {"e3", 8, 10'000}});
  for (int i = 0; i < 60; ++i) {
    const auto credits = CreditsOf(HandleDemand(broker, Demand("a", {Request(i + 1, 0)}), At(i)));
    REQUIRE(credits.size() == 1);
    GatewayDemand failed = Demand("a", {});
    failed.m_uses.push_back({credits[0].m_id, UseStage::kFailed, Duration(0)});
    (void)HandleDemand(broker, failed, At(i));
  }
  const auto ejected =
      std::count_if(broker.m_engines.begin(), broker.m_engines.end(),
                    [](const BrokerEngine& e) { return e.m_ejected_until > At(60); });
  CHECK(ejected == 1);
}

TEST_CASE("the floor moves one step at a time and only when all acknowledged", "[policy][floor]") {
  ShedFloor floor;
  FloorInputs inputs;
  inputs.m_now = At(1000);
  inputs.m_waiting = {1000, 1000, 1000};
  inputs.m_drain_per_s = 1;
  inputs.m_patience_s = {10, 10, 10};
  CHECK(MoveFloor(floor, inputs) == floor);
  inputs.m_all_acknowledged = true;
  floor = MoveFloor(floor, inputs);
  CHECK(floor.m_floor == 2);
  CHECK(floor.m_epoch == 2);
  inputs.m_now = At(2000);
  floor = MoveFloor(floor, inputs);
  CHECK(floor.m_floor == 1);
  inputs.m_now = At(3000);
  CHECK(MoveFloor(floor, inputs).m_floor == 1);  // The highest tier is never closed.
  inputs.m_waiting = {};
  CHECK(MoveFloor(floor, inputs).m_floor == 2);
}

TEST_CASE("fair shares of all gateways together fit each engine's slots", "[policy][credits]") {
  for (const std::int64_t slots : {1, 3, 8, 16}) {
    for (const int gateways : {1, 2, 6, 7}) {
      std::int64_t total = 0;
      for (int g = 0; g < gateways; ++g) {
        CreditBook book;
        book.m_gateways = gateways;
        while (const auto credit =
                   TakeFairShare(book, {{"e", slots, 1000}}, static_cast<std::uint32_t>(g), 1)) {
          RecordDispatch(book, *credit);
          ++total;
        }
      }
      CHECK(total == slots);
    }
  }
}

TEST_CASE("a full queue makes room by its lowest tier, never by a higher one", "[policy][queue]") {
  PoolClient pool;
  for (int i = 1; i <= 3; ++i)
    pool.m_queue.Push(Request(i, i == 2 ? 2 : 1));
  const Admission high = AdmitRequest(pool, Request(9, 0), 3, At(0));
  CHECK(high.m_code == ResultCode::kOk);
  CHECK(high.m_evict == RequestRef{2});
  CHECK(AdmitRequest(pool, Request(9, 2), 3, At(0)).m_code == ResultCode::kQueueFull);
}

TEST_CASE("a request is given up for its backlog only while every lower tier is closed",
          "[policy][floor]") {
  PoolClient pool;
  pool.m_contended = true;
  pool.m_drain_per_s = 1;
  pool.m_backlog = {0, 500, 0};
  pool.m_floor = 3;
  pool.m_queue.Push(Request(1, 1));
  CHECK(AdmitRequest(pool, Request(2, 1), 100, At(0)).m_code == ResultCode::kOk);
  pool.m_floor = 2;
  CHECK(AdmitRequest(pool, Request(2, 1), 100, At(0)).m_code == ResultCode::kOverload);
  CHECK(AdmitRequest(pool, Request(3, 2), 100, At(0)).m_code == ResultCode::kOverload);
}

TEST_CASE("retries are a ratio of new requests", "[policy][retry]") {
  RetryBudget budget{0};
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget = Deposit(budget);
    retries += Withdraw(budget) ? 1 : 0;
  }
  CHECK(retries <= 100);
  CHECK(retries >= 98);
}

TEST_CASE("callers are told to come back spread over the backlog's drain time", "[policy][retry]") {
  int least = 1000;
  int most = 0;
  for (std::uint64_t i = 0; i < 100; ++i) {
    const int seconds = RetryAfter(500, 50, Hash("x", i));
    least = std::min(least, seconds);
    most = std::max(most, seconds);
  }
  CHECK(least >= 10);
  CHECK(most <= 20);
  CHECK(most - least >= 8);
  CHECK(RetryAfter(0, 0, 0) == 1);
}

TEST_CASE("an overdue first token lowers an engine's planning rate at once", "[policy][rate]") {
  RateEstimate estimate;
  for (int i = 0; i < 20; ++i)
    estimate = Observe(estimate, 1000, Duration(100'000));
  CHECK(estimate.m_tokens_per_s == Approx(10'000));
  CHECK(PlanningRate(estimate, 1000, Duration(150'000), 1) == Approx(10'000));
  CHECK(PlanningRate(estimate, 1000, Duration(500'000), 1) == Approx(2000));
}

TEST_CASE("requests that share a prefix go where it is cached, while that is the faster way",
          "[policy][prefix]") {
  Broker broker = ReadyBroker({{"e0", 8, 100'000}, {"e1", 8, 100'000}, {"e2", 8, 100'000}});
  WaitingRequest first = Request(1, 0, "w", 4000);
  first.m_prefixes = {11, 12, 13};
  const Credit credit = CreditsOf(HandleDemand(broker, Demand("a", {first}), At(0)))[0];
  const std::string home = credit.m_engine;
  GatewayDemand prefilled = Demand("a", {});
  prefilled.m_uses.push_back({credit.m_id, UseStage::kFirstToken, Duration(500'000)});
  (void)HandleDemand(broker, prefilled, At(1));
  WaitingRequest second = first;
  second.m_ref = 2;
  CHECK(CreditsOf(HandleDemand(broker, Demand("a", {second}), At(2)))[0].m_engine == home);
  // While the engine of the first request still prefills another long prompt, a free engine is
  // faster.
  WaitingRequest third = first;
  third.m_ref = 3;
  CHECK(CreditsOf(HandleDemand(broker, Demand("a", {third}), At(3)))[0].m_engine != home);
}
