// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Controllers of the shared state: configuration, dispatch ledger, leases, instances.
///
/// \detail The replicated log drives `StateMachine`. It is deterministic and has no side effects,
/// so that all members that applied the same entries hold the same state. `InstanceTable` holds the
/// heartbeats that the leader received; it isn't replicated, and a new leader rebuilds it within
/// one lease. Neither reads a clock. No object is thread-safe; each belongs to the control task.

#include "poppyway/state/impl/configuration.h"
#include "poppyway/state/impl/crash_state.h"
#include "poppyway/state/impl/dispatch_ledger.h"
#include "poppyway/state/impl/document_history.h"
#include "poppyway/state/impl/evacuation_state.h"
#include "poppyway/state/impl/hosted_state.h"
#include "poppyway/state/impl/instance_table.h"
#include "poppyway/state/impl/pending_proposals.h"
#include "poppyway/state/impl/rollout_state.h"
#include "poppyway/state/impl/server_presence.h"
#include "poppyway/state/impl/state_machine.h"
#include "poppyway/state/impl/text_edits.h"
