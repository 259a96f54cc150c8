// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace poppyway::test {

LoopbackListener ListenOnLoopback(int backlog, int receive_buffer) {
  LoopbackListener listener;
  listener.m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    setsockopt(listener.m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  bind(listener.m_fd, reinterpret_cast<sockaddr*>(&address), size);
  listen(listener.m_fd, backlog);
  getsockname(listener.m_fd, reinterpret_cast<sockaddr*>(&address), &size);
  listener.m_port = ntohs(address.sin_port);
  return listener;
}

}  // namespace poppyway::test
