// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "filters.h"

namespace poppyway::impl {

/// The connection to the back end is open: true to write the first byte, which is the dispatch.
[[nodiscard]] bool OnMaySend(GatewayState& state, RequestRef ref);
void OnBackendHead(GatewayState& state, RequestRef ref, const UpstreamHead& head);
void OnBackendData(GatewayState& state, RequestRef ref, std::string_view bytes);
void OnBackendWhole(GatewayState& state, RequestRef ref);
void OnBackendFailure(GatewayState& state, RequestRef ref, bool sent, const std::string& why);

}  // namespace poppyway::impl
