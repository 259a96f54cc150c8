// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "poppyway/forward/impl/crash_tracker.h"
#include "poppyway/forward/impl/forwarder_messages.h"
#include "poppyway/forward/impl/forwarding.h"
#include "poppyway/forward/impl/helper_choice.h"
#include "poppyway/forward/impl/path_check.h"
#include "poppyway/forward/impl/peer_relay.h"
#include "poppyway/forward/impl/protocol_adapter.h"
#include "poppyway/http.h"
#include "poppyway/policy.h"
#include "poppyway/telemetry.h"

namespace poppyway {

/// \brief Settings of a forwarder.
struct ForwarderSettings {
  std::string m_instance;
  std::string m_data_centre;
  RegionMap m_regions;  ///< The region of each data centre.
  SlowStartTolerance m_slow_start_tolerance;
  Endpoint m_caller_endpoint;     ///< Listens for callers.
  Endpoint m_readiness_endpoint;  ///< Serves the load balancer's readiness checks.
  Endpoint m_metrics_endpoint;    ///< Serves metrics; port 0: disabled.
  Endpoint m_relay_endpoint;      ///< Passes on calls of other instances; port 0: disabled.
  Duration m_shutdown_timeout{
      8'000'000};  ///< A planned shutdown ends after this time, even with requests in flight.
  RetryLimit m_retry_limit;  ///< Limit of retries over all instances.
  QuotaTolerance m_quota_tolerance;
  /// Memory for bodies of requests and unread parts of responses, in bytes.
  std::int64_t m_held_bytes_budget = HeldBytes{}.m_budget;
  /// How long an instance that can't reach a leader may use its last configuration.
  Duration m_max_config_staleness{5'000'000};
};

/// \brief Queue order: the workspace's tier, then the route's tier, then the length class of the
/// expected response (shorter first), then the order of arrival.
struct WaitingOrder {
  Tier m_tier = 0;
  Tier m_route_tier = 0;
  int m_length_class = 0;  ///< Doublings of the expected response length above the mean.
  ForwardingRef m_ref = 0;

  friend bool operator==(const WaitingOrder&, const WaitingOrder&) = default;
  friend bool operator<(const WaitingOrder& a, const WaitingOrder& b) {
    return std::tie(a.m_tier, a.m_route_tier, a.m_length_class, a.m_ref) <
           std::tie(b.m_tier, b.m_route_tier, b.m_length_class, b.m_ref);
  }
};

/// \brief A stream that its server has completed.
struct EndedStream {
  StreamKey m_stream = 0;
  Instant m_forget_at{};  ///< When its origin is forgotten.
};

/// \brief Queued requests of one pool.
using WaitingQueue = std::map<WaitingOrder, ForwardingRef>;

/// \brief The retries for a pool that all instances may still make, as the broker last reported.
struct ReportedRetries {
  double m_left = 0;
  Instant m_reported_at{};
  std::int64_t m_epoch = 0;  ///< Epoch of the broker that reported it; zero: none did.
};

/// \brief Retries that this instance makes while no broker responds.
struct LocalRetries {
  RetryBudget m_budget{0};
  double m_used = 0;  ///< Retries that no broker knows of yet.
};

/// \brief This instance's state of one pool.
struct PoolState {
  std::vector<std::string> m_servers;  ///< Ids of servers that may get requests, sorted.
  WaitingQueue m_waiting;
  /// Mean logarithm (base 2) of the requests' expected output tokens, by route tier.
  std::array<double, kTiers> m_mean_log_tokens{};
  ReportedRetries m_retries_left;
  LocalRetries m_retries;
  bool m_cold_declared = false;  ///< A server of the pool has declared a warm-up time.
};

/// \brief The remaining quota of a workspace as the broker last reported it.
struct LimitLeft {
  double m_limit_left = 0;
  QuotaLimit m_limit;
  Instant m_reported_at{};   ///< When the report arrived.
  std::int64_t m_epoch = 0;  ///< Epoch of the broker that reported it.
};

/// \brief The connection to the slot broker, with its state.
///
/// A lost packet stalls the connection for 200 ms and more, longer than a request can wait for its
/// slot. So a response that is overdue by one request's wait doesn't mean that the broker is lost:
/// this instance places requests itself until the broker's next response. The broker counts as lost
/// only after it hasn't responded for another `kBrokerTimeout`, or when the connection is closed;
/// after a reconnect all held slots are reported again.
struct BrokerLink {
  BrokerPort m_port;
  bool m_active = false;      ///< A broker is connected; else this instance places requests itself.
  Instant m_overdue_since{};  ///< Since when a response has been overdue; zero: none is.
  std::int64_t m_epoch = 0;
  SlotRef m_next_ref = 1;
  std::unordered_map<SlotRef, ForwardingRef> m_pending_requests;  ///< Pending slot requests.
  SlotBatch m_outbox;
  std::map<std::string, LimitLeft> m_limits_left;  ///< Remaining quota by workspace.
  std::map<std::string, LocalQuotaBucket>
      m_local_quota;  ///< By workspace; charges since the broker became unresponsive.
  CostSums m_costs;   ///< Costs of all requests at this instance that a limit applies to.
};

/// \brief All state of the forwarder task. Plain data; the functions in src/ operate on it.
struct ForwarderState {
  ForwarderSettings m_settings;
  ProtocolAdapter m_adapter;
  std::shared_ptr<const RouteTable> m_table;
  SharedCopies<Route> m_routes;  ///< Of `m_table`, like the next two.
  SharedCopies<Workspace> m_workspaces;
  SharedCopies<Pool> m_table_pools;
  Instant m_confirmed_until{};
  BrokerLink m_broker;
  CrashTracker m_crashes;
  StreamOrigins m_origins;  ///< Of the streams that this instance passes on or that broke off here.
  /// Complete streams whose origin is kept for a while, oldest first.
  std::deque<EndedStream> m_ended_streams;
  Instant m_origins_refreshed{};
  InstanceCount m_instances;
  double m_tokens_per_event = 0;      ///< Estimated from responses; zero: not known yet.
  RoundTripTable m_round_trip_table;  ///< Round-trip times from this instance's region.
  HeldBytes m_held;
  bool m_any_reading_paused = false;  ///< A response isn't read on until others need less memory.
  bool m_stopping = false;
  Instant m_shutdown_started{};  ///< When the stop signal was handled.
  Duration m_signal_delay{};     ///< It was sent at most this much earlier.
  bool m_ready_logged = false;
  std::map<std::string, Backend> m_backends;
  Instant m_back_off_until{};  ///< The latest back-off end of all servers.
  Instant m_last_byte{};       ///< When any server last sent a byte to this instance itself.
  Instant m_last_open_path{};  ///< When a probe of a path last succeeded.
  /// When a server was last out of reach with no helper that could tell why; zero: never.
  Instant m_doubtful_at{};
  ServerPaths m_paths;
  std::vector<Helper> m_helpers;
  std::map<ServerProcessId, PathCheck> m_path_checks;
  std::unique_ptr<ConnectionProbe> m_restoring;  ///< The probe of a path while cut off.
  std::vector<std::unique_ptr<ConnectionProbe>> m_retired_probes;  ///< Destroyed outside callbacks.
  Instant m_next_silence_check{};
  std::map<Endpoint, std::vector<std::string>> m_by_address;  ///< Server ids by address.
  std::map<Endpoint, AddressOwner> m_address_owners;  ///< For the addresses of `m_by_address`.
  std::map<std::string, PoolState> m_pools;
  std::map<std::string, wire::Evacuation> m_evacuations;  ///< Latest evacuation by data centre.
  OutageDetector m_outages = LocalOutageDetector();       ///< Fed by this instance's own requests.
  std::vector<std::string> m_suspects;  ///< Data centres that the broker considers lost.
  std::unordered_map<ForwardingRef, std::unique_ptr<Forwarding>> m_forwardings;
  std::vector<ForwardingRef> m_held_requests;           ///< Held until the configuration is known.
  std::vector<std::unique_ptr<BackendCall>> m_retired;  ///< Destroyed outside their callbacks.
  std::vector<ForwardingRef> m_finished;  ///< Requests to erase outside all callbacks.
  ForwardingRef m_next_ref = 1;
  std::unique_ptr<BackendPool> m_connections;
  MetricSet m_metrics;
  std::mt19937_64 m_random;
  Instant m_callers_polled{};
  bool m_servers_restarted = false;  ///< Calls to servers that have restarted since may be active.
};

/// \brief The forwarder task: accepts callers' requests and sends each to a backend server of its
/// route's pool, in a hosted deployment (`poppywayd --hosted`). All members must be called on the
/// thread of its event loop.
class Forwarder {
 public:
  Forwarder(EventLoop& loop, const ForwarderSettings& settings, ProtocolAdapter adapter);
  ~Forwarder();

  /// \brief Starts the listeners for callers, readiness checks and metrics.
  /// \return the error of the first listener that can't be opened.
  [[nodiscard]] Result<void> Listen();
  /// \brief Handles one message of the control task.
  void HandleMessage(ForwarderMessage message);
  /// \brief Sets where slot requests are sent. `BrokerConnected` must follow before it is used.
  void SetBrokerPort(BrokerPort port) { m_state.m_broker.m_port = std::move(port); }
  /// \brief Sets where reports of crashed servers are sent.
  void SetCrashReportPort(CrashReportPort port) { m_state.m_crashes.m_port = std::move(port); }
  /// \brief Adds metrics of other parts of the daemon to each metrics response.
  void SetExtraMetrics(std::function<void(MetricSet&)> add) { m_extra_metrics = std::move(add); }
  /// \brief Begins a planned shutdown: reports not ready at once and finishes requests in flight.
  /// \param signalled when the process handled the stop signal. The signal may have been sent at
  /// any time since the last tick: nothing else tells how long the process was paused or starved.
  void BeginShutdown(Instant signalled);
  /// \brief Returns true once all requests have ended and the balancer had time to notice, or once
  /// the shutdown timeout, less a margin, has passed.
  [[nodiscard]] bool ShutdownComplete() const;
  /// \brief Returns false while this instance reaches no backend servers itself, or may not.
  [[nodiscard]] bool ReachesServers() const noexcept;
  /// \brief Returns true if it passes on calls of other instances: it reaches servers and isn't
  /// shutting down.
  [[nodiscard]] bool MayHelp() const noexcept;
  [[nodiscard]] ForwarderState& state() noexcept { return m_state; }

 private:
  void OnRequest(h2o_req_t* req);
  void OnReadiness(h2o_req_t* req);
  void OnMetrics(h2o_req_t* req);
  bool Tick();

  EventLoop& m_loop;
  ForwarderState m_state;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_readiness_server;
  std::unique_ptr<HttpServer> m_metrics_server;
  std::unique_ptr<PeerRelay> m_relay;
  std::unique_ptr<RepeatingTimer> m_tick;
  Instant m_last_tick{};
  std::function<void(MetricSet&)> m_extra_metrics;
};

}  // namespace poppyway
