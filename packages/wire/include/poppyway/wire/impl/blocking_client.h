// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

#include "poppyway/core.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief Makes one blocking call, for command-line programs: connects, sends `body` and waits for
/// the reply. The timeout applies to each socket operation. Thread-safe.
/// \param address an IPv4 address.
/// \return the reply's body, `kPeerUnreachable`, `kPeerProtocol` for a malformed reply, or the
/// peer's `ErrorReply` as an `Error`.
[[nodiscard]] Result<wire::Body> CallOnce(const std::string& address,
                                          std::uint16_t port,
                                          wire::Body body,
                                          Duration timeout);

}  // namespace poppyway
