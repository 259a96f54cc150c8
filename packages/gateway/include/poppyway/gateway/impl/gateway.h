// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

#include "poppyway/gateway/impl/control_messages.h"
#include "poppyway/gateway/impl/upstream.h"
#include "poppyway/http.h"
#include "poppyway/telemetry.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Ids of the eligible engines by event and model for one catalogue, cached so that they
/// aren't computed for each request.
using EligibilityCache = std::map<std::pair<std::string, std::string>, std::vector<std::string>>;

/// \brief State of the gateway task. Plain data that the filters read and change.
struct GatewayState {
  DaemonSettings m_settings;
  std::string m_incarnation;
  std::function<void(GatewayMessage)> m_to_control;
  std::shared_ptr<const Catalogue> m_catalogue;
  bool m_fresh = false;  ///< The value of the last `ConfigFreshness`.
  bool m_stopping = false;
  Instant m_refuse_from{};  ///< A stopping gateway refuses requests that arrive from this time on.
  bool m_drained_reported = false;
  std::map<std::string, PoolClient> m_pools;
  std::unique_ptr<UpstreamPools> m_upstreams;  ///< Outlives the calls of the exchanges.
  std::unordered_map<RequestRef, std::unique_ptr<Exchange>> m_exchanges;
  std::vector<std::unique_ptr<Upstream>> m_retired;  ///< Destroyed outside their callbacks.
  std::set<std::string> m_leaving;  ///< Backend servers that the platform lists as leaving.
  EligibilityCache m_eligible;      ///< Cache for `m_catalogue` and `m_leaving`.
  RequestRef m_next_ref = 1;
  MetricSet m_metrics;
  std::string m_control_metrics;
  std::mt19937_64 m_random;
  Instant m_last_poll{};
};

/// \brief The gateway task: listens for callers and handles their requests. Not thread-safe; used
/// on its loop's thread only.
class Gateway {
 public:
  /// \param loop must outlive the gateway.
  /// \param incarnation unique id of this run of the process; prefix of the request ids.
  /// \param to_control is called with each message for the control task; must not block.
  Gateway(EventLoop& loop,
          const DaemonSettings& settings,
          std::string incarnation,
          std::function<void(GatewayMessage)> to_control);

  /// Starts to listen on the settings' HTTP endpoint. \return the error of the listening socket.
  [[nodiscard]] Result<void> Listen();
  /// Handles one message of the control task.
  void HandleMessage(ControlMessage message);
  [[nodiscard]] GatewayState& state() noexcept { return m_state; }

 private:
  void OnRequest(h2o_req_t* req);

  EventLoop& m_loop;
  GatewayState m_state;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<RepeatingTimer> m_tick;
};

}  // namespace poppyway
