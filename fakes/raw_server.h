// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <functional>
#include <thread>

namespace poppyway::test {

/// \brief A backend server on loopback, the one connection of which a function serves on a thread
/// of its own. Its receive buffer is small, so that a long request is still being written while the
/// function responds.
class RawServer {
 public:
  explicit RawServer(std::function<void(int fd)> serve);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

 private:
  void Accept();

  std::function<void(int fd)> m_serve;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

}  // namespace poppyway::test
