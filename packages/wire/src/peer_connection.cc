// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

namespace poppyway {

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
  m_pending += EncodeFrame(envelope);
  Flush();
}

void PeerConnection::Close() {
  if (m_socket == nullptr)
    return;
  h2o_socket_t* socket = m_socket;
  m_socket = nullptr;
  h2o_socket_close(socket);
}

void PeerConnection::Drop(const Error& why) {
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
  h2o_iovec_t part = h2o_iovec_init(m_writing.data(), m_writing.size());
  h2o_socket_write(m_socket, &part, 1, &PeerConnection::OnWritten);
}

void PeerConnection::OnWritten(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<PeerConnection*>(socket->data);
  self->m_writing.clear();
  if (fault != nullptr) {
    self->Drop({ResultCode::kPeerUnreachable, fault});
    return;
  }
  self->Flush();
}

void PeerConnection::OnReadable(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<PeerConnection*>(socket->data);
  if (fault != nullptr) {
    self->Drop({ResultCode::kPeerUnreachable, fault});
    return;
  }
  const auto keep = self->shared_from_this();
  while (self->open()) {
    const std::string_view bytes(socket->input->bytes, socket->input->size);
    Result<std::optional<FrameView>> frame = NextFrame(bytes);
    if (!frame) {
      self->Drop(frame.error());
      return;
    }
    if (!frame->has_value())
      return;
    Result<wire::Envelope> envelope = Deserialize<wire::Envelope>((*frame)->m_payload);
    if (!envelope) {
      self->Drop(envelope.error());
      return;
    }
    h2o_buffer_consume(&socket->input, (*frame)->m_consumed);
    self->m_on_message(*self, std::move(*envelope));
  }
}

}  // namespace poppyway
