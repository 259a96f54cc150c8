// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>

#include "poppyway/wire/impl/peer_connection.h"
#include "poppyway/wire/impl/repeating_timer.h"

namespace poppyway {

/// \brief Sends calls to one peer endpoint and connects on demand. Used on its loop's thread only.
class PeerClient {
 public:
  using OnReply = std::function<void(Result<wire::Body>)>;

  /// \param address an IPv4 address.
  PeerClient(EventLoop& loop, std::string address, std::uint16_t port);
  /// Closes the connection. Open calls get no reply.
  ~PeerClient();

  /// Sends `body` and calls `on_reply` once: with the reply; with `kPeerUnreachable` on connection
  /// loss, after `timeout`, or soon if the message can't be sent; or with `kPeerProtocol` after a
  /// malformed message. The peer may have executed a call that failed.
  void Call(wire::Body body, Duration timeout, OnReply on_reply);
  /// Sends `body` without waiting for a reply. The message is dropped if no connection can be
  /// opened or too many messages wait for one.
  void Notify(wire::Body body);
  /// Sets the function that receives messages which reply to no open call.
  void SetOnPush(std::function<void(wire::Body)> on_push) { m_on_push = std::move(on_push); }
  /// Sets the function that is called when an open connection is lost.
  void SetOnLost(std::function<void()> on_lost) { m_on_lost = std::move(on_lost); }
  /// Returns when the last message from the peer arrived; zero: never.
  [[nodiscard]] Instant last_message_time() const noexcept { return m_last_message_time; }
  /// Returns the bytes sent on all connections so far.
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept;
  /// Returns when bytes last arrived on the current connection, even if the message is incomplete;
  /// zero: never.
  [[nodiscard]] Instant last_receive_time() const noexcept;
  /// Returns when the peer or its machine last responded in any way: with bytes, by taking a
  /// connection or by refusing one; zero: never.
  [[nodiscard]] Instant last_contact_time() const noexcept;
  /// Returns the send queue of the current connection.
  [[nodiscard]] SendQueueStats queue_stats() const noexcept;

 private:
  struct PendingCall {
    OnReply m_on_reply;
    Instant m_expires;
  };
  static void OnConnected(h2o_socket_t* socket, const char* fault);
  /// Begins to connect unless an attempt is in progress. Returns false if none can be made.
  bool Connect();
  /// Sends a message, or keeps it until the connection is up. Returns false if it was dropped.
  bool Post(wire::Envelope envelope);
  void FailAll(const Error& why);
  /// Fails calls and connection attempts that have timed out. Returns true while any is open.
  bool ExpireCalls();
  /// Aborts a connection attempt that has timed out, so that the next message starts a new one.
  void ExpireConnect(Instant now);

  EventLoop& m_loop;
  std::string m_address;
  std::uint16_t m_port;
  h2o_socket_t* m_connecting = nullptr;  ///< Connection attempt in progress; null if there is none.
  Instant m_connect_expires{};
  std::shared_ptr<PeerConnection> m_connection;
  std::vector<wire::Envelope> m_unsent;  ///< Messages to send once connected.
  std::map<std::int64_t, PendingCall> m_pending_calls;
  std::function<void(wire::Body)> m_on_push;
  std::function<void()> m_on_lost;
  std::int64_t m_next_id = 1;
  Instant m_last_message_time{};
  Instant m_last_connect_time{};     ///< When a connection attempt last succeeded or was refused.
  std::uint64_t m_closed_bytes = 0;  ///< The bytes sent on connections that are closed.
  RepeatingTimer m_expiry;
};

}  // namespace poppyway
