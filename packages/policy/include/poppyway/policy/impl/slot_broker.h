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
#include "poppyway/policy/impl/instance_share.h"
#include "poppyway/policy/impl/outage_detector.h"
#include "poppyway/policy/impl/quota_bucket.h"
#include "poppyway/policy/impl/rollout_trial.h"
#include "poppyway/policy/impl/round_trip_table.h"
#include "poppyway/policy/impl/server_choice.h"
#include "poppyway/policy/impl/server_eligibility.h"
#include "poppyway/policy/impl/server_health.h"
#include "poppyway/policy/impl/server_notice.h"
#include "poppyway/policy/impl/slot_turnover.h"
#include "poppyway/policy/impl/slow_start.h"
#include "poppyway/policy/impl/starvation_guard.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief Names a place or the request for one, within the instance that asks.
using SlotRef = std::int64_t;

/// \brief A part of a prompt that requests may share.
struct PromptSegment {
  std::uint64_t m_id = 0;
  std::int64_t m_tokens = 0;

  friend bool operator==(const PromptSegment&, const PromptSegment&) = default;
};

/// \brief A backend server as the registry knows it.
struct BackendServer {
  std::string m_id;
  std::string m_pool;
  std::string m_data_centre;
  int m_slots = 1;                ///< Requests it works on at once.
  bool m_leaving = false;         ///< It said so, is gone, or another one took its address.
  std::string m_version;          ///< Of its software.
  std::string m_region;           ///< Of its data centre; empty: not known.
  bool m_evacuated = false;       ///< Its data centre is to get nothing new.
  std::int64_t m_started_ms = 0;  ///< Unix milliseconds of this life's start; zero: not told.
  Duration m_cold_left{};         ///< As it said when it last changed.
  std::string m_address;
  std::uint16_t m_port = 0;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// \brief One request that wants a place now.
struct SlotRequest {
  SlotRef m_ref = 0;
  std::string m_pool;
  std::string m_workspace;    ///< Empty: it belongs to none.
  std::string m_data_centre;  ///< Of the instance that asks.
  RouteKey m_route = 0;
  Tier m_tier = 0;       ///< Of the workspace.
  RequestShape m_shape;  ///< As of now; `m_tier` is the route's. `m_events` is set by the broker.
  std::int64_t m_expected_tokens = 0;
  Duration m_wait{};  ///< Its caller waits for so long.
  std::vector<PromptSegment> m_prompt_segments;
  std::vector<std::string> m_tried;  ///< Servers that it must not go to.
  QuotaRequest m_quota;
  QuotaLimit m_limit;
  HomeRegions m_home_regions;  ///< Where it may be served.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// \brief What became of a place request.
enum class SlotVerdict : std::uint8_t {
  kPlaced,
  kQueued,     ///< It waits at the broker; a second answer follows.
  kNoRoom,     ///< It waited for as long as it may.
  kOverLimit,  ///< The workspace has used up its limit.
  kNoServer,   ///< The pool has no server, or none where it may be served: homes, evacuations.
};

/// \brief Text for logs and counters.
[[nodiscard]] std::string_view SlotVerdictName(SlotVerdict verdict) noexcept;

/// \brief The broker's answer to one place request.
struct SlotResponse {
  std::string m_instance;  ///< The instance, by incarnation.
  SlotRef m_ref = 0;
  SlotVerdict m_verdict = SlotVerdict::kPlaced;
  std::string m_server;
  Duration
      m_time_to_first_event{};  ///< Forecast of the first event, or the answer of a plain service.
  double m_limit_left = 0;      ///< Of the workspace's limit.
  Duration
      m_estimated_wait{};  ///< Of a refusal: when there is room, as far as can be told. Zero: not.
  std::int64_t m_started_ms = 0;  ///< Of the server.
  std::string m_address;          ///< Of the server.
  std::uint16_t m_port = 0;

  friend bool operator==(const SlotResponse&, const SlotResponse&) = default;
};

/// \brief What a request met at its place. An entry of zero says nothing.
struct SlotReport {
  SlotRef m_ref = 0;
  std::int64_t m_tokens_read = 0;    ///< With its first event: prompt tokens that were ahead of it.
  Duration m_time_to_first_event{};  ///< From dispatch to the first event.
  bool m_ended = false;              ///< The place is free.
  bool m_may_have_run = true;        ///< The server may have run it.
  std::optional<HealthSignal> m_health_signal;
  bool m_failed = false;       ///< The answer came whole and is a failure of the server.
  Duration m_service{};        ///< From dispatch to the end of a whole answer.
  std::int64_t m_events = 0;   ///< Of a whole stream.
  Duration m_span{};           ///< From the first event to the last.
  Duration m_longest_pause{};  ///< The longest between two events.
  Duration m_connect{};        ///< A new connection took so long to come up.

  friend bool operator==(const SlotReport&, const SlotReport&) = default;
};

/// \brief A place that an instance holds and the broker has to be told of.
struct HeldSlot {
  SlotRef m_ref = 0;
  std::string m_server;
  std::int64_t m_pending_prefill_tokens = 0;  ///< Of its prompt, not read yet.
  std::int64_t m_expected_tokens = 0;
  Instant m_taken{};        ///< Given by this broker then; zero: it was told of it.
  std::string m_workspace;  ///< Charged for it here; empty: not here.
  double m_cost = 0;
  RouteKey m_route = 0;
  std::int64_t m_started_ms = 0;  ///< Of the server when the place was taken; zero: not told.
  std::string m_version;          ///< Of the server then, as the broker knew it.
  std::string m_from;             ///< Region that asked; empty: not known, or not given here.

  friend bool operator==(const HeldSlot&, const HeldSlot&) = default;
};

/// \brief What an instance tells of a workspace's limit when it finds a broker.
struct LimitReport {
  std::string m_workspace;
  QuotaLimit m_limit;
  double m_limit_left = 0;              ///< As a broker last said.
  Duration m_age{};                     ///< Of that word.
  std::int64_t m_epoch = 0;             ///< Of the broker that said it; zero: none did.
  double m_charged_without_broker = 0;  ///< By this instance since that broker was lost.

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// \brief All that an instance has for the broker at one moment.
struct SlotBatch {
  std::int64_t m_epoch = 0;
  bool m_resync = false;  ///< `m_held` is all that the instance holds.
  int m_instances = 1;    ///< At work, as it last knew.
  std::vector<HeldSlot> m_held;
  std::vector<LimitReport> m_limits;
  std::vector<ServerNotice> m_notices;  ///< With a resync all that hold still.
  std::vector<SlotRef> m_cancelled_requests;
  std::vector<SlotReport> m_reports;
  std::vector<SlotRequest> m_slot_requests;

  [[nodiscard]] bool empty() const noexcept {
    return !m_resync && m_held.empty() && m_limits.empty() && m_notices.empty() &&
           m_cancelled_requests.empty() && m_reports.empty() && m_slot_requests.empty();
  }
  friend bool operator==(const SlotBatch&, const SlotBatch&) = default;
};

/// \brief The order of service: what is owed a place, then the workspace's tier, the route's,
/// shorter answers before much longer ones, then age.
struct SlotQueueOrder {
  bool m_owed = false;  ///< Its group was served too seldom: see `IsOwedSlot`.
  Tier m_tier = 0;
  Tier m_route_tier = 0;
  int m_length_class = 0;  ///< Of the expected answer: doublings above the usual.
  std::int64_t m_number = 0;

  friend bool operator==(const SlotQueueOrder&, const SlotQueueOrder&) = default;
  friend bool operator<(const SlotQueueOrder& a, const SlotQueueOrder& b) {
    return std::tie(b.m_owed, a.m_tier, a.m_route_tier, a.m_length_class, a.m_number) <
           std::tie(a.m_owed, b.m_tier, b.m_route_tier, b.m_length_class, b.m_number);
  }
};

/// \brief A place request that waits at the broker.
struct QueuedSlotRequest {
  std::string m_instance;
  SlotRequest m_request;
  ShareGroup m_group;
  SlotQueueOrder m_order;
  Instant m_asked{};
  Instant m_until{};              ///< Refused then.
  bool m_needs_suitable = false;  ///< Some server suits it, so one that doesn't gets it not.
};

/// \brief Which servers keep a part of a prompt, by index in the pool, with when it was sent there.
using PartKeepers = std::vector<std::pair<std::size_t, Instant>>;

/// \brief The servers of a pool and what waits for them. The vectors run in parallel.
struct SlotPool {
  std::vector<BackendServer> m_servers;
  std::vector<ServerView> m_views;  ///< `m_other_in_flight` counts all places taken.
  std::vector<ServerHealth> m_health;
  std::vector<ServerNotices> m_notices;
  Instant m_back_off_until{};  ///< No server backs off from an instance after it.
  std::vector<SlowStartState> m_slow_starts;
  SlowStartLimit m_slow_start_limit;  ///< Of its servers; by default they are never cold.
  std::map<SlotQueueOrder, QueuedSlotRequest> m_waiting;
  std::array<double, kTiers> m_mean_log_tokens{};  ///< Logarithm of expected tokens, by rank.
  std::unordered_map<std::uint64_t, PartKeepers> m_prompt_segments;  ///< By the part's id.
  ServerPerformance m_typical;
  Instant m_typical_at{};
  SlotTurnover m_flow;
  ServedShares m_shares;
  std::optional<RolloutTrial> m_trial;  ///< Of a roll-out under way.
};

/// \brief A roll-out under way, as the log has it.
struct SlotRollout {
  std::string m_pool;
  TrialCheckpoint m_start;

  friend bool operator==(const SlotRollout&, const SlotRollout&) = default;
};

/// \brief What the broker knows of one instance.
struct InstanceSlots {
  std::unordered_map<SlotRef, HeldSlot> m_held;
  std::unordered_map<SlotRef, std::pair<std::string, SlotQueueOrder>>
      m_waiting;  ///< With the pool.
  Instant m_last_heard{};
  std::string m_data_centre;  ///< As its place requests say; empty: none came yet.
};

/// \brief A server that is kept from new work since the last look, for the log.
struct EjectedServer {
  std::string m_server;
  std::string m_reported_by;  ///< The instance whose report was the last straw.
  ServerHealth m_health;

  friend bool operator==(const EjectedServer&, const EjectedServer&) = default;
};

/// \brief A server that has said in an answer that it leaves since the last look, for the log.
struct LeavingServer {
  std::string m_server;
  std::string m_reported_by;  ///< The first instance that told.

  friend bool operator==(const LeavingServer&, const LeavingServer&) = default;
};

/// \brief The one broker of a deployment: it gives each request its place at a backend server.
///
/// Every place is given here and given back here, so what is in flight at a server is known exactly
/// and at once, whatever the number of instances; speeds, lengths and failures are learned from all
/// answers together; and what waits anywhere is served in one order. The functions below are pure:
/// time and randomness are arguments, answers are returned. One thread.
struct SlotBroker {
  std::int64_t m_epoch = 0;
  Instant m_began{};
  Duration m_may_serve{};         ///< An instance out of touch serves on for so long.
  InstanceCount m_instances;      ///< At work, whether they are heard or not.
  int m_reachable_instances = 0;  ///< Of those, heard lately.
  std::map<std::string, SlotPool> m_pools;
  std::unordered_map<std::string, std::pair<std::string, std::size_t>>
      m_server_index;                                     ///< By id: pool and index there.
  std::map<std::string, InstanceSlots> m_instance_slots;  ///< By incarnation.
  std::map<std::string, QuotaBucket> m_limits;            ///< By workspace.
  std::vector<EjectedServer> m_ejected;         ///< To be logged and cleared by the owner.
  std::vector<LeavingServer> m_leaving_events;  ///< To be logged and cleared by the owner.
  OutageDetector m_outages;                     ///< Fed by the reports of all instances.
  std::vector<OutageEvent> m_outage_events;     ///< To be logged and cleared by the owner.
  /// By pool: looks at all servers that found no room for a request while cold ones were full.
  std::map<std::string, std::int64_t> m_cold_waits;
  double m_tokens_per_event = 0;  ///< Learned; zero: not known yet.
  RegionMap m_regions;            ///< Of all data centres.
  RoundTripTable m_round_trip_table;
  std::int64_t m_next_number = 1;
  std::uint64_t m_random = 1;
};

/// \brief A broker that knows no server and no instance yet.
/// \param may_serve for how long an instance out of touch goes on serving.
[[nodiscard]] SlotBroker MakeSlotBroker(std::int64_t epoch,
                                        std::uint64_t seed,
                                        Duration may_serve,
                                        Instant now);

/// \brief Takes the whole list of servers. What is in flight and learned stays with their ids. Of a
/// server that started again only its pace stays: what was in flight at its earlier life no longer
/// counts, nor do later reports of that.
void SetServers(SlotBroker& broker, const std::vector<BackendServer>& servers);

/// \brief Takes the region of each data centre.
void SetRegions(SlotBroker& broker, RegionMap regions);

/// \brief Takes what each pool says of its cold servers; of a pool that isn't named, nothing.
void SetSlowStartLimits(SlotBroker& broker, const std::map<std::string, SlowStartLimit>& limits);

/// \brief Takes what the servers' records say of being cold. To be called after `SetServers` and
/// `SetSlowStartLimits`.
void UpdateSlowStart(SlotBroker& broker, Instant now);

/// \brief Takes all roll-outs that are under way. What is known of those that go on stays.
void SetRollouts(SlotBroker& broker,
                 const std::vector<SlotRollout>& rollouts,
                 const ExposureBounds& bounds);

/// \brief Takes all of a batch: what is held and free first, then the new place requests.
/// Precondition: it is of this broker's epoch, and its sender known or in resync.
void ApplyBatch(SlotBroker& broker,
                const std::string& instance,
                SlotBatch batch,
                Instant now,
                std::vector<SlotResponse>& out);

/// \brief One place request; answers may be for others too.
void RequestSlot(SlotBroker& broker,
                 const std::string& instance,
                 SlotRequest slot_request,
                 Instant now,
                 std::vector<SlotResponse>& out);

/// \brief The caller of a waiting request left, or its instance decided alone.
void CancelRequest(SlotBroker& broker, const std::string& instance, SlotRef ref);

/// \brief Learns from a report; a place that comes free is given to who is next.
void ApplyReport(SlotBroker& broker,
                 const std::string& instance,
                 const SlotReport& report,
                 Instant now,
                 std::vector<SlotResponse>& out);

/// \brief Takes in a place that was taken without the broker.
void Hold(SlotBroker& broker, const std::string& instance, const HeldSlot& held, Instant now);

/// \brief Takes what a server said of itself to an instance. A word of another life than the one
/// that is known changes nothing.
void HearWord(SlotBroker& broker,
              const std::string& instance,
              const ServerNotice& notice,
              Instant now);

/// \brief Forgets all of an instance, which then tells anew what it holds.
/// \param instances those at work, as it last knew.
void Resync(SlotBroker& broker, const std::string& instance, int instances, Instant now);

/// \brief What an instance knows of a workspace's limit.
void HearLimit(SlotBroker& broker, const LimitReport& report, Instant now);

/// \brief An instance is gone: its places are free, its place requests forgotten.
void RemoveInstance(SlotBroker& broker,
                    const std::string& instance,
                    Instant now,
                    std::vector<SlotResponse>& out);

/// \brief Refuses what has waited for long enough, and serves what has found room since: servers
/// are tried again, and a broker that began lately learns of places.
void TickBroker(SlotBroker& broker, Instant now, std::vector<SlotResponse>& out);

/// \brief Of the instances at work, the share that has told what it holds; one once the time for it
/// is over. A broker that began lately gives out that share of every server's places.
[[nodiscard]] double ToldShare(const SlotBroker& broker, Instant now) noexcept;

/// \brief Of the instances at work, the share that is heard. The others may be cut off and serve on
/// within their even parts of the limits, so the broker grants this share of a limit's rate. With
/// half of eight instances cut off for the 4.5 s that they may serve, the whole rate here and even
/// parts there would come to one and a half times a limit.
[[nodiscard]] double ReachableShare(const SlotBroker& broker) noexcept;

/// \brief How many times the expected answer is twice as long as usual, up to a bound. Learns the
/// usual length.
[[nodiscard]] int LengthClass(double& usual, std::int64_t expected_tokens) noexcept;

}  // namespace poppyway
