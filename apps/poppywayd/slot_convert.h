// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/policy.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Batches for the broker of places and its answers as they go over the wire: points in
/// time become ages and spans, in milliseconds; the incarnation and data centre are the sender's.
[[nodiscard]] wire::PlaceBatch ToWire(const SlotBatch& batch,
                                      const std::string& incarnation,
                                      const std::string& data_centre);
[[nodiscard]] SlotBatch FromWire(const wire::PlaceBatch& batch);

[[nodiscard]] wire::PlaceAnswer ToWire(const SlotResponse& answer);
[[nodiscard]] SlotResponse FromWire(const wire::PlaceAnswer& answer);

/// \brief What of a registered server decides on its places.
[[nodiscard]] BackendServer ToBackendServer(const wire::ServerRecord& record);

}  // namespace poppyway
