// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

#include "poppyway/core.h"

namespace poppyway {

/// \brief When a refused caller should come back: the backlog's expected drain time, spread by
/// jitter so that refused callers don't return together.
/// \param backlog requests waiting in the pool at the caller's tier and above.
/// \param drain_per_s requests that the pool finishes a second.
/// \param random uniform 64-bit number.
/// \return whole seconds from 1 to 120.
[[nodiscard]] int RetryAfter(std::int64_t backlog,
                             double drain_per_s,
                             std::uint64_t random) noexcept;

}  // namespace poppyway
