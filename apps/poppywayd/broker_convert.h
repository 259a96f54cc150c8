// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/gateway.h"
#include "poppyway/policy.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Converts a gateway's demand to its wire form. Points in time become ages and remaining
/// times in milliseconds, counted from `now`.
/// \param epoch the epoch of the broker's lease.
/// \param sequence the number that the broker repeats in its grants.
[[nodiscard]] wire::Demand ToWire(const std::string& pool,
                                  const GatewayDemand& demand,
                                  std::int64_t epoch,
                                  std::int64_t sequence,
                                  Instant now);

/// \brief Converts a demand from its wire form. Ages and remaining times are counted from `now` on
/// the broker's own clock.
[[nodiscard]] GatewayDemand FromWire(const wire::Demand& demand, Instant now);

/// \brief Converts a broker's grants to their wire form; the caller sets `lease_ms`.
/// \param sequence the number of the gateway's last demand.
[[nodiscard]] wire::Grants ToWire(const std::string& pool,
                                  const GrantBatch& batch,
                                  std::int64_t epoch,
                                  std::int64_t sequence);
/// \brief Converts grants from their wire form.
[[nodiscard]] GrantBatch FromWire(const wire::Grants& grants);

/// \brief Makes the error response to a peer's request. It names no leader.
[[nodiscard]] wire::Body ErrorBody(ResultCode code, const std::string& message);

}  // namespace poppyway
