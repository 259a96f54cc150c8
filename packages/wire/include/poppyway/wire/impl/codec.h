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

/// \brief The largest accepted frame, header excluded; a snapshot has to fit.
inline constexpr std::size_t kMaxFrameBytes = 64u << 20;

/// \brief Serialises any Thrift struct with the compact protocol.
template <typename T>
[[nodiscard]] std::string Serialize(const T& value) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// \brief Reads a value that `Serialize` wrote.
/// \return `kPeerProtocol` if `bytes` is not exactly one value of type T.
template <typename T>
[[nodiscard]] Result<T> Deserialize(std::string_view bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
      static_cast<std::uint32_t>(bytes.size()));
  // Each element takes at least one byte. Without this bound, a few bytes that claim a billion
  // elements would make the reader allocate memory for all of them before it finds them missing.
  const auto max_elements = static_cast<std::int32_t>(
      std::clamp<std::size_t>(bytes.size(), 1, std::numeric_limits<std::int32_t>::max()));
  apache::thrift::protocol::TCompactProtocol protocol(buffer, max_elements, max_elements);
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

/// \brief Returns a frame: the length and the serialised envelope.
[[nodiscard]] std::string EncodeFrame(const wire::Envelope& envelope);

/// \brief A frame at the front of a buffer. The view is valid as long as the buffer.
struct FrameView {
  std::string_view m_payload;
  std::size_t m_consumed = 0;  ///< The bytes to drop, header included.
};

/// \brief Finds the first complete frame in `bytes`.
/// \return the frame, nullopt if more bytes are needed, or `kPeerProtocol` if the length is over
/// the limit.
[[nodiscard]] Result<std::optional<FrameView>> NextFrame(std::string_view bytes);

}  // namespace poppyway
