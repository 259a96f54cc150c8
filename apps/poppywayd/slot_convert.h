// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/policy.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Converts a batch for the slot broker to its wire form. Durations become milliseconds,
/// rounded up, except the connect time, which stays in microseconds.
/// \param incarnation the sender's incarnation.
/// \param data_centre the sender's data centre.
[[nodiscard]] wire::PlaceBatch ToWire(const SlotBatch& batch,
                                      const std::string& incarnation,
                                      const std::string& data_centre);
/// \brief Converts a batch from its wire form. Its requests get the sender's data centre.
[[nodiscard]] SlotBatch FromWire(const wire::PlaceBatch& batch);

/// \brief Converts a slot broker's response to its wire form, with durations in milliseconds.
[[nodiscard]] wire::PlaceAnswer ToWire(const SlotResponse& answer);
/// \brief Converts a slot broker's response from its wire form.
[[nodiscard]] SlotResponse FromWire(const wire::PlaceAnswer& answer);

/// \brief Returns the properties of a registered server that the slot broker uses. The caller sets
/// the region and whether the data centre is evacuated.
[[nodiscard]] BackendServer ToBackendServer(const wire::ServerRecord& record);

}  // namespace poppyway
