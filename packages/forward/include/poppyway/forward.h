// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Forwards any HTTP request by host and path to backend servers that register themselves.
///
/// \detail This is the hosted counterpart of the gateway: callers send API keys of workspaces,
/// routes name weighted pools, and servers are model engines or plain services that know no tiers.
/// One `Forwarder` is one task; it owns its listeners, requests and connections, and exchanges the
/// messages of `forwarder_messages.h` with the control task. `RunChain` in src/chain.cc shows the
/// steps that a request passes. A `ProtocolAdapter` translates header fields and the operator's
/// document, so that nothing here depends on a deployment's names.

#include "poppyway/forward/impl/backend_call.h"
#include "poppyway/forward/impl/connection_probe.h"
#include "poppyway/forward/impl/crash_tracker.h"
#include "poppyway/forward/impl/event_stream.h"
#include "poppyway/forward/impl/forwarder.h"
#include "poppyway/forward/impl/forwarder_messages.h"
#include "poppyway/forward/impl/forwarding.h"
#include "poppyway/forward/impl/helper_choice.h"
#include "poppyway/forward/impl/path_check.h"
#include "poppyway/forward/impl/peer_relay.h"
#include "poppyway/forward/impl/protocol_adapter.h"
#include "poppyway/forward/impl/route_table.h"
