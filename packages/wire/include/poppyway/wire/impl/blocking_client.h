// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

#include "poppyway/core.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief One blocking call for command-line programs: connects, sends, waits for the reply.
/// \return the reply's body, `kPeerUnreachable`, or the peer's `ErrorReply` as an `Error`.
[[nodiscard]] Result<wire::Body> CallOnce(const std::string& address,
                                          std::uint16_t port,
                                          wire::Body body,
                                          Duration timeout);

}  // namespace poppyway
