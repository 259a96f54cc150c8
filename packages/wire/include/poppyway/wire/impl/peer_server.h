// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <set>

#include "poppyway/wire/impl/peer_connection.h"

namespace poppyway {

/// \brief Accepts peer connections. Belongs to its loop's thread.
class PeerServer {
 public:
  /// \param on_refused called when a peer's malformed message closed its connection.
  PeerServer(EventLoop& loop,
             PeerConnection::OnMessage on_message,
             std::function<void(const Error&)> on_refused);
  ~PeerServer();

  /// Listens on an IPv4 number.
  [[nodiscard]] Result<void> Listen(const std::string& address, std::uint16_t port);
  /// Of all connections: the bytes together, and since when the one that waits longest waits.
  [[nodiscard]] SendQueueStats queue_stats() const noexcept;
  /// On all connections that ever were.
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

 private:
  static void OnAccept(h2o_socket_t* listener, const char* fault);

  EventLoop& m_loop;
  PeerConnection::OnMessage m_on_message;
  std::function<void(const Error&)> m_on_refused;
  h2o_socket_t* m_listener = nullptr;
  std::set<std::shared_ptr<PeerConnection>> m_connections;
  std::uint64_t m_closed_bytes = 0;  ///< Sent on connections that are closed.
};

/// \brief Bounds how long a connection waits for a peer that has fallen silent: unacknowledged
/// bytes and keep-alive probes give up after `limit`.
void SetDeadPeerTimeout(int fd, Duration limit);

/// \brief Opens a non-blocking listening socket.
/// \return the descriptor, or `kPeerUnreachable`.
[[nodiscard]] Result<int> OpenListener(const std::string& address, std::uint16_t port);

}  // namespace poppyway
