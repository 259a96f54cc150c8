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
#include "poppyway/settings.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Why a call ended without a whole answer.
enum class CallFault : std::uint8_t {
  kNotConnected,  ///< No connection: no byte of the request was sent.
  kWithdrawn,     ///< `m_may_send` said no: no byte was sent.
  kSilentClose,   ///< The server closed in order, before its answer was whole.
  kReset,         ///< The connection was reset, or gave up after silence.
  kNoAnswer,      ///< What came is not HTTP.
};

/// \brief Text for logs and counters.
[[nodiscard]] std::string_view CallFaultName(CallFault fault) noexcept;

/// \brief True if no byte of the request can have reached the server.
[[nodiscard]] constexpr bool NothingSent(CallFault fault) noexcept {
  return fault == CallFault::kNotConnected || fault == CallFault::kWithdrawn;
}

/// \brief What the caller of a call makes of an answer's head.
enum class HeadVerdict : std::uint8_t {
  kTake,  ///< It answers this request.
  kSkip,  ///< It answers another one; this request's may follow.
};

/// \brief What a call reports. Exactly one of the last two ends it. None may destroy the call.
struct CallEvents {
  std::function<bool()> m_may_send;
  std::function<HeadVerdict(int status, std::vector<Field> fields)> m_on_head;
  std::function<void(std::string_view)> m_on_data;
  std::function<void()> m_on_complete;
  std::function<void(CallFault)> m_on_fault;
};

class BackendCall;

/// \brief Connections to backend servers that rest between requests, by place. One task.
///
/// The HTTP library's own client isn't used: it can't tell a close from a reset, which is the
/// difference between a whole and a broken answer of unstated length, and it gives no hold on how
/// long a connection attempt may take. Sockets are the library's, parsing is http_parser's.
class BackendPool {
 public:
  explicit BackendPool(EventLoop& loop);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  [[nodiscard]] std::uint64_t opened() const noexcept { return m_opened; }
  /// Closes all resting connections to `place`.
  void Forget(const Endpoint& place);

 private:
  friend class BackendCall;
  struct Resting;

  /// A connection that has rested for less than its limit, or null.
  [[nodiscard]] h2o_socket_t* Take(const Endpoint& place, bool careful);
  void Rest(const Endpoint& place, h2o_socket_t* socket, Duration limit);
  void Close(Resting* resting);
  void Expire();
  static void OnResting(h2o_socket_t* socket, const char* fault);

  EventLoop& m_loop;
  h2o_timeout_t m_connect_limit;
  h2o_timeout_t m_at_once;  ///< The loop's next turn.
  std::map<Endpoint, std::vector<std::unique_ptr<Resting>>> m_resting;
  std::uint64_t m_opened = 0;
  RepeatingTimer m_expiry;
};

/// \brief One HTTP/1.1 request to one backend server. Destroying it cancels it: the connection is
/// closed, no event is reported. Never destroy it inside its own events: `Cancel` it and destroy it
/// later.
class BackendCall {
 public:
  /// \param request all bytes of the request.
  /// \param head_only the answer has no body whatever it says.
  /// \param careful a request that must not be lost to a connection that is just being closed.
  BackendCall(BackendPool& pool,
              const Endpoint& place,
              std::string request,
              bool head_only,
              bool careful,
              CallEvents events);
  ~BackendCall();
  BackendCall(const BackendCall&) = delete;
  BackendCall& operator=(const BackendCall&) = delete;

  /// Closes the connection; no event is reported any more. May be called inside an event.
  void Cancel();
  /// Stops and resumes reading, for a slow caller.
  void Pause();
  void Resume();
  /// How long the connection may rest after this answer.
  void SetKeepAlive(Duration limit) noexcept { m_keep_alive = limit; }
  [[nodiscard]] bool reused() const noexcept { return m_reused; }
  /// How long a new connection took to come up; zero: it isn't up, or none was opened.
  [[nodiscard]] Duration connect_time() const noexcept { return m_connect_time; }

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
  void OnPeerClosed(const char* fault);
  void Finish();
  void Fail(CallFault fault);
  void CloseSocket();

  BackendPool& m_pool;
  Endpoint m_place;
  std::string m_request;
  bool m_head_only;
  CallEvents m_events;
  h2o_socket_t* m_socket = nullptr;
  Timer m_timer{};
  CallFault m_timer_fault = CallFault::kNotConnected;
  http_parser m_parser{};
  std::vector<Field> m_fields;
  bool m_in_value = false;
  bool m_head_done = false;
  bool m_skipping = false;  ///< The message at hand answers another request.
  bool m_complete = false;
  bool m_written = false;
  bool m_silent = false;
  bool m_reused = false;
  Instant m_connect_begun{};
  Duration m_connect_time{};
  bool m_paused = false;
  bool m_parsing = false;  ///< The parser reads the socket's buffer: it must not be freed.
  bool m_cancelled = false;
  bool m_surplus = false;  ///< More than one answer came: the connection isn't kept.
  Duration m_keep_alive;
};

}  // namespace poppyway
