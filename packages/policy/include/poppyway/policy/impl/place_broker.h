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
#include "poppyway/policy/impl/cold_ramp.h"
#include "poppyway/policy/impl/outage_watch.h"
#include "poppyway/policy/impl/place_flow.h"
#include "poppyway/policy/impl/place_share.h"
#include "poppyway/policy/impl/reach.h"
#include "poppyway/policy/impl/rollout_trial.h"
#include "poppyway/policy/impl/served_share.h"
#include "poppyway/policy/impl/server_access.h"
#include "poppyway/policy/impl/server_choice.h"
#include "poppyway/policy/impl/server_health.h"
#include "poppyway/policy/impl/server_word.h"
#include "poppyway/policy/impl/shared_limit.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief Names a place or the request for one, within the instance that asks.
using PlaceRef = std::int64_t;

/// \brief A part of a prompt that requests may share.
struct PrefixPart {
  std::uint64_t m_id = 0;
  std::int64_t m_tokens = 0;

  friend bool operator==(const PrefixPart&, const PrefixPart&) = default;
};

/// \brief A backend server as the registry knows it.
struct PlaceServer {
  std::string m_id;
  std::string m_pool;
  std::string m_data_centre;
  int m_slots = 1;           ///< Requests it works on at once.
  bool m_leaving = false;    ///< It said so, is gone, or another one took its address.
  std::string m_version;     ///< Of its software.
  std::string m_region;      ///< Of its data centre; empty: not known.
  bool m_evacuated = false;  ///< Its data centre is to get nothing new.
  std::int64_t m_born = 0;   ///< Unix milliseconds of this life's start; zero: not told.
  Duration m_cold_left{};    ///< As it said when it last changed.
  std::string m_address;
  std::uint16_t m_port = 0;

  friend bool operator==(const PlaceServer&, const PlaceServer&) = default;
};

/// \brief One request that wants a place now.
struct PlaceAsk {
  PlaceRef m_ref = 0;
  std::string m_pool;
  std::string m_workspace;    ///< Empty: it belongs to none.
  std::string m_data_centre;  ///< Of the instance that asks.
  RouteKey m_route = 0;
  Tier m_tier = 0;       ///< Of the workspace.
  RequestShape m_shape;  ///< As of now; `m_tier` is the route's. `m_events` is set by the broker.
  std::int64_t m_expected_tokens = 0;
  Duration m_wait{};  ///< Its caller waits for so long.
  std::vector<PrefixPart> m_parts;
  std::vector<std::string> m_tried;  ///< Servers that it must not go to.
  QuotaRequest m_quota;
  QuotaLimit m_limit;
  HomeRegions m_homes;  ///< Where it may be served.

  friend bool operator==(const PlaceAsk&, const PlaceAsk&) = default;
};

/// \brief What became of a place request.
enum class PlaceVerdict : std::uint8_t {
  kPlaced,
  kQueued,     ///< It waits at the broker; a second answer follows.
  kNoRoom,     ///< It waited for as long as it may.
  kOverLimit,  ///< The workspace has used up its limit.
  kNoServer,   ///< The pool has no server, or none where it may be served: homes, evacuations.
};

/// \brief Text for logs and counters.
[[nodiscard]] std::string_view PlaceVerdictName(PlaceVerdict verdict) noexcept;

/// \brief The broker's answer to one place request.
struct PlaceAnswer {
  std::string m_holder;  ///< The instance, by incarnation.
  PlaceRef m_ref = 0;
  PlaceVerdict m_verdict = PlaceVerdict::kPlaced;
  std::string m_server;
  Duration m_first{};       ///< Forecast of the first event, or the answer of a plain service.
  double m_left = 0;        ///< Of the workspace's limit.
  Duration m_come_back{};   ///< Of a refusal: when there is room, as far as can be told. Zero: not.
  std::int64_t m_born = 0;  ///< Of the server.
  std::string m_address;    ///< Of the server.
  std::uint16_t m_port = 0;

  friend bool operator==(const PlaceAnswer&, const PlaceAnswer&) = default;
};

/// \brief What a request met at its place. An entry of zero says nothing.
struct PlaceReport {
  PlaceRef m_ref = 0;
  std::int64_t m_tokens_read = 0;  ///< With its first event: prompt tokens that were ahead of it.
  Duration m_first{};              ///< From dispatch to the first event.
  bool m_ended = false;            ///< The place is free.
  bool m_ran = true;               ///< The server may have run it.
  std::optional<ServerSign> m_sign;
  bool m_failed = false;      ///< The answer came whole and is a failure of the server.
  Duration m_service{};       ///< From dispatch to the end of a whole answer.
  std::int64_t m_events = 0;  ///< Of a whole stream.
  Duration m_span{};          ///< From the first event to the last.
  Duration m_pause{};         ///< The longest between two events.
  Duration m_connect{};       ///< A new connection took so long to come up.

  friend bool operator==(const PlaceReport&, const PlaceReport&) = default;
};

/// \brief A place that an instance holds and the broker has to be told of.
struct HeldPlace {
  PlaceRef m_ref = 0;
  std::string m_server;
  std::int64_t m_reading_tokens = 0;  ///< Of its prompt, not read yet.
  std::int64_t m_expected_tokens = 0;
  Instant m_taken{};        ///< Given by this broker then; zero: it was told of it.
  std::string m_workspace;  ///< Charged for it here; empty: not here.
  double m_cost = 0;
  RouteKey m_route = 0;
  std::int64_t m_born = 0;  ///< Of the server when the place was taken; zero: not told.
  std::string m_version;    ///< Of the server then, as the broker knew it.
  std::string m_from;       ///< Region that asked; empty: not known, or not given here.

  friend bool operator==(const HeldPlace&, const HeldPlace&) = default;
};

/// \brief What an instance tells of a workspace's limit when it finds a broker.
struct LimitReport {
  std::string m_workspace;
  QuotaLimit m_limit;
  double m_left = 0;         ///< As a broker last said.
  Duration m_age{};          ///< Of that word.
  std::int64_t m_epoch = 0;  ///< Of the broker that said it; zero: none did.
  double m_spent_alone = 0;  ///< By this instance since that broker was lost.

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// \brief All that an instance has for the broker at one moment.
struct PlaceBatch {
  std::int64_t m_epoch = 0;
  bool m_resync = false;  ///< `m_held` is all that the instance holds.
  int m_instances = 1;    ///< At work, as it last knew.
  std::vector<HeldPlace> m_held;
  std::vector<LimitReport> m_limits;
  std::vector<ServerWord> m_words;  ///< With a resync all that hold still.
  std::vector<PlaceRef> m_withdrawn;
  std::vector<PlaceReport> m_reports;
  std::vector<PlaceAsk> m_asks;

  [[nodiscard]] bool empty() const noexcept {
    return !m_resync && m_held.empty() && m_limits.empty() && m_words.empty() &&
           m_withdrawn.empty() && m_reports.empty() && m_asks.empty();
  }
  friend bool operator==(const PlaceBatch&, const PlaceBatch&) = default;
};

/// \brief The order of service: what is owed a place, then the workspace's tier, the route's,
/// shorter answers before much longer ones, then age.
struct PlaceOrder {
  bool m_owed = false;  ///< Its group was served too seldom: see `OwedPlace`.
  Tier m_tier = 0;
  Tier m_rank = 0;
  int m_length = 0;  ///< Of the expected answer: doublings above the usual.
  std::int64_t m_number = 0;

  friend bool operator==(const PlaceOrder&, const PlaceOrder&) = default;
  friend bool operator<(const PlaceOrder& a, const PlaceOrder& b) {
    return std::tie(b.m_owed, a.m_tier, a.m_rank, a.m_length, a.m_number) <
           std::tie(a.m_owed, b.m_tier, b.m_rank, b.m_length, b.m_number);
  }
};

/// \brief A place request that waits at the broker.
struct WaitingAsk {
  std::string m_holder;
  PlaceAsk m_ask;
  ShareGroup m_group;
  PlaceOrder m_order;
  Instant m_asked{};
  Instant m_until{};              ///< Refused then.
  bool m_needs_suitable = false;  ///< Some server suits it, so one that doesn't gets it not.
};

/// \brief Which servers keep a part of a prompt, by index in the pool, with when it was sent there.
using PartKeepers = std::vector<std::pair<std::size_t, Instant>>;

/// \brief The servers of a pool and what waits for them. The vectors run in parallel.
struct PlacePool {
  std::vector<PlaceServer> m_servers;
  std::vector<ServerView> m_views;  ///< `m_others` counts all places taken.
  std::vector<ServerHealth> m_health;
  std::vector<ServerWords> m_words;
  Instant m_back_off_until{};  ///< No server backs off from an instance after it.
  std::vector<ColdRamp> m_ramps;
  ColdLimit m_cold;  ///< Of its servers; by default they are never cold.
  std::map<PlaceOrder, WaitingAsk> m_waiting;
  std::array<double, kTiers> m_usual_length{};  ///< Logarithm of expected tokens, by rank.
  std::unordered_map<std::uint64_t, PartKeepers> m_parts;  ///< By the part's id.
  ServerPace m_typical;
  Instant m_typical_at{};
  PlaceFlow m_flow;
  ServedShares m_shares;
  std::optional<RolloutTrial> m_trial;  ///< Of a roll-out under way.
};

/// \brief A roll-out under way, as the log has it.
struct PlaceRollout {
  std::string m_pool;
  TrialStart m_start;

  friend bool operator==(const PlaceRollout&, const PlaceRollout&) = default;
};

/// \brief What the broker knows of one instance.
struct PlaceHolder {
  std::unordered_map<PlaceRef, HeldPlace> m_held;
  std::unordered_map<PlaceRef, std::pair<std::string, PlaceOrder>> m_waiting;  ///< With the pool.
  Instant m_heard{};
  std::string m_data_centre;  ///< As its place requests say; empty: none came yet.
};

/// \brief A server that is kept from new work since the last look, for the log.
struct AvoidedServer {
  std::string m_server;
  std::string m_told_by;  ///< The instance whose report was the last straw.
  ServerHealth m_health;

  friend bool operator==(const AvoidedServer&, const AvoidedServer&) = default;
};

/// \brief A server that has said in an answer that it leaves since the last look, for the log.
struct LeavingServer {
  std::string m_server;
  std::string m_told_by;  ///< The first instance that told.

  friend bool operator==(const LeavingServer&, const LeavingServer&) = default;
};

/// \brief The one broker of a deployment: it gives each request its place at a backend server.
///
/// Every place is given here and given back here, so what is in flight at a server is known exactly
/// and at once, whatever the number of instances; speeds, lengths and failures are learned from all
/// answers together; and what waits anywhere is served in one order. The functions below are pure:
/// time and randomness are arguments, answers are returned. One thread.
struct PlaceBroker {
  std::int64_t m_epoch = 0;
  Instant m_began{};
  Duration m_may_serve{};     ///< An instance out of touch serves on for so long.
  InstanceCount m_instances;  ///< At work, whether they are heard or not.
  int m_heard = 0;            ///< Of those, heard lately.
  std::map<std::string, PlacePool> m_pools;
  std::unordered_map<std::string, std::pair<std::string, std::size_t>>
      m_server_index;                            ///< By id: pool and index there.
  std::map<std::string, PlaceHolder> m_holders;  ///< By incarnation.
  std::map<std::string, SharedLimit> m_limits;   ///< By workspace.
  std::vector<AvoidedServer> m_avoided;          ///< To be logged and cleared by the owner.
  std::vector<LeavingServer> m_leaving_news;     ///< To be logged and cleared by the owner.
  OutageWatch m_outages;                         ///< Fed by the reports of all instances.
  std::vector<OutageNews> m_outage_news;         ///< To be logged and cleared by the owner.
  /// By pool: looks at all servers that found no room for a request while cold ones were full.
  std::map<std::string, std::int64_t> m_cold_waits;
  double m_tokens_per_event = 0;  ///< Learned; zero: not known yet.
  RegionMap m_regions;            ///< Of all data centres.
  ReachTable m_reach;
  std::int64_t m_next_number = 1;
  std::uint64_t m_random = 1;
};

/// \brief A broker that knows no server and no instance yet.
/// \param may_serve for how long an instance out of touch goes on serving.
[[nodiscard]] PlaceBroker BeginBroker(std::int64_t epoch,
                                      std::uint64_t seed,
                                      Duration may_serve,
                                      Instant now);

/// \brief Takes the whole list of servers. What is in flight and learned stays with their ids. Of a
/// server that started again only its pace stays: what was in flight at its earlier life no longer
/// counts, nor do later reports of that.
void SetServers(PlaceBroker& broker, const std::vector<PlaceServer>& servers);

/// \brief Takes the region of each data centre.
void SetRegions(PlaceBroker& broker, RegionMap regions);

/// \brief Takes what each pool says of its cold servers; of a pool that isn't named, nothing.
void SetColdLimits(PlaceBroker& broker, const std::map<std::string, ColdLimit>& limits);

/// \brief Takes what the servers' records say of being cold. To be called after `SetServers` and
/// `SetColdLimits`.
void TakeColdNews(PlaceBroker& broker, Instant now);

/// \brief Takes all roll-outs that are under way. What is known of those that go on stays.
void SetRollouts(PlaceBroker& broker,
                 const std::vector<PlaceRollout>& rollouts,
                 const ExposureBounds& bounds);

/// \brief Takes all of a batch: what is held and free first, then the new place requests.
/// Precondition: it is of this broker's epoch, and its sender known or in resync.
void TakeBatch(PlaceBroker& broker,
               const std::string& holder,
               PlaceBatch batch,
               Instant now,
               std::vector<PlaceAnswer>& out);

/// \brief One place request; answers may be for others too.
void Ask(PlaceBroker& broker,
         const std::string& holder,
         PlaceAsk ask,
         Instant now,
         std::vector<PlaceAnswer>& out);

/// \brief The caller of a waiting request left, or its instance decided alone.
void Withdraw(PlaceBroker& broker, const std::string& holder, PlaceRef ref);

/// \brief Learns from a report; a place that comes free is given to who is next.
void Report(PlaceBroker& broker,
            const std::string& holder,
            const PlaceReport& report,
            Instant now,
            std::vector<PlaceAnswer>& out);

/// \brief Takes in a place that was taken without the broker.
void Hold(PlaceBroker& broker, const std::string& holder, const HeldPlace& held, Instant now);

/// \brief Takes what a server said of itself to an instance. A word of another life than the one
/// that is known changes nothing.
void HearWord(PlaceBroker& broker, const std::string& holder, const ServerWord& word, Instant now);

/// \brief Forgets all of an instance, which then tells anew what it holds.
/// \param instances those at work, as it last knew.
void Resync(PlaceBroker& broker, const std::string& holder, int instances, Instant now);

/// \brief What an instance knows of a workspace's limit.
void HearLimit(PlaceBroker& broker, const LimitReport& word, Instant now);

/// \brief An instance is gone: its places are free, its place requests forgotten.
void DropHolder(PlaceBroker& broker,
                const std::string& holder,
                Instant now,
                std::vector<PlaceAnswer>& out);

/// \brief Refuses what has waited for long enough, and serves what has found room since: servers
/// are tried again, and a broker that began lately learns of places.
void TickBroker(PlaceBroker& broker, Instant now, std::vector<PlaceAnswer>& out);

/// \brief Of the instances at work, the share that has told what it holds; one once the time for it
/// is over. A broker that began lately gives out that share of every server's places.
[[nodiscard]] double ToldShare(const PlaceBroker& broker, Instant now) noexcept;

/// \brief Of the instances at work, the share that is heard. The others may be cut off and serve on
/// within their even parts of the limits, so the broker grants this share of a limit's rate. With
/// half of eight instances cut off for the 4.5 s that they may serve, the whole rate here and even
/// parts there would come to one and a half times a limit.
[[nodiscard]] double HeardShare(const PlaceBroker& broker) noexcept;

/// \brief How many times the expected answer is twice as long as usual, up to a bound. Learns the
/// usual length.
[[nodiscard]] int LengthClass(double& usual, std::int64_t expected_tokens) noexcept;

}  // namespace poppyway
