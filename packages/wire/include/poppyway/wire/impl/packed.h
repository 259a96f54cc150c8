// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Compresses bytes with zlib. The result depends on the bytes alone. Thread-safe.
[[nodiscard]] std::string Pack(std::string_view bytes);

/// \brief Decompresses what `Pack` returned. Thread-safe.
/// \param max_bytes the largest accepted size of the result, which also bounds the memory used.
/// \return the bytes, or `kPeerProtocol` if `packed` is incomplete, has trailing bytes, or
/// holds more than the accepted size.
[[nodiscard]] Result<std::string> Unpack(std::string_view packed, std::size_t max_bytes);

}  // namespace poppyway
