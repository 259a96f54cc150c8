// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "poppyway/gateway.h"
#include "poppyway/gateway/impl/upstream.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Polls the platform's list of leaving backend servers. Belongs to the control task.
///
/// The list is JSON, `{"leaving": ["server", ...]}`, and may lag. While it can't be read, what it
/// last said holds: a server that was leaving stays so.
class LeavingServerPoller {
 public:
  using OnChange = std::function<void(const LeavingServers&)>;

  /// \param url `address:port/path`; empty: nothing is polled.
  LeavingServerPoller(EventLoop& loop, const std::string& url, OnChange on_change);
  void Tick(Instant now);
  [[nodiscard]] std::uint64_t failures() const noexcept { return m_failures; }

 private:
  void Poll();
  void Take(const std::string& body);

  EventLoop& m_loop;
  Endpoint m_endpoint;
  std::string m_path;
  OnChange m_on_change;
  std::unique_ptr<UpstreamPools> m_pools;
  std::unique_ptr<Upstream> m_call;
  std::unique_ptr<Upstream> m_old_call;  ///< Destroyed outside its callbacks.
  std::string m_body;
  Instant m_due{};
  std::set<std::string> m_leaving;
  std::uint64_t m_failures = 0;
};

}  // namespace poppyway
