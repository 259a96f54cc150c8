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
constexpr std::size_t kHeadBytes = kLengthBytes + kTypeBytes + kHashBytes;
constexpr char kEndMark = '\xA5';
constexpr std::size_t kTailBytes = kHashBytes + 1;

void AppendHash(std::string& out, std::string_view of) {
  const std::uint64_t hash = Hash(of);
  out.append(reinterpret_cast<const char*>(&hash), kHashBytes);
}

bool HashMatches(std::string_view stored, std::string_view of) {
  const std::uint64_t hash = Hash(of);
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
  std::string head(reinterpret_cast<const char*>(&length), kLengthBytes);
  head += static_cast<char>(type);
  out += head;
  AppendHash(out, head);
  out += payload;
  AppendHash(out, payload);
  out += kEndMark;
}

Result<std::optional<Record>> ReadRecord(std::string_view bytes, std::size_t offset) {
  const std::string_view rest = bytes.substr(offset);
  if (rest.size() < kHeadBytes || AllZero(rest))
    return std::nullopt;
  const std::string_view head = rest.substr(0, kLengthBytes + kTypeBytes);
  if (!HashMatches(rest.substr(head.size(), kHashBytes), head)) {
    const bool torn_head = AllZero(rest.substr(kHeadBytes - 1));
    if (torn_head)
      return std::nullopt;
    return Damaged(offset, "its head doesn't check");
  }
  std::uint32_t length = 0;
  std::memcpy(&length, head.data(), kLengthBytes);
  const std::size_t whole = kHeadBytes + length + kTailBytes;
  if (rest.size() < whole)
    return std::nullopt;
  const std::string_view payload = rest.substr(kHeadBytes, length);
  const bool marked = rest[whole - 1] == kEndMark;
  if (!HashMatches(rest.substr(kHeadBytes + length, kHashBytes), payload)) {
    const bool torn = rest[whole - 1] == '\0' && AllZero(rest.substr(whole));
    if (torn)
      return std::nullopt;
    return Damaged(offset, "its payload doesn't check");
  }
  if (!marked) {
    if (rest.size() == whole)
      return std::nullopt;
    return Damaged(offset, "its end mark is missing");
  }
  return Record{static_cast<RecordType>(head[kLengthBytes]), payload, offset + whole};
}

}  // namespace poppyway::impl
