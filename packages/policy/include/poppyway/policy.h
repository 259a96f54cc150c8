// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief The decisions: admission, credits, routing, limits and retries, as pure functions.
///
/// \detail Nothing here reads a clock, draws unseeded random numbers, opens a socket or starts a
/// thread. Time and randomness are arguments, effects are return values; the same arguments give
/// the same decisions in a daemon, a test and a benchmark. No object is thread-safe; each belongs
/// to one task. See docs/design/ for why each rule is what it is.
///
/// - `Broker`: the one accountant of a pool's engines. Counts credits out, highest tier first.
/// - `ShedFloor`: which tiers are closed, moved one step at a time and acknowledged by all
/// gateways.
/// - `AdmissionQueue`: the requests that wait in one gateway.
/// - `CreditBook`: the credits that one gateway holds, and its fair share without a broker.
/// - `PoolClient`: one gateway's decisions for one pool, over the two above.
/// - `CheckEligibility`: whether a server may take a request at all, for all who send one.
/// - `ServerNotices`: what a server says of itself: it wants nothing for a while, it leaves.
/// - `OutageDetector`: which data centres are lost or cut off as a whole.
/// - `SlowStartState`: what a server may get while it is slow after its start.
/// - `ChooseServer`, `ServerHealth`: where a request goes among servers that know no tiers.
/// - `SlotBroker`: the one broker of a hosted deployment; gives each request its place.
/// - `RoundTripTable`: round trips between regions, learned from connections.
/// - `ServedShares`: who is owed a place since its group was served too seldom.
/// - `RolloutTrial`: what a version under trial may get, and what its answers say of it.
/// - `ForecastWait`: when a place comes free.
/// - `EvenShare`: an instance's part of a server's places while no broker answers.
/// - `ChoosePollSource`: from which member an instance reads news.
/// - `QuotaBucket`, `LocalQuotaBucket`: a workspace's limit at the broker, and without one.
/// - `RateEstimate`, `RetryBudget`, `RetryAfter`: speed of engines, retries, when to come back.

#include "poppyway/policy/impl/admission_queue.h"
#include "poppyway/policy/impl/broker.h"
#include "poppyway/policy/impl/credit_book.h"
#include "poppyway/policy/impl/event_size.h"
#include "poppyway/policy/impl/instance_share.h"
#include "poppyway/policy/impl/outage_detector.h"
#include "poppyway/policy/impl/poll_source.h"
#include "poppyway/policy/impl/pool_client.h"
#include "poppyway/policy/impl/prefix_index.h"
#include "poppyway/policy/impl/quota_bucket.h"
#include "poppyway/policy/impl/quota_limit.h"
#include "poppyway/policy/impl/rate_estimate.h"
#include "poppyway/policy/impl/retry_after.h"
#include "poppyway/policy/impl/retry_budget.h"
#include "poppyway/policy/impl/rollout_trial.h"
#include "poppyway/policy/impl/round_trip_table.h"
#include "poppyway/policy/impl/server_choice.h"
#include "poppyway/policy/impl/server_eligibility.h"
#include "poppyway/policy/impl/server_health.h"
#include "poppyway/policy/impl/server_notice.h"
#include "poppyway/policy/impl/shed_floor.h"
#include "poppyway/policy/impl/slot_broker.h"
#include "poppyway/policy/impl/slot_turnover.h"
#include "poppyway/policy/impl/slow_start.h"
#include "poppyway/policy/impl/starvation_guard.h"
#include "poppyway/policy/impl/tier.h"
#include "poppyway/policy/impl/wait_estimate.h"
