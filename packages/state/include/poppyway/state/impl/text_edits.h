// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <string_view>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief Encodes the edits that turn `base` into `target`, compressed. Their size depends on what
/// differs, at any position, rather than on the size of the texts. The texts may have any format.
/// Equal texts give equal bytes.
[[nodiscard]] std::string EncodeEdits(std::string_view base, std::string_view target);

/// \brief Applies edits from `EncodeEdits` to their base.
/// \param most largest size of the resulting text, in bytes.
/// \return the target text; `kPeerProtocol` if `edits` can't be decoded, copy from outside `base`,
/// or lead to a larger text.
[[nodiscard]] Result<std::string> ApplyEdits(std::string_view base,
                                             std::string_view edits,
                                             std::size_t most);

}  // namespace poppyway
