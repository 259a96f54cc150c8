// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief What every listener of ours shares: an HTTP/1.1 server on a task's loop, whole replies,
/// answers sent in pieces, and noticing callers that have left.
///
/// \detail All of it belongs to the loop's thread. The process has to ignore SIGPIPE: callers close
/// connections while they are written to.

#include "poppyway/http/impl/http_server.h"
#include "poppyway/http/impl/response_writer.h"
