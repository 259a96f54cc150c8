// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "poppyway/core.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief Largest accepted frame; a snapshot has to fit.
inline constexpr std::size_t kMaxFrameBytes = 64u << 20;

/// \brief Serialises any Thrift struct with the compact protocol.
template <typename T>
[[nodiscard]] std::string Serialize(const T& value) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// \brief The inverse of `Serialize`.
/// \return `kPeerProtocol` if `bytes` is not a whole value of type T.
template <typename T>
[[nodiscard]] Result<T> Deserialize(std::string_view bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
      static_cast<std::uint32_t>(bytes.size()));
  // Each element takes a byte at least. Without this bound a few bytes that claim a billion
  // elements would have the reader ask for as much memory before it finds that they aren't there.
  const auto most = static_cast<std::int32_t>(
      std::clamp<std::size_t>(bytes.size(), 1, std::numeric_limits<std::int32_t>::max()));
  apache::thrift::protocol::TCompactProtocol protocol(buffer, most, most);
  T value;
  try {
    value.read(&protocol);
  } catch (const std::exception& fault) {
    return Fail(ResultCode::kPeerProtocol, fault.what());
  }
  if (buffer->available_read() != 0)
    return Fail(ResultCode::kPeerProtocol, "trailing bytes");
  return value;
}

/// \brief One frame: length and serialised envelope.
[[nodiscard]] std::string EncodeFrame(const wire::Envelope& envelope);

/// \brief What `NextFrame` found at the front of a buffer.
struct FrameView {
  std::string_view m_payload;
  std::size_t m_consumed = 0;  ///< Bytes to drop, header included.
};

/// \brief The first whole frame in `bytes`; nullopt if more bytes are needed.
/// \return `kPeerProtocol` if the length is over the limit.
[[nodiscard]] Result<std::optional<FrameView>> NextFrame(std::string_view bytes);

}  // namespace poppyway
