// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "fleet.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace poppyway::bench {
namespace {

constexpr Duration kStep{1000};            // Resolution of the simulation.
constexpr int kTickSteps = 5;              // Gateways and broker tick every 5 ms.
constexpr Duration kMaxDrain{60'000'000};  // Limit of the run after the end of the load.
constexpr std::size_t kMaxViolations = 5;
constexpr std::size_t kMaxQueue = 20'000;
constexpr Duration kSlowWindow{250'000};     // Window over which the slow engines' share is taken.
constexpr Duration kBalancerLag{1'000'000};  // Until the balancer avoids a dead gateway.

/// State of a request during the run.
struct RequestState {
  const Arrival* m_arrival = nullptr;
  int m_gateway = 0;
  int m_dispatches = 0;
  bool m_ended = false;
  int m_engine = -1;
  Credit m_credit;
  Instant m_dispatched{};
  Instant m_last_token{};
  bool m_first = false;
};

struct ToBroker {
  Instant m_due{};
  GatewayDemand m_demand;
  Instant m_sent{};
};
struct ToGateway {
  Instant m_due{};
  GrantBatch m_batch;
  Instant m_lease_end{};
};

class Fleet {
 public:
  Fleet(const Scenario& scenario, Strategy strategy, std::uint64_t seed)
      : m_scenario(scenario), m_strategy(strategy), m_random(seed) {
    for (std::size_t e = 0; e < scenario.m_generations.size(); ++e) {
      fakes::EngineSpec spec = fakes::EngineSpecOf(scenario.m_generations[e]);
      spec.m_slots = scenario.m_slots;
      m_engines.emplace_back(spec);
      m_ids.push_back("e" + std::to_string(e));
      m_index[m_ids.back()] = static_cast<int>(e);
      m_budgets.push_back({m_ids.back(), scenario.m_slots, scenario.m_prefill_budget});
    }
    m_in_flight.resize(m_engines.size(), 0);
    m_reported.resize(m_engines.size(), 0);
    m_clients.resize(static_cast<std::size_t>(scenario.m_gateways));
    m_last_sent.resize(m_clients.size());
    m_states.resize(scenario.m_arrivals.size() + 1);
    if (strategy == Strategy::kPoppyway)
      StartBroker(1, Instant{});
    m_broker.m_recovering_until = Instant{};
  }

  Outcome Run() {
    const Instant end = Instant(m_scenario.m_length + kMaxDrain);
    int step = 0;
    for (Instant now{}; now < end; now += kStep, ++step) {
      InjectFaults(now);
      Arrive(now);
      if (m_strategy == Strategy::kPoppyway)
        Exchange(now, step % kTickSteps == 0);
      if (step % kTickSteps == 0)
        ExpireDispatched(now);
      Advance(now + kStep);
      if (now - m_last_report >= m_scenario.m_report_age)
        Report(now);
      const bool finished = m_next == m_scenario.m_arrivals.size() && m_open == 0;
      if (finished)
        break;
    }
    Finish();
    return std::move(m_outcome);
  }

 private:
  void AddViolation(const std::string& what) {
    if (m_outcome.m_violations.size() < kMaxViolations)
      m_outcome.m_violations.push_back(what);
  }

  static std::string GatewayName(int gateway) { return "g" + std::to_string(gateway); }

  void StartBroker(std::int64_t epoch, Instant now) {
    m_broker = MakeBroker(m_scenario.m_broker, epoch, now);
    m_broker.m_live_gateways = m_scenario.m_gateways;
    UpdateEngines(m_broker, m_budgets, {},
                  [this](const std::string&, const std::string&) { return m_ids; });
    m_broker_up = true;
  }

  void InjectFaults(Instant now) {
    const auto due = [now](Instant when) { return when != Instant{} && now == when; };
    if (due(m_scenario.m_slow_at)) {
      for (std::size_t e = 0; e < m_engines.size(); e += 10)
        m_engines[e].SetSpeed(1.0 / 3);
    }
    if (due(m_scenario.m_gateway_lost))
      KillGateway(now);
    if (m_strategy != Strategy::kPoppyway)
      return;
    if (due(m_scenario.m_broker_lost)) {
      m_broker_up = false;
      m_to_broker.clear();
      m_to_gateway.clear();
      m_broker_restart = now + m_scenario.m_broker.m_lease + m_scenario.m_broker.m_lease_margin;
    }
    if (due(m_broker_restart)) {
      StartBroker(2, now);
      for (PoolClient& client : m_clients) {
        client.m_resync = true;
        client.m_dirty = true;
      }
    }
  }

  void KillGateway(Instant now) {
    m_gateway_down = true;
    m_balancer_updated = now + kBalancerLag;
    for (RequestRef ref = 1; ref < static_cast<RequestRef>(m_states.size()); ++ref) {
      RequestState& state = m_states[static_cast<std::size_t>(ref)];
      if (state.m_arrival == nullptr || state.m_ended || state.m_gateway != 0)
        continue;
      if (state.m_engine >= 0)
        Cancel(ref, "instance_lost");
      End(state, "instance_lost");
    }
  }

  void Arrive(Instant now) {
    while (m_next < m_scenario.m_arrivals.size() && m_scenario.m_arrivals[m_next].m_at <= now) {
      const Arrival& arrival = m_scenario.m_arrivals[m_next++];
      const auto ref = static_cast<RequestRef>(m_next);
      RequestState& state = m_states[static_cast<std::size_t>(ref)];
      state.m_arrival = &arrival;
      state.m_gateway = arrival.m_gateway;
      // The balancer stops sending requests to a dead gateway after kBalancerLag.
      if (state.m_gateway == 0 && m_gateway_down && now >= m_balancer_updated)
        state.m_gateway = 1 + static_cast<int>(m_next) % (m_scenario.m_gateways - 1);
      ++m_open;
      ++m_outcome.m_tiers[arrival.m_tier].m_offered;
      if (state.m_gateway == 0 && m_gateway_down)
        End(state, "instance_lost");
      else if (m_strategy == Strategy::kPoppyway)
        Admit(ref, now);
      else
        Submit(ref, ChooseBaseline(arrival), now);
    }
  }

  // ---- Baselines -----------------------------------------------------------------------------

  int ChooseBaseline(const Arrival& arrival) {
    const auto count = static_cast<int>(m_engines.size());
    switch (m_strategy) {
      case Strategy::kRoundRobin:
        return static_cast<int>(m_round_robin[arrival.m_gateway]++ % count);
      case Strategy::kLeastReported:
        return static_cast<int>(std::min_element(m_reported.begin(), m_reported.end()) -
                                m_reported.begin());
      case Strategy::kTwoChoices: {
        const auto a = static_cast<int>(m_random() % m_engines.size());
        const auto b = static_cast<int>(m_random() % m_engines.size());
        return m_reported[a] <= m_reported[b] ? a : b;
      }
      case Strategy::kPrefixHash: {
        const std::uint64_t prefix =
            arrival.m_prefixes.empty() ? m_random() : arrival.m_prefixes.front();
        int best = 0;
        for (int e = 1; e < count; ++e) {
          if (MixHash(prefix, Hash(m_ids[e])) > MixHash(prefix, Hash(m_ids[best])))
            best = e;
        }
        return best;
      }
      case Strategy::kPoppyway:
        break;
    }
    return 0;
  }

  void Report(Instant now) {
    m_last_report = now;
    for (std::size_t e = 0; e < m_engines.size(); ++e)
      m_reported[e] = m_engines[e].queued();
  }

  // ---- Poppyway ------------------------------------------------------------------------------

  WaitingRequest ToWaiting(RequestRef ref) const {
    const Arrival& arrival = *m_states[static_cast<std::size_t>(ref)].m_arrival;
    WaitingRequest request;
    request.m_ref = ref;
    request.m_tier = arrival.m_tier;
    request.m_workspace = arrival.m_workspace;
    request.m_event = "tier" + std::to_string(arrival.m_tier);
    request.m_prompt_tokens = arrival.m_prompt_tokens;
    request.m_prefixes = arrival.m_prefixes;
    request.m_arrived = arrival.m_at;
    request.m_deadline = arrival.m_at + arrival.m_deadline;
    return request;
  }

  void Admit(RequestRef ref, Instant now) {
    RequestState& state = m_states[static_cast<std::size_t>(ref)];
    PoolClient& client = ClientOf(state);
    const Admission admission = AdmitRequest(client, ToWaiting(ref), kMaxQueue, now);
    if (admission.m_evict)
      RefuseWaiting(client, *admission.m_evict, ResultCode::kQueueFull);
    if (admission.m_code != ResultCode::kOk) {
      RecordRefusal(client, state, admission.m_code);
      return;
    }
    m_last_admitted[state.m_arrival->m_tier] =
        std::max(m_last_admitted[state.m_arrival->m_tier], client.m_floor_epoch);
    const std::optional<Credit> credit = DispatchOrEnqueue(client, ToWaiting(ref), m_ids, now);
    if (credit)
      DispatchOn(ref, *credit, now);
  }

  /// Checks the invariant of the shed floor over all gateways: see `ShedFloor`.
  void RecordRefusal(const PoolClient& client, RequestState& state, ResultCode code) {
    const Tier tier = state.m_arrival->m_tier;
    if (code == ResultCode::kOverload) {
      for (Tier lower = tier + 1; lower < kTiers; ++lower) {
        if (m_last_admitted[lower] >= client.m_floor_epoch)
          AddViolation("tier " + std::to_string(tier) + " shed while tier " +
                       std::to_string(lower) + " was admitted");
      }
    }
    if (state.m_dispatches > 0)
      AddViolation("a refusal that says not run has a dispatch");
    End(state, std::string(ResultInfoOf(code).m_name));
  }

  void RefuseWaiting(PoolClient& client, RequestRef ref, ResultCode code) {
    if (client.m_queue.Remove(ref)) {
      client.m_dirty = true;
      RecordRefusal(client, m_states[static_cast<std::size_t>(ref)], code);
    }
  }

  void DispatchOn(RequestRef ref, const Credit& credit, Instant now) {
    m_states[static_cast<std::size_t>(ref)].m_credit = credit;
    const int engine = m_index.at(credit.m_engine);
    if (m_in_flight[engine] >= m_scenario.m_slots)
      ++(credit.m_id < 0 ? m_outcome.m_over_fair_share : m_outcome.m_over_budget);
    Submit(ref, engine, now);
  }

  void Perform(PoolClient& client, const PoolActions& actions, Instant now) {
    for (const PoolActions::Dispatch& dispatch : actions.m_dispatches)
      DispatchOn(dispatch.m_ref, dispatch.m_credit, now);
    for (const PoolActions::Refusal& refusal : actions.m_refusals)
      RefuseWaiting(client, refusal.m_ref, refusal.m_code);
  }

  /// Delivers due messages between gateways and broker, and runs their ticks.
  void Exchange(Instant now, bool tick) {
    while (!m_to_gateway.empty() && m_to_gateway.front().m_due <= now) {
      const ToGateway message = std::move(m_to_gateway.front());
      m_to_gateway.pop_front();
      const int gateway = std::atoi(message.m_batch.m_gateway.c_str() + 1);
      if (gateway == 0 && m_gateway_down)
        continue;
      PoolClient& client = m_clients[static_cast<std::size_t>(gateway)];
      Perform(client, HandleGrants(client, message.m_batch, message.m_lease_end, now), now);
    }
    for (int g = 0; g < m_scenario.m_gateways; ++g) {
      if (g == 0 && m_gateway_down)
        continue;
      PoolClient& client = m_clients[static_cast<std::size_t>(g)];
      if (tick) {
        const BudgetsFn budgets = [this](const WaitingRequest&) { return m_budgets; };
        Perform(client, TickPoolClient(client, static_cast<std::uint32_t>(g), budgets, now), now);
      }
      std::optional<GatewayDemand> demand =
          DueDemand(client, GatewayName(g), m_scenario.m_broker.m_lease, now);
      if (demand && m_broker_up)
        m_to_broker.push_back({now + m_scenario.m_message_delay, std::move(*demand), now});
    }
    if (!m_broker_up)
      return;
    while (!m_to_broker.empty() && m_to_broker.front().m_due <= now) {
      const ToBroker message = std::move(m_to_broker.front());
      m_to_broker.pop_front();
      m_last_sent[static_cast<std::size_t>(std::atoi(message.m_demand.m_gateway.c_str() + 1))] =
          message.m_sent;
      Send(HandleDemand(m_broker, message.m_demand, now), now);
    }
    if (tick)
      Send(TickBroker(m_broker, now), now);
  }

  void Send(std::vector<GrantBatch> batches, Instant now) {
    for (GrantBatch& batch : batches) {
      const auto gateway = static_cast<std::size_t>(std::atoi(batch.m_gateway.c_str() + 1));
      const Instant lease_end = m_last_sent[gateway] + m_scenario.m_broker.m_lease;
      m_to_gateway.push_back({now + m_scenario.m_message_delay, std::move(batch), lease_end});
    }
  }

  // ---- Engines -------------------------------------------------------------------------------

  void Submit(RequestRef ref, int engine, Instant now) {
    RequestState& state = m_states[static_cast<std::size_t>(ref)];
    if (++state.m_dispatches > 1)
      AddViolation("a request was dispatched twice");
    state.m_engine = engine;
    state.m_dispatched = now;
    ++m_in_flight[engine];
    fakes::EngineJob job;
    job.m_id = static_cast<std::uint64_t>(ref);
    job.m_prompt_tokens = state.m_arrival->m_prompt_tokens;
    job.m_prefixes = state.m_arrival->m_prefixes;
    job.m_output_tokens = state.m_arrival->m_output_tokens;
    job.m_priority = state.m_arrival->m_tier;
    m_engines[engine].Submit(std::move(job), now);
    RecordSlowShare(engine, now);
  }

  /// Records when the share of dispatches to the slow engines has fallen to half (0.05) after the
  /// slow-down.
  void RecordSlowShare(int engine, Instant now) {
    const bool watching = m_scenario.m_slow_at != Instant{} && now >= m_scenario.m_slow_at &&
                          m_outcome.m_slow_share_halved < Duration(0);
    if (!watching)
      return;
    m_recent.push_back({now, engine % 10 == 0});
    while (now - m_recent.front().first > kSlowWindow)
      m_recent.pop_front();
    const auto slow = std::count_if(m_recent.begin(), m_recent.end(),
                                    [](const auto& entry) { return entry.second; });
    const bool full_window = now - m_scenario.m_slow_at >= kSlowWindow;
    if (full_window && static_cast<double>(slow) <= 0.05 * static_cast<double>(m_recent.size()))
      m_outcome.m_slow_share_halved = now - m_scenario.m_slow_at;
  }

  void Advance(Instant now) {
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
      for (const fakes::EngineEvent& event : m_engines[e].Advance(now))
        OnToken(event);
    }
  }

  PoolClient& ClientOf(const RequestState& state) {
    return m_clients[static_cast<std::size_t>(state.m_gateway)];
  }

  void OnToken(const fakes::EngineEvent& event) {
    RequestState& state = m_states[event.m_id];
    if (state.m_ended)
      return;
    if (!state.m_first) {
      state.m_first = true;
      m_outcome.m_first_token.Record(event.m_at - state.m_arrival->m_at);
      RecordUse(ClientOf(state), state.m_credit, UseStage::kFirstToken,
                event.m_at - state.m_dispatched);
    } else {
      m_outcome.m_between_tokens.Record(event.m_at - state.m_last_token);
    }
    state.m_last_token = event.m_at;
    if (!event.m_last)
      return;
    ReturnCredit(state, event.m_at);
    LearnService(ClientOf(state), "tier" + std::to_string(state.m_arrival->m_tier),
                 event.m_at - state.m_dispatched);
    const bool in_time = event.m_at <= state.m_arrival->m_at + state.m_arrival->m_deadline;
    TierResult& tier = m_outcome.m_tiers[state.m_arrival->m_tier];
    ++(in_time ? tier.m_good : tier.m_late);
    if (in_time)
      ++m_outcome.m_good_by_workspace[state.m_arrival->m_workspace];
    else
      m_outcome.m_wasted["late"] += state.m_arrival->m_prompt_tokens;
    End(state, "");
  }

  void ReturnCredit(RequestState& state, Instant now) {
    --m_in_flight[state.m_engine];
    if (m_strategy != Strategy::kPoppyway)
      return;
    EndDispatch(ClientOf(state), state.m_credit, UseStage::kFinished, now - state.m_dispatched,
                now);
  }

  void Cancel(RequestRef ref, const std::string& cause) {
    RequestState& state = m_states[static_cast<std::size_t>(ref)];
    if (m_engines[state.m_engine].PrefillStarted(static_cast<std::uint64_t>(ref)))
      m_outcome.m_wasted[cause] += state.m_arrival->m_prompt_tokens;
    m_engines[state.m_engine].Cancel(static_cast<std::uint64_t>(ref));
    --m_in_flight[state.m_engine];
  }

  /// Fails dispatched requests that have no first token by their deadline.
  void ExpireDispatched(Instant now) {
    for (; m_oldest < m_next; ++m_oldest) {
      if (!m_states[m_oldest + 1].m_ended)
        break;
    }
    for (std::size_t i = m_oldest; i < m_next; ++i) {
      RequestState& state = m_states[i + 1];
      const bool silent = !state.m_ended && state.m_engine >= 0 && !state.m_first;
      if (!silent || now <= state.m_arrival->m_at + state.m_arrival->m_deadline)
        continue;
      Cancel(static_cast<RequestRef>(i + 1), "deadline_passed");
      if (m_strategy == Strategy::kPoppyway)
        EndDispatch(ClientOf(state), state.m_credit, UseStage::kFinished, now - state.m_dispatched,
                    now);
      End(state, "deadline_passed");
    }
  }

  void End(RequestState& state, const std::string& reason) {
    if (state.m_ended)
      AddViolation("a request ended twice");
    state.m_ended = true;
    --m_open;
    if (!reason.empty())
      ++m_outcome.m_refusals[reason];
  }

  void Finish() {
    for (std::size_t i = 0; i < m_next; ++i) {
      if (!m_states[i + 1].m_ended)
        AddViolation("a request never ended");
    }
    for (const fakes::EngineModel& engine : m_engines)
      m_outcome.m_prefilled += engine.prefilled();
  }

  const Scenario& m_scenario;
  Strategy m_strategy;
  std::mt19937_64 m_random;
  std::vector<fakes::EngineModel> m_engines;
  std::vector<std::string> m_ids;
  std::map<std::string, int> m_index;
  std::vector<EngineBudget> m_budgets;
  std::vector<int> m_in_flight;
  std::vector<std::size_t> m_reported;
  std::vector<PoolClient> m_clients;
  std::vector<Instant>
      m_last_sent;  ///< When each gateway sent the last demand that the broker handled.
  std::map<int, std::uint64_t> m_round_robin;  ///< Position of each gateway's round robin.
  Broker m_broker;
  bool m_broker_up = false;
  Instant m_broker_restart{};
  bool m_gateway_down = false;
  Instant m_balancer_updated{};  ///< When the balancer starts to avoid the dead gateway.
  std::deque<ToBroker> m_to_broker;
  std::deque<ToGateway> m_to_gateway;
  std::vector<RequestState> m_states;  ///< Indexed by RequestRef: the arrival's index plus one.
  std::size_t m_next = 0;              ///< Index of the next arrival.
  std::size_t m_oldest = 0;            ///< Index of the first arrival that may not have ended.
  std::int64_t m_open = 0;             ///< Requests that have arrived and not ended.
  Instant m_last_report{};
  std::array<std::int64_t, kTiers>
      m_last_admitted{};                          ///< Floor epoch of each tier's last admission.
  std::deque<std::pair<Instant, bool>> m_recent;  ///< Dispatches in the window; true: slow engine.
  Outcome m_outcome;
};

}  // namespace

Outcome RunFleet(const Scenario& scenario, Strategy strategy, std::uint64_t seed) {
  return Fleet(scenario, strategy, seed).Run();
}

}  // namespace poppyway::bench
