// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

#include <arpa/inet.h>

#include <cstring>

namespace poppyway {
namespace {

constexpr std::size_t kHeaderBytes = 4;

}  // namespace

std::string EncodeFrame(const wire::Envelope& envelope) {
  const std::string payload = Serialize(envelope);
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(payload.size()));
  std::string frame(kHeaderBytes, '\0');
  std::memcpy(frame.data(), &length, kHeaderBytes);
  return frame + payload;
}

Result<std::optional<FrameView>> NextFrame(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes)
    return std::nullopt;
  std::uint32_t length = 0;
  std::memcpy(&length, bytes.data(), kHeaderBytes);
  length = ntohl(length);
  if (length > kMaxFrameBytes)
    return Fail(ResultCode::kPeerProtocol,
                "frame of " + std::to_string(length) + " bytes exceeds the limit");
  if (bytes.size() < kHeaderBytes + length)
    return std::nullopt;
  return FrameView{bytes.substr(kHeaderBytes, length), kHeaderBytes + length};
}

}  // namespace poppyway
