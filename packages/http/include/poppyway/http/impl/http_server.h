// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <h2o.h>

#include "poppyway/core.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Limits of a listener.
struct HttpLimits {
  std::size_t m_max_body = 4 << 20;  ///< Largest request body, in bytes.
  /// Longest time that a connection may be idle between requests, or take to send one.
  std::uint64_t m_idle_millis = 60'000;
};

/// \brief Identifies a connection of an `HttpServer`, in the order of acceptance.
using ConnectionNumber = std::uint64_t;

/// \brief A request that is still arriving.
struct ArrivingRequest {
  ConnectionNumber m_connection = 0;
  std::string_view m_bytes;  ///< What has arrived; valid until the loop runs on.
};

/// \brief Listens for HTTP/1.1 requests and passes each, with its complete body, to a handler. Not
/// thread-safe; used on its loop's thread only.
class HttpServer {
 public:
  using Handler = std::function<void(h2o_req_t*)>;

  /// \param loop must outlive the server.
  /// \param handler is called with each request, and has to respond to it then or later.
  HttpServer(EventLoop& loop, const HttpLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen on an IPv4 address. \return the error of the listening socket.
  [[nodiscard]] Result<void> Listen(const std::string& address, std::uint16_t port);
  /// Accepts no more connections; open connections are still served.
  void StopListening();
  /// Calls `on_long` whenever bytes of a request have arrived of which there are `min_bytes` or
  /// more, until it is complete. On a kept connection it may begin up to a `Refresh` later.
  /// Call before `Listen`.
  void WatchLongRequests(std::size_t min_bytes, std::function<void()> on_long);
  /// Returns the watched requests that aren't complete, in the order in which their connections
  /// were accepted. Those that are paused are among them.
  [[nodiscard]] std::vector<ArrivingRequest> LongRequests() const;
  /// Stops reading an arriving request until `Resume`; its sender then waits. Returns false if it
  /// is paused already. Precondition: `LongRequests` has returned it since the loop ran.
  bool Pause(ConnectionNumber connection);
  /// Reads on after `Pause`; does nothing if the request isn't paused.
  void Resume(ConnectionNumber connection);
  /// Watches the next requests of kept connections, and frees the buffers of idle ones that a long
  /// request has left. Call it now and then, outside of a handler.
  void Refresh();

 private:
  struct HandlerEntry {
    h2o_handler_t m_base;
    HttpServer* m_owner;
  };
  /// Lives until the library closes the connection, which may be after the end of the server.
  struct Connection {
    HttpServer* m_server;
    ConnectionNumber m_number;
    h2o_socket_t* m_socket;
    h2o_socket_cb m_library_read = nullptr;  ///< Called by `OnRead`.
    bool m_paused = false;
  };
  static int OnRequest(h2o_handler_t* handler, h2o_req_t* req);
  static void OnAccept(h2o_socket_t* listener, const char* fault);
  static void OnRead(h2o_socket_t* socket, const char* fault);
  static void OnClose(void* connection);
  /// Lets `OnRead` see what arrives, if the library reads from the connection.
  static void WatchReads(Connection& connection);

  EventLoop& m_loop;
  Handler m_handler;
  std::function<void()> m_on_long;
  std::size_t m_min_long = 0;
  h2o_globalconf_t m_global{};
  h2o_context_t m_context{};
  h2o_accept_ctx_t m_accept{};
  h2o_socket_t* m_listener = nullptr;
  std::map<ConnectionNumber, Connection*> m_connections;
  ConnectionNumber m_next_connection = 1;
};

/// \brief Calls `on_field` with each header field of a request, "host" first. Names are in lower
/// case; the views are valid as long as the request.
void ReadFields(const h2o_req_t* req,
                const std::function<void(std::string_view name, std::string_view value)>& on_field);

/// \brief Adds a header field to the response of `req`; copies name and value.
void AddField(h2o_req_t* req, std::string_view name, std::string_view value);

/// \brief Returns the standard reason phrase of a status, or "Other" for a status not in its list.
[[nodiscard]] const char* ReasonPhrase(int status) noexcept;

/// \brief Sends a complete response. Call at most once per request.
/// \param type value of the content-type header.
void SendResponse(h2o_req_t* req, int status, std::string_view type, std::string_view body);

}  // namespace poppyway
