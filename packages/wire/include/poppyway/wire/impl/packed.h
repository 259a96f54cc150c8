// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief The bytes compressed (zlib). The same bytes give the same result.
[[nodiscard]] std::string Pack(std::string_view bytes);

/// \brief The inverse of `Pack`.
/// \param most bytes that the result may have; no more memory is taken.
/// \return `kPeerProtocol` if `packed` isn't whole, has trailing bytes, or holds more.
[[nodiscard]] Result<std::string> Unpack(std::string_view packed, std::size_t most);

}  // namespace poppyway
