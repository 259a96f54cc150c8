// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Controllers by which an instance of a hosted deployment learns what the members know.
///
/// \detail They reach members through functions that they are given, and know no sockets. No object
/// is thread-safe; each belongs to the control task.

#include "poppyway/polling/impl/hosted_state_poller.h"
