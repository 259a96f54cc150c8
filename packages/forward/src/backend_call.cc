// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <sys/socket.h>

#include <algorithm>
#include <limits>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

// With bytes unacknowledged for this long, the server's machine is unreachable.
constexpr Duration kServerAckTimeout{1'500'000};
// Used if a server doesn't state its idle timeout.
constexpr Duration kDefaultIdleLimit{3'000'000};
constexpr Duration kIdleMargin{400'000};  // Keeps a request from crossing the server's own close.
// Lower status codes are interim responses, which are skipped.
constexpr unsigned kFirstFinalStatus = 200;
// Responses with these codes have no body, whatever length they state.
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

/// Makes the next close of a connection discard what the peer hasn't acknowledged. Otherwise the
/// kernel goes on delivering a request that was given up, also long after.
void DiscardOnClose(h2o_socket_t* socket) {
  const linger at_once{1, 0};
  setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

}  // namespace

std::string_view CallFaultName(CallFault fault) noexcept {
  switch (fault) {
    case CallFault::kNotConnected:
      return "not_connected";
    case CallFault::kWithdrawn:
      return "withdrawn";
    case CallFault::kClosedEarly:
      return "closed_early";
    case CallFault::kReset:
      return "reset";
    case CallFault::kNotHttp:
      return "not_http";
  }
  return "unknown";
}

std::string_view ConnectOutcomeName(ConnectOutcome outcome) noexcept {
  switch (outcome) {
    case ConnectOutcome::kNone:
      return "none";
    case ConnectOutcome::kConnected:
      return "connected";
    case ConnectOutcome::kRefused:
      return "refused";
    case ConnectOutcome::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

BackendCall::BackendCall(BackendPool& pool,
                         const Endpoint& endpoint,
                         std::string request,
                         bool head_only,
                         bool careful,
                         CallEvents events)
    : m_pool(pool),
      m_endpoint(endpoint),
      m_request(std::move(request)),
      m_head_only(head_only),
      m_events(std::move(events)),
      m_keep_alive(kDefaultIdleLimit) {
  http_parser_init(&m_parser, HTTP_RESPONSE);
  m_parser.data = this;
  m_timer.m_base.cb = &BackendCall::OnTimer;
  m_timer.m_owner = this;
  m_socket = pool.TakeIdle(endpoint, careful);
  if (m_socket == nullptr) {
    Connect();
    return;
  }
  m_reused = true;
  m_socket->data = this;
  if (m_events.m_may_send())
    Send();
  else
    FailLater(CallFault::kWithdrawn, pool.m_at_once);
}

BackendCall::~BackendCall() {
  CloseSocket();
}

void BackendCall::CloseSocket() {
  if (h2o_timeout_is_linked(&m_timer.m_base))
    h2o_timeout_unlink(&m_timer.m_base);
  if (m_socket == nullptr)
    return;
  h2o_socket_t* socket = m_socket;
  m_socket = nullptr;
  const bool unanswered = m_sending && !m_head_done;
  if (unanswered)
    DiscardOnClose(socket);
  h2o_socket_close(socket);
}

void BackendCall::Cancel() {
  m_detached = true;
  m_cancelled = true;
  if (!m_parsing)
    CloseSocket();
}

void BackendCall::Connect() {
  m_connect_begun = ReadClock();
  m_socket = m_pool.OpenConnection(m_endpoint, &BackendCall::OnConnected);
  if (m_socket != nullptr)
    m_socket->data = this;
  FailLater(CallFault::kNotConnected,
            m_socket == nullptr ? m_pool.m_at_once : m_pool.m_connect_limit);
}

void BackendCall::FailLater(CallFault fault, h2o_timeout_t& when) {
  m_timer_fault = fault;
  h2o_timeout_link(m_pool.m_loop.loop(), &when, &m_timer.m_base);
}

void BackendCall::OnTimer(h2o_timeout_entry_t* entry) {
  BackendCall* self = reinterpret_cast<Timer*>(entry)->m_owner;
  if (self->m_timer_fault == CallFault::kNotConnected)
    self->m_connect_outcome =
        self->m_socket == nullptr ? ConnectOutcome::kRefused : ConnectOutcome::kTimedOut;
  self->Fail(self->m_timer_fault);
}

void BackendCall::OnConnected(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<BackendCall*>(socket->data);
  h2o_timeout_unlink(&self->m_timer.m_base);
  self->m_connect_outcome =
      fault == nullptr ? ConnectOutcome::kConnected : ConnectOutcome::kRefused;
  if (fault != nullptr) {
    self->Fail(CallFault::kNotConnected);
    return;
  }
  self->m_connect_time = ReadClock() - self->m_connect_begun;
  SetDeadPeerTimeout(h2o_socket_get_fd(socket), kServerAckTimeout);
  if (!self->m_detached && self->m_events.m_may_send())
    self->Send();
  else
    self->Fail(CallFault::kWithdrawn);
}

void BackendCall::Send() {
  m_sending = true;
  h2o_iovec_t bytes = h2o_iovec_init(m_request.data(), m_request.size());
  h2o_socket_write(m_socket, &bytes, 1, &BackendCall::OnWritten);
  h2o_socket_read_start(m_socket, &BackendCall::OnReadable);
}

void BackendCall::OnWritten(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<BackendCall*>(socket->data);
  self->m_written = fault == nullptr;
  // After a failed write the server may still have responded, which reading shows.
  self->m_write_failed = fault != nullptr;
  if (self->m_peer_closed)
    self->EndByClose();
}

void BackendCall::OnReadable(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<BackendCall*>(socket->data);
  self->Parse();
  const bool over = self->m_socket == nullptr || self->m_complete;
  if (over) {
    if (self->m_complete && self->m_socket != nullptr)
      self->Finish();
    return;
  }
  if (fault != nullptr)
    self->OnPeerClosed(fault);
}

const http_parser_settings& BackendCall::Settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = &BackendCall::OnStatusBegin;
    settings.on_header_field = &BackendCall::OnFieldName;
    settings.on_header_value = &BackendCall::OnFieldValue;
    settings.on_headers_complete = &BackendCall::OnHeadComplete;
    settings.on_body = &BackendCall::OnBody;
    settings.on_message_complete = &BackendCall::OnMessageComplete;
    return settings;
  }();
  return kSettings;
}

void BackendCall::Parse() {
  while (m_socket != nullptr && !m_complete && m_socket->input->size > 0) {
    if (!m_head_checked && !HasAcceptableHead()) {
      if (m_head_search.m_fault != HeadFault::kNone)
        Fail(CallFault::kNotHttp);
      return;
    }
    h2o_buffer_t* input = m_socket->input;
    // The parser gets a head on its own, which was checked before.
    const std::size_t size = m_head_checked ? input->size : m_head_search.m_size;
    if (!m_head_checked)
      m_head_search = {};
    m_head_checked = true;
    m_parsing = true;
    const std::size_t used = http_parser_execute(&m_parser, &Settings(), input->bytes, size);
    m_parsing = false;
    if (m_cancelled) {
      CloseSocket();
      return;
    }
    const http_errno fault = HTTP_PARSER_ERRNO(&m_parser);
    h2o_buffer_consume(&m_socket->input, std::min(used, m_socket->input->size));
    if (fault == HPE_OK)
      continue;
    if (fault == HPE_PAUSED) {
      http_parser_pause(&m_parser, 0);
      continue;  // The parser pauses after each message; the loop ends if the response is complete.
    }
    Fail(CallFault::kNotHttp);
    return;
  }
}

bool BackendCall::HasAcceptableHead() {
  const std::string_view received(m_socket->input->bytes, m_socket->input->size);
  m_head_search = FindHeadEnd(m_head_search, received);
  if (m_head_search.m_size == 0)
    return false;
  m_head_search.m_fault = CheckResponseHead(received.substr(0, m_head_search.m_size));
  return m_head_search.m_fault == HeadFault::kNone;
}

void BackendCall::OnPeerClosed(const char* fault) {
  const bool orderly = fault == h2o_socket_error_closed;
  if (!orderly) {
    Fail(CallFault::kReset);
    return;
  }
  // A write that is under way takes the error of a reset, and the read after it sees a close in
  // order. So a response that the close ends is complete only once the write has ended well.
  m_peer_closed = true;
  const bool in_doubt = m_head_done && m_until_close && !m_written && !m_write_failed;
  if (in_doubt)
    h2o_socket_read_stop(m_socket);
  else
    EndByClose();
}

void BackendCall::EndByClose() {
  if (m_until_close && m_write_failed) {
    Fail(CallFault::kReset);
    return;
  }
  // A close completes a response without a stated length, and no other; the parser decides.
  m_not_reusable = true;
  http_parser_execute(&m_parser, &Settings(), nullptr, 0);
  if (m_complete) {
    Finish();
    return;
  }
  Fail(CallFault::kClosedEarly);
}

int BackendCall::OnStatusBegin(http_parser* parser) {
  auto* self = static_cast<BackendCall*>(parser->data);
  self->m_fields.clear();
  self->m_in_value = true;
  self->m_head_done = false;
  return 0;
}

int BackendCall::OnFieldName(http_parser* parser, const char* at, std::size_t length) {
  auto* self = static_cast<BackendCall*>(parser->data);
  if (self->m_in_value)
    self->m_fields.emplace_back();
  self->m_in_value = false;
  std::string& name = self->m_fields.back().m_name;
  for (std::size_t i = 0; i < length; ++i) {
    const char c = at[i];
    name += c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return 0;
}

int BackendCall::OnFieldValue(http_parser* parser, const char* at, std::size_t length) {
  auto* self = static_cast<BackendCall*>(parser->data);
  self->m_in_value = true;
  self->m_fields.back().m_value.append(at, length);
  return 0;
}

int BackendCall::OnHeadComplete(http_parser* parser) {
  constexpr int kNoBody = 1;
  constexpr int kFault = -1;
  auto* self = static_cast<BackendCall*>(parser->data);
  if (parser->status_code < kFirstFinalStatus)
    return ++self->m_unwanted_responses > kMaxUnwantedResponses ? kFault : kNoBody;
  const bool bodiless =
      self->m_head_only || parser->status_code == kNoContent || parser->status_code == kNotModified;
  self->m_head_done = true;
  self->m_until_close = !bodiless && (parser->flags & F_CHUNKED) == 0 &&
                        parser->content_length == std::numeric_limits<std::uint64_t>::max();
  self->m_skipping = false;
  if (self->m_detached)
    return 0;
  const HeadVerdict verdict =
      self->m_events.m_on_head(static_cast<int>(parser->status_code), std::move(self->m_fields));
  self->m_fields.clear();
  self->m_skipping = verdict == HeadVerdict::kSkip;
  self->m_not_reusable = self->m_not_reusable || self->m_skipping;
  if (self->m_skipping && ++self->m_unwanted_responses > kMaxUnwantedResponses)
    return kFault;
  return bodiless ? kNoBody : 0;
}

int BackendCall::OnBody(http_parser* parser, const char* at, std::size_t length) {
  auto* self = static_cast<BackendCall*>(parser->data);
  if (self->m_skipping) {
    self->m_unwanted_bytes += length;
    return self->m_unwanted_bytes > kMaxUnwantedBytes ? 1 : 0;
  }
  if (!self->m_detached)
    self->m_events.m_on_data(std::string_view(at, length));
  return 0;
}

int BackendCall::OnMessageComplete(http_parser* parser) {
  auto* self = static_cast<BackendCall*>(parser->data);
  const bool interim = parser->status_code < kFirstFinalStatus;
  if (!interim && !self->m_skipping)
    self->m_complete = true;
  self->m_head_checked = false;
  http_parser_pause(parser, 1);
  return 0;
}

void BackendCall::Finish() {
  h2o_socket_t* socket = m_socket;
  m_socket = nullptr;
  h2o_socket_read_stop(socket);
  const bool keep = m_written && !m_not_reusable && !m_detached &&
                    http_should_keep_alive(&m_parser) != 0 && socket->input->size == 0;
  if (keep)
    m_pool.KeepIdle(m_endpoint, socket, m_keep_alive - kIdleMargin);
  else
    h2o_socket_close(socket);
  if (m_detached)
    return;
  m_detached = true;
  const auto on_whole = std::move(m_events.m_on_complete);
  on_whole();
}

void BackendCall::Fail(CallFault fault) {
  CloseSocket();
  if (m_detached)
    return;
  m_detached = true;
  const auto on_fault = std::move(m_events.m_on_fault);
  on_fault(fault);
}

void BackendCall::Pause() {
  if (m_socket == nullptr || m_paused)
    return;
  m_paused = true;
  h2o_socket_read_stop(m_socket);
}

void BackendCall::Resume() {
  if (m_socket == nullptr || !m_paused)
    return;
  m_paused = false;
  h2o_socket_read_start(m_socket, &BackendCall::OnReadable);
}

}  // namespace poppyway
