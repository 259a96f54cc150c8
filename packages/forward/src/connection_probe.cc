// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/forward.h"

namespace poppyway {

ConnectionProbe::ConnectionProbe(BackendPool& pool,
                                 const Endpoint& endpoint,
                                 std::function<void(bool open)> on_result)
    : m_pool(pool), m_on_result(std::move(on_result)) {
  m_timer.m_base.cb = &ConnectionProbe::OnTimer;
  m_timer.m_owner = this;
  m_socket = pool.OpenConnection(endpoint, &ConnectionProbe::OnConnected);
  if (m_socket != nullptr)
    m_socket->data = this;
  h2o_timeout_t& limit = m_socket == nullptr ? pool.m_at_once : pool.m_connect_limit;
  h2o_timeout_link(pool.m_loop.loop(), &limit, &m_timer.m_base);
}

ConnectionProbe::~ConnectionProbe() {
  Close();
}

void ConnectionProbe::OnConnected(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<ConnectionProbe*>(socket->data);
  if (fault != nullptr) {
    self->Report(false);
    return;
  }
  self->m_connected = true;
  h2o_timeout_unlink(&self->m_timer.m_base);
  h2o_timeout_link(self->m_pool.m_loop.loop(), &self->m_pool.m_probe_hold, &self->m_timer.m_base);
  h2o_socket_read_start(socket, &ConnectionProbe::OnReadable);
}

void ConnectionProbe::OnReadable(h2o_socket_t* socket, const char* fault) {
  static_cast<ConnectionProbe*>(socket->data)->Report(fault == nullptr);
}

void ConnectionProbe::OnTimer(h2o_timeout_entry_t* entry) {
  ConnectionProbe* self = reinterpret_cast<Timer*>(entry)->m_owner;
  self->Report(self->m_connected);
}

void ConnectionProbe::Close() {
  if (h2o_timeout_is_linked(&m_timer.m_base))
    h2o_timeout_unlink(&m_timer.m_base);
  if (m_socket != nullptr)
    h2o_socket_close(m_socket);
  m_socket = nullptr;
}

void ConnectionProbe::Report(bool open) {
  Close();
  const auto on_result = std::move(m_on_result);
  on_result(open);
}

}  // namespace poppyway
