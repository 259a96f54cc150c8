// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <string_view>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief How `base` becomes `target`, packed. Its size follows what differs, wherever that stands,
/// not the size of the texts. Knows nothing of the texts' format. The same texts give the same
/// bytes.
[[nodiscard]] std::string EncodeEdits(std::string_view base, std::string_view target);

/// \brief The text that `EncodeEdits` was given as its target.
/// \param most bytes that the text may have.
/// \return `kPeerProtocol` if `edits` can't be read, copy what `base` doesn't have, or make a
/// larger text.
[[nodiscard]] Result<std::string> ApplyEdits(std::string_view base,
                                             std::string_view edits,
                                             std::size_t most);

}  // namespace poppyway
