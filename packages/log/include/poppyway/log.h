// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief The replicated log: elections, append, commit, snapshots and membership changes.
///
/// \detail The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
/// non-voting members and single-member changes, written as pure functions over `LogNode`: time,
/// randomness and messages are inputs, `LogEffects` are the output. The caller makes effects
/// durable, one save at a time: it calls `BeginLogSave` when a save begins and `FinishLogSave` when
/// it has succeeded, or `AbortLogSave` when it has failed, and may step the node during the save.
/// The caller sends a message once `IsSafeToSend` allows it. It may apply committed entries at
/// once, since a majority has stored them. Nothing here uses a socket, a clock, a thread or a file
/// except `LogStore`, which stores the effects.
///
/// A member is identified by a random id that is created with its data folder. A member that lost
/// its folder gets a new id: it has no vote and counts towards no majority until it has caught up
/// and a membership entry makes it a voter.

#include "poppyway/log/impl/cluster_bootstrap.h"
#include "poppyway/log/impl/log_node.h"
#include "poppyway/log/impl/log_store.h"
#include "poppyway/log/impl/membership_plan.h"
