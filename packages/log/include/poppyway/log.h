// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief The replicated log: elections, append, commit, snapshots and membership changes.
///
/// \detail The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
/// non-voting members and single-member changes, written as pure functions over `LogNode`: time,
/// randomness and messages come in, `LogEffects` go out. The caller makes effects durable, one save
/// at a time: it calls `BeginLogSave` when one begins and `FinishLogSave` when it has ended, and
/// may step the node meanwhile. A message goes out once `IsSafeToSend` allows it; what is committed
/// may be applied at once, since a majority holds it. Nothing here has a socket, a clock, a thread
/// or a file, but for `LogStore`, which is the storage effect.
///
/// A member is its random id, made with its data folder. A folder that was lost comes back as a new
/// id: it holds no vote and counts for no majority until it has caught up and an entry admits it.

#include "poppyway/log/impl/cluster_bootstrap.h"
#include "poppyway/log/impl/log_node.h"
#include "poppyway/log/impl/log_store.h"
