// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// For a longer list, as an instance gets at its start, only the length is logged.
constexpr std::size_t kMaxLogged = 64;

/// Erases servers that are gone and have no requests in flight, which still refer to them.
void DropUnused(ForwarderState& state) {
  std::erase_if(state.m_backends, [&state](const auto& entry) {
    const Backend& backend = entry.second;
    const bool gone = backend.m_record.stage == wire::ServerStage::GONE;
    if (!gone || backend.m_in_flight > 0)
      return false;
    state.m_connections->Forget(backend.m_endpoint);
    std::erase(state.m_by_address[backend.m_endpoint], entry.first);
    if (state.m_by_address[backend.m_endpoint].empty()) {
      state.m_by_address.erase(backend.m_endpoint);
      state.m_address_owners.erase(backend.m_endpoint);
    }
    return true;
  });
}

void LogServer(const wire::ServerRecord& record) {
  POPPYWAY_LOG(info, "server_changed")
      .Field("server", record.id)
      .Field("pool", record.pool)
      .Field("place", record.address + ":" + std::to_string(record.port))
      .Field("stage", static_cast<int>(record.stage))
      .Field("log_index", record.index);
}

/// Sorts records by when their servers were shown at their addresses, since the owner of an address
/// is the last one. A full list, as an instance gets at its start, is sorted by id.
std::vector<const wire::ServerRecord*> SortedByPresence(
    const std::vector<wire::ServerRecord>& records) {
  std::vector<const wire::ServerRecord*> ordered;
  ordered.reserve(records.size());
  for (const wire::ServerRecord& record : records)
    ordered.push_back(&record);
  std::sort(ordered.begin(), ordered.end(),
            [](const auto* a, const auto* b) { return PresenceIndexOf(*a) < PresenceIndexOf(*b); });
  return ordered;
}

std::int64_t CachedTokens(const Backend& backend, const CallerRequest& request) {
  std::int64_t kept = 0;
  for (const PromptSegment& segment : request.m_prompt_segments) {
    if (!backend.m_prompt_segments.contains(segment.m_id))
      break;  // A cached segment is of use only with all segments before it.
    kept += segment.m_tokens;
  }
  return kept;
}

ServerView ViewOf(const ForwarderState& state,
                  const Forwarding& forwarding,
                  const Backend& backend,
                  const RoundTrips& trips) {
  ServerView view;
  view.m_slots = std::max(1, backend.m_record.slots);
  view.m_own_in_flight = backend.m_in_flight;
  view.m_available_slots = SlotsWithoutBroker(state, backend) - backend.m_in_flight;
  view.m_pending_prefill_tokens = backend.m_pending_prefill_tokens;
  view.m_cached_tokens = CachedTokens(backend, forwarding.m_request);
  view.m_no_queue = backend.m_brittleness.m_max_rejections.has_value();
  view.m_performance = backend.m_performance;
  view.m_same_data_centre = backend.m_record.data_centre == state.m_settings.m_data_centre;
  view.m_round_trip =
      RoundTripTo(trips, RegionOf(state.m_settings.m_regions, backend.m_record.data_centre));
  return view;
}

/// Prepares a choice without a broker at a server that has stated a limit.
void BeginPacing(ForwarderState& state, Backend& backend, Instant now) {
  if (!backend.m_limit.m_per_s)
    return;
  const double random = static_cast<double>(state.m_random() >> 11) * 0x1.0p-53;
  BeginPacingWithoutBroker(backend.m_limit, state.m_instances.m_recent_max, random, now);
}

/// Chooses a cold server only if no warm one has a free slot.
std::optional<ServerChoice> ChooseWarmFirst(ForwarderState& state,
                                            const std::vector<std::string>& ids,
                                            std::vector<ServerView> views,
                                            const RequestShape& shape,
                                            Instant now) {
  const ServerPerformance typical = AveragePerformance(views);
  const std::uint64_t random = state.m_random();
  const bool may_be_cold =
      SlowStartLimitOf(state, state.m_backends.at(ids[0]).m_record.pool).m_per_s > 0;
  if (may_be_cold) {
    std::vector<ServerView> warm = views;
    for (std::size_t i = 0; i < ids.size(); ++i)
      warm[i].m_usable = warm[i].m_usable && !IsCold(state.m_backends.at(ids[i]).m_slow_start, now);
    if (const auto choice = ChooseServer(warm, shape, typical, random))
      return choice;
  }
  return ChooseServer(views, shape, typical, random);
}

}  // namespace

void IndexPools(ForwarderState& state) {
  for (auto& [name, pool] : state.m_pools)
    pool.m_servers.clear();
  for (const auto& [id, backend] : state.m_backends) {
    if (!backend.m_leaving)
      state.m_pools[backend.m_record.pool].m_servers.push_back(id);
  }
}

void UpdateServer(ForwarderState& state,
                  const wire::ServerRecord& record,
                  bool fresh,
                  Instant now) {
  const bool known = state.m_backends.contains(record.id);
  const Endpoint endpoint{record.address, static_cast<std::uint16_t>(record.port)};
  if (!known && record.stage == wire::ServerStage::GONE) {
    RecordGoneOwner(state, record, endpoint);
    return;
  }
  Backend& backend = state.m_backends[record.id];
  if (record.born > 0 && record.born < backend.m_record.born)
    return;  // The record is of an earlier process and arrived late.
  const bool restarted = IsNewProcess(backend, record);
  if (restarted)
    BeginNewProcess(state, backend, record);
  else if (known && record.born > backend.m_record.born)
    SetCallStartTimes(state, record.id, record.born);
  const bool other_version = known && record.stage != wire::ServerStage::GONE &&
                             record.version != backend.m_record.version;
  backend.m_record = record;
  if (other_version)
    DoubtVersions(state, record.id, now);
  SetAddress(state, backend, record.id, endpoint);
  // A drain notice of the server itself is newer than the registry's record, which may lag by an
  // acknowledgement that the server waits for, or may never arrive.
  backend.m_leaving = record.stage != wire::ServerStage::READY || backend.m_announced_leaving;
  RecordPresence(state, backend, !known, restarted);
  UpdateSlowStart(state, backend, fresh, now);
}

void UpdateServers(ForwarderState& state, const std::vector<wire::ServerRecord>& records) {
  // The servers of the first list existed before this instance started.
  const bool serving = !state.m_backends.empty();
  const Instant now = ReadClock();
  for (const wire::ServerRecord* record : SortedByPresence(records)) {
    const bool known = state.m_backends.contains(record->id);
    UpdateServer(state, *record, serving && !known, now);
    if (records.size() <= kMaxLogged)
      LogServer(*record);
  }
  if (records.size() > kMaxLogged)
    POPPYWAY_LOG(info, "servers_changed").Field("servers", records.size());
  DropUnused(state);
  IndexPools(state);
  UpdateWatchedServers(state);
  RequestSlotsAtLearnedServers(state);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

Backend* FindBackend(ForwarderState& state, const std::string& id) {
  const auto found = state.m_backends.find(id);
  return found == state.m_backends.end() ? nullptr : &found->second;
}

std::optional<std::string> ChooseBackend(ForwarderState& state,
                                         const Forwarding& forwarding,
                                         bool yields) {
  const std::vector<std::string>& ids = state.m_pools[forwarding.m_pool->m_name].m_servers;
  if (ids.empty())
    return std::nullopt;
  const Instant now = ReadClock();
  BeginColdSendsWithoutBroker(state, forwarding.m_pool->m_name, now);
  const RoundTrips trips =
      RoundTripsFrom(state.m_round_trip_table,
                     RegionOf(state.m_settings.m_regions, state.m_settings.m_data_centre));
  std::vector<ServerView> views;
  views.reserve(ids.size());
  bool any = false;
  for (const std::string& id : ids) {
    Backend& backend = state.m_backends.at(id);
    BeginPacing(state, backend, now);
    const IneligibleReason reason = CheckEligibilityOnChoice(state, forwarding, backend, now);
    views.push_back(ViewOf(state, forwarding, backend, trips));
    views.back().m_usable = reason == IneligibleReason::kNone;
    // A server at its limit, or a cold one at its own, counts as in use unless it is suspect as
    // well.
    const bool paced =
        reason == IneligibleReason::kCold || reason == IneligibleReason::kServerLimit;
    any = any || views.back().m_usable || (paced && !IsSuspectLocally(state, backend, now));
  }
  if (!any)
    UseFallbackServers(state, forwarding, ids, views, now);
  RequestShape shape;
  shape.m_tier = forwarding.m_route->m_tier;
  shape.m_yields_to_higher_priority = yields;
  shape.m_prompt_tokens = forwarding.m_pool->m_engines ? forwarding.m_request.m_prompt_tokens : 0;
  shape.m_latency_target = forwarding.m_route->m_latency_target;
  shape.m_waited = now - forwarding.m_arrived;
  shape.m_left = forwarding.m_deadline - now;
  if (forwarding.m_route->m_stream)
    shape.m_gap_target = forwarding.m_route->m_gap_target;
  if (state.m_tokens_per_event > 0)
    shape.m_events =
        static_cast<double>(forwarding.m_request.m_expected_tokens) / state.m_tokens_per_event;
  const std::optional<ServerChoice> choice =
      ChooseWarmFirst(state, ids, std::move(views), shape, now);
  if (!choice)
    return std::nullopt;
  return ids[choice->m_index];
}

Duration RoundTripOf(const ForwarderState& state, const Backend& backend) {
  const ForwarderSettings& settings = state.m_settings;
  return RoundTrip(state.m_round_trip_table, RegionOf(settings.m_regions, settings.m_data_centre),
                   RegionOf(settings.m_regions, backend.m_record.data_centre));
}

void RecordConnectTime(ForwarderState& state,
                       Forwarding& forwarding,
                       const Backend& backend,
                       Duration connect) {
  const ForwarderSettings& settings = state.m_settings;
  forwarding.m_report.m_connect = connect;
  ObserveConnect(state.m_round_trip_table, RegionOf(settings.m_regions, settings.m_data_centre),
                 RegionOf(settings.m_regions, backend.m_record.data_centre), connect);
}

void RecordHealth(ForwarderState& state, Forwarding& forwarding, HealthSignal signal) {
  forwarding.m_report.m_health_signal = signal;
  const std::string& server = forwarding.m_server;
  Backend* backend = FindCalledBackend(state, forwarding);
  if (backend == nullptr)
    return;
  const Instant now = ReadClock();
  const bool was_ejected = IsEjected(backend->m_health, now);
  backend->m_health = Observe(backend->m_health, signal, now);
  // A complete error response shows that the server process runs.
  if (!forwarding.m_report.m_failed)
    ObserveRestartSign(state, *backend, signal, now);
  if (was_ejected || !IsEjected(backend->m_health, now))
    return;
  POPPYWAY_LOG(info, "server_avoided")
      .Field("server", server)
      .Field("failures", backend->m_health.m_failures)
      .Field("failed_share", backend->m_health.m_failure_rate)
      .Field("for_ms", (backend->m_health.m_ejected_until - now).count() / 1000);
}

}  // namespace poppyway::impl
