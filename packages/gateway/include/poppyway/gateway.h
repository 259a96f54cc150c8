// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Accepts callers' HTTP requests, filters, queues and dispatches them to back ends, and
/// relays the responses.
///
/// \detail One `Gateway` is one task: it owns its listening socket, its connections to back ends
/// and its requests, and is used on its loop's thread only. It exchanges only the messages of
/// `control_messages.h` with the control task. `RunChain` in src/chain.cc lists the steps of one
/// request in order: identify, match event, check deadline, check duplicate, admit, route,
/// dispatch, relay, account.

#include "poppyway/gateway/impl/control_messages.h"
#include "poppyway/gateway/impl/exchange.h"
#include "poppyway/gateway/impl/gateway.h"
#include "poppyway/gateway/impl/json_request.h"
