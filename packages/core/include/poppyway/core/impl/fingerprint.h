// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poppyway {

/// \brief Identifies what a request asks for, whichever attempt, connection or instance brings it.
using RequestFingerprint = std::uint64_t;

/// \brief Returns the fingerprint of a request: equal for requests of one workspace with the same
/// method, host, target and body. Other header fields, such as the attempt's id, don't count.
/// Thread-safe; the same on every machine.
/// \param workspace name of the caller's workspace; empty for an anonymous request.
[[nodiscard]] RequestFingerprint FingerprintOf(std::string_view method,
                                               std::string_view host,
                                               std::string_view target,
                                               std::string_view workspace,
                                               std::string_view body) noexcept;

/// \brief Returns the fingerprint as 16 hexadecimal digits, for logs. Thread-safe.
[[nodiscard]] std::string FingerprintText(RequestFingerprint fingerprint);

}  // namespace poppyway
