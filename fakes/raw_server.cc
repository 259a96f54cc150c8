// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "raw_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include "loopback.h"

namespace poppyway::test {
namespace {

constexpr int kSmallBuffer = 4096;

}  // namespace

RawServer::RawServer(std::function<void(int fd)> serve) : m_serve(std::move(serve)) {
  const LoopbackListener listener = ListenOnLoopback(1, kSmallBuffer);
  m_listener = listener.m_fd;
  m_port = listener.m_port;
  m_thread = std::thread([this] { Accept(); });
}

RawServer::~RawServer() {
  shutdown(m_listener, SHUT_RDWR);
  m_thread.join();
  close(m_listener);
}

void RawServer::Accept() {
  const int fd = accept(m_listener, nullptr, nullptr);
  if (fd < 0)
    return;
  m_serve(fd);
  close(fd);
}

}  // namespace poppyway::test
