// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>

namespace poppyway {
namespace {

constexpr int kListenBacklog = 1024;

}  // namespace

void SetDeadPeerTimeout(int fd, Duration timeout) {
  const int enabled = 1;
  const auto millis = static_cast<unsigned int>(timeout.count() / 1000);
  const int interval_seconds = 1;
  const int probes = std::max(1, static_cast<int>(timeout.count() / 1'000'000));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_seconds, sizeof(interval_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof(interval_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
}

Result<int> OpenListener(const std::string& address, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) == 0;
  if (bound && listen(fd, kListenBacklog) == 0)
    return fd;
  const std::string why = std::strerror(errno);
  close(fd);
  return Fail(ResultCode::kPeerUnreachable,
              "can't listen on " + address + ":" + std::to_string(port) + ": " + why);
}

PeerServer::PeerServer(EventLoop& loop,
                       PeerConnection::OnMessage on_message,
                       std::function<void(const Error&)> on_rejected)
    : m_loop(loop), m_on_message(std::move(on_message)), m_on_rejected(std::move(on_rejected)) {}

PeerServer::~PeerServer() {
  if (m_listener != nullptr)
    h2o_socket_close(m_listener);
}

Result<void> PeerServer::Listen(const std::string& address, std::uint16_t port) {
  Result<int> fd = OpenListener(address, port);
  if (!fd)
    return tl::unexpected<Error>(fd.error());
  m_listener = h2o_evloop_socket_create(m_loop.loop(), *fd, H2O_SOCKET_FLAG_DONT_READ);
  m_listener->data = this;
  h2o_socket_read_start(m_listener, &PeerServer::OnAccept);
  return {};
}

SendQueueStats PeerServer::queue_stats() const noexcept {
  SendQueueStats all;
  for (const auto& connection : m_connections)
    all = CombineQueueStats(all, connection->queue_stats());
  return all;
}

std::uint64_t PeerServer::bytes_sent() const noexcept {
  std::uint64_t bytes = m_closed_bytes;
  for (const auto& connection : m_connections)
    bytes += connection->bytes_sent();
  return bytes;
}

void PeerServer::OnAccept(h2o_socket_t* listener, const char* fault) {
  auto* self = static_cast<PeerServer*>(listener->data);
  if (fault != nullptr)
    return;
  h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
  if (socket == nullptr)
    return;
  SetDeadPeerTimeout(h2o_socket_get_fd(socket), kDeadPeerTimeout);
  auto connection = std::make_shared<PeerConnection>(
      socket, self->m_on_message, [self](PeerConnection& closed, const Error& why) {
        self->m_closed_bytes += closed.bytes_sent();
        self->m_connections.erase(closed.shared_from_this());
        if (why.m_code == ResultCode::kPeerProtocol)
          self->m_on_rejected(why);
      });
  self->m_connections.insert(connection);
  connection->Start();
}

}  // namespace poppyway
