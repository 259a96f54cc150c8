// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Values that all packages share: result codes, errors, time, hashing, regions.
///
/// \detail Everything here may be used from any thread. Except for `ReadClock`, `ReadWallTime` and
/// `ReadWallMillis`, functions are pure and don't read a clock: callers pass an `Instant`.
///
/// Example:
/// \code
/// poppyway::Result<int> Half(int n) {
///   if (n % 2 != 0)
///     return poppyway::Fail(poppyway::ResultCode::kBadRequest, "odd");
///   return n / 2;
/// }
/// \endcode

#include "poppyway/core/impl/error.h"
#include "poppyway/core/impl/fingerprint.h"
#include "poppyway/core/impl/hash.h"
#include "poppyway/core/impl/region_map.h"
#include "poppyway/core/impl/result_code.h"
#include "poppyway/core/impl/slewed_clock.h"
#include "poppyway/core/impl/time.h"
