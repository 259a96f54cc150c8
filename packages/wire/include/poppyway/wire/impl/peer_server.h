// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <set>

#include "poppyway/wire/impl/peer_connection.h"

namespace poppyway {

/// \brief Accepts connections from peers. Used on its loop's thread only.
class PeerServer {
 public:
  /// \param on_message called with each message and its connection.
  /// \param on_rejected called after a malformed message of a peer has closed its connection.
  PeerServer(EventLoop& loop,
             PeerConnection::OnMessage on_message,
             std::function<void(const Error&)> on_rejected);
  ~PeerServer();

  /// Starts to listen. Precondition: it is called once.
  /// \param address an IPv4 address.
  /// \return `kPeerUnreachable` if the address can't be bound.
  [[nodiscard]] Result<void> Listen(const std::string& address, std::uint16_t port);
  /// Returns the combined send queues of all open connections.
  [[nodiscard]] SendQueueStats queue_stats() const noexcept;
  /// Returns the bytes sent on all connections, open and closed.
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

 private:
  static void OnAccept(h2o_socket_t* listener, const char* fault);

  EventLoop& m_loop;
  PeerConnection::OnMessage m_on_message;
  std::function<void(const Error&)> m_on_rejected;
  h2o_socket_t* m_listener = nullptr;
  std::set<std::shared_ptr<PeerConnection>> m_connections;
  std::uint64_t m_closed_bytes = 0;  ///< The bytes sent on connections that are closed.
};

/// \brief Sets the timeout after which the kernel closes a connection whose peer no longer
/// acknowledges bytes or keep-alive probes.
/// \param timeout the timeout for unacknowledged bytes. Probes are sent every second; their number
/// is `timeout` in whole seconds, at least one.
void SetDeadPeerTimeout(int fd, Duration timeout);

/// \brief Opens a non-blocking listening socket on an IPv4 address. Thread-safe.
/// \return the descriptor, which the caller closes, or `kPeerUnreachable`.
[[nodiscard]] Result<int> OpenListener(const std::string& address, std::uint16_t port);

}  // namespace poppyway
