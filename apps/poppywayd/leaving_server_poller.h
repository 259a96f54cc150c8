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

/// \brief Polls the platform's list of leaving backend servers. Not thread-safe: it belongs to the
/// control task.
///
/// The list is JSON, `{"leaving": ["server", ...]}`, and may lag. While it can't be read, the last
/// list remains in force, so a leaving server remains one.
class LeavingServerPoller {
 public:
  using OnChange = std::function<void(const LeavingServers&)>;

  /// \param url `address:port/path`; if it is empty, nothing is polled.
  /// \param on_change is called with the whole list whenever it differs from the last one.
  LeavingServerPoller(EventLoop& loop, const std::string& url, OnChange on_change);
  /// Polls the list if the interval has passed.
  void Tick(Instant now);
  /// Returns the number of polls that failed or returned an unreadable list.
  [[nodiscard]] std::uint64_t failures() const noexcept { return m_failures; }

 private:
  void Poll();
  void ApplyList(const std::string& body);

  EventLoop& m_loop;
  Endpoint m_endpoint;
  std::string m_path;
  OnChange m_on_change;
  std::unique_ptr<UpstreamPools> m_pools;
  std::unique_ptr<Upstream> m_call;
  std::unique_ptr<Upstream> m_old_call;  ///< Kept so that no call is destroyed in its own callback.
  std::string m_body;
  Instant m_due{};
  std::set<std::string> m_leaving;
  std::uint64_t m_failures = 0;
};

}  // namespace poppyway
