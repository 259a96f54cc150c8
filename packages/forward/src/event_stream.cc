// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <charconv>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::int64_t> IdOf(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kIdField))
      continue;
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' '))
      line.remove_prefix(1);
    std::int64_t id = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc())
      return id;
  }
  return std::nullopt;
}

}  // namespace

std::string ExtractEvents(EventStreamParser& stream, std::string_view bytes) {
  std::string complete;
  if (stream.m_out_of_order)
    return complete;
  stream.m_partial += bytes;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = stream.m_partial.find(kEventEnd, begin);
    if (end == std::string::npos)
      break;
    const std::size_t after = end + kEventEnd.size();
    const std::string_view event = std::string_view(stream.m_partial).substr(begin, after - begin);
    const std::optional<std::int64_t> id = IdOf(event);
    if (id && stream.m_last_id && *id != *stream.m_last_id + 1) {
      stream.m_out_of_order = true;
      break;
    }
    if (id)
      stream.m_last_id = id;
    ++stream.m_events;
    complete += event;
    begin = after;
  }
  stream.m_partial.erase(0, begin);
  return complete;
}

}  // namespace poppyway
