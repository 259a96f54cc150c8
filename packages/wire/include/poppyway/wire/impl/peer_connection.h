// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "poppyway/core.h"
#include "poppyway/wire/impl/event_loop.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief A connection between instances is closed if sent bytes stay unacknowledged for longer.
/// The timeout is several election timeouts, and well below the time that operators wait for a
/// response.
inline constexpr Duration kDeadPeerTimeout{1'500'000};

/// \brief The data that a connection has yet to write.
struct SendQueueStats {
  std::size_t m_bytes = 0;
  Instant m_nonempty_since{};  ///< Since when the queue has held data; zero: it is empty.

  friend bool operator==(const SendQueueStats&, const SendQueueStats&) = default;
};

/// \brief Combines two queues: the sum of the bytes and the earlier `m_nonempty_since`.
[[nodiscard]] SendQueueStats CombineQueueStats(const SendQueueStats& a,
                                               const SendQueueStats& b) noexcept;

/// \brief A connection to a peer that carries frames. Used on its loop's thread only.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using OnMessage = std::function<void(PeerConnection&, wire::Envelope)>;
  using OnClosed = std::function<void(PeerConnection&, const Error& why)>;

  /// Takes ownership of `socket`.
  PeerConnection(h2o_socket_t* socket, OnMessage on_message, OnClosed on_closed);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Starts reading. Precondition: it is called once, on an object that a shared_ptr owns.
  void Start();
  /// Queues an envelope; never blocks. Does nothing on a closed connection.
  void Send(const wire::Envelope& envelope);
  /// Closes the connection without calling `OnClosed`.
  void Close();
  [[nodiscard]] bool open() const noexcept { return m_socket != nullptr; }
  /// Returns the bytes handed to the socket so far.
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }
  [[nodiscard]] SendQueueStats queue_stats() const noexcept;
  /// Returns when bytes last arrived, even if the message is incomplete; zero: never.
  [[nodiscard]] Instant last_receive_time() const noexcept { return m_last_receive_time; }

 private:
  static void OnReadable(h2o_socket_t* socket, const char* fault);
  static void OnWritten(h2o_socket_t* socket, const char* fault);
  /// Closes the connection and calls `OnClosed`.
  void CloseWithError(const Error& why);
  /// Writes the pending bytes unless a write is in progress.
  void Flush();

  h2o_socket_t* m_socket;
  OnMessage m_on_message;
  OnClosed m_on_closed;
  std::string m_pending;  ///< Frames to write after the current write.
  std::string m_writing;  ///< The bytes of the current write.
  std::uint64_t m_bytes_sent = 0;
  Instant m_queued_since{};
  Instant m_last_receive_time{};
};

}  // namespace poppyway
