// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poppyway {

/// \brief Splits an event stream into complete events, so that a broken stream never forwards part
/// of one.
struct EventStreamParser {
  std::string m_partial;                  ///< Bytes after the last complete event.
  std::optional<std::int64_t> m_last_id;  ///< Id of the last complete event.
  std::int64_t m_events = 0;              ///< Number of complete events so far.
  bool m_out_of_order = false;            ///< An id was not the previous id plus one.
};

/// \brief The longest event that is passed on; a longer one counts as invalid bytes of the server.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

/// \brief Appends bytes to the stream and returns the bytes of all events that are now complete.
///
/// An event ends with an empty line. Its id is the value of its `id` line. At the first id that
/// isn't the previous id plus one, `m_out_of_order` is set; no later bytes are returned.
[[nodiscard]] std::string ExtractEvents(EventStreamParser& stream, std::string_view bytes);

}  // namespace poppyway
