// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "hosted_daemon.h"

#include <cstdlib>
#include <iostream>
#include <optional>

#include "control_server.h"
#include "control_task.h"
#include "incarnation.h"
#include "poppyway/platform.h"
#include "signal_reader.h"

namespace poppyway {
namespace {

constexpr int kUsageExit = 64;
constexpr int kStartFailedExit = 70;
// The offset of the metrics port from the first internal port; see deploy/system.toml.
constexpr std::uint16_t kMetricsOffset = 10;
// The same for the port on which an instance passes on calls of others.
constexpr std::uint16_t kRelayOffset = 5;
// Heartbeats carry liveness and versions only; the responses to other requests, or their absence,
// reveal a lost broker sooner.
constexpr std::int64_t kHeartbeatMs = 500;
constexpr std::int64_t kLeaseMs = 1500;  // An instance without a heartbeat for longer is gone.
// The share of the key revocation limit for which a confirmation is valid; the rest covers the
// daemon's own delays.
constexpr double kConfirmShare = 0.9;
// The maximum staleness of the configuration where no key revocation limit is set.
constexpr Duration kDefaultStaleness{30'000'000};
// The share of the retry limit that is used, since callers count it over windows of their own.
constexpr double kRetryShare = 0.6;
// The share of the process's memory for bodies and unread responses. The rest holds the
// configuration, the connections and the allocator's overhead.
constexpr double kHeldBytesShare = 0.5;
// The time that an election and the replacement of a silent member take.
constexpr Duration kReplacementTime{1'500'000};
constexpr Duration kMinRemovalTimeout{2'000'000};  // A restart takes less than a second.
constexpr std::uint64_t kStopTickMillis = 20;  // Between two checks whether the stop is complete.
constexpr Duration kMemberStopTime{100'000};   // This lets responses that are being sent arrive.

/// Returns the endpoint of the peer protocol on the host of a control endpoint.
Endpoint PeerEndpoint(const Endpoint& control, std::uint16_t port) {
  return {control.m_address, port};
}

std::vector<MemberSettings> SeedMembers(const platform::HostedSettings& hosted) {
  std::vector<MemberSettings> members;
  for (const Endpoint& seed : hosted.m_seeds) {
    const Endpoint peer = PeerEndpoint(seed, hosted.m_first_internal_port);
    members.push_back({ToText(peer), peer});
  }
  return members;
}

/// Returns the retry limit that the daemon keeps to.
RetryLimit UsedRetryLimit(const platform::HostedSettings& hosted) {
  return {kRetryShare * hosted.m_retry_limit.m_ratio, kRetryShare * hosted.m_retry_limit.m_burst};
}

/// Returns where an instance with callers passes on calls of others.
Endpoint RelayEndpoint(const platform::HostedSettings& hosted) {
  if (hosted.m_caller_endpoint.m_port == 0)
    return {};
  return {hosted.m_address,
          static_cast<std::uint16_t>(hosted.m_first_internal_port + kRelayOffset)};
}

/// Returns how long a member may be silent before it is replaced, so that its replacement is
/// complete when its successor counts as one; zero if the platform doesn't state when that is.
Duration MemberRemovalTimeout(const platform::HostedSettings& hosted) {
  if (hosted.m_member_catch_up == Duration(0))
    return Duration(0);
  return std::max(kMinRemovalTimeout, hosted.m_member_catch_up - kReplacementTime);
}

DaemonSettings ToDaemonSettings(const platform::HostedSettings& hosted) {
  DaemonSettings settings;
  settings.m_hosted = true;
  settings.m_cluster = "hosted";
  settings.m_instance = hosted.m_instance;
  settings.m_data_centre = hosted.m_data_centre;
  settings.m_region = RegionOf(hosted.m_regions, hosted.m_data_centre);
  settings.m_regions = hosted.m_regions;
  settings.m_http = hosted.m_caller_endpoint;
  settings.m_peer = {hosted.m_address, hosted.m_first_internal_port};
  settings.m_relay = RelayEndpoint(hosted);
  settings.m_members = SeedMembers(hosted);
  settings.m_data_folder = hosted.m_data_folder;
  settings.m_is_member = !hosted.m_data_folder.empty();
  settings.m_may_bootstrap = hosted.m_bootstrap;
  settings.m_heartbeat_ms = kHeartbeatMs;
  settings.m_lease_ms = kLeaseMs;
  const Duration bound = hosted.m_key_revocation_limit > Duration(0) ? hosted.m_key_revocation_limit
                                                                     : kDefaultStaleness;
  settings.m_exposure_share = hosted.m_exposure.m_share;
  settings.m_exposure_slack = hosted.m_exposure.m_slack;
  settings.m_retry_ratio = UsedRetryLimit(hosted).m_ratio;
  settings.m_retry_burst = UsedRetryLimit(hosted).m_burst;
  settings.m_tolerated_members = hosted.m_tolerated_members;
  settings.m_tolerated_data_centres = hosted.m_tolerated_data_centres;
  settings.m_member_removal_ms = MemberRemovalTimeout(hosted).count() / 1000;
  settings.m_confirmation_ttl_ms =
      static_cast<std::int64_t>(kConfirmShare * static_cast<double>(bound.count()) / 1000);
  return settings;
}

Endpoint MetricsEndpoint(const platform::HostedSettings& hosted) {
  return {hosted.m_address,
          static_cast<std::uint16_t>(hosted.m_first_internal_port + kMetricsOffset)};
}

ForwarderSettings ToForwarderSettings(const platform::HostedSettings& hosted) {
  ForwarderSettings settings;
  settings.m_instance = hosted.m_instance;
  settings.m_data_centre = hosted.m_data_centre;
  settings.m_regions = hosted.m_regions;
  settings.m_slow_start_tolerance = hosted.m_slow_start_tolerance;
  settings.m_caller_endpoint = hosted.m_caller_endpoint;
  settings.m_readiness_endpoint = hosted.m_readiness_endpoint;
  settings.m_metrics_endpoint = MetricsEndpoint(hosted);
  settings.m_relay_endpoint = RelayEndpoint(hosted);
  settings.m_shutdown_timeout = hosted.m_shutdown_timeout;
  settings.m_retry_limit = UsedRetryLimit(hosted);
  settings.m_quota_tolerance = hosted.m_quota_tolerance;
  if (hosted.m_memory_bytes > 0)
    settings.m_held_bytes_budget =
        static_cast<std::int64_t>(kHeldBytesShare * static_cast<double>(hosted.m_memory_bytes));
  settings.m_max_config_staleness = hosted.m_key_revocation_limit > Duration(0)
                                        ? hosted.m_key_revocation_limit
                                        : kDefaultStaleness;
  return settings;
}

/// Returns a reader of the slow-start limits in the operator's document.
MemberService::SlowStartLimitReader MakeSlowStartLimitReader(const SlowStartTolerance& tolerance) {
  return [tolerance, decode = platform::MakeProtocolAdapter().m_decode_document](
             const wire::Document& document) -> Result<std::map<std::string, SlowStartLimit>> {
    const Result<RouteTable> table = decode(document.version, document.body);
    if (!table)
      return tl::unexpected<Error>(table.error());
    std::map<std::string, SlowStartLimit> limits;
    for (const Pool& pool : table->m_pools) {
      if (pool.m_slow_start_limit.m_per_s > 0)
        limits[pool.m_name] = WithTolerance(pool.m_slow_start_limit, tolerance);
    }
    return limits;
  };
}

/// The parts of a hosted daemon, which share one event loop.
class HostedDaemon {
 public:
  explicit HostedDaemon(const platform::HostedSettings& hosted, const std::string& path)
      : m_path(path),
        m_settings(ToDaemonSettings(hosted)),
        m_control(m_loop, m_settings, MakeIncarnation(hosted.m_instance), [](ControlMessage) {}),
        m_signals(m_loop,
                  {[this](Instant arrived) { BeginShutdown(arrived); }, [this] { Reload(); }}) {
    if (hosted.m_caller_endpoint.m_port != 0)
      m_forwarder = std::make_unique<Forwarder>(m_loop, ToForwarderSettings(hosted),
                                                platform::MakeProtocolAdapter());
    if (m_forwarder) {
      m_control.SetForwarder(
          {[this](ForwarderMessage message) { m_forwarder->HandleMessage(std::move(message)); }});
      m_control.SetRelayStatusReader([this] {
        return RelayStatus{!m_forwarder->ReachesServers(), m_forwarder->MayHelp()};
      });
      m_forwarder->SetBrokerPort(m_control.MakeSlotBrokerPort());
      m_forwarder->SetCrashReportPort(m_control.MakeCrashReportPort());
      m_forwarder->SetExtraMetrics([this](MetricSet& metrics) { m_control.AddMetrics(metrics); });
    }
    if (m_control.member() != nullptr)
      m_control.member()->SetSlowStartLimitReader(
          MakeSlowStartLimitReader(hosted.m_slow_start_tolerance));
    if (hosted.m_control_endpoint.m_port != 0 && m_control.member() != nullptr)
      m_server =
          std::make_unique<ControlServer>(m_loop, hosted.m_control_endpoint, *m_control.member());
    if (!m_forwarder) {
      // On an instance with a forwarder, the forwarder serves the metrics.
      m_metrics = std::make_unique<HttpServer>(m_loop, HttpLimits{},
                                               [this](h2o_req_t* req) { ReplyMetrics(req); });
      m_metrics_endpoint = MetricsEndpoint(hosted);
    }
  }

  [[nodiscard]] Result<void> Start() {
    if (Result<void> started = m_control.Start(); !started)
      return started;
    if (m_forwarder) {
      if (Result<void> listening = m_forwarder->Listen(); !listening)
        return listening;
    }
    if (m_metrics) {
      Result<void> listening =
          m_metrics->Listen(m_metrics_endpoint.m_address, m_metrics_endpoint.m_port);
      if (!listening)
        return listening;
    }
    return m_server ? m_server->Listen() : Result<void>{};
  }

  void Run() { m_loop.Run(); }

 private:
  void ReplyMetrics(h2o_req_t* req) {
    MetricSet metrics;
    m_control.AddMetrics(metrics);
    if (m_server)
      m_server->AddMetrics(metrics);
    SendResponse(req, 200, "text/plain; version=0.0.4", metrics.Text());
  }

  void Reload() {
    const Result<platform::HostedSettings> hosted = platform::ReadHostedSettings(m_path);
    if (!hosted) {
      POPPYWAY_LOG(error, "reload_failed").Field("why", hosted.error().m_message);
      return;
    }
    const std::vector<MemberSettings> seeds = SeedMembers(*hosted);
    m_control.AddSeeds(seeds);
    POPPYWAY_LOG(info, "reloaded").Field("seeds", seeds.size());
  }

  /// `arrived`: when the stop signal was handled.
  void BeginShutdown(Instant arrived) {
    m_shutdown_started = arrived;
    if (m_forwarder)
      m_forwarder->BeginShutdown(arrived);
    m_stop_tick.emplace(m_loop, kStopTickMillis, [this] { EndIfComplete(); });
  }

  /// Ends the loop once the shutdown is complete.
  void EndIfComplete() {
    const Instant now = ReadClock();
    const bool complete =
        m_forwarder ? m_forwarder->ShutdownComplete() : now - m_shutdown_started >= kMemberStopTime;
    if (!complete)
      return;
    POPPYWAY_LOG(info, "stopped").Field("took_ms", (now - m_shutdown_started).count() / 1000);
    m_loop.Stop();
  }

  std::string m_path;
  DaemonSettings m_settings;
  EventLoop m_loop;
  ControlTask m_control;
  std::unique_ptr<Forwarder> m_forwarder;
  std::unique_ptr<ControlServer> m_server;
  std::unique_ptr<HttpServer> m_metrics;
  Endpoint m_metrics_endpoint;
  SignalReader m_signals;
  Instant m_shutdown_started{};
  std::optional<RepeatingTimer> m_stop_tick;  ///< Runs from the stop signal on.
};

int Fail(const Error& error) {
  POPPYWAY_LOG(fatal, "start_failed")
      .Field("code", ResultInfoOf(error.m_code).m_name)
      .Field("why", error.m_message);
  return kStartFailedExit;
}

}  // namespace

int RunHosted() {
  const char* path = std::getenv(platform::kSettingsVariable);
  if (path == nullptr) {
    std::cerr << "poppywayd: " << platform::kSettingsVariable << " must name the settings file\n";
    return kUsageExit;
  }
  const Result<platform::HostedSettings> hosted = platform::ReadHostedSettings(path);
  StartLogging({.m_to_stdout = true, .m_instance = hosted ? hosted->m_instance : "unknown"});
  if (!hosted)
    return Fail(hosted.error());
  HostedDaemon daemon(*hosted, path);
  if (Result<void> started = daemon.Start(); !started)
    return Fail(started.error());
  POPPYWAY_LOG(info, "started")
      .Field("data_centre", hosted->m_data_centre)
      .Field("first_start", hosted->m_bootstrap)
      .Field("seeds", hosted->m_seeds.size());
  daemon.Run();
  return EXIT_SUCCESS;
}

}  // namespace poppyway
