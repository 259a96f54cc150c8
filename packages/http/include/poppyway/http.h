// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Shared code of all HTTP listeners: an HTTP/1.1 server on a task's loop, complete and
/// streamed responses, detection of callers that have disconnected, and the check of the heads of
/// received responses.
///
/// \detail Nothing here is thread-safe; all of it is used on the loop's thread. The process must
/// ignore SIGPIPE, since callers close connections that are being written to.

#include "poppyway/http/impl/http_server.h"
#include "poppyway/http/impl/response_head.h"
#include "poppyway/http/impl/response_writer.h"
