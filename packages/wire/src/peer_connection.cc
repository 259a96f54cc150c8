// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

namespace poppyway {

SendQueueStats CombineQueueStats(const SendQueueStats& a, const SendQueueStats& b) noexcept {
  SendQueueStats both{a.m_bytes + b.m_bytes, a.m_nonempty_since};
  if (a.m_nonempty_since == Instant{} ||
      (b.m_nonempty_since != Instant{} && b.m_nonempty_since < a.m_nonempty_since))
    both.m_nonempty_since = b.m_nonempty_since;
  return both;
}

PeerConnection::PeerConnection(h2o_socket_t* socket, OnMessage on_message, OnClosed on_closed)
    : m_socket(socket), m_on_message(std::move(on_message)), m_on_closed(std::move(on_closed)) {
  m_socket->data = this;
}

PeerConnection::~PeerConnection() {
  Close();
}

void PeerConnection::Start() {
  h2o_socket_read_start(m_socket, &PeerConnection::OnReadable);
}

void PeerConnection::Send(const wire::Envelope& envelope) {
  if (!open())
    return;
  if (m_queued_since == Instant{})
    m_queued_since = ReadClock();
  m_pending += EncodeFrame(envelope);
  Flush();
}

SendQueueStats PeerConnection::queue_stats() const noexcept {
  return {m_writing.size() + m_pending.size(), m_queued_since};
}

void PeerConnection::Close() {
  if (m_socket == nullptr)
    return;
  h2o_socket_t* socket = m_socket;
  m_socket = nullptr;
  h2o_socket_close(socket);
}

void PeerConnection::CloseWithError(const Error& why) {
  if (!open())
    return;
  const auto keep = shared_from_this();
  Close();
  m_on_closed(*this, why);
}

void PeerConnection::Flush() {
  if (!m_writing.empty() || m_pending.empty())
    return;
  m_writing.swap(m_pending);
  m_bytes_sent += m_writing.size();
  h2o_iovec_t buffer = h2o_iovec_init(m_writing.data(), m_writing.size());
  h2o_socket_write(m_socket, &buffer, 1, &PeerConnection::OnWritten);
}

void PeerConnection::OnWritten(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<PeerConnection*>(socket->data);
  self->m_writing.clear();
  if (fault != nullptr) {
    self->CloseWithError({ResultCode::kPeerUnreachable, fault});
    return;
  }
  if (self->m_pending.empty())
    self->m_queued_since = {};
  self->Flush();
}

void PeerConnection::OnReadable(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<PeerConnection*>(socket->data);
  if (fault != nullptr) {
    self->CloseWithError({ResultCode::kPeerUnreachable, fault});
    return;
  }
  self->m_last_receive_time = ReadClock();
  const auto keep = self->shared_from_this();
  while (self->open()) {
    const std::string_view bytes(socket->input->bytes, socket->input->size);
    Result<std::optional<FrameView>> frame = NextFrame(bytes);
    if (!frame) {
      self->CloseWithError(frame.error());
      return;
    }
    if (!frame->has_value())
      return;
    Result<wire::Envelope> envelope = Deserialize<wire::Envelope>((*frame)->m_payload);
    if (!envelope) {
      self->CloseWithError(envelope.error());
      return;
    }
    h2o_buffer_consume(&socket->input, (*frame)->m_consumed);
    self->m_on_message(*self, std::move(*envelope));
  }
}

}  // namespace poppyway
