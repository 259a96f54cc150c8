// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Limits of a `LineWriter`.
struct LineLimits {
  /// Average number of lines per second. It allows for about three lines per request at 60 requests
  /// per second, the peak of one instance in a burst.
  double m_lines_per_s = 200;
  double m_burst = 1000;                   ///< Lines that may be written at once.
  std::size_t m_most_pending = 64 * 1024;  ///< Bytes buffered while the reader doesn't read.
};

/// \brief Writes lines to a file descriptor without waiting for its reader. A line that exceeds the
/// limits is dropped and counted; the next line that fits is preceded by a line with the number
/// dropped. Not thread-safe.
class LineWriter {
 public:
  /// Makes `fd` non-blocking. The writer doesn't own or close it.
  explicit LineWriter(int fd, const LineLimits& limits = {});

  /// Writes `line` and a line feed, or drops the line. Errors of the descriptor are ignored.
  void Write(std::string_view line, Instant now);
  /// Returns the number of lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

 private:
  /// Refills the token bucket up to `now` and takes one token; false if there is none.
  [[nodiscard]] bool Allow(Instant now);
  void Flush();

  int m_fd;
  LineLimits m_limits;
  double m_tokens;
  Instant m_last_refill{};
  std::string m_pending;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;  ///< Dropped lines that a written line has counted.
};

}  // namespace poppyway
