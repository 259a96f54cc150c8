// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

#include <arpa/inet.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace poppyway {
namespace {

constexpr std::size_t kReadBytes = 65536;

/// Owns a file descriptor and closes it at the end of its scope.
struct Descriptor {
  int m_fd;
  explicit Descriptor(int fd) : m_fd(fd) {}
  ~Descriptor() { close(m_fd); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
};

bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

Result<wire::Body> AwaitReply(int fd) {
  std::string buffer;
  std::array<char, kReadBytes> chunk;
  while (true) {
    Result<std::optional<FrameView>> frame = NextFrame(buffer);
    if (!frame)
      return tl::unexpected<Error>(frame.error());
    if (frame->has_value()) {
      Result<wire::Envelope> envelope = Deserialize<wire::Envelope>((*frame)->m_payload);
      if (!envelope)
        return tl::unexpected<Error>(envelope.error());
      return std::move(envelope->body);
    }
    const ssize_t received = recv(fd, chunk.data(), chunk.size(), 0);
    if (received <= 0)
      return Fail(ResultCode::kPeerUnreachable, "no reply: the connection was closed or timed out");
    buffer.append(chunk.data(), static_cast<std::size_t>(received));
  }
}

}  // namespace

Result<wire::Body> CallOnce(const std::string& address,
                            std::uint16_t port,
                            wire::Body body,
                            Duration timeout) {
  const Descriptor connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval limit{};
  limit.tv_sec = timeout.count() / 1'000'000;
  limit.tv_usec = timeout.count() % 1'000'000;
  setsockopt(connection.m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(connection.m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
  const std::string target = address + ":" + std::to_string(port);
  if (connect(connection.m_fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) != 0)
    return Fail(ResultCode::kPeerUnreachable, target + ": " + std::strerror(errno));
  wire::Envelope envelope;
  envelope.id = 1;
  envelope.reply = false;
  envelope.body = std::move(body);
  if (!WriteAll(connection.m_fd, EncodeFrame(envelope)))
    return Fail(ResultCode::kPeerUnreachable, target + ": " + std::strerror(errno));
  Result<wire::Body> reply = AwaitReply(connection.m_fd);
  if (reply && reply->__isset.error)
    return Fail(static_cast<ResultCode>(reply->error.code), reply->error.message);
  return reply;
}

}  // namespace poppyway
