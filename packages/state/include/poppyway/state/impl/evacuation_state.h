// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

#include "poppyway/state/impl/hosted_state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Takes an operator's order. One that changes nothing, as a repeated one does, leaves the
/// state as it is; so does one that was taken before the data centre's last order was known.
///
/// A member that passes an order on may be cut off from the leader meanwhile. The operator sends it
/// again elsewhere and may have taken it back by the time the first one arrives.
void ApplyEvacuation(HostedState& state, const wire::EvacuationOrder& order, std::int64_t index);

/// \brief True if the servers of a data centre are to get nothing new.
[[nodiscard]] bool IsEvacuated(const HostedState& state, const std::string& data_centre);

/// \brief The number of a data centre's last order; zero: none was given.
[[nodiscard]] std::int64_t LastEvacuationNumber(const HostedState& state,
                                                const std::string& data_centre);

/// \brief The log index of the last order that changed something; zero: none did.
[[nodiscard]] std::int64_t LastEvacuationIndex(const HostedState& state);

/// \brief True if a server has registered from a data centre, or an order was given for it.
[[nodiscard]] bool KnowsDataCentre(const HostedState& state, const std::string& data_centre);

}  // namespace poppyway
