// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "poppyway/telemetry.h"

namespace poppyway {

LineWriter::LineWriter(int fd, const LineLimits& limits)
    : m_fd(fd), m_limits(limits), m_tokens(limits.m_burst) {
  const int flags = fcntl(fd, F_GETFL);
  if (flags >= 0)
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

bool LineWriter::Allow(Instant now) {
  if (m_last_refill != Instant{})
    m_tokens += Seconds(now - m_last_refill) * m_limits.m_lines_per_s;
  m_last_refill = now;
  m_tokens = std::min(m_tokens, m_limits.m_burst);
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

void LineWriter::Write(std::string_view line, Instant now) {
  Flush();
  const bool fits = m_pending.size() + line.size() < m_limits.m_most_pending;
  if (!fits || !Allow(now)) {
    ++m_dropped;
    return;
  }
  if (m_dropped > m_reported) {
    m_pending += "event=log_lines_left_out count=" + std::to_string(m_dropped - m_reported) + "\n";
    m_reported = m_dropped;
  }
  m_pending += line;
  m_pending += '\n';
  Flush();
}

void LineWriter::Flush() {
  while (!m_pending.empty()) {
    const ssize_t written = write(m_fd, m_pending.data(), m_pending.size());
    if (written <= 0)
      return;  // The reader has stalled or is gone; the next line retries the pending bytes.
    m_pending.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace poppyway
