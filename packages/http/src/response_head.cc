// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/http/impl/response_head.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace poppyway {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;
constexpr std::size_t kStatusDigits = 3;
constexpr std::size_t kMaxLengthDigits = 18;  // Fits a signed 64-bit integer.

bool IsDigit(char c) noexcept {
  return c >= '0' && c <= '9';
}

char ToLower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsTokenByte(char c) noexcept {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const char lower = ToLower(c);
  return IsDigit(c) || (lower >= 'a' && lower <= 'z') || kMarks.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) noexcept {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

/// Returns true for visible bytes, those over 127, blanks and tabs.
bool IsTextByte(char c) noexcept {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= ' ' && byte != kDelete);
}

bool IsText(std::string_view text) noexcept {
  return std::all_of(text.begin(), text.end(), IsTextByte);
}

bool EqualsIgnoringCase(std::string_view text, std::string_view lower) noexcept {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                    [](char a, char b) { return ToLower(a) == b; });
}

std::string_view TrimBlanks(std::string_view text) noexcept {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool IsLength(std::string_view text) noexcept {
  return !text.empty() && text.size() <= kMaxLengthDigits &&
         std::all_of(text.begin(), text.end(), IsDigit);
}

/// At most one field states the length of the body: a single length, or the chunked coding alone,
/// which HTTP/1.0 doesn't know.
HeadFault CheckFraming(int minor, std::span<const HeadField> fields) noexcept {
  int framings = 0;
  for (const HeadField& field : fields) {
    const bool length = EqualsIgnoringCase(field.m_name, "content-length");
    const bool coding = EqualsIgnoringCase(field.m_name, "transfer-encoding");
    if (!length && !coding)
      continue;
    const bool understood = length ? IsLength(field.m_value)
                                   : minor > 0 && EqualsIgnoringCase(field.m_value, "chunked");
    if (!understood || ++framings > 1)
      return HeadFault::kFraming;
  }
  return HeadFault::kNone;
}

struct StatusLine {
  int m_minor = 0;
  int m_status = 0;
};

/// Decodes a line without its end: "HTTP/1." DIGIT SP 3DIGIT, then nothing or SP and a reason.
HeadFault DecodeStatusLine(std::string_view line, StatusLine& decoded) noexcept {
  constexpr std::size_t kStatusAt = kVersionPrefix.size() + 2;
  if (!line.starts_with(kVersionPrefix) || line.size() < kStatusAt ||
      !IsDigit(line[kVersionPrefix.size()]) || line[kStatusAt - 1] != ' ')
    return HeadFault::kVersion;
  decoded.m_minor = line[kVersionPrefix.size()] - '0';
  const std::string_view status = line.substr(kStatusAt, kStatusDigits);
  if (status.size() < kStatusDigits || !std::all_of(status.begin(), status.end(), IsDigit))
    return HeadFault::kStatus;
  for (const char digit : status)
    decoded.m_status = 10 * decoded.m_status + (digit - '0');
  const std::string_view rest = line.substr(kStatusAt + kStatusDigits);
  if (!rest.empty() && rest.front() != ' ')
    return HeadFault::kStatus;
  return IsText(rest) ? HeadFault::kNone : HeadFault::kFieldValue;
}

/// Takes the next line off `head`, without its end. Returns nullopt if there is no whole line.
std::optional<std::string_view> TakeLine(std::string_view& head) noexcept {
  const std::size_t end = head.find(kLineEnd);
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::string_view line = head.substr(0, end);
  head.remove_prefix(end + kLineEnd.size());
  return line;
}

}  // namespace

std::string_view HeadFaultName(HeadFault fault) noexcept {
  switch (fault) {
    case HeadFault::kNone:
      return "none";
    case HeadFault::kTooLong:
      return "too_long";
    case HeadFault::kLineEnding:
      return "line_ending";
    case HeadFault::kVersion:
      return "version";
    case HeadFault::kStatus:
      return "status";
    case HeadFault::kFieldName:
      return "field_name";
    case HeadFault::kFieldValue:
      return "field_value";
    case HeadFault::kFraming:
      return "framing";
  }
  return "unknown";
}

HeadFault CheckResponse(int minor, int status, std::span<const HeadField> fields) noexcept {
  if (minor != 0 && minor != 1)
    return HeadFault::kVersion;
  if (status < kMinStatus || status > kMaxStatus || status == kSwitchingProtocols)
    return HeadFault::kStatus;
  for (const HeadField& field : fields) {
    if (!IsToken(field.m_name))
      return HeadFault::kFieldName;
    if (!IsText(field.m_value))
      return HeadFault::kFieldValue;
  }
  return CheckFraming(minor, fields);
}

HeadFault CheckResponseHead(std::string_view head) {
  StatusLine status;
  const std::optional<std::string_view> first = TakeLine(head);
  if (!first)
    return HeadFault::kLineEnding;
  if (const HeadFault fault = DecodeStatusLine(*first, status); fault != HeadFault::kNone)
    return fault;
  std::vector<HeadField> fields;
  while (true) {
    const std::optional<std::string_view> line = TakeLine(head);
    if (!line)
      return HeadFault::kLineEnding;
    if (line->empty())
      break;
    const std::size_t colon = line->find(':');
    if (colon == std::string_view::npos)
      return HeadFault::kFieldName;
    fields.push_back({line->substr(0, colon), TrimBlanks(line->substr(colon + 1))});
  }
  if (!head.empty())
    return HeadFault::kLineEnding;  // Bytes after the empty line.
  return CheckResponse(status.m_minor, status.m_status, fields);
}

HeadSearch FindHeadEnd(const HeadSearch& last, std::string_view bytes) noexcept {
  HeadSearch search = last;
  const std::size_t known = std::min(bytes.size(), kVersionPrefix.size());
  if (bytes.substr(0, known) != kVersionPrefix.substr(0, known)) {
    search.m_fault = HeadFault::kVersion;
    return search;
  }
  for (std::size_t i = search.m_seen; i < bytes.size(); ++i) {
    if (i >= kMaxHeadBytes) {
      search.m_fault = HeadFault::kTooLong;
      return search;
    }
    search.m_seen = i + 1;
    if (bytes[i] != '\n')
      continue;
    if (i == 0 || bytes[i - 1] != '\r') {
      search.m_fault = HeadFault::kLineEnding;
      return search;
    }
    const bool empty_line = i >= 3 && bytes.substr(i - 3, 2) == kLineEnd;
    if (!empty_line)
      continue;
    search.m_size = i + 1;
    return search;
  }
  return search;
}

}  // namespace poppyway
