// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <h2o.h>

#include "poppyway/core.h"
#include "poppyway/gateway/impl/exchange.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief The start of a back end's answer.
struct UpstreamHead {
  int m_status = 0;
  std::vector<Header> m_headers;
};

/// \brief What a call to a back end reports; exactly one of the last two ends it.
struct UpstreamEvents {
  /// Asked with the connection open, just before the first byte: true to send.
  std::function<bool()> m_may_send;
  std::function<void(const UpstreamHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_data;
  /// The answer arrived whole, as its framing says.
  std::function<void()> m_on_complete;
  /// It failed; `sent` tells whether a byte was written.
  std::function<void(bool sent, const std::string& why)> m_on_failure;
};

/// \brief Pools of connections to back ends, by endpoint.
class UpstreamPools {
 public:
  explicit UpstreamPools(EventLoop& loop);
  [[nodiscard]] h2o_socketpool_t* Get(const Endpoint& endpoint);
  [[nodiscard]] h2o_http1client_ctx_t* context() noexcept { return &m_context; }

 private:
  EventLoop& m_loop;
  h2o_timeout_t m_io_timeout;
  h2o_multithread_receiver_t m_resolver;
  h2o_http1client_ctx_t m_context;
  std::map<Endpoint, std::unique_ptr<h2o_socketpool_t>> m_pools;
};

/// \brief One call to a back end. Destroying it cancels the call silently.
class Upstream {
 public:
  /// Starts connecting. `request` is the whole HTTP/1.1 request.
  Upstream(UpstreamPools& pools,
           const Endpoint& endpoint,
           std::string request,
           bool head_only,
           UpstreamEvents events);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// No event is reported any more; the object may then be destroyed outside its own callbacks.
  void SuppressEvents() noexcept { m_silent = true; }
  /// Stops reading from the back end until `Resume`, for a slow caller.
  void Pause();
  void Resume();

 private:
  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* fault,
                                           h2o_iovec_t** bufs,
                                           size_t* count,
                                           int* is_head);
  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* fault,
                                        int minor,
                                        int status,
                                        h2o_iovec_t message,
                                        h2o_header_t* headers,
                                        size_t header_count,
                                        int length);
  static int OnBody(h2o_http1client_t* client, const char* fault);
  void End(const char* why);

  std::string m_request;
  h2o_iovec_t m_buffer{};
  bool m_head_only;
  UpstreamEvents m_events;
  h2o_http1client_t* m_client = nullptr;
  h2o_socket_cb m_paused = nullptr;
  bool m_sent = false;
  bool m_silent = false;
  bool m_chunked = false;
};

}  // namespace poppyway
