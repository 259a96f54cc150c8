// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Connections to backend servers: attempts, and idle ones that are kept for the next request.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

// Servers are at most some ms away; retransmitting a lost SYN takes 1 s.
constexpr std::uint64_t kConnectMillis = 300;
// A connection that is reset right after it came up is of no use.
constexpr std::uint64_t kProbeHoldMillis = 50;
constexpr std::uint64_t kExpiryMillis = 250;
constexpr std::size_t kMaxIdle = 64;  // Idle connections kept for one server.
// Longest idle time of a connection for a request that must not be lost.
constexpr Duration kCarefulIdleLimit{1'000'000};

/// Returns true if the peer has closed the connection or sent bytes, so that it can't be reused.
bool IsStale(h2o_socket_t* socket) {
  char byte = 0;
  const ssize_t got = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

struct BackendPool::IdleConnection {
  BackendPool* m_pool = nullptr;
  Endpoint m_endpoint;
  h2o_socket_t* m_socket = nullptr;
  Instant m_since{};
  Instant m_until{};
};

BackendPool::BackendPool(EventLoop& loop)
    : m_loop(loop),
      m_connect_limit{},
      m_at_once{},
      m_probe_hold{},
      m_expiry(loop, kExpiryMillis, [this] { Expire(); }) {
  h2o_timeout_init(loop.loop(), &m_connect_limit, kConnectMillis);
  h2o_timeout_init(loop.loop(), &m_at_once, 0);
  h2o_timeout_init(loop.loop(), &m_probe_hold, kProbeHoldMillis);
}

BackendPool::~BackendPool() {
  for (auto& [endpoint, idle] : m_idle) {
    for (const std::unique_ptr<IdleConnection>& one : idle)
      h2o_socket_close(one->m_socket);
  }
  h2o_timeout_dispose(m_loop.loop(), &m_connect_limit);
  h2o_timeout_dispose(m_loop.loop(), &m_at_once);
  h2o_timeout_dispose(m_loop.loop(), &m_probe_hold);
}

h2o_socket_t* BackendPool::OpenConnection(const Endpoint& endpoint, h2o_socket_cb on_connected) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(endpoint.m_port);
  inet_pton(AF_INET, endpoint.m_address.c_str(), &where.sin_addr);
  ++m_opened;
  return h2o_socket_connect(m_loop.loop(), reinterpret_cast<sockaddr*>(&where), sizeof(where),
                            on_connected);
}

h2o_socket_t* BackendPool::TakeIdle(const Endpoint& endpoint, bool careful) {
  const auto found = m_idle.find(endpoint);
  if (found == m_idle.end())
    return nullptr;
  const Instant now = ReadClock();
  while (!found->second.empty()) {
    std::unique_ptr<IdleConnection> idle = std::move(found->second.back());
    found->second.pop_back();
    const bool old = now >= idle->m_until || (careful && now - idle->m_since > kCarefulIdleLimit);
    if (old || IsStale(idle->m_socket)) {
      h2o_socket_close(idle->m_socket);
      continue;
    }
    h2o_socket_read_stop(idle->m_socket);
    return idle->m_socket;
  }
  return nullptr;
}

void BackendPool::KeepIdle(const Endpoint& endpoint, h2o_socket_t* socket, Duration limit) {
  std::vector<std::unique_ptr<IdleConnection>>& idle = m_idle[endpoint];
  if (idle.size() >= kMaxIdle || limit <= Duration(0)) {
    h2o_socket_close(socket);
    return;
  }
  auto one = std::make_unique<IdleConnection>();
  one->m_pool = this;
  one->m_endpoint = endpoint;
  one->m_socket = socket;
  one->m_since = ReadClock();
  one->m_until = one->m_since + limit;
  socket->data = one.get();
  h2o_socket_read_start(socket, &BackendPool::OnIdleReadable);
  idle.push_back(std::move(one));
}

/// No bytes are expected on an idle connection: bytes or a close end it.
void BackendPool::OnIdleReadable(h2o_socket_t* socket, const char* /*fault*/) {
  auto* idle = static_cast<IdleConnection*>(socket->data);
  idle->m_pool->Close(idle);
}

void BackendPool::Close(IdleConnection* idle) {
  std::vector<std::unique_ptr<IdleConnection>>& all = m_idle[idle->m_endpoint];
  h2o_socket_close(idle->m_socket);
  std::erase_if(all, [idle](const auto& one) { return one.get() == idle; });
}

void BackendPool::Forget(const Endpoint& endpoint) {
  const auto found = m_idle.find(endpoint);
  if (found == m_idle.end())
    return;
  for (const std::unique_ptr<IdleConnection>& one : found->second)
    h2o_socket_close(one->m_socket);
  m_idle.erase(found);
}

void BackendPool::Expire() {
  const Instant now = ReadClock();
  for (auto& [endpoint, idle] : m_idle) {
    std::erase_if(idle, [now](const std::unique_ptr<IdleConnection>& one) {
      if (now < one->m_until)
        return false;
      h2o_socket_close(one->m_socket);
      return true;
    });
  }
}

}  // namespace poppyway
