// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/http.h"

#include <sys/socket.h>

#include <memory>

namespace poppyway {
namespace {

// Connections accepted per event. The opening of a session brings hundreds of connections.
constexpr int kAcceptsAtOnce = 64;
// A connection whose bytes are unacknowledged for this long is closed: the caller's machine is
// gone.
constexpr Duration kUnacknowledgedLimit{10'000'000};
// A buffer of this size may stay with an idle connection.
constexpr std::size_t kMaxIdleBuffer = 64 * 1024;
// In bytes; one read brings no more of a request.
constexpr int kReceiveBuffer = 128 * 1024;

}  // namespace

HttpServer::HttpServer(EventLoop& loop, const HttpLimits& limits, Handler handler)
    : m_loop(loop), m_handler(std::move(handler)) {
  h2o_config_init(&m_global);
  m_global.max_request_entity_size = limits.m_max_body;
  m_global.http1.req_timeout = limits.m_idle_millis;
  m_global.http1.upgrade_to_http2 = 0;
  m_global.server_name = h2o_iovec_init(H2O_STRLIT("poppyway"));
  h2o_hostconf_t* host =
      h2o_config_register_host(&m_global, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* entry = reinterpret_cast<HandlerEntry*>(h2o_create_handler(path, sizeof(HandlerEntry)));
  entry->m_base.on_req = &HttpServer::OnRequest;
  entry->m_owner = this;
  h2o_context_init(&m_context, loop.loop(), &m_global);
  m_accept.ctx = &m_context;
  m_accept.hosts = m_global.hosts;
}

HttpServer::~HttpServer() {
  StopListening();
  for (auto& [number, connection] : m_connections)
    connection->m_server = nullptr;
}

Result<void> HttpServer::Listen(const std::string& address, std::uint16_t port) {
  Result<int> fd = OpenListener(address, port);
  if (!fd)
    return tl::unexpected<Error>(fd.error());
  // Accepted connections take it over.
  setsockopt(*fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
  m_listener = h2o_evloop_socket_create(m_loop.loop(), *fd, H2O_SOCKET_FLAG_DONT_READ);
  m_listener->data = this;
  h2o_socket_read_start(m_listener, &HttpServer::OnAccept);
  return {};
}

void HttpServer::StopListening() {
  if (m_listener == nullptr)
    return;
  h2o_socket_close(m_listener);
  m_listener = nullptr;
}

void HttpServer::OnAccept(h2o_socket_t* listener, const char* fault) {
  auto* self = static_cast<HttpServer*>(listener->data);
  if (fault != nullptr)
    return;
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (socket == nullptr)
      return;
    SetDeadPeerTimeout(h2o_socket_get_fd(socket), kUnacknowledgedLimit);
    const ConnectionNumber number = self->m_next_connection++;
    auto* connection = new Connection{self, number, socket};  // Deleted by `OnClose`.
    self->m_connections.emplace(number, connection);
    socket->on_close.cb = &HttpServer::OnClose;
    socket->on_close.data = connection;
    h2o_accept(&self->m_accept, socket);
    if (self->m_on_long)
      WatchReads(*connection);
  }
}

void HttpServer::WatchReads(Connection& connection) {
  h2o_socket_cb& read = connection.m_socket->_cb.read;
  if (read == nullptr || read == &HttpServer::OnRead)
    return;
  connection.m_library_read = read;
  read = &HttpServer::OnRead;
}

void HttpServer::OnRead(h2o_socket_t* socket, const char* fault) {
  const auto* connection = static_cast<const Connection*>(socket->on_close.data);
  HttpServer* server = connection->m_server;
  const bool is_long = server != nullptr && socket->input->size >= server->m_min_long;
  connection->m_library_read(socket, fault);  // It may close the connection.
  if (is_long)
    server->m_on_long();
}

void HttpServer::OnClose(void* data) {
  const std::unique_ptr<Connection> connection(static_cast<Connection*>(data));
  if (connection->m_server != nullptr)
    connection->m_server->m_connections.erase(connection->m_number);
}

void HttpServer::WatchLongRequests(std::size_t min_bytes, std::function<void()> on_long) {
  m_min_long = min_bytes;
  m_on_long = std::move(on_long);
}

std::vector<ArrivingRequest> HttpServer::LongRequests() const {
  std::vector<ArrivingRequest> arriving;
  for (const auto& [number, connection] : m_connections) {
    const h2o_socket_t& socket = *connection->m_socket;
    // The library doesn't read while a complete request is handled.
    const bool incomplete = socket._cb.read != nullptr || connection->m_paused;
    if (incomplete && socket.input->size >= m_min_long)
      arriving.push_back({number, std::string_view(socket.input->bytes, socket.input->size)});
  }
  return arriving;
}

bool HttpServer::Pause(ConnectionNumber number) {
  Connection& connection = *m_connections.at(number);
  if (connection.m_paused)
    return false;
  WatchReads(connection);  // `Resume` continues with what it has recorded.
  connection.m_paused = true;
  h2o_socket_read_stop(connection.m_socket);
  return true;
}

void HttpServer::Resume(ConnectionNumber number) {
  const auto found = m_connections.find(number);
  if (found == m_connections.end() || !found->second->m_paused)
    return;
  found->second->m_paused = false;
  h2o_socket_read_start(found->second->m_socket, &HttpServer::OnRead);
}

void HttpServer::Refresh() {
  for (auto& [number, connection] : m_connections) {
    WatchReads(*connection);
    h2o_buffer_t*& input = connection->m_socket->input;
    if (input->size > 0 || input->capacity <= kMaxIdleBuffer)
      continue;
    h2o_buffer_dispose(&input);
    h2o_buffer_init(&input, &h2o_socket_buffer_prototype);
  }
}

int HttpServer::OnRequest(h2o_handler_t* handler, h2o_req_t* req) {
  reinterpret_cast<HandlerEntry*>(handler)->m_owner->m_handler(req);
  return 0;
}

void ReadFields(
    const h2o_req_t* req,
    const std::function<void(std::string_view name, std::string_view value)>& on_field) {
  // h2o keeps Host apart from the other header fields.
  on_field("host", std::string_view(req->authority.base, req->authority.len));
  for (std::size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& field = req->headers.entries[i];
    on_field(std::string_view(field.name->base, field.name->len),
             std::string_view(field.value.base, field.value.len));
  }
}

void AddField(h2o_req_t* req, std::string_view name, std::string_view value) {
  const h2o_iovec_t name_copy = h2o_strdup(&req->pool, name.data(), name.size());
  const h2o_iovec_t value_copy = h2o_strdup(&req->pool, value.data(), value.size());
  h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base, name_copy.len, 1, nullptr,
                        value_copy.base, value_copy.len);
}

const char* ReasonPhrase(int status) noexcept {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Other";
  }
}

void SendResponse(h2o_req_t* req, int status, std::string_view type, std::string_view body) {
  req->res.status = status;
  req->res.reason = ReasonPhrase(status);
  req->res.content_length = body.size();
  AddField(req, "content-type", type);
  const h2o_iovec_t copy = h2o_strdup(&req->pool, body.data(), body.size());
  h2o_send_inline(req, copy.base, copy.len);
}

}  // namespace poppyway
