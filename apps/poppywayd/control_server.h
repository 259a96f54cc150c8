// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>

#include "member_service.h"
#include "poppyway/http.h"
#include "poppyway/platform.h"
#include "poppyway/settings.h"

namespace poppyway {

/// \brief HTTP server for the requests of operators and backend servers to a member of a hosted
/// deployment. The platform adapter decodes the requests and encodes the responses. Not
/// thread-safe: it belongs to the control task.
class ControlServer {
 public:
  /// `loop` and `member` must outlive the server.
  ControlServer(EventLoop& loop, const Endpoint& endpoint, MemberService& member);

  /// Listens at the endpoint, or returns why it can't.
  [[nodiscard]] Result<void> Listen();
  void AddMetrics(MetricSet& metrics) const;

 private:
  void OnRequest(h2o_req_t* req);
  /// Counts a rejected heartbeat; returns false if the interval's limit of log lines is exceeded.
  [[nodiscard]] bool MayLogRejected(Instant now);

  Endpoint m_endpoint;
  MemberService& m_member;
  HttpServer m_server;
  /// Number of rejected heartbeats, by `HeartbeatError`.
  std::array<std::uint64_t, platform::kHeartbeatErrorCount> m_rejected_heartbeats{};
  Instant m_log_interval_start{};
  int m_rejected_in_interval = 0;  ///< Heartbeats, logged or not.
};

}  // namespace poppyway
