// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Takes callers' HTTP, filters, queues, dispatches to back ends and relays the answers.
///
/// \detail One `Gateway` is one task: it owns its listening socket, its connections to back ends
/// and its requests, and belongs to its loop's thread. It talks with the control task by the
/// messages of `control_messages.h` only. The way of one request is `RunChain` in src/chain.cc, top
/// to bottom: identify, match event, check deadline, check duplicate, admit, route, dispatch,
/// relay, account.

#include "poppyway/gateway/impl/control_messages.h"
#include "poppyway/gateway/impl/exchange.h"
#include "poppyway/gateway/impl/gateway.h"
#include "poppyway/gateway/impl/json_request.h"
