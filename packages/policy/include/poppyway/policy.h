// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Policy decisions as pure functions: admission, credits, routing, limits and retries.
///
/// \detail Nothing here reads a clock, draws unseeded random numbers, opens a socket or starts a
/// thread. Time and randomness are arguments, effects are return values; equal arguments give equal
/// decisions in a daemon, a test and a benchmark. No object is thread-safe; each belongs to one
/// task. docs/design/ gives the reason for each rule.
///
/// - `Broker`: accounts for a pool's engines and grants credits, to the highest tier first.
/// - `ShedFloor`: which tiers are admitted; it moves one step at a time, acknowledged by all
/// gateways.
/// - `AdmissionQueue`: the requests that wait in one gateway.
/// - `CreditBook`: the credits that one gateway holds, and its fair share without a broker.
/// - `PoolClient`: one gateway's decisions for one pool, made from its queue and credit book.
/// - `CheckEligibility`: decides whether a server may take a request, for every sender.
/// - `ServerNotices`: the notices of servers that back off or leave.
/// - `CrashSuspects`: finds the requests that crash servers.
/// - `ServerLimit`: the rate that a server states to take from all instances together.
/// - `LastResponses`: which instances a server responded to last.
/// - `ServerPaths`: whether an instance reaches the backend servers itself.
/// - `Brittleness`: servers that end if they must reject too many requests.
/// - `OutageDetector`: detects data centres that are lost or unreachable as a whole.
/// - `SlowStartState`: limits the requests to a server that is slow after its start.
/// - `ChooseServer`, `ServerHealth`: choose a backend server by predicted time and health.
/// - `SlotBroker`: the broker of a hosted deployment; assigns a slot to each request.
/// - `RoundTripTable`: round-trip times between regions, learned from connections.
/// - `ServedShares`: detect groups of requests that are starved of slots.
/// - `StreamOrigins`: which software version began a stream, so that no other one continues it.
/// - `RolloutTrial`: bounds the exposure of a version under trial and judges its responses.
/// - `ForecastWait`: predicts when a slot becomes free.
/// - `EvenShare`: an instance's share of a server's slots without a broker.
/// - `ChoosePollSource`: selects the member that an instance polls for changes.
/// - `QuotaBucket`, `LocalQuotaBucket`: a workspace's limit, with and without a broker.
/// - `RateEstimate`, `RetryBudget`, `RetryAfter`: engine speed, the limit on retries, the
/// delay asked of rejected callers.

#include "poppyway/policy/impl/address_owner.h"
#include "poppyway/policy/impl/admission_queue.h"
#include "poppyway/policy/impl/brittleness.h"
#include "poppyway/policy/impl/broker.h"
#include "poppyway/policy/impl/crash_suspects.h"
#include "poppyway/policy/impl/credit_book.h"
#include "poppyway/policy/impl/event_size.h"
#include "poppyway/policy/impl/held_bytes.h"
#include "poppyway/policy/impl/instance_share.h"
#include "poppyway/policy/impl/last_responses.h"
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
#include "poppyway/policy/impl/server_limit.h"
#include "poppyway/policy/impl/server_notice.h"
#include "poppyway/policy/impl/server_order.h"
#include "poppyway/policy/impl/server_paths.h"
#include "poppyway/policy/impl/shed_floor.h"
#include "poppyway/policy/impl/slot_broker.h"
#include "poppyway/policy/impl/slot_turnover.h"
#include "poppyway/policy/impl/slow_start.h"
#include "poppyway/policy/impl/starvation_guard.h"
#include "poppyway/policy/impl/stream_origins.h"
#include "poppyway/policy/impl/tier.h"
#include "poppyway/policy/impl/wait_estimate.h"
