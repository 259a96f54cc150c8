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

/// \brief Bounds of a listener.
struct HttpLimits {
  std::size_t m_max_body = 4 << 20;
  /// Longest that a connection may rest between requests, or take to send one.
  std::uint64_t m_idle_millis = 60'000;
};

/// \brief Listens for HTTP/1.1 and hands each request, its body read whole, to one function.
/// Belongs to its loop's thread.
class HttpServer {
 public:
  using Handler = std::function<void(h2o_req_t*)>;

  HttpServer(EventLoop& loop, const HttpLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on an IPv4 number.
  [[nodiscard]] Result<void> Listen(const std::string& address, std::uint16_t port);
  /// Takes no more connections; those that are open go on.
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

/// \brief Reads a request's header fields, names in lower case, through `take`.
void ReadFields(const h2o_req_t* req,
                const std::function<void(std::string_view name, std::string_view value)>& take);

/// \brief Adds a header field to an answer.
void AddField(h2o_req_t* req, std::string_view name, std::string_view value);

/// \brief The standard phrase of a status.
[[nodiscard]] const char* ReasonPhrase(int status) noexcept;

/// \brief Sends a whole answer at once. Call once for a request.
void SendResponse(h2o_req_t* req, int status, std::string_view type, std::string_view body);

}  // namespace poppyway
