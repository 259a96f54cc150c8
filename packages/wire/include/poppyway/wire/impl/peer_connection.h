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

/// \brief A connection between instances whose bytes stay unacknowledged for longer is given up.
/// Several times an election timeout, well below what operators wait for an answer.
inline constexpr Duration kPeerSilence{1'500'000};

/// \brief What a connection still has to write.
struct SendQueueStats {
  std::size_t m_bytes = 0;
  Instant m_nonempty_since{};  ///< When it was empty last; zero: it is empty.

  friend bool operator==(const SendQueueStats&, const SendQueueStats&) = default;
};

/// \brief Two queues as one: the bytes together, the longer wait.
[[nodiscard]] SendQueueStats CombineQueueStats(const SendQueueStats& a,
                                               const SendQueueStats& b) noexcept;

/// \brief A framed connection to a peer. Belongs to its loop's thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using OnMessage = std::function<void(PeerConnection&, wire::Envelope)>;
  using OnClosed = std::function<void(PeerConnection&, const Error& why)>;

  /// Takes ownership of `socket`.
  PeerConnection(h2o_socket_t* socket, OnMessage on_message, OnClosed on_closed);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Begins reading. Call once, after the object is owned by a shared_ptr.
  void Start();
  /// Queues an envelope; never blocks.
  void Send(const wire::Envelope& envelope);
  /// Closes without calling `OnClosed`.
  void Close();
  [[nodiscard]] bool open() const noexcept { return m_socket != nullptr; }
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }
  [[nodiscard]] SendQueueStats queue_stats() const noexcept;
  /// When bytes last arrived, whole message or not; zero: never.
  [[nodiscard]] Instant last_receive_time() const noexcept { return m_last_receive_time; }

 private:
  static void OnReadable(h2o_socket_t* socket, const char* fault);
  static void OnWritten(h2o_socket_t* socket, const char* fault);
  void Drop(const Error& why);
  void Flush();

  h2o_socket_t* m_socket;
  OnMessage m_on_message;
  OnClosed m_on_closed;
  std::string m_pending;
  std::string m_writing;
  std::uint64_t m_bytes_sent = 0;
  Instant m_queued_since{};
  Instant m_last_receive_time{};
};

}  // namespace poppyway
