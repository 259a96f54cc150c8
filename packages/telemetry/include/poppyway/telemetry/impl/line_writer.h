// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Bounds of a `LineWriter`.
struct LineLimits {
  /// Lines a second, on average. About three lines a request at 60 requests a second, the most that
  /// one of today's instances sees in a burst.
  double m_lines_per_s = 200;
  double m_burst = 1000;                   ///< Lines that may come at once.
  std::size_t m_most_pending = 64 * 1024;  ///< Bytes kept for a reader that has stalled.
};

/// \brief Writes lines to a descriptor without ever waiting for its reader. What doesn't fit is
/// left out and counted; the next line that fits is preceded by one that says how many. One thread
/// at a time.
class LineWriter {
 public:
  /// Makes `fd` non-blocking. Doesn't own it.
  explicit LineWriter(int fd, const LineLimits& limits = {});

  void Write(std::string_view line, Instant now);
  /// Lines left out so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

 private:
  [[nodiscard]] bool Allow(Instant now);
  void Flush();

  int m_fd;
  LineLimits m_limits;
  double m_allowance;
  Instant m_filled{};
  std::string m_pending;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;  ///< Of the dropped, those that a line has told of.
};

}  // namespace poppyway
