// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poppyway {

/// \brief Splits an event stream into whole events, so that a break never passes half of one on.
struct EventStreamParser {
  std::string m_partial;                  ///< Bytes after the last whole event.
  std::optional<std::int64_t> m_last_id;  ///< Id of the last whole event.
  std::int64_t m_events = 0;              ///< Whole events so far.
  bool m_out_of_order = false;            ///< An id was not one above the one before.
};

/// \brief Takes bytes and returns those of all events that are now whole.
///
/// An event ends with an empty line. Its id is the value of its `id` line. Once ids don't rise one
/// by one, `m_out_of_order` is set and nothing more is returned.
[[nodiscard]] std::string ExtractEvents(EventStreamParser& stream, std::string_view bytes);

}  // namespace poppyway
