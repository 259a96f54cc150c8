// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <zlib.h>

#include <algorithm>

#include "poppyway/wire.h"

namespace poppyway {
namespace {

constexpr std::size_t kMinFirstBuffer = 4096;  // The smallest first output buffer.
// The first output buffer as a multiple of the input. Texts compress to about an eighth, so one
// more growth step is usually enough.
constexpr std::size_t kExpectedRatio = 4;

Bytef* BytesOf(std::string_view bytes) noexcept {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

/// Decompresses into `out`, which grows up to `max_bytes` bytes.
/// \return the last result code of zlib.
int Inflate(z_stream& stream, std::string& out, std::size_t max_bytes) {
  int result = Z_OK;
  while (result == Z_OK) {
    const std::size_t written = stream.total_out;
    if (written == out.size()) {
      if (written == max_bytes)
        return Z_BUF_ERROR;
      out.resize(std::min(max_bytes, out.size() * 2));
    }
    stream.next_out = BytesOf(out) + written;
    stream.avail_out = static_cast<uInt>(out.size() - written);
    result = inflate(&stream, Z_NO_FLUSH);
    const bool needs_space = result == Z_BUF_ERROR && stream.avail_in > 0 && stream.avail_out == 0;
    if (needs_space)
      result = Z_OK;
  }
  return result;
}

}  // namespace

std::string Pack(std::string_view bytes) {
  uLongf size = compressBound(static_cast<uLong>(bytes.size()));
  std::string packed(size, '\0');
  // With a buffer of that size, the only possible failure is a lack of memory.
  if (compress2(BytesOf(packed), &size, BytesOf(bytes), static_cast<uLong>(bytes.size()),
                Z_BEST_SPEED) != Z_OK)
    throw std::bad_alloc();
  packed.resize(size);
  return packed;
}

Result<std::string> Unpack(std::string_view packed, std::size_t max_bytes) {
  z_stream stream{};
  stream.next_in = BytesOf(packed);
  stream.avail_in = static_cast<uInt>(packed.size());
  if (inflateInit(&stream) != Z_OK)
    throw std::bad_alloc();
  // zlib needs an output buffer of at least one byte, even to reach the end of an empty text.
  std::string out(std::clamp<std::size_t>(packed.size() * kExpectedRatio, 1,
                                          std::max<std::size_t>(max_bytes, 1)),
                  '\0');
  out.resize(std::max(out.size(), std::min(max_bytes, kMinFirstBuffer)));
  const int result = Inflate(stream, out, std::max<std::size_t>(max_bytes, 1));
  const std::size_t size = stream.total_out;
  const bool complete = result == Z_STREAM_END && stream.avail_in == 0 && size <= max_bytes;
  inflateEnd(&stream);
  if (!complete)
    return Fail(ResultCode::kPeerProtocol, "packed bytes that aren't whole or hold too much");
  out.resize(size);
  return out;
}

}  // namespace poppyway
