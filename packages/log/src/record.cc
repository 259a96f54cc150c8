// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "record.h"

#include <algorithm>
#include <cstring>

namespace poppyway::impl {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kHashBytes = 8;
constexpr std::size_t kHeaderBytes = kLengthBytes + kTypeBytes + kHashBytes;
constexpr char kEndMark = '\xA5';  // It differs from zero, which a torn end may hold.
constexpr std::size_t kTrailerBytes = kHashBytes + 1;

void AppendHash(std::string& out, std::string_view bytes) {
  const std::uint64_t hash = Hash(bytes);
  out.append(reinterpret_cast<const char*>(&hash), kHashBytes);
}

bool HashMatches(std::string_view stored, std::string_view bytes) {
  const std::uint64_t hash = Hash(bytes);
  return std::memcmp(stored.data(), &hash, kHashBytes) == 0;
}

bool AllZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == '\0'; });
}

tl::unexpected<Error> Damaged(std::size_t offset, const char* what) {
  return Fail(ResultCode::kDataDamaged, "record at offset " + std::to_string(offset) + ": " + what);
}

}  // namespace

void AppendRecord(std::string& out, RecordType type, std::string_view payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  std::string header(reinterpret_cast<const char*>(&length), kLengthBytes);
  header += static_cast<char>(type);
  out += header;
  AppendHash(out, header);
  out += payload;
  AppendHash(out, payload);
  out += kEndMark;
}

Result<std::optional<Record>> ReadRecord(std::string_view bytes, std::size_t offset) {
  const std::string_view rest = bytes.substr(offset);
  if (rest.size() < kHeaderBytes || AllZero(rest))
    return std::nullopt;
  const std::string_view header = rest.substr(0, kLengthBytes + kTypeBytes);
  if (!HashMatches(rest.substr(header.size(), kHashBytes), header)) {
    const bool torn_header = AllZero(rest.substr(kHeaderBytes - 1));
    if (torn_header)
      return std::nullopt;
    return Damaged(offset, "header checksum mismatch");
  }
  std::uint32_t length = 0;
  std::memcpy(&length, header.data(), kLengthBytes);
  const std::size_t total = kHeaderBytes + length + kTrailerBytes;
  if (rest.size() < total)
    return std::nullopt;
  const std::string_view payload = rest.substr(kHeaderBytes, length);
  const bool marked = rest[total - 1] == kEndMark;
  if (!HashMatches(rest.substr(kHeaderBytes + length, kHashBytes), payload)) {
    const bool torn = rest[total - 1] == '\0' && AllZero(rest.substr(total));
    if (torn)
      return std::nullopt;
    return Damaged(offset, "payload checksum mismatch");
  }
  if (!marked) {
    if (rest.size() == total)
      return std::nullopt;
    return Damaged(offset, "the end mark is missing");
  }
  return Record{static_cast<RecordType>(header[kLengthBytes]), payload, offset + total};
}

}  // namespace poppyway::impl
