// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "poppyway/policy.h"

/// \file
/// \brief A pool of engines, its callers and a slot broker on simulated time, without network or
/// clock. Equal seeds give equal runs.

namespace poppyway::test {

/// \brief One kind of request that callers send.
struct SimulatedKind {
  Tier m_route_tier = 0;
  double m_per_s = 0;
  double m_prompt_tokens = 0;
  double m_events = 0;  ///< Mean number in a response.
  Duration m_latency_target{};
  Duration m_deadline{};
};

/// \brief The outcome of a group of requests.
struct SimulatedOutcome {
  int m_asked = 0;
  int m_served = 0;  ///< Got a slot in time to complete before the deadline.

  [[nodiscard]] double share() const { return m_asked == 0 ? 1 : double(m_served) / m_asked; }
};

/// \brief A simulated run: kinds of requests, engines, duration.
struct SimulatedDay {
  std::vector<SimulatedKind> m_kinds;
  int m_engines = 60;
  int m_slots = 9;
  std::vector<double> m_event_interval_ms = {25, 44,
                                             120};  ///< By generation in turn, at full load.
  double m_prefill_tokens_per_ms = 56.6;
  double m_tokens_per_event = 7;
  int m_workspaces = 16;
  double m_length_spread = 1.2;  ///< Deviation of the logarithm of a response's length.
  double m_hint_spread = 0.5;    ///< Deviation of the logarithm of callers' error on it.
  Duration m_span{30'000'000};
  Duration m_return{700'000};  ///< A rejected caller retries once, after this time.
  std::uint64_t m_seed = 1;
};

/// \brief Outcomes by group.
struct SimulatedResult {
  SimulatedOutcome m_all;
  std::map<Tier, SimulatedOutcome> m_by_rank;
  std::map<std::string, SimulatedOutcome> m_by_workspace;
  std::map<std::string, SimulatedOutcome> m_by_data_centre;
  std::map<Tier, SimulatedOutcome> m_largest_tenth;  ///< By prompt plus ten times output tokens.
  std::map<Tier, SimulatedOutcome> m_next_fifth;
};

/// \brief Simulates a run with one instance per data centre and one broker.
class PoolSimulation {
 public:
  explicit PoolSimulation(SimulatedDay day) : m_day(std::move(day)), m_random(m_day.m_seed) {}

  [[nodiscard]] SimulatedResult Play() {
    Begin();
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      Handle(event);
    }
    return Count();
  }

 private:
  enum class EventKind { kArrive, kFirst, kEnd, kTick };
  struct Event {
    Instant m_at{};
    std::int64_t m_number = 0;  ///< Keeps the order of simultaneous events.
    EventKind m_event_kind = EventKind::kTick;
    SlotRef m_ref = 0;
    bool operator<(const Event& b) const {
      return m_at != b.m_at ? m_at > b.m_at : m_number > b.m_number;
    }
  };
  struct Request {
    const SimulatedKind* m_kind = nullptr;
    std::string m_workspace;
    std::string m_data_centre;
    std::int64_t m_prompt = 0;
    std::int64_t m_length = 0;  ///< Number of events.
    std::int64_t m_hint = 0;    ///< Tokens that the caller expects.
    Instant m_arrived{};
    std::size_t m_engine = 0;
    Duration m_first{};
    int m_tries = 0;
    bool m_served = false;

    [[nodiscard]] double size(double tokens_per_event) const {
      return double(m_prompt) + 10 * tokens_per_event * double(m_length);
    }
  };

  static constexpr Duration kTickInterval{20'000};

  void Begin() {
    m_now = Instant(Duration(1'000'000));
    m_broker = MakeSlotBroker(1, m_day.m_seed, Duration(4'500'000), m_now - Duration(2'000'000));
    std::vector<BackendServer> servers;
    for (int i = 0; i < m_day.m_engines; ++i)
      servers.push_back({"s" + std::to_string(i), "engines", DataCentre(i), m_day.m_slots, false});
    SetServers(m_broker, servers);
    for (int i = 0; i < 4; ++i)
      ForgetInstance(m_broker, DataCentre(i), 4, m_now);
    m_end = m_now + m_day.m_span;
    for (const SimulatedKind& kind : m_day.m_kinds)
      ScheduleArrivals(kind);
    for (Instant at = m_now; at < m_end; at += kTickInterval)
      Schedule(at, EventKind::kTick, 0);
  }

  static std::string DataCentre(int i) { return std::string(1, static_cast<char>('a' + i % 4)); }

  void ScheduleArrivals(const SimulatedKind& kind) {
    std::exponential_distribution<double> gap(kind.m_per_s);
    std::lognormal_distribution<double> length(
        std::log(kind.m_events) - m_day.m_length_spread * m_day.m_length_spread / 2,
        m_day.m_length_spread);
    std::lognormal_distribution<double> error(0, m_day.m_hint_spread);
    std::lognormal_distribution<double> prompt(std::log(kind.m_prompt_tokens) - 0.32, 0.8);
    for (double at = gap(m_random); at < Seconds(m_day.m_span); at += gap(m_random)) {
      const SlotRef ref = static_cast<SlotRef>(m_requests.size()) + 1;
      Request& request = m_requests.emplace_back();
      request.m_kind = &kind;
      request.m_workspace = "w" + std::to_string(m_random() % unsigned(m_day.m_workspaces));
      request.m_data_centre = DataCentre(static_cast<int>(m_random() % 4));
      request.m_prompt = std::max<std::int64_t>(20, std::int64_t(prompt(m_random)));
      const double events = std::min(length(m_random), 10 * kind.m_events);
      request.m_length = std::max<std::int64_t>(1, std::int64_t(events));
      request.m_hint = std::max<std::int64_t>(
          1, std::int64_t(double(request.m_length) * m_day.m_tokens_per_event * error(m_random)));
      Schedule(m_now + Duration(std::int64_t(at * 1e6)), EventKind::kArrive, ref);
    }
  }

  void Schedule(Instant at, EventKind event_kind, SlotRef ref) {
    m_events.push({at, ++m_number, event_kind, ref});
  }

  Request& RequestOf(SlotRef ref) { return m_requests[static_cast<std::size_t>(ref) - 1]; }

  void Handle(const Event& event) {
    std::vector<SlotResponse> out;
    switch (event.m_event_kind) {
      case EventKind::kArrive:
        SendSlotRequest(event.m_ref, out);
        break;
      case EventKind::kFirst: {
        SlotReport report{.m_ref = event.m_ref};
        report.m_tokens_read = RequestOf(event.m_ref).m_prompt;
        report.m_time_to_first_event = RequestOf(event.m_ref).m_first;
        ApplyReport(m_broker, RequestOf(event.m_ref).m_data_centre, report, m_now, out);
        break;
      }
      case EventKind::kEnd:
        End(event.m_ref, out);
        break;
      case EventKind::kTick:
        TickBroker(m_broker, m_now, out);
        break;
    }
    for (const SlotResponse& answer : out)
      HandleResponse(answer);
  }

  void SendSlotRequest(SlotRef ref, std::vector<SlotResponse>& out) {
    Request& request = RequestOf(ref);
    if (request.m_tries++ == 0)
      request.m_arrived = m_now;
    SlotRequest slot_request;
    slot_request.m_ref = ref;
    slot_request.m_pool = "engines";
    slot_request.m_workspace = request.m_workspace;
    slot_request.m_data_centre = request.m_data_centre;
    slot_request.m_tier = 0;
    slot_request.m_shape.m_tier = request.m_kind->m_route_tier;
    slot_request.m_shape.m_prompt_tokens = request.m_prompt;
    slot_request.m_shape.m_latency_target = request.m_kind->m_latency_target;
    slot_request.m_shape.m_gap_target = Duration(500'000);
    slot_request.m_shape.m_left = request.m_arrived + request.m_kind->m_deadline - m_now;
    slot_request.m_expected_tokens = request.m_hint;
    slot_request.m_wait = slot_request.m_shape.m_left;
    RequestSlot(m_broker, request.m_data_centre, slot_request, m_now, out);
  }

  void End(SlotRef ref, std::vector<SlotResponse>& out) {
    const Request& request = RequestOf(ref);
    SlotReport report{.m_ref = ref};
    report.m_ended = true;
    report.m_health_signal = HealthSignal::kSuccess;
    report.m_events = request.m_length;
    report.m_span = Span(request);
    report.m_service = request.m_first + report.m_span;
    report.m_longest_pause = Duration(std::int64_t(3 * EventMs(request) * 1000));
    ApplyReport(m_broker, request.m_data_centre, report, m_now, out);
  }

  [[nodiscard]] double EventMs(const Request& request) const {
    return m_day.m_event_interval_ms[request.m_engine % m_day.m_event_interval_ms.size()];
  }
  [[nodiscard]] Duration Span(const Request& request) const {
    return Duration(std::int64_t(double(request.m_length) * EventMs(request) * 1000));
  }

  void HandleResponse(const SlotResponse& answer) {
    Request& request = RequestOf(answer.m_ref);
    if (answer.m_verdict == SlotVerdict::kQueued)
      return;
    if (answer.m_verdict != SlotVerdict::kPlaced) {
      const bool may_retry = request.m_tries == 1 && m_now + m_day.m_return < Deadline(request);
      if (may_retry)
        Schedule(m_now + m_day.m_return, EventKind::kArrive, answer.m_ref);
      return;
    }
    request.m_engine = std::stoul(answer.m_server.substr(1));
    request.m_first = Duration(
        std::int64_t((15 + double(request.m_prompt) / m_day.m_prefill_tokens_per_ms) * 1000));
    Schedule(m_now + request.m_first, EventKind::kFirst, answer.m_ref);
    const Instant end = m_now + request.m_first + Span(request);
    request.m_served = end <= Deadline(request);
    Schedule(std::min(end, Deadline(request)), EventKind::kEnd, answer.m_ref);
  }

  [[nodiscard]] Instant Deadline(const Request& request) const {
    return request.m_arrived + request.m_kind->m_deadline;
  }

  static void Add(SimulatedOutcome& outcome, const Request& request) {
    ++outcome.m_asked;
    outcome.m_served += request.m_served ? 1 : 0;
  }

  [[nodiscard]] SimulatedResult Count() const {
    SimulatedResult result;
    std::map<Tier, std::vector<const Request*>> by_rank;
    for (const Request& request : m_requests) {
      const Tier route_tier = request.m_kind->m_route_tier;
      Add(result.m_all, request);
      Add(result.m_by_rank[route_tier], request);
      Add(result.m_by_workspace[request.m_workspace], request);
      Add(result.m_by_data_centre[request.m_data_centre], request);
      by_rank[route_tier].push_back(&request);
    }
    for (auto& [rank, requests] : by_rank) {
      std::sort(requests.begin(), requests.end(), [this](const auto* a, const auto* b) {
        return a->size(m_day.m_tokens_per_event) > b->size(m_day.m_tokens_per_event);
      });
      for (std::size_t i = 0; i < requests.size() * 3 / 10; ++i)
        Add(i < requests.size() / 10 ? result.m_largest_tenth[rank] : result.m_next_fifth[rank],
            *requests[i]);
    }
    return result;
  }

  SimulatedDay m_day;
  std::mt19937_64 m_random;
  Instant m_now{};
  Instant m_end{};
  SlotBroker m_broker;
  std::vector<Request> m_requests;
  std::priority_queue<Event> m_events;
  std::int64_t m_number = 0;
};

}  // namespace poppyway::test
