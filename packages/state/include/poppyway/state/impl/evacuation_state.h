// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

#include "poppyway/state/impl/hosted_state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Applies an operator's order to begin or to end an evacuation. `index` is the order's log
/// index. Ignores an order that changes nothing, such as a repeated one, and one that was accepted
/// by a member that did not know of the data centre's last order.
///
/// The second rule covers a member that forwards an order while it is cut off from the leader: the
/// operator sends the order again through another member, and may have revoked it before the first
/// copy arrives.
void ApplyEvacuation(HostedState& state, const wire::EvacuationOrder& order, std::int64_t index);

/// \brief True if the servers of a data centre must get no new requests.
[[nodiscard]] bool IsEvacuated(const HostedState& state, const std::string& data_centre);

/// \brief Returns the number of a data centre's last order; zero if there was none.
[[nodiscard]] std::int64_t LastEvacuationNumber(const HostedState& state,
                                                const std::string& data_centre);

/// \brief Returns the log index of the last order that changed something; zero if none did.
[[nodiscard]] std::int64_t LastEvacuationIndex(const HostedState& state);

/// \brief True if a known server registered from the data centre, or an order was applied to it.
[[nodiscard]] bool KnowsDataCentre(const HostedState& state, const std::string& data_centre);

}  // namespace poppyway
