// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>

#include "poppyway/wire/impl/peer_connection.h"
#include "poppyway/wire/impl/repeating_timer.h"

namespace poppyway {

/// \brief Calls to one peer endpoint; connects on demand. Belongs to its loop's thread.
class PeerClient {
 public:
  using OnReply = std::function<void(Result<wire::Body>)>;

  PeerClient(EventLoop& loop, std::string address, std::uint16_t port);
  ~PeerClient();

  /// Sends `body` and calls `on_reply` exactly once: with the reply, or with `kPeerUnreachable` on
  /// connection loss or after `timeout`. A lost call may have had its effect.
  void Call(wire::Body body, Duration timeout, OnReply on_reply);
  /// Sends without awaiting a reply; dropped if there is no connection yet and none can be made.
  void Notify(wire::Body body);
  /// Called with messages that answer no call.
  void SetOnPush(std::function<void(wire::Body)> on_push) { m_on_push = std::move(on_push); }
  /// Called when an open connection was lost.
  void SetOnLost(std::function<void()> on_lost) { m_on_lost = std::move(on_lost); }
  /// When the peer last sent anything; zero: never.
  [[nodiscard]] Instant last_message_time() const noexcept { return m_last_message_time; }
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept;
  /// When bytes last arrived on the present connection, whole message or not; zero: never.
  [[nodiscard]] Instant last_receive_time() const noexcept;
  [[nodiscard]] SendQueueStats queue_stats() const noexcept;

 private:
  struct Waiting {
    OnReply m_on_reply;
    Instant m_expires;
  };
  static void OnConnected(h2o_socket_t* socket, const char* fault);
  void Connect();
  void Post(wire::Envelope envelope);
  void FailAll(const Error& why);
  /// Returns whether calls still wait.
  bool ExpireCalls();
  /// Gives up a connection attempt that hangs, so that the next message tries anew.
  void ExpireConnect(Instant now);

  EventLoop& m_loop;
  std::string m_address;
  std::uint16_t m_port;
  h2o_socket_t* m_connecting = nullptr;
  Instant m_connect_expires{};
  std::shared_ptr<PeerConnection> m_connection;
  std::vector<wire::Envelope> m_backlog;
  std::map<std::int64_t, Waiting> m_waiting;
  std::function<void(wire::Body)> m_on_push;
  std::function<void()> m_on_lost;
  std::int64_t m_next_id = 1;
  Instant m_last_message_time{};
  std::uint64_t m_closed_bytes = 0;
  RepeatingTimer m_expiry;
};

}  // namespace poppyway
