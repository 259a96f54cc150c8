// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy/impl/brittleness.h"
#include "poppyway/policy/impl/instance_share.h"
#include "poppyway/policy/impl/last_responses.h"
#include "poppyway/policy/impl/outage_detector.h"
#include "poppyway/policy/impl/quota_bucket.h"
#include "poppyway/policy/impl/retry_budget.h"
#include "poppyway/policy/impl/rollout_trial.h"
#include "poppyway/policy/impl/round_trip_table.h"
#include "poppyway/policy/impl/server_choice.h"
#include "poppyway/policy/impl/server_eligibility.h"
#include "poppyway/policy/impl/server_health.h"
#include "poppyway/policy/impl/server_limit.h"
#include "poppyway/policy/impl/server_notice.h"
#include "poppyway/policy/impl/server_order.h"
#include "poppyway/policy/impl/slot_turnover.h"
#include "poppyway/policy/impl/slow_start.h"
#include "poppyway/policy/impl/starvation_guard.h"
#include "poppyway/policy/impl/stream_origins.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief Identifies a slot or the request for one. It is unique within the requesting instance.
using SlotRef = std::int64_t;

/// \brief A segment of a prompt that several requests may share.
struct PromptSegment {
  std::uint64_t m_id = 0;
  std::int64_t m_tokens = 0;

  friend bool operator==(const PromptSegment&, const PromptSegment&) = default;
};

/// \brief A backend server as listed in the registry.
struct BackendServer {
  std::string m_id;
  std::string m_pool;
  std::string m_data_centre;
  int m_slots = 1;  ///< Number of requests that the server processes concurrently.
  /// The server announced that it is leaving, is gone, or lost its address to another server.
  bool m_leaving = false;
  std::string m_version;          ///< Version of the server's software.
  std::string m_region;           ///< Region of the server's data centre; empty if unknown.
  bool m_evacuated = false;       ///< New work is kept out of the server's data centre.
  std::int64_t m_started_ms = 0;  ///< Unix milliseconds of the process start; zero if not reported.
  Duration m_cold_left{};  ///< Remaining cold time that the server reported with its last change.
  std::string m_address;
  std::uint16_t m_port = 0;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// \brief A request that needs a slot at a backend server.
struct SlotRequest {
  SlotRef m_ref = 0;
  std::string m_pool;
  std::string m_workspace;    ///< Empty if the request belongs to no workspace.
  std::string m_data_centre;  ///< Data centre of the requesting instance.
  RouteKey m_route = 0;
  Tier m_tier = 0;  ///< Tier of the workspace.
  /// State at the time of the request. `m_tier` is the route's tier; the broker sets `m_events`.
  RequestShape m_shape;
  std::int64_t m_expected_tokens = 0;
  Duration m_wait{};  ///< Longest time that the request may wait for a slot.
  std::vector<PromptSegment> m_prompt_segments;
  /// Servers that the request was sent to or whose slot was returned; they are excluded.
  std::vector<std::string> m_tried;
  QuotaRequest m_quota;
  QuotaLimit m_limit;
  HomeRegions m_allowed_regions;  ///< Regions where the request may be served.
  /// A server got the request before, so this one counts against the retry limit.
  bool m_retry = false;
  Continuation m_continuation;

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// \brief Result of a slot request.
enum class SlotVerdict : std::uint8_t {
  kPlaced,
  kQueued,     ///< The request waits at the broker; a second response follows.
  kNoRoom,     ///< No slot is forecast in time, or none came free before the wait ended.
  kOverLimit,  ///< The workspace has used up its limit.
  /// The pool has no server, or home regions or evacuations leave none that may serve the request.
  kNoServer,
  kNoRetry,        ///< The retries of all instances have used up their limit.
  kUnknownStream,  ///< Nobody knows which software version began the stream that should go on.
};

/// \brief Number of values of `SlotVerdict`.
inline constexpr std::size_t kSlotVerdicts = 7;

/// \brief Returns the verdict's name for logs and counters.
[[nodiscard]] std::string_view SlotVerdictName(SlotVerdict verdict) noexcept;

/// \brief The broker's response to a slot request.
struct SlotResponse {
  std::string m_instance;  ///< Incarnation of the requesting instance.
  SlotRef m_ref = 0;
  SlotVerdict m_verdict = SlotVerdict::kPlaced;
  std::string m_server;
  /// Forecast time to the first event, or to the whole response of a service that doesn't
  /// stream.
  Duration m_time_to_first_event{};
  double m_limit_left = 0;  ///< Remaining amount of the workspace's limit.
  /// If the request is rejected: forecast time until a slot comes free; zero if unknown.
  Duration m_estimated_wait{};
  std::int64_t m_started_ms = 0;  ///< Process start time of the server.
  std::string m_address;          ///< Address of the server.
  std::uint16_t m_port = 0;
  SoftwareId m_software = 0;  ///< With a slot: software version of the server.
  /// With a slot: retries for the pool that all instances together may still make.
  std::optional<double> m_retries_left;

  friend bool operator==(const SlotResponse&, const SlotResponse&) = default;
};

/// \brief Observations of a request at its slot. A field that is zero carries no information.
struct SlotReport {
  SlotRef m_ref = 0;
  /// Set with the first event: prompt tokens of the request, which the server read before it.
  std::int64_t m_tokens_read = 0;
  Duration m_time_to_first_event{};  ///< Time from dispatch to the first event.
  bool m_ended = false;              ///< The request has ended and its slot is free.
  bool m_may_have_run = true;        ///< The server may have executed the request.
  std::optional<HealthSignal> m_health_signal;
  bool m_failed = false;       ///< The response is complete and reports a failure of the server.
  Duration m_service{};        ///< Time from dispatch to the end of a complete response.
  std::int64_t m_events = 0;   ///< Number of events of a complete stream.
  Duration m_span{};           ///< Time from the first event to the last.
  Duration m_longest_pause{};  ///< Longest time between two consecutive events.
  Duration m_connect{};        ///< Time to establish a new connection.
  bool m_head = false;         ///< A response head has arrived since the last report.
  /// With `m_head`: requests per second that the server states to take; unset: any number.
  std::optional<double> m_limit_per_s;
  /// With `m_head`: rejections per second above which the server ends; unset: it isn't brittle.
  std::optional<double> m_max_rejections;

  friend bool operator==(const SlotReport&, const SlotReport&) = default;
};

/// \brief A slot that an instance holds and reports to the broker.
struct HeldSlot {
  SlotRef m_ref = 0;
  std::string m_server;
  std::int64_t m_pending_prefill_tokens = 0;  ///< Prompt tokens that the server hasn't read yet.
  std::int64_t m_expected_tokens = 0;
  /// Time at which this broker assigned the slot; zero if the instance reported it.
  Instant m_taken{};
  /// Workspace that this broker charged for the request; empty if it charged none.
  std::string m_workspace;
  double m_cost = 0;
  RouteKey m_route = 0;
  /// Process start time of the server when the slot was taken; zero if not reported.
  std::int64_t m_started_ms = 0;
  /// Version of the server when the slot was taken, as the broker knew it.
  std::string m_version;
  /// Region of the requesting instance; empty if unknown or if this broker didn't assign the slot.
  std::string m_from;

  friend bool operator==(const HeldSlot&, const HeldSlot&) = default;
};

/// \brief State of a workspace's limit that an instance reports when it connects to a broker.
struct LimitReport {
  std::string m_workspace;
  QuotaLimit m_limit;
  double m_limit_left = 0;   ///< Remaining amount that a broker last reported.
  Duration m_age{};          ///< Time since a broker reported `m_limit_left`.
  std::int64_t m_epoch = 0;  ///< Epoch of the broker that reported it; zero if none did.
  /// Cost that this instance has charged since it lost that broker.
  double m_charged_without_broker = 0;

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// \brief A server responded at its address to a request for another one that registered there.
struct ServerResponded {
  std::string m_server;
  std::string m_expected;

  friend bool operator==(const ServerResponded&, const ServerResponded&) = default;
};

/// \brief Everything that an instance sends to the broker in one message.
struct SlotBatch {
  std::int64_t m_epoch = 0;
  bool m_resync = false;  ///< `m_held` lists all slots that the instance holds.
  int m_instances = 1;    ///< Number of active instances that the sender last knew of.
  std::vector<HeldSlot> m_held;
  std::vector<LimitReport> m_limits;
  std::vector<RetryReport> m_retries;
  std::vector<ServerNotice> m_notices;  ///< With a resync: all notices that are still in effect.
  std::vector<SlotRef> m_cancelled_requests;
  std::vector<SlotReport> m_reports;
  /// Streams that servers have begun. With a resync: all that may still be continued.
  std::vector<StreamOrigin> m_begun_streams;
  std::vector<ServerResponded> m_responded;
  std::vector<SlotRequest> m_slot_requests;

  [[nodiscard]] bool empty() const noexcept {
    return !m_resync && m_held.empty() && m_limits.empty() && m_retries.empty() &&
           m_notices.empty() && m_cancelled_requests.empty() && m_reports.empty() &&
           m_begun_streams.empty() && m_responded.empty() && m_slot_requests.empty();
  }
  friend bool operator==(const SlotBatch&, const SlotBatch&) = default;
};

/// \brief Order of the queue: requests of underserved groups first, then by the workspace's tier,
/// the route's tier, continuations first, length class (shorter responses first) and arrival.
struct SlotQueueOrder {
  bool m_underserved = false;  ///< The group is underserved: see `IsUnderserved`.
  Tier m_tier = 0;
  Tier m_route_tier = 0;
  int m_length_class = 0;  ///< Doublings of the expected response length above the usual one.
  std::int64_t m_number = 0;
  bool m_is_new = true;  ///< False for a continuation: others can go to servers of any version.

  friend bool operator==(const SlotQueueOrder&, const SlotQueueOrder&) = default;
  friend bool operator<(const SlotQueueOrder& a, const SlotQueueOrder& b) {
    return std::tie(b.m_underserved, a.m_tier, a.m_route_tier, a.m_is_new, a.m_length_class,
                    a.m_number) < std::tie(a.m_underserved, b.m_tier, b.m_route_tier, b.m_is_new,
                                           b.m_length_class, b.m_number);
  }
};

/// \brief A slot request that waits at the broker.
struct QueuedSlotRequest {
  std::string m_instance;
  SlotRequest m_request;
  ShareGroup m_group;
  SlotQueueOrder m_order;
  Instant m_requested_at{};
  Instant m_deadline{};  ///< The request is rejected at this time.
  /// Some server can meet the request's targets, so it isn't assigned to one that can't.
  bool m_needs_suitable = false;
};

/// \brief Servers that likely cache a prompt segment: index in the pool and time of the last
/// request with that segment.
using SegmentServers = std::vector<std::pair<std::size_t, Instant>>;

/// \brief The servers of a pool and its queue. The per-server vectors run in parallel.
struct SlotPool {
  std::vector<BackendServer> m_servers;
  std::vector<ServerView> m_views;  ///< `m_other_in_flight` counts all slots taken.
  std::vector<ServerHealth> m_health;
  std::vector<LastResponses> m_responses;
  std::vector<ServerNotices> m_notices;
  Instant m_back_off_until{};  ///< After this time no back-off of the pool's servers is in effect.
  std::vector<ServerLimit> m_limits;  ///< Rates that the servers stated.
  std::vector<Brittleness> m_brittleness;
  std::vector<SlowStartState> m_slow_starts;
  /// Limit of the pool's servers; by default they are never cold.
  SlowStartLimit m_slow_start_limit;
  std::map<SlotQueueOrder, QueuedSlotRequest> m_waiting;
  /// Number of waiting requests of each class: their orders without the arrival, which is zero.
  std::map<SlotQueueOrder, int> m_waiting_by_class;
  /// Mean logarithm of the expected tokens, by route tier.
  std::array<double, kTiers> m_mean_log_tokens{};
  std::unordered_map<std::uint64_t, SegmentServers> m_prompt_segments;  ///< By segment id.
  ServerPerformance m_typical;
  Instant m_typical_at{};
  double m_mean_prompt_tokens = 0;  ///< Of the last requests.
  ServerOrder m_order;              ///< Of a large pool; made when a request needs it.
  Instant m_order_at{};             ///< When the order was made.
  std::size_t m_unused = 0;         ///< Servers at that time that leave or are suspect.
  bool m_any_evacuated = false;     ///< One of the servers was evacuated at that time.
  SlotTurnover m_turnover;
  SharedRetryBudget m_retries;  ///< Of all instances.
  ServedShares m_shares;
  /// The version of all servers that the pool had lately, those that are gone included; zero: it
  /// had several.
  SoftwareId m_sole_software = 0;
  bool m_had_several_versions = false;  ///< Since this broker began.
  std::optional<RolloutTrial> m_trial;  ///< Trial of the roll-out in progress.
};

/// \brief A roll-out in progress, as recorded in the replicated log.
struct SlotRollout {
  std::string m_pool;
  TrialCheckpoint m_start;

  friend bool operator==(const SlotRollout&, const SlotRollout&) = default;
};

/// \brief The broker's state of one instance.
struct InstanceSlots {
  std::unordered_map<SlotRef, HeldSlot> m_held;
  /// The waiting requests with their pools.
  std::unordered_map<SlotRef, std::pair<std::string, SlotQueueOrder>> m_waiting;
  Instant m_last_heard{};
  /// Data centre in the instance's last slot request; empty before the first.
  std::string m_data_centre;
  Instant m_last_response{};  ///< When it last reported a response of any server; zero: never.
  /// The first server that it has reported since then as failing without a response; empty: none.
  std::string m_failing_server;
};

/// \brief A server ejected for its failures, to be logged.
struct EjectedServer {
  std::string m_server;
  std::string m_reported_by;  ///< Instance whose report led to the ejection.
  ServerHealth m_health;
  /// When that instance last reported a response of any server; zero: never.
  Instant m_reporter_last_response{};
  /// When the server last responded to another instance; zero: never.
  Instant m_last_response_to_others{};

  friend bool operator==(const EjectedServer&, const EjectedServer&) = default;
};

/// \brief A server that announced in a response that it is leaving, to be logged.
struct LeavingServer {
  std::string m_server;
  std::string m_reported_by;  ///< First instance that reported it.

  friend bool operator==(const LeavingServer&, const LeavingServer&) = default;
};

/// \brief The broker of a deployment. It assigns each request a slot at a backend server.
///
/// All slots are assigned and released here, so the number of requests in flight at a server is
/// exact and current for any number of instances. Speeds, lengths and failures are learned from the
/// responses to all instances, and all waiting requests are served in one order. The functions
/// below use no clock and no global state: time and seed are arguments, responses are appended to
/// `out`. Not thread-safe; a broker is used by one thread.
struct SlotBroker {
  std::int64_t m_epoch = 0;
  Instant m_began{};
  Duration m_may_serve{};         ///< Time that an instance without a broker goes on serving.
  InstanceCount m_instances;      ///< Active instances, whether reachable or not.
  int m_reachable_instances = 0;  ///< Active instances with a recent message.
  std::map<std::string, SlotPool> m_pools;
  /// Pool and index in it, by server id.
  std::unordered_map<std::string, std::pair<std::string, std::size_t>> m_server_index;
  std::map<std::string, InstanceSlots> m_instance_slots;  ///< By incarnation.
  std::map<std::string, QuotaBucket> m_limits;            ///< By workspace.
  RetryLimit m_retry_limit;                               ///< Of each pool.
  /// Number of reported failures that say something of the reporting instance, not of the server.
  std::int64_t m_disregarded_failures = 0;
  std::vector<EjectedServer> m_ejected;         ///< The owner logs and clears them.
  std::vector<LeavingServer> m_leaving_events;  ///< The owner logs and clears them.
  StreamOrigins m_origins;                      ///< Of the streams of all instances.
  OutageDetector m_outages;                     ///< Fed by the reports of all instances.
  std::vector<OutageEvent> m_outage_events;     ///< The owner logs and clears them.
  /// By pool: number of times that a request found no slot at any server while cold servers were at
  /// their limit.
  std::map<std::string, std::int64_t> m_cold_waits;
  double m_tokens_per_event = 0;  ///< Learned from reports; zero until known.
  RegionMap m_regions;            ///< Regions of all data centres.
  RoundTripTable m_round_trip_table;
  std::int64_t m_next_number = 1;
  std::uint64_t m_random = 1;
};

/// \brief Returns a broker that knows no server and no instance yet.
/// \param epoch this broker's epoch; earlier brokers have lower ones.
/// \param seed seed of random choices.
/// \param may_serve time that an instance without a broker goes on serving.
[[nodiscard]] SlotBroker MakeSlotBroker(std::int64_t epoch,
                                        std::uint64_t seed,
                                        Duration may_serve,
                                        Instant now);

/// \brief Replaces the list of servers. Requests in flight and learned values are kept by server
/// id. For a restarted server only the learned performance is kept: requests in flight at its
/// earlier process and later reports of them no longer count.
void SetServers(SlotBroker& broker, const std::vector<BackendServer>& servers);

/// \brief Sets the region of each data centre.
void SetRegions(SlotBroker& broker, RegionMap regions);

/// \brief Sets the version of each pool whose servers all have, or had until they went, the same
/// one. Pools not named have several. Must be called after `SetServers`.
void SetSoleVersions(SlotBroker& broker, const std::map<std::string, SoftwareId>& sole_versions);

/// \brief Sets the limit of all instances' retries for each pool.
void SetRetryLimit(SlotBroker& broker, const RetryLimit& limit);

/// \brief Sets the slow-start limit of each pool. Pools not named get none.
void SetSlowStartLimits(SlotBroker& broker, const std::map<std::string, SlowStartLimit>& limits);

/// \brief Updates the slow-start state of all servers from their records.
/// Precondition: `SetServers` and `SetSlowStartLimits` have been called.
void UpdateSlowStart(SlotBroker& broker, Instant now);

/// \brief Replaces the set of roll-outs in progress. The learned state of those that continue is
/// kept.
void SetRollouts(SlotBroker& broker,
                 const std::vector<SlotRollout>& rollouts,
                 const ExposureBounds& bounds);

/// \brief Applies a batch: held slots, cancellations and reports first, then the new slot requests.
/// \param out responses to any instance are appended.
/// Precondition: the batch is of this broker's epoch, and its sender is known or sends a resync.
void ApplyBatch(SlotBroker& broker,
                const std::string& instance,
                SlotBatch batch,
                Instant now,
                std::vector<SlotResponse>& out);

/// \brief Handles a slot request: assigns a slot, queues the request or rejects it.
/// \param out the response is appended.
void RequestSlot(SlotBroker& broker,
                 const std::string& instance,
                 SlotRequest slot_request,
                 Instant now,
                 std::vector<SlotResponse>& out);

/// \brief Removes a waiting request, because its caller left or its instance decided without the
/// broker. Refunds its cost. Does nothing if the request doesn't wait.
void CancelRequest(SlotBroker& broker, const std::string& instance, SlotRef ref);

/// \brief Learns from a report, and assigns a slot that comes free to the next waiting requests.
/// \param out responses to any instance are appended.
void ApplyReport(SlotBroker& broker,
                 const std::string& instance,
                 const SlotReport& report,
                 Instant now,
                 std::vector<SlotResponse>& out);

/// \brief Counts a slot that an instance took without the broker.
void Hold(SlotBroker& broker, const std::string& instance, const HeldSlot& held, Instant now);

/// \brief Applies a notice that a server sent to an instance. A notice of another process than the
/// known one is ignored.
void ApplyServerNotice(SlotBroker& broker,
                       const std::string& instance,
                       const ServerNotice& notice,
                       Instant now);

/// \brief Forgets all slots and requests of an instance, which is gone or then reports its held
/// slots again.
/// \param instances number of active instances that the sender last knew of; zero if the instance
/// is gone.
void ForgetInstance(SlotBroker& broker, const std::string& instance, int instances, Instant now);

/// \brief Applies an instance's report of a workspace's limit.
void ApplyLimitReport(SlotBroker& broker, const LimitReport& report, Instant now);

/// \brief Applies an instance's report of the retries for a pool.
void ApplyRetryReport(SlotBroker& broker, const RetryReport& report, Instant now);

/// \brief Removes an instance that is gone: frees its slots, drops its slot requests and
/// assigns the freed slots to waiting requests.
/// \param out responses to other instances are appended.
void RemoveInstance(SlotBroker& broker,
                    const std::string& instance,
                    Instant now,
                    std::vector<SlotResponse>& out);

/// \brief Rejects waiting requests whose time is over or that no server may serve, and assigns
/// slots to those that a server can take now: ejected servers are probed again, and a new broker
/// learns of slots. Call it periodically.
void TickBroker(SlotBroker& broker, Instant now, std::vector<SlotResponse>& out);

/// \brief Returns the share of the active instances that have reported their held slots to a new
/// broker, which assigns only that share of each server's slots.
///
/// An instance reports its slots when it connects, so this is `ReachableShare`. Once the time to
/// report is over, it is 1.0.
[[nodiscard]] double ReportedShare(const SlotBroker& broker, Instant now) noexcept;

/// \brief Returns the share of the active instances that are reachable.
///
/// The others may be disconnected and go on serving within their even shares of the limits, so the
/// broker grants only this share of a limit's rate. With half of eight instances disconnected for
/// the 4.5 s that they may serve, the whole rate here plus their even shares would add up to one
/// and a half times a limit.
[[nodiscard]] double ReachableShare(const SlotBroker& broker) noexcept;

/// \brief Returns the number of retries for the pool that the broker may allow now. The part of
/// instances that aren't reachable is withheld, since they use it without the broker.
[[nodiscard]] double RetriesLeft(const SlotBroker& broker, const SlotPool& pool) noexcept;

/// \brief Returns how many times the expected response length is double the usual one, from zero up
/// to `kLengthClasses` - 1, and updates the usual length.
/// \param usual mean logarithm (base 2) of the expected tokens; updated.
[[nodiscard]] int LengthClass(double& usual, std::int64_t expected_tokens) noexcept;

}  // namespace poppyway
