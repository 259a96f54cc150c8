// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/gateway/impl/upstream.h"

#include <arpa/inet.h>

#include <algorithm>

#include "poppyway/http.h"

namespace poppyway {
namespace {

constexpr std::uint64_t kIoTimeoutMillis = 600'000;  // Timeout of one connect, read or write.
constexpr std::uint64_t kIdleMillis = 30'000;        // Idle pooled connections are closed.
constexpr std::size_t kPoolCapacity = 4096;          // Capacity of h2o's pool of an endpoint.
constexpr std::uint64_t kHeadCheckMillis = 5;        // While calls wait for heads.
constexpr std::uint64_t kIdleCheckMillis = 50;
// Chunks of one byte have less framing for each.
constexpr std::size_t kMaxFramingPerByte = 32;

/// Returns true if the response's framing says where its body ends; without that, a truncated
/// response can't be detected.
bool IsFramed(int status, const std::vector<Header>& headers, bool head_only) {
  if (head_only || status == 204 || status == 304)
    return true;
  return std::any_of(headers.begin(), headers.end(), [](const Header& header) {
    return header.m_name == "content-length" || header.m_name == "transfer-encoding";
  });
}

/// Checks a decoded head as those of other responses are checked.
HeadFault CheckHead(int minor, const UpstreamHead& head) {
  std::vector<HeadField> fields;
  for (const Header& header : head.m_headers)
    fields.push_back({header.m_name, header.m_value});
  return CheckResponse(minor, head.m_status, fields);
}

}  // namespace

UpstreamPools::UpstreamPools(EventLoop& loop) : m_loop(loop), m_context{} {
  h2o_timeout_init(loop.loop(), &m_io_timeout, kIoTimeoutMillis);
  h2o_multithread_register_receiver(loop.queue(), &m_resolver, h2o_hostinfo_getaddr_receiver);
  m_context.loop = loop.loop();
  m_context.getaddr_receiver = &m_resolver;
  m_context.io_timeout = &m_io_timeout;
  m_check_heads = std::make_unique<RepeatingTimer>(loop, kHeadCheckMillis, kIdleCheckMillis,
                                                   [this] { return CheckHeads(); });
}

bool UpstreamPools::CheckHeads() {
  std::vector<Upstream*> too_long;
  for (Upstream* call : m_awaiting_heads) {
    if (call->UnparsedBytes() > kMaxHeadBytes)
      too_long.push_back(call);
  }
  for (Upstream* call : too_long) {
    // The failure of another call may have ended it.
    if (m_awaiting_heads.contains(call))
      call->Fail("invalid head: too_long");
  }
  return !m_awaiting_heads.empty();
}

h2o_socketpool_t* UpstreamPools::Get(const Endpoint& endpoint) {
  std::unique_ptr<h2o_socketpool_t>& pool = m_pools[endpoint];
  if (pool)
    return pool.get();
  pool = std::make_unique<h2o_socketpool_t>();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.m_port);
  inet_pton(AF_INET, endpoint.m_address.c_str(), &address.sin_addr);
  h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address),
                                 0, kPoolCapacity);
  h2o_socketpool_set_timeout(pool.get(), m_loop.loop(), kIdleMillis);
  return pool.get();
}

Upstream::Upstream(UpstreamPools& pools,
                   const Endpoint& endpoint,
                   std::string request,
                   bool head_only,
                   UpstreamEvents events)
    : m_pools(pools),
      m_request(std::move(request)),
      m_head_only(head_only),
      m_events(std::move(events)) {
  h2o_http1client_connect_with_pool(&m_client, this, pools.context(), pools.Get(endpoint),
                                    &Upstream::OnConnect);
}

Upstream::~Upstream() {
  m_pools.HeadEnded(*this);
  if (m_client != nullptr)
    h2o_http1client_cancel(m_client);
}

std::size_t Upstream::UnparsedBytes() const noexcept {
  const bool connected = m_client != nullptr && m_client->sock != nullptr;
  return connected ? m_client->sock->input->size : 0;
}

void Upstream::Fail(const char* why) {
  if (m_client == nullptr)
    return;
  h2o_http1client_cancel(m_client);
  End(why);
}

void Upstream::End(const char* why) {
  m_pools.HeadEnded(*this);
  m_client = nullptr;
  if (m_events_suppressed)
    return;
  // The handler may destroy this object: it is copied first, and no member is used after its call.
  if (why == nullptr) {
    const auto on_complete = m_events.m_on_complete;
    on_complete();
    return;
  }
  const auto on_failure = m_events.m_on_failure;
  on_failure(m_sent, why);
}

h2o_http1client_head_cb Upstream::OnConnect(h2o_http1client_t* client,
                                            const char* fault,
                                            h2o_iovec_t** bufs,
                                            size_t* count,
                                            int* is_head) {
  auto* self = static_cast<Upstream*>(client->data);
  if (fault != nullptr) {
    self->End(fault);
    return nullptr;
  }
  if (self->m_events_suppressed || !self->m_events.m_may_send()) {
    self->End("withdrawn before the first byte");
    return nullptr;
  }
  self->m_sent = true;
  self->m_pools.AwaitHead(*self);
  client->informational_cb = &Upstream::OnInterim;
  self->m_buffer = h2o_iovec_init(self->m_request.data(), self->m_request.size());
  *bufs = &self->m_buffer;
  *count = 1;
  *is_head = self->m_head_only ? 1 : 0;
  return &Upstream::OnHead;
}

h2o_http1client_body_cb Upstream::OnHead(h2o_http1client_t* client,
                                         const char* fault,
                                         int minor,
                                         int status,
                                         h2o_iovec_t /*message*/,
                                         h2o_header_t* headers,
                                         size_t header_count,
                                         int /*length*/) {
  auto* self = static_cast<Upstream*>(client->data);
  self->m_pools.HeadEnded(*self);
  const bool ended = fault == h2o_http1client_error_is_eos;
  if (fault != nullptr && !ended) {
    self->End(fault);
    return nullptr;
  }
  UpstreamHead head;
  head.m_status = status;
  for (size_t i = 0; i < header_count; ++i) {
    head.m_headers.push_back({std::string(headers[i].name->base, headers[i].name->len),
                              std::string(headers[i].value.base, headers[i].value.len)});
  }
  if (const HeadFault invalid = CheckHead(minor, head); invalid != HeadFault::kNone) {
    const std::string why = "invalid head: " + std::string(HeadFaultName(invalid));
    self->End(why.c_str());
    return nullptr;
  }
  if (!IsFramed(status, head.m_headers, self->m_head_only)) {
    self->End("the answer's length is not framed");
    return nullptr;
  }
  self->m_chunked = !HeaderValue(head.m_headers, "transfer-encoding").empty();
  if (!self->m_events_suppressed)
    self->m_events.m_on_head(head);
  if (ended) {
    self->End(nullptr);
    return nullptr;
  }
  return &Upstream::OnBody;
}

int Upstream::OnInterim(h2o_http1client_t* client,
                        int /*minor*/,
                        int /*status*/,
                        h2o_iovec_t /*message*/,
                        h2o_header_t* /*headers*/,
                        size_t /*header_count*/) {
  auto* self = static_cast<Upstream*>(client->data);
  if (++self->m_interim_responses <= kMaxUnwantedResponses)
    return 0;
  self->End("too many interim responses");
  return 1;  // The library closes the connection.
}

/// Counts what the last read brought. Returns true if too much of it was framing.
bool Upstream::HasUnwantedBytes(const h2o_socket_t& socket) {
  if (!m_chunked)
    return false;
  const std::size_t data = socket.input->size;
  m_data_bytes += data;
  m_framing_bytes += socket.bytes_read - std::min(socket.bytes_read, data);
  return m_framing_bytes > kMaxUnwantedBytes + kMaxFramingPerByte * m_data_bytes;
}

int Upstream::OnBody(h2o_http1client_t* client, const char* fault) {
  auto* self = static_cast<Upstream*>(client->data);
  const bool ended = fault == h2o_http1client_error_is_eos;
  if (fault != nullptr && !ended) {
    self->End(fault);
    return -1;
  }
  // h2o's client reports a close between two chunks as the end of the body, although only the last
  // chunk ends it. A read with the last chunk brings bytes, a read that finds a close brings none.
  const bool closed_early = ended && self->m_chunked && client->sock->bytes_read == 0;
  if (closed_early) {
    self->End("closed before the last chunk");
    return 0;
  }
  if (self->HasUnwantedBytes(*client->sock)) {
    self->End("framing without end");
    return -1;
  }
  h2o_buffer_t*& input = client->sock->input;
  if (input->size > 0 && !self->m_events_suppressed) {
    self->m_events.m_on_data(std::string_view(input->bytes, input->size));
    h2o_buffer_consume(&input, input->size);
  }
  if (ended)
    self->End(nullptr);
  return 0;
}

void Upstream::Pause() {
  if (m_client == nullptr || m_client->sock == nullptr || m_paused_read != nullptr)
    return;
  m_paused_read = m_client->sock->_cb.read;
  if (m_paused_read != nullptr)
    h2o_socket_read_stop(m_client->sock);
}

void Upstream::Resume() {
  if (m_client == nullptr || m_paused_read == nullptr)
    return;
  h2o_socket_read_start(m_client->sock, m_paused_read);
  m_paused_read = nullptr;
}

}  // namespace poppyway
