// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "filters.h"

namespace poppyway::impl {

// Callbacks of the upstream call; see `UpstreamEvents`. Each looks `ref` up and ignores an exchange
// that has ended.

/// Returns true to write the request; its first byte is the dispatch. Returns false if the caller
/// has left.
[[nodiscard]] bool OnMaySend(GatewayState& state, RequestRef ref);
void OnBackendHead(GatewayState& state, RequestRef ref, const UpstreamHead& head);
void OnBackendData(GatewayState& state, RequestRef ref, std::string_view bytes);
void OnBackendComplete(GatewayState& state, RequestRef ref);
void OnBackendFailure(GatewayState& state, RequestRef ref, bool sent, const std::string& why);

}  // namespace poppyway::impl
