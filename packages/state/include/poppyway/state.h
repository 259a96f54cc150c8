// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Controllers of the shared state: configuration, dispatch ledger, leases, instances.
///
/// \detail `StateMachine` is what the replicated log drives: pure and deterministic, so that every
/// member that applied the same entries holds the same state. `InstanceTable` is the leader's own
/// memory of heartbeats; it is rebuilt by a new leader within one lease. Neither reads a clock.
/// No object is thread-safe; each belongs to the control task.

#include "poppyway/state/impl/configuration.h"
#include "poppyway/state/impl/dispatch_ledger.h"
#include "poppyway/state/impl/document_history.h"
#include "poppyway/state/impl/evacuation_state.h"
#include "poppyway/state/impl/hosted_state.h"
#include "poppyway/state/impl/instance_table.h"
#include "poppyway/state/impl/rollout_state.h"
#include "poppyway/state/impl/state_machine.h"
#include "poppyway/state/impl/text_edits.h"
