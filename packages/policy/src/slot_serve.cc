// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Assigns slots: which server a request gets, and which request gets a slot that comes free.
#include <algorithm>
#include <cmath>

#include "slot_internal.h"

namespace poppyway {
namespace {

// Number of waiting requests that a free slot is offered to.
constexpr std::size_t kServerQueueDepth = 64;
// Number of waiting requests that all servers are tried for.
constexpr std::size_t kPoolQueueDepth = 8;
// Number of waiting continuations that don't count among these.
constexpr std::size_t kMaxContinuationsTried = 64;
// Interval at which the typical performance is recomputed.
constexpr Duration kTypicalAge{100'000};

std::uint64_t NextRandom(SlotBroker& broker) {
  broker.m_random = broker.m_random * 6364136223846793005ULL + 1442695040888963407ULL;
  return broker.m_random;
}

bool Tried(const SlotRequest& slot_request, const std::string& server) {
  return std::find(slot_request.m_tried.begin(), slot_request.m_tried.end(), server) !=
         slot_request.m_tried.end();
}

/// Sets the fields of a server's view that depend on the request and the time.
/// `excluded_by_rollout`: true if a roll-out keeps ordinary work from the server.
void SetView(const OutageDetector& outages,
             SlotPool& pool,
             std::size_t i,
             const QueuedSlotRequest& waiting,
             const RoundTrips& trips,
             double reported_share,
             bool excluded_by_rollout,
             Instant now) {
  const BackendServer& server = pool.m_servers[i];
  ServerView& view = pool.m_views[i];
  const IneligibleReason reason =
      CheckServerEligibility(outages, pool, i, waiting, excluded_by_rollout, now);
  view.m_usable = reason == IneligibleReason::kNone;
  pool.m_slow_starts[i].m_full =
      reason == IneligibleReason::kCold && !IsSuspect(outages, pool, i, now);
  view.m_same_data_centre = server.m_data_centre == waiting.m_request.m_data_centre;
  view.m_round_trip = trips.empty() ? Duration(0) : RoundTripTo(trips, server.m_region);
  view.m_available_slots =
      static_cast<int>(std::ceil(view.m_slots * reported_share)) - view.m_other_in_flight;
  view.m_no_queue = pool.m_brittleness[i].m_max_rejections.has_value();
  view.m_cached_tokens = 0;
}

/// Keeps half of the pool in use however many servers are suspect: allows those with the lowest
/// failure rates.
/// `include_lost`: true if servers of lost data centres count too.
void AllowSuspects(const OutageDetector& outages,
                   SlotPool& pool,
                   const QueuedSlotRequest& waiting,
                   ServingGroup group,
                   bool include_lost,
                   Instant now) {
  std::vector<std::size_t> suspects;
  std::size_t present = 0;
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    if (!include_lost &&
        IsServerSuspect(outages, pool.m_servers[i].m_data_centre, pool.m_servers[i].m_id))
      continue;
    const IneligibleReason reason =
        CheckServerEligibility(outages, pool, i, waiting, IsExcludedByRollout(pool, group, i), now);
    // A server at its limit, or a cold one at its own, is in use unless it is suspect too.
    const bool paced =
        reason == IneligibleReason::kCold || reason == IneligibleReason::kServerLimit;
    const bool paced_in_use = paced && !IsSuspect(outages, pool, i, now);
    if (reason != IneligibleReason::kNone && reason != IneligibleReason::kSuspect && !paced_in_use)
      continue;
    ++present;
    if (reason == IneligibleReason::kSuspect)
      suspects.push_back(i);
    else
      ++usable;
  }
  if (usable * 2 >= present)
    return;
  const auto less = [&pool](std::size_t a, std::size_t b) {
    return pool.m_health[a].m_failure_rate < pool.m_health[b].m_failure_rate;
  };
  std::sort(suspects.begin(), suspects.end(), less);
  for (std::size_t k = 0; usable * 2 < present; ++k, ++usable)
    pool.m_views[suspects[k]].m_usable = true;
}

RoundTrips RoundTripsOf(const SlotBroker& broker, const SlotRequest& slot_request) {
  return RoundTripsFrom(broker.m_round_trip_table,
                        RegionOf(broker.m_regions, slot_request.m_data_centre));
}

}  // namespace

void SetViewsOf(const SlotBroker& broker,
                SlotPool& pool,
                const QueuedSlotRequest& waiting,
                const std::vector<std::size_t>& servers,
                Instant now) {
  const double reported_share = ReportedShare(broker, now);
  const RoundTrips trips = RoundTripsOf(broker, waiting.m_request);
  for (const std::size_t i : servers)
    SetView(broker.m_outages, pool, i, waiting, trips, reported_share, false, now);
}

namespace {

void SetViews(SlotBroker& broker, SlotPool& pool, const QueuedSlotRequest& waiting, Instant now) {
  const double reported_share = ReportedShare(broker, now);
  const ServingGroup group = ServingGroupOf(pool);
  const RoundTrips trips = RoundTripsOf(broker, waiting.m_request);
  std::size_t usable = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    SetView(broker.m_outages, pool, i, waiting, trips, reported_share,
            IsExcludedByRollout(pool, group, i), now);
    usable += pool.m_views[i].m_usable ? 1 : 0;
  }
  if (usable * 2 < pool.m_servers.size())
    AllowSuspects(broker.m_outages, pool, waiting, group, false, now);
  const bool none = broker.m_outages.m_suspect_count > 0 &&
                    std::none_of(pool.m_views.begin(), pool.m_views.end(),
                                 [](const ServerView& view) { return view.m_usable; });
  if (none)
    AllowSuspects(broker.m_outages, pool, waiting, group, true, now);
  SetCachedTokens(pool, waiting.m_request);
}

/// Returns the request's shape after its wait so far.
RequestShape CurrentShape(const QueuedSlotRequest& waiting, bool yields, Instant now) {
  RequestShape shape = waiting.m_request.m_shape;
  const Duration since = now - waiting.m_requested_at;
  shape.m_waited += since;
  shape.m_left -= since;
  shape.m_yields_to_higher_priority = yields;
  return shape;
}

/// Takes a slot at server `i` of the pool.
SlotResponse Take(SlotBroker& broker,
                  SlotPool& pool,
                  std::size_t i,
                  const QueuedSlotRequest& waiting,
                  Duration time_to_first_event,
                  Instant now) {
  const SlotRequest& slot_request = waiting.m_request;
  ServerView& view = pool.m_views[i];
  HeldSlot held;
  held.m_ref = slot_request.m_ref;
  const BackendServer& server = pool.m_servers[i];
  held.m_server = server.m_id;
  held.m_version = server.m_version;
  held.m_started_ms = server.m_started_ms;
  held.m_pending_prefill_tokens = slot_request.m_shape.m_prompt_tokens;
  held.m_expected_tokens = slot_request.m_expected_tokens;
  held.m_workspace = slot_request.m_workspace;
  held.m_cost = slot_request.m_quota.m_cost;
  held.m_taken = now;
  ++view.m_other_in_flight;
  view.m_pending_prefill_tokens += held.m_pending_prefill_tokens;
  BeginProbe(broker.m_outages, pool.m_servers[i].m_data_centre, held.m_server, now);
  if (IsHalfOpen(pool.m_health[i]))
    pool.m_health[i] = BeginProbe(pool.m_health[i], now);
  ViewChanged(pool, i);
  RecordPromptSegments(pool, i, slot_request, now);
  CountPlaced(pool, i);
  RecordSent(pool.m_slow_starts[i], pool.m_slow_start_limit, now);
  CountRequest(pool.m_limits[i], now);
  held.m_route = slot_request.m_route;
  held.m_from = RegionOf(broker.m_regions, slot_request.m_data_centre);
  if (!waiting.m_order.m_underserved)
    CountServed(pool.m_shares, waiting.m_group, now);
  SlotResponse response;
  response.m_instance = waiting.m_instance;
  response.m_ref = slot_request.m_ref;
  response.m_verdict = SlotVerdict::kPlaced;
  response.m_server = held.m_server;
  response.m_started_ms = server.m_started_ms;
  response.m_address = server.m_address;
  response.m_port = server.m_port;
  response.m_software = SoftwareIdOf(server.m_pool, server.m_version);
  response.m_time_to_first_event = time_to_first_event;
  response.m_retries_left = RetriesLeft(broker, pool);
  if (!slot_request.m_workspace.empty())
    response.m_limit_left = broker.m_limits[slot_request.m_workspace].m_tokens;
  broker.m_instance_slots[waiting.m_instance].m_held.insert_or_assign(slot_request.m_ref,
                                                                      std::move(held));
  return response;
}

/// Returns true if a cold server is at its limit.
bool AnyColdFull(const SlotPool& pool) {
  return std::any_of(pool.m_slow_starts.begin(), pool.m_slow_starts.end(),
                     [](const SlowStartState& slow_start) { return slow_start.m_full; });
}

}  // namespace

IneligibleReason CheckServerEligibility(const OutageDetector& outages,
                                        const SlotPool& pool,
                                        std::size_t i,
                                        const QueuedSlotRequest& waiting,
                                        bool excluded_by_rollout,
                                        Instant now) {
  const BackendServer& server = pool.m_servers[i];
  const SlotRequest& slot_request = waiting.m_request;
  EligibilityInputs inputs;
  inputs.m_leaving = server.m_leaving;
  inputs.m_evacuated = server.m_evacuated;
  inputs.m_other_version =
      IsOtherVersion(slot_request.m_continuation, server.m_pool, server.m_version);
  // While work moves to another version, streams that the others began still go on there.
  inputs.m_kept_by_rollout =
      excluded_by_rollout && !(slot_request.m_continuation.m_continues && IsMoving(pool));
  inputs.m_backs_off = BackOffLeft(pool.m_notices[i], waiting.m_instance, now) > Duration(0);
  inputs.m_at_limit =
      !TakesRequest(pool.m_limits[i], now) || !MayRiskRejection(pool.m_brittleness[i], 1, now);
  inputs.m_cold_full = ColdFull(pool.m_slow_starts[i], pool.m_slow_start_limit, now);
  inputs.m_suspect = IsSuspect(outages, pool, i, now);
  inputs.m_region = server.m_region;
  return CheckEligibility(inputs, slot_request.m_allowed_regions,
                          !slot_request.m_tried.empty() && Tried(slot_request, server.m_id));
}

std::size_t TierIndex(Tier route_tier) {
  return static_cast<std::size_t>(std::clamp(route_tier, 0, kTiers - 1));
}

void RefreshTypical(SlotPool& pool, Instant now) {
  if (pool.m_typical_at != Instant{} && now - pool.m_typical_at < kTypicalAge)
    return;
  pool.m_typical = AveragePerformance(pool.m_views);
  pool.m_typical_at = now;
}

bool MustYield(const SlotPool& pool, Tier route_tier) {
  return std::any_of(
      pool.m_waiting_by_class.begin(), pool.m_waiting_by_class.end(),
      [route_tier](const auto& entry) { return entry.first.m_route_tier < route_tier; });
}

SlotResponse MakeRejection(const std::string& instance,
                           SlotRef ref,
                           SlotVerdict verdict,
                           double left) {
  SlotResponse response;
  response.m_instance = instance;
  response.m_ref = ref;
  response.m_verdict = verdict;
  response.m_limit_left = left;
  return response;
}

std::optional<SlotResponse> TryAssignSlot(SlotBroker& broker,
                                          SlotPool& pool,
                                          QueuedSlotRequest& waiting,
                                          bool yields,
                                          Instant now) {
  const RequestShape shape = CurrentShape(waiting, yields, now);
  if (UsesOrder(broker, pool, waiting, shape, now)) {
    if (IsFull(pool) && shape.m_prompt_tokens > 0) {
      waiting.m_needs_suitable = CanFastestMeetTargets(broker, pool, waiting, shape, now);
      return std::nullopt;
    }
    if (const auto choice = ChooseAmongFirst(broker, pool, waiting, shape, NextRandom(broker), now))
      return Take(broker, pool, choice->m_index, waiting, choice->m_time_to_first_event, now);
  }
  SetViews(broker, pool, waiting, now);
  if (const auto i = ChooseTrialServer(broker.m_outages, pool, waiting, shape, now)) {
    const Duration time_to_first_event =
        PredictTimeToFirstEvent(pool.m_views[*i], shape, pool.m_typical);
    return Take(broker, pool, *i, waiting, time_to_first_event, now);
  }
  if (const auto i = ChooseOutageProbe(broker, pool, waiting, shape, now)) {
    const Duration time_to_first_event =
        PredictTimeToFirstEvent(pool.m_views[*i], shape, pool.m_typical);
    return Take(broker, pool, *i, waiting, time_to_first_event, now);
  }
  const std::optional<ServerChoice> choice =
      ChooseServer(pool.m_views, shape, pool.m_typical, NextRandom(broker));
  if (choice)
    return Take(broker, pool, choice->m_index, waiting, choice->m_time_to_first_event, now);
  if (AnyColdFull(pool))
    ++broker.m_cold_waits[waiting.m_request.m_pool];
  waiting.m_needs_suitable = !waiting.m_request.m_continuation.m_continues &&
                             AnyCanMeetTargets(pool.m_views, shape, pool.m_typical);
  return std::nullopt;
}

void ServeQueueAtServer(SlotBroker& broker,
                        SlotPool& pool,
                        std::size_t i,
                        Instant now,
                        std::vector<SlotResponse>& out) {
  const double reported_share = ReportedShare(broker, now);
  if (IsExcludedByRollout(pool, ServingGroupOf(pool), i))
    return;  // A trial takes only new requests, and waiting ones when all servers are tried next.
  Tier most_urgent = kTiers;
  std::size_t depth = 0;
  for (auto it = pool.m_waiting.begin(); it != pool.m_waiting.end() && depth < kServerQueueDepth;
       ++depth) {
    QueuedSlotRequest& waiting = it->second;
    const Tier route_tier = it->first.m_route_tier;
    const bool yields = !it->first.m_underserved && route_tier > most_urgent;
    SetView(broker.m_outages, pool, i, waiting, RoundTripsOf(broker, waiting.m_request),
            reported_share, false, now);
    const ServerView& view = pool.m_views[i];
    const RequestShape shape = CurrentShape(waiting, yields, now);
    const bool fits = view.m_usable && HasRoom(view, shape, pool.m_typical) &&
                      (!waiting.m_needs_suitable || CanMeetTargets(view, shape, pool.m_typical));
    if (!fits) {
      // Others need not yield to a continuation that may not use this server.
      if (view.m_usable || !waiting.m_request.m_continuation.m_continues)
        most_urgent = std::min(most_urgent, route_tier);
      ++it;
      continue;
    }
    const Duration time_to_first_event = PredictTimeToFirstEvent(view, shape, pool.m_typical);
    out.push_back(Take(broker, pool, i, waiting, time_to_first_event, now));
    broker.m_instance_slots[waiting.m_instance].m_waiting.erase(waiting.m_request.m_ref);
    it = EraseWaiting(pool, it);
  }
}

void ServePoolQueue(SlotBroker& broker,
                    SlotPool& pool,
                    Instant now,
                    std::vector<SlotResponse>& out) {
  RefreshTypical(pool, now);
  Tier most_urgent = kTiers;
  std::size_t without_room = 0;
  std::size_t continuations = 0;  // Without room.
  for (auto it = pool.m_waiting.begin();
       it != pool.m_waiting.end() && without_room < kPoolQueueDepth;) {
    const Tier route_tier = it->first.m_route_tier;
    const bool yields = !it->first.m_underserved && route_tier > most_urgent;
    std::optional<SlotResponse> response = TryAssignSlot(broker, pool, it->second, yields, now);
    if (!response) {
      // A continuation waits for few servers; others may have room for those behind it.
      if (it->second.m_request.m_continuation.m_continues) {
        without_room += ++continuations > kMaxContinuationsTried ? 1 : 0;
      } else {
        most_urgent = std::min(most_urgent, route_tier);
        ++without_room;
      }
      ++it;
      continue;
    }
    out.push_back(std::move(*response));
    broker.m_instance_slots[it->second.m_instance].m_waiting.erase(it->second.m_request.m_ref);
    it = EraseWaiting(pool, it);
  }
}

}  // namespace poppyway
