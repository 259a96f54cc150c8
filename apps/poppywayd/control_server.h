// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>

#include "member_service.h"
#include "poppyway/http.h"
#include "poppyway/platform.h"
#include "poppyway/settings.h"

namespace poppyway {

/// \brief Where operators and backend servers call a member of a hosted deployment. Belongs to the
/// control task; the platform adapter translates the calls.
class ControlServer {
 public:
  ControlServer(EventLoop& loop, const Endpoint& place, MemberService& member);

  [[nodiscard]] Result<void> Listen();
  void AddMetrics(MetricSet& metrics) const;

 private:
  void OnRequest(h2o_req_t* req);
  /// False once as many refused heartbeats were logged as an interval may.
  [[nodiscard]] bool MayLogRefused(Instant now);

  Endpoint m_place;
  MemberService& m_member;
  HttpServer m_server;
  std::array<std::uint64_t, platform::kHeartbeatErrorCount> m_refused{};  ///< By fault.
  Instant m_lines_since{};
  int m_lines = 0;
};

}  // namespace poppyway
