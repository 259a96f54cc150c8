// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <h2o.h>

#include "poppyway/core.h"
#include "poppyway/gateway/impl/exchange.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Status and header fields of a back end's response.
struct UpstreamHead {
  int m_status = 0;
  std::vector<Header> m_headers;
};

/// \brief Callbacks of a call to a back end. The call ends with exactly one call of `m_on_complete`
/// or `m_on_failure`, unless it is destroyed or its events are suppressed first.
struct UpstreamEvents {
  /// Called when the connection is open, before the first byte is written. Returns true to send the
  /// request, false to fail the call.
  std::function<bool()> m_may_send;
  std::function<void(const UpstreamHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_data;
  /// Called when the response is complete according to its framing.
  std::function<void()> m_on_complete;
  /// Called when the call failed; `sent` is true if the request may have been written.
  std::function<void(bool sent, const std::string& why)> m_on_failure;
};

class Upstream;

/// \brief Pools of connections to back ends, one per endpoint, and the calls that wait for a
/// response's head. Not thread-safe; `loop` must outlive them.
class UpstreamPools {
 public:
  explicit UpstreamPools(EventLoop& loop);
  /// Returns the pool of `endpoint`, created on first use. Precondition: its address is IPv4.
  [[nodiscard]] h2o_socketpool_t* Get(const Endpoint& endpoint);
  [[nodiscard]] h2o_http1client_ctx_t* context() noexcept { return &m_context; }

  /// Bounds the bytes of the response's head of `call`, which the library reads without a bound,
  /// until `HeadEnded`.
  void AwaitHead(Upstream& call) { m_awaiting_heads.insert(&call); }
  void HeadEnded(Upstream& call) noexcept { m_awaiting_heads.erase(&call); }

 private:
  /// Ends the calls whose heads are too long. Returns true if calls wait for heads.
  bool CheckHeads();

  EventLoop& m_loop;
  std::set<Upstream*> m_awaiting_heads;
  h2o_timeout_t m_io_timeout;
  h2o_multithread_receiver_t m_resolver;
  h2o_http1client_ctx_t m_context;
  std::map<Endpoint, std::unique_ptr<h2o_socketpool_t>> m_pools;
  std::unique_ptr<RepeatingTimer> m_check_heads;
};

/// \brief One call to a back end. Its destructor cancels the call without a callback. Not
/// thread-safe; the pools must outlive it.
class Upstream {
 public:
  /// Starts connecting.
  /// \param request the complete HTTP/1.1 request as it is sent.
  /// \param head_only true for a HEAD request, whose response has no body.
  Upstream(UpstreamPools& pools,
           const Endpoint& endpoint,
           std::string request,
           bool head_only,
           UpstreamEvents events);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// Suppresses all further callbacks. The object may be destroyed afterwards, but not within one
  /// of its own callbacks.
  void SuppressEvents() noexcept { m_events_suppressed = true; }
  /// Stops reading from the back end until `Resume`, so that a slow caller's response isn't
  /// buffered without limit.
  void Pause();
  /// Continues to read after `Pause`; does nothing if the call isn't paused.
  void Resume();
  /// Bytes that have arrived of a head that isn't complete.
  [[nodiscard]] std::size_t UnparsedBytes() const noexcept;
  /// Closes the connection and reports the call as failed.
  void Fail(const char* why);

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
  static int OnInterim(h2o_http1client_t* client,
                       int minor,
                       int status,
                       h2o_iovec_t message,
                       h2o_header_t* headers,
                       size_t header_count);
  static int OnBody(h2o_http1client_t* client, const char* fault);
  [[nodiscard]] bool HasUnwantedBytes(const h2o_socket_t& socket);
  void End(const char* why);

  UpstreamPools& m_pools;
  std::string m_request;
  h2o_iovec_t m_buffer{};  ///< Refers to `m_request` while the library writes it.
  bool m_head_only;
  UpstreamEvents m_events;
  h2o_http1client_t* m_client = nullptr;
  h2o_socket_cb m_paused_read = nullptr;  ///< Restored by `Resume`; null if not paused.
  bool m_sent = false;
  bool m_events_suppressed = false;
  bool m_chunked = false;
  int m_interim_responses = 0;
  std::size_t m_data_bytes = 0;
  std::size_t m_framing_bytes = 0;  ///< Between the chunks of the body.
};

}  // namespace poppyway
