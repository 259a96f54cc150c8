// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <vector>

#include "poppyway/policy.h"
#include "poppyway/state/impl/hosted_state.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Applies an instance's report of a crash, or of requests that crash no server. `index` is
/// its log index. A report that was sent twice counts once. An empty report only forgets suspects
/// whose last crash is too long ago.
void ApplyCrashReport(HostedState& state, const wire::CrashReport& report, std::int64_t index);

/// \brief Returns the quarantined requests as in messages to instances.
[[nodiscard]] std::vector<std::int64_t> QuarantineList(const HostedState& state);

/// \brief Returns the quarantined parts of prompts as in messages to instances.
[[nodiscard]] std::vector<wire::QuarantinedParts> QuarantinedPartsList(const HostedState& state);

/// \brief Returns the suspects as in a snapshot. Which are quarantined is derived from the crashes.
[[nodiscard]] std::vector<wire::CrashSuspectState> SerializeCrashSuspects(
    const CrashSuspects& suspects);

/// \brief Returns the suspects of a snapshot.
[[nodiscard]] CrashSuspects DeserializeCrashSuspects(
    const std::vector<wire::CrashSuspectState>& states);

}  // namespace poppyway
