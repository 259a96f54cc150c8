// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

#include "poppyway/state/impl/hosted_state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Takes an operator's order. One that changes nothing, as a repeated one does, leaves the
/// state as it is.
void ApplyEvacuation(HostedState& state, const wire::EvacuationOrder& order, std::int64_t index);

/// \brief True if the servers of a data centre are to get nothing new.
[[nodiscard]] bool IsEvacuated(const HostedState& state, const std::string& data_centre);

}  // namespace poppyway
