// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

#include <algorithm>

#include <arpa/inet.h>

namespace poppyway {
namespace {

// The intervals between checks for timeouts, with and without open calls.
constexpr std::uint64_t kBusyExpiryMillis = 20;
constexpr std::uint64_t kIdleExpiryMillis = 250;
// The most messages that wait for a connection. Further ones are dropped, and their calls fail.
constexpr std::size_t kMaxUnsent = 256;
// Peers are a few milliseconds away, and a lost SYN is retransmitted only after a second.
constexpr Duration kConnectTimeout{400'000};

}  // namespace

PeerClient::PeerClient(EventLoop& loop, std::string address, std::uint16_t port)
    : m_loop(loop),
      m_address(std::move(address)),
      m_port(port),
      m_expiry(loop, kBusyExpiryMillis, kIdleExpiryMillis, [this] { return ExpireCalls(); }) {}

PeerClient::~PeerClient() {
  if (m_connecting != nullptr)
    h2o_socket_close(m_connecting);
  if (m_connection)
    m_connection->Close();
}

std::uint64_t PeerClient::bytes_sent() const noexcept {
  return m_closed_bytes + (m_connection ? m_connection->bytes_sent() : 0);
}

Instant PeerClient::last_receive_time() const noexcept {
  return m_connection ? m_connection->last_receive_time() : Instant{};
}

Instant PeerClient::last_contact_time() const noexcept {
  return std::max({last_receive_time(), m_last_message_time, m_last_connect_time});
}

SendQueueStats PeerClient::queue_stats() const noexcept {
  return m_connection ? m_connection->queue_stats() : SendQueueStats{};
}

void PeerClient::Call(wire::Body body, Duration timeout, OnReply on_reply) {
  wire::Envelope envelope;
  envelope.id = m_next_id++;
  envelope.reply = false;
  envelope.body = std::move(body);
  const std::int64_t id = envelope.id;
  const Instant now = ReadClock();
  m_pending_calls[id] = {std::move(on_reply), now + timeout};
  if (!Post(std::move(envelope)))
    m_pending_calls.at(id).m_expires = now;
}

void PeerClient::Notify(wire::Body body) {
  wire::Envelope envelope;
  envelope.id = 0;
  envelope.reply = false;
  envelope.body = std::move(body);
  (void)Post(std::move(envelope));
}

bool PeerClient::Post(wire::Envelope envelope) {
  if (m_connection && m_connection->open()) {
    m_connection->Send(envelope);
    return true;
  }
  const bool has_room = m_unsent.size() < kMaxUnsent;
  if (has_room)
    m_unsent.push_back(std::move(envelope));
  return Connect() && has_room;
}

bool PeerClient::Connect() {
  if (m_connecting != nullptr)
    return true;
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(m_port);
  inet_pton(AF_INET, m_address.c_str(), &endpoint.sin_addr);
  m_connecting = h2o_socket_connect(m_loop.loop(), reinterpret_cast<sockaddr*>(&endpoint),
                                    sizeof(endpoint), &PeerClient::OnConnected);
  if (m_connecting == nullptr) {
    m_unsent.clear();
    return false;
  }
  m_connecting->data = this;
  m_connect_expires = ReadClock() + kConnectTimeout;
  return true;
}

void PeerClient::OnConnected(h2o_socket_t* socket, const char* fault) {
  auto* self = static_cast<PeerClient*>(socket->data);
  self->m_connecting = nullptr;
  // An attempt without any response is aborted earlier, by `ExpireConnect`.
  self->m_last_connect_time = ReadClock();
  if (fault == nullptr)
    SetDeadPeerTimeout(h2o_socket_get_fd(socket), kDeadPeerTimeout);
  if (fault != nullptr) {
    h2o_socket_close(socket);
    self->m_unsent.clear();
    self->FailAll({ResultCode::kPeerUnreachable, fault});
    return;
  }
  if (self->m_connection)
    self->m_closed_bytes += self->m_connection->bytes_sent();
  self->m_connection = std::make_shared<PeerConnection>(
      socket,
      [self](PeerConnection&, wire::Envelope envelope) {
        self->m_last_message_time = ReadClock();
        const auto found = self->m_pending_calls.find(envelope.id);
        if (found == self->m_pending_calls.end()) {
          if (self->m_on_push)
            self->m_on_push(std::move(envelope.body));
          return;
        }
        OnReply on_reply = std::move(found->second.m_on_reply);
        self->m_pending_calls.erase(found);
        on_reply(std::move(envelope.body));
      },
      [self](PeerConnection&, const Error& why) {
        self->FailAll(why);
        if (self->m_on_lost)
          self->m_on_lost();
      });
  self->m_connection->Start();
  const std::vector<wire::Envelope> unsent = std::move(self->m_unsent);
  self->m_unsent.clear();
  for (const wire::Envelope& envelope : unsent)
    self->m_connection->Send(envelope);
}

void PeerClient::FailAll(const Error& why) {
  std::map<std::int64_t, PendingCall> failed;
  failed.swap(m_pending_calls);
  for (auto& [id, call] : failed)
    call.m_on_reply(tl::unexpected<Error>(why));
}

void PeerClient::ExpireConnect(Instant now) {
  if (m_connecting == nullptr || now < m_connect_expires)
    return;
  h2o_socket_close(m_connecting);
  m_connecting = nullptr;
  m_unsent.clear();
  FailAll({ResultCode::kPeerUnreachable, "no connection in time"});
}

bool PeerClient::ExpireCalls() {
  const Instant now = ReadClock();
  ExpireConnect(now);
  std::vector<OnReply> expired;
  for (auto it = m_pending_calls.begin(); it != m_pending_calls.end();) {
    if (it->second.m_expires > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second.m_on_reply));
    it = m_pending_calls.erase(it);
  }
  for (OnReply& on_reply : expired)
    on_reply(Fail(ResultCode::kPeerUnreachable, "no reply in time"));
  return !m_pending_calls.empty() || m_connecting != nullptr;
}

}  // namespace poppyway
