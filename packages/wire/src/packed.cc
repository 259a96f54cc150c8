// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <zlib.h>

#include <algorithm>

#include "poppyway/wire.h"

namespace poppyway {
namespace {

constexpr std::size_t kFirstRoom = 4096;
constexpr std::size_t kGrowth = 4;  // Texts pack to about an eighth.

Bytef* BytesOf(std::string_view bytes) noexcept {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

/// Inflates into `out`, which grows up to `most`. \return zlib's last word.
int Inflate(z_stream& stream, std::string& out, std::size_t most) {
  int said = Z_OK;
  while (said == Z_OK) {
    const std::size_t done = stream.total_out;
    if (done == out.size()) {
      if (done == most)
        return Z_BUF_ERROR;
      out.resize(std::min(most, out.size() * 2));
    }
    stream.next_out = BytesOf(out) + done;
    stream.avail_out = static_cast<uInt>(out.size() - done);
    said = inflate(&stream, Z_NO_FLUSH);
    const bool stuck = said == Z_BUF_ERROR && stream.avail_in > 0 && stream.avail_out == 0;
    if (stuck)
      said = Z_OK;
  }
  return said;
}

}  // namespace

std::string Pack(std::string_view bytes) {
  uLongf size = compressBound(static_cast<uLong>(bytes.size()));
  std::string packed(size, '\0');
  // Into a buffer of that bound it can fail for lack of memory only.
  if (compress2(BytesOf(packed), &size, BytesOf(bytes), static_cast<uLong>(bytes.size()),
                Z_BEST_SPEED) != Z_OK)
    throw std::bad_alloc();
  packed.resize(size);
  return packed;
}

Result<std::string> Unpack(std::string_view packed, std::size_t most) {
  z_stream stream{};
  stream.next_in = BytesOf(packed);
  stream.avail_in = static_cast<uInt>(packed.size());
  if (inflateInit(&stream) != Z_OK)
    throw std::bad_alloc();
  // A byte of room at least: an empty text has to end as well.
  std::string out(
      std::clamp<std::size_t>(packed.size() * kGrowth, 1, std::max<std::size_t>(most, 1)), '\0');
  out.resize(std::max(out.size(), std::min(most, kFirstRoom)));
  const int said = Inflate(stream, out, std::max<std::size_t>(most, 1));
  const std::size_t size = stream.total_out;
  const bool whole = said == Z_STREAM_END && stream.avail_in == 0 && size <= most;
  inflateEnd(&stream);
  if (!whole)
    return Fail(ResultCode::kPeerProtocol, "packed bytes that aren't whole or hold too much");
  out.resize(size);
  return out;
}

}  // namespace poppyway
