// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>

#include <h2o.h>

#include "poppyway/forward/impl/backend_call.h"

namespace poppyway {

/// \brief One attempt to open a connection to a backend server, on which nothing is sent. A
/// connection counts as open if it comes up and isn't reset right afterwards. Belongs to its pool's
/// thread.
class ConnectionProbe {
 public:
  /// \param on_result called once, from the event loop; it must not destroy the probe. It isn't
  /// called if the probe is destroyed before.
  ConnectionProbe(BackendPool& pool,
                  const Endpoint& endpoint,
                  std::function<void(bool open)> on_result);
  ~ConnectionProbe();
  ConnectionProbe(const ConnectionProbe&) = delete;
  ConnectionProbe& operator=(const ConnectionProbe&) = delete;

 private:
  struct Timer {
    h2o_timeout_entry_t m_base;
    ConnectionProbe* m_owner;
  };
  static void OnConnected(h2o_socket_t* socket, const char* fault);
  static void OnReadable(h2o_socket_t* socket, const char* fault);
  static void OnTimer(h2o_timeout_entry_t* entry);
  void Close();
  void Report(bool open);

  BackendPool& m_pool;
  std::function<void(bool)> m_on_result;
  h2o_socket_t* m_socket = nullptr;
  Timer m_timer{};
  bool m_connected = false;
};

}  // namespace poppyway
