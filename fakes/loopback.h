// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

namespace poppyway::test {

/// \brief A listening socket on a free port of loopback.
struct LoopbackListener {
  int m_fd = -1;
  std::uint16_t m_port = 0;
};

/// \brief Opens a listener. The caller closes it.
/// \param receive_buffer size of the receive buffers of its connections in bytes; zero: as usual.
[[nodiscard]] LoopbackListener ListenOnLoopback(int backlog, int receive_buffer = 0);

}  // namespace poppyway::test
