// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/gateway.h"
#include "poppyway/policy.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief A demand as it goes over the wire; times become ages and remaining deadlines.
[[nodiscard]] wire::Demand ToWire(const std::string& pool,
                                  const GatewayDemand& demand,
                                  std::int64_t epoch,
                                  std::int64_t sequence,
                                  Instant now);

/// \brief The inverse, on the broker's own clock.
[[nodiscard]] GatewayDemand FromWire(const wire::Demand& demand, Instant now);

[[nodiscard]] wire::Grants ToWire(const std::string& pool,
                                  const GrantBatch& batch,
                                  std::int64_t epoch,
                                  std::int64_t sequence);
[[nodiscard]] GrantBatch FromWire(const wire::Grants& grants);

/// \brief An error as a peer's reply.
[[nodiscard]] wire::Body ErrorBody(ResultCode code, const std::string& message);

}  // namespace poppyway
