// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Long-poll client by which an instance of a hosted deployment follows the members' state.
///
/// \detail The client calls members through callbacks and opens no sockets itself. No object is
/// thread-safe; each belongs to the control task.

#include "poppyway/polling/impl/hosted_state_poller.h"
