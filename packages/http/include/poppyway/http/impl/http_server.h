// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <functional>
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

 private:
  struct HandlerEntry {
    h2o_handler_t m_base;
    HttpServer* m_owner;
  };
  static int OnRequest(h2o_handler_t* handler, h2o_req_t* req);
  static void OnAccept(h2o_socket_t* listener, const char* fault);

  EventLoop& m_loop;
  Handler m_handler;
  h2o_globalconf_t m_global{};
  h2o_context_t m_context{};
  h2o_accept_ctx_t m_accept{};
  h2o_socket_t* m_listener = nullptr;
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
