// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Forwards any HTTP request by host and path to backend servers that register themselves.
///
/// \detail The hosted counterpart of the gateway: callers bring keys of workspaces, routes name
/// pools with weights, and servers are model engines or plain services that know no tiers. One
/// `Forwarder` is one task; it owns its listener, its requests and its connections, and talks with
/// the control task by the messages of `forwarder_messages.h`. The way of one request is `RunChain`
/// in src/chain.cc. A `Dialect` translates header fields and the operator's document; nothing here
/// knows a deployment's names.

#include "poppyway/forward/impl/backend_call.h"
#include "poppyway/forward/impl/event_stream.h"
#include "poppyway/forward/impl/forwarder.h"
#include "poppyway/forward/impl/forwarder_messages.h"
#include "poppyway/forward/impl/forwarding.h"
#include "poppyway/forward/impl/protocol_adapter.h"
#include "poppyway/forward/impl/route_table.h"
