// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <h2o.h>
#include <http_parser.h>

#include "poppyway/core.h"
#include "poppyway/forward/impl/protocol_adapter.h"
#include "poppyway/http.h"
#include "poppyway/settings.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Why a call ended without a complete response.
enum class CallFault : std::uint8_t {
  kNotConnected,  ///< The connection attempt failed; no byte of the request was sent.
  kWithdrawn,     ///< `m_may_send` returned false; no byte was sent.
  kClosedEarly,   ///< The server closed the connection before its response was complete.
  kReset,         ///< The connection was reset or timed out.
  kNotHttp,       ///< The received bytes are not valid HTTP.
};

/// \brief Returns the text of a fault for logs and counters.
[[nodiscard]] std::string_view CallFaultName(CallFault fault) noexcept;

/// \brief Returns true if no byte of the request can have reached the server.
[[nodiscard]] constexpr bool NothingSent(CallFault fault) noexcept {
  return fault == CallFault::kNotConnected || fault == CallFault::kWithdrawn;
}

/// \brief What became of a call's connection attempt.
enum class ConnectOutcome : std::uint8_t {
  kNone,  ///< A kept connection was reused, or the attempt hasn't ended.
  kConnected,
  kRefused,   ///< The attempt failed before its time limit: the peer or the network refused it.
  kTimedOut,  ///< Nothing came back within the time limit.
};

/// \brief Returns the text of an outcome for logs and counters.
[[nodiscard]] std::string_view ConnectOutcomeName(ConnectOutcome outcome) noexcept;

/// \brief How the owner of a call treats a response head.
enum class HeadVerdict : std::uint8_t {
  kAccept,  ///< The response belongs to this request.
  kSkip,    ///< The response belongs to another request; this request's may follow.
};

/// \brief Callbacks of a call. Exactly one of the last two ends it. None may destroy the call.
/// `m_may_send` is called at most once, immediately before the first byte is sent.
struct CallEvents {
  std::function<bool()> m_may_send;
  std::function<HeadVerdict(int status, std::vector<Field> fields)> m_on_head;
  std::function<void(std::string_view)> m_on_data;
  std::function<void()> m_on_complete;
  std::function<void(CallFault)> m_on_fault;
};

class BackendCall;

/// \brief Idle keep-alive connections to backend servers, by address. Belongs to one task.
///
/// The HTTP library's own client isn't used: it can't distinguish a close from a reset, which
/// decides whether a response without a stated length is complete, and it offers no connect
/// timeout. The library provides the sockets, http_parser the parsing.
class BackendPool {
 public:
  explicit BackendPool(EventLoop& loop);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// \brief Returns the number of connection attempts so far.
  [[nodiscard]] std::uint64_t opened() const noexcept { return m_opened; }
  /// \brief Closes all idle connections to `endpoint`.
  void Forget(const Endpoint& endpoint);

 private:
  friend class BackendCall;
  friend class ConnectionProbe;
  struct IdleConnection;

  /// Begins a connection attempt. Returns null if it fails at once.
  [[nodiscard]] h2o_socket_t* OpenConnection(const Endpoint& endpoint, h2o_socket_cb on_connected);

  /// Returns an idle connection that hasn't reached its idle limit, or null. `careful` selects only
  /// connections that were used within `kCarefulIdleLimit`.
  [[nodiscard]] h2o_socket_t* TakeIdle(const Endpoint& endpoint, bool careful);
  void KeepIdle(const Endpoint& endpoint, h2o_socket_t* socket, Duration limit);
  void Close(IdleConnection* idle);
  void Expire();
  static void OnIdleReadable(h2o_socket_t* socket, const char* fault);

  EventLoop& m_loop;
  h2o_timeout_t m_connect_limit;
  h2o_timeout_t m_at_once;     ///< Fires in the next iteration of the loop.
  h2o_timeout_t m_probe_hold;  ///< How long a probe waits for a reset.
  std::map<Endpoint, std::vector<std::unique_ptr<IdleConnection>>> m_idle;
  std::uint64_t m_opened = 0;
  RepeatingTimer m_expiry;
};

/// \brief One HTTP/1.1 request to one backend server. Belongs to its pool's thread.
///
/// Destroying a call cancels it: its connection is closed and no callback follows. A call must not
/// be destroyed inside its own callbacks: `Cancel` it there and destroy it later.
class BackendCall {
 public:
  /// \param request the complete request, head and body.
  /// \param head_only the response has no body, whatever its header fields state.
  /// \param careful reuses only a recently used connection, as the request must not be lost to one
  /// that the server is closing.
  BackendCall(BackendPool& pool,
              const Endpoint& endpoint,
              std::string request,
              bool head_only,
              bool careful,
              CallEvents events);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  /// \brief Closes the connection; no callback follows. May be called inside a callback.
  void Cancel();
  /// \brief Stops reading from the server, as backpressure of a slow caller.
  void Pause();
  /// \brief Resumes reading after `Pause`.
  void Resume();
  /// \brief Sets how long the connection may stay idle after this response.
  void SetKeepAlive(Duration limit) noexcept { m_keep_alive = limit; }
  /// \brief Returns true if the call uses a kept connection.
  [[nodiscard]] bool reused() const noexcept { return m_reused; }
  /// \brief Returns the connect time; zero: not connected, or a connection was reused.
  [[nodiscard]] Duration connect_time() const noexcept { return m_connect_time; }
  /// \brief Returns what was wrong with the head of the response, after `kNotHttp`.
  [[nodiscard]] HeadFault head_fault() const noexcept { return m_head_search.m_fault; }
  /// \brief Returns what became of the connection attempt.
  [[nodiscard]] ConnectOutcome connect_outcome() const noexcept { return m_connect_outcome; }

 private:
  struct Timer {
    h2o_timeout_entry_t m_base;
    BackendCall* m_owner;
  };
  static void OnConnected(h2o_socket_t* socket, const char* fault);
  /// Reports `kNotConnected` or `kWithdrawn` from the loop, never from the constructor.
  void FailLater(CallFault fault, h2o_timeout_t& when);
  static void OnTimer(h2o_timeout_entry_t* entry);
  static void OnWritten(h2o_socket_t* socket, const char* fault);
  static void OnReadable(h2o_socket_t* socket, const char* fault);
  static const http_parser_settings& Settings();
  static int OnStatusBegin(http_parser* parser);
  static int OnFieldName(http_parser* parser, const char* at, std::size_t length);
  static int OnFieldValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnMessageComplete(http_parser* parser);

  void Connect();
  void Send();
  void Parse();
  /// Looks for the whole head of the next response. Returns true if it is there and acceptable.
  [[nodiscard]] bool HasAcceptableHead();
  void OnPeerClosed(const char* fault);
  /// Ends the call after the server's close in order and the end of the request's write.
  void EndByClose();
  void Finish();
  void Fail(CallFault fault);
  void CloseSocket();

  BackendPool& m_pool;
  Endpoint m_endpoint;
  std::string m_request;
  bool m_head_only;
  CallEvents m_events;
  h2o_socket_t* m_socket = nullptr;
  Timer m_timer{};
  CallFault m_timer_fault = CallFault::kNotConnected;
  http_parser m_parser{};
  HeadSearch m_head_search;
  bool m_head_checked = false;  ///< The current message's head is whole and acceptable.
  int m_unwanted_responses = 0;
  std::size_t m_unwanted_bytes = 0;
  std::vector<Field> m_fields;
  bool m_in_value = false;
  bool m_head_done = false;
  bool m_skipping = false;  ///< The current message is a response to another request.
  bool m_complete = false;
  bool m_sending = false;  ///< The request was passed to the socket.
  bool m_written = false;  ///< The whole request was passed to the kernel.
  bool m_write_failed = false;
  bool m_until_close = false;  ///< The response has no length: the server's close ends it.
  bool m_peer_closed = false;  ///< The server closed in order while the request was being written.
  bool m_detached = false;     ///< No more callbacks are made.
  bool m_reused = false;
  Instant m_connect_begun{};
  Duration m_connect_time{};
  ConnectOutcome m_connect_outcome = ConnectOutcome::kNone;
  bool m_paused = false;
  bool m_parsing = false;  ///< The parser reads the socket's buffer, which must not be freed.
  bool m_cancelled = false;
  bool m_not_reusable = false;  ///< Another response came, or the peer closed: no keep-alive.
  Duration m_keep_alive;
};

}  // namespace poppyway
