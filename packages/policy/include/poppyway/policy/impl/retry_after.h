// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Returns the delay after which a rejected caller should retry: the backlog's expected
/// drain time, with jitter so that rejected callers don't retry together.
/// \param backlog the number
/// of requests waiting in the pool at the caller's tier and above.
/// \param drain_per_s the number of
/// requests that the pool finishes per second.
/// \param random a uniformly distributed 64-bit number.
/// \return the delay in whole seconds, from 1 to 120.
[[nodiscard]] int RetryAfter(std::int64_t backlog,
                             double drain_per_s,
                             std::uint64_t random) noexcept;

}  // namespace poppyway
