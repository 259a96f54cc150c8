// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "poppyway/forward/impl/forwarder_messages.h"
#include "poppyway/forward/impl/forwarding.h"
#include "poppyway/forward/impl/protocol_adapter.h"
#include "poppyway/http.h"
#include "poppyway/policy.h"
#include "poppyway/telemetry.h"

namespace poppyway {

/// \brief Settings of a forwarder.
struct ForwarderSettings {
  std::string m_instance;
  std::string m_data_centre;
  RegionMap m_regions;  ///< Of all data centres.
  SlowStartTolerance m_slow_start_tolerance;
  Endpoint m_caller_endpoint;     ///< Where callers connect.
  Endpoint m_readiness_endpoint;  ///< Where the balancer asks.
  Endpoint m_metrics_endpoint;    ///< Port 0: none.
  Duration m_shutdown_timeout{
      8'000'000};            ///< A planned stop is over after this, whatever still runs.
  RetryLimit m_retry_limit;  ///< Second dispatches, over all instances.
  QuotaTolerance m_quota_tolerance;
  /// An instance that can't reach a leader may go on for so long with what it knows.
  Duration m_max_config_staleness{5'000'000};
};

/// \brief The order of waiting: the workspace's tier, then the route's, then shorter answers before
/// much longer ones, then age.
struct WaitingOrder {
  Tier m_tier = 0;
  Tier m_route_tier = 0;
  int m_length_class = 0;  ///< Of the expected answer: doublings above the usual.
  ForwardingRef m_ref = 0;

  friend bool operator==(const WaitingOrder&, const WaitingOrder&) = default;
  friend bool operator<(const WaitingOrder& a, const WaitingOrder& b) {
    return std::tie(a.m_tier, a.m_route_tier, a.m_length_class, a.m_ref) <
           std::tie(b.m_tier, b.m_route_tier, b.m_length_class, b.m_ref);
  }
};

/// \brief Requests of one pool that wait.
using WaitingQueue = std::map<WaitingOrder, ForwardingRef>;

/// \brief What is known of one pool here.
struct PoolState {
  std::vector<std::string> m_servers;  ///< Ids, in order.
  WaitingQueue m_waiting;
  std::array<double, kTiers> m_mean_log_tokens{};  ///< Logarithm of expected tokens, by rank.
  RetryBudget m_retries{0};
  bool m_cold_told = false;  ///< One of its servers has said that it is cold.
};

/// \brief What a broker last said of a workspace's limit.
struct LimitLeft {
  double m_limit_left = 0;
  QuotaLimit m_limit;
  Instant m_told{};
  std::int64_t m_epoch = 0;  ///< Of that broker.
};

/// \brief This instance's line to the broker of places.
///
/// A lost packet holds the connection up for 200 ms and more, longer than a request can wait for
/// its place. So a line that is quiet for as long as a request waits is not yet lost: requests are
/// decided here meanwhile, and its next word ends that. Only a line that stays quiet for
/// `kBrokerSilence`, or a connection that is closed, is a broker lost, after which all that is held
/// is told anew.
struct BrokerLink {
  BrokerPort m_port;
  bool m_active = false;    ///< A broker was found. If not, this instance decides alone.
  Instant m_quiet_since{};  ///< A place request has had no answer for too long; zero: none.
  std::int64_t m_epoch = 0;
  SlotRef m_next_ref = 1;
  std::unordered_map<SlotRef, ForwardingRef> m_asked;  ///< Answers that are awaited.
  SlotBatch m_outbox;
  std::map<std::string, LimitLeft> m_left;  ///< By workspace.
  std::map<std::string, LocalQuotaBucket>
      m_local_quota;  ///< By workspace, since the broker was lost.
  CostSums m_costs;   ///< Of all requests here that a limit applies to.
};

/// \brief All state of the forwarder task. Plain data; the functions of src/ act on it.
struct ForwarderState {
  ForwarderSettings m_settings;
  ProtocolAdapter m_adapter;
  std::shared_ptr<const RouteTable> m_table;
  Instant m_confirmed_until{};
  BrokerLink m_broker;
  InstanceCount m_instances;
  double m_tokens_per_event = 0;      ///< Learned; zero: not known yet.
  RoundTripTable m_round_trip_table;  ///< From this instance's region.
  bool m_stopping = false;
  Instant m_shutdown_started{};
  bool m_ready_told = false;
  std::map<std::string, Backend> m_backends;
  Instant m_back_off_until{};  ///< The latest of theirs: no server asks for anything after it.
  std::map<Endpoint, std::vector<std::string>> m_at_place;  ///< Ids of servers at each address.
  std::map<std::string, PoolState> m_pools;
  std::map<std::string, wire::Evacuation> m_evacuations;  ///< By data centre.
  OutageDetector m_outages = LocalOutageDetector();       ///< Fed by this instance's own requests.
  std::vector<std::string> m_suspects;  ///< Data centres that the broker holds to be lost.
  std::unordered_map<ForwardingRef, std::unique_ptr<Forwarding>> m_forwardings;
  std::vector<ForwardingRef> m_awaiting_start;          ///< Until the configuration is known.
  std::vector<std::unique_ptr<BackendCall>> m_retired;  ///< Destroyed outside their events.
  std::vector<ForwardingRef> m_over;                    ///< Forgotten outside all events.
  ForwardingRef m_next_ref = 1;
  std::unique_ptr<BackendPool> m_connections;
  MetricSet m_metrics;
  std::mt19937_64 m_random;
  Instant m_callers_polled{};
  bool m_lives_changed = false;  ///< Calls may be under way to earlier lives of servers.
};

/// \brief The forwarder task. Belongs to its loop's thread.
class Forwarder {
 public:
  Forwarder(EventLoop& loop, const ForwarderSettings& settings, ProtocolAdapter adapter);
  ~Forwarder();

  /// Listens for callers, the balancer and readers of metrics.
  [[nodiscard]] Result<void> Listen();
  /// Takes one message of the control task.
  void HandleMessage(ForwarderMessage message);
  /// Where place requests go. Without one this instance decides alone.
  void SetBrokerPort(BrokerPort port) { m_state.m_broker.m_port = std::move(port); }
  /// Adds the metrics of other parts of the daemon to those that are served.
  void SetExtraMetrics(std::function<void(MetricSet&)> add) { m_extra_metrics = std::move(add); }
  /// A planned stop begins: not ready at once, answers are finished.
  void BeginShutdown();
  /// True once nothing is left to finish, or the limit is reached.
  [[nodiscard]] bool ShutdownComplete() const;
  [[nodiscard]] ForwarderState& state() noexcept { return m_state; }

 private:
  void OnRequest(h2o_req_t* req);
  void OnReadiness(h2o_req_t* req);
  void OnMetrics(h2o_req_t* req);
  bool Tick();

  EventLoop& m_loop;
  ForwarderState m_state;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_readiness;
  std::unique_ptr<HttpServer> m_metrics;
  std::unique_ptr<RepeatingTimer> m_tick;
  std::function<void(MetricSet&)> m_extra_metrics;
};

}  // namespace poppyway
