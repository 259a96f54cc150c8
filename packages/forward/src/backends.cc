// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Of a longer list, as an instance gets it when it starts, only the length is logged.
constexpr std::size_t kMostLogged = 64;

/// A record of a server that is gone is kept while requests still count on it.
void DropUnused(ForwarderState& state) {
  std::erase_if(state.m_backends, [&state](const auto& entry) {
    const Backend& backend = entry.second;
    const bool gone = backend.m_record.stage == wire::ServerStage::GONE;
    if (!gone || backend.m_in_flight > 0)
      return false;
    state.m_connections->Forget(backend.m_place);
    std::erase(state.m_at_place[backend.m_place], entry.first);
    if (state.m_at_place[backend.m_place].empty())
      state.m_at_place.erase(backend.m_place);
    return true;
  });
}

/// A new server at the place of others: those are gone, whether they said so or not. The look-up
/// by place keeps a whole list linear: an instance with a quarter of a core that compared each of
/// 3,000 servers with all others spent seconds of its start on it.
void RetireOthers(ForwarderState& state, const std::string& server) {
  for (const std::string& id : state.m_at_place[state.m_backends.at(server).m_place]) {
    if (id != server)
      state.m_backends.at(id).m_replaced = true;
  }
}

void Locate(ForwarderState& state, Backend& backend, const std::string& id, const Endpoint& place) {
  std::vector<std::string>& here = state.m_at_place[place];
  if (backend.m_place == place && std::find(here.begin(), here.end(), id) != here.end())
    return;
  const auto before = state.m_at_place.find(backend.m_place);
  if (before != state.m_at_place.end())
    std::erase(before->second, id);
  backend.m_place = place;
  here.push_back(id);
}

void LogServer(const wire::ServerRecord& record) {
  POPPYWAY_LOG(info, "server_changed")
      .Field("server", record.id)
      .Field("pool", record.pool)
      .Field("place", record.address + ":" + std::to_string(record.port))
      .Field("stage", static_cast<int>(record.stage))
      .Field("log_index", record.index);
}

/// In the order in which they changed: of two at one place the later one is there now. A whole
/// list, as an instance gets it when it starts, comes in the order of ids.
std::vector<const wire::ServerRecord*> ByChange(const std::vector<wire::ServerRecord>& records) {
  std::vector<const wire::ServerRecord*> ordered;
  ordered.reserve(records.size());
  for (const wire::ServerRecord& record : records)
    ordered.push_back(&record);
  std::sort(ordered.begin(), ordered.end(),
            [](const auto* a, const auto* b) { return a->index < b->index; });
  return ordered;
}

std::int64_t KeptTokens(const Backend& backend, const CallerRequest& request) {
  std::int64_t kept = 0;
  for (const PromptSegment& part : request.m_prompt_segments) {
    if (!backend.m_prompt_segments.contains(part.m_id))
      break;  // A part is only of use with all those before it.
    kept += part.m_tokens;
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
  view.m_cached_tokens = KeptTokens(backend, forwarding.m_request);
  view.m_performance = backend.m_performance;
  view.m_same_data_centre = backend.m_record.data_centre == state.m_settings.m_data_centre;
  view.m_round_trip =
      RoundTripTo(trips, RegionOf(state.m_settings.m_regions, backend.m_record.data_centre));
  return view;
}

/// Cold servers get what no warm one has room for.
std::optional<ServerChoice> ChooseWarmFirst(ForwarderState& state,
                                            const std::vector<std::string>& ids,
                                            std::vector<ServerView> views,
                                            const RequestShape& shape,
                                            Instant now) {
  const ServerPerformance typical = AveragePerformance(views);
  const std::uint64_t random = state.m_random();
  const bool may_be_cold =
      ColdLimitOf(state, state.m_backends.at(ids[0]).m_record.pool).m_per_s > 0;
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

void TakeServer(ForwarderState& state, const wire::ServerRecord& record, bool fresh, Instant now) {
  const bool known = state.m_backends.contains(record.id);
  if (!known && record.stage == wire::ServerStage::GONE)
    return;
  const Endpoint place{record.address, static_cast<std::uint16_t>(record.port)};
  Backend& backend = state.m_backends[record.id];
  if (record.born > 0 && record.born < backend.m_record.born)
    return;  // Late news of an earlier life.
  const bool new_life = IsNewLife(backend, record);
  if (new_life)
    BeginLife(state, backend, record);
  else if (known && record.born > backend.m_record.born)
    TakeBirth(state, record.id, record.born);
  backend.m_record = record;
  Locate(state, backend, record.id, place);
  // What a server says itself is newer than what the registry was told of it, which may lag by an
  // acknowledgement that the server waits for, or never come.
  backend.m_leaving = record.stage != wire::ServerStage::READY || backend.m_announced_leaving;
  if ((!known || new_life) && !backend.m_leaving)
    RetireOthers(state, record.id);
  UpdateSlowStart(state, backend, fresh, now);
}

void TakeServers(ForwarderState& state, const std::vector<wire::ServerRecord>& records) {
  // The first list is of servers that were there before this instance.
  const bool serving = !state.m_backends.empty();
  const Instant now = ReadClock();
  for (const wire::ServerRecord* record : ByChange(records)) {
    const bool known = state.m_backends.contains(record->id);
    TakeServer(state, *record, serving && !known, now);
    if (records.size() <= kMostLogged)
      LogServer(*record);
  }
  if (records.size() > kMostLogged)
    POPPYWAY_LOG(info, "servers_changed").Field("servers", records.size());
  DropUnused(state);
  IndexPools(state);
  WatchServers(state);
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
  BeginColdAlone(state, forwarding.m_pool->m_name, now);
  const RoundTrips trips =
      RoundTripsFrom(state.m_round_trip_table,
                     RegionOf(state.m_settings.m_regions, state.m_settings.m_data_centre));
  std::vector<ServerView> views;
  views.reserve(ids.size());
  bool any = false;
  for (const std::string& id : ids) {
    const Backend& backend = state.m_backends.at(id);
    const IneligibleReason reason = CheckServerEligibility(state, forwarding, backend, now);
    views.push_back(ViewOf(state, forwarding, backend, trips));
    views.back().m_usable = reason == IneligibleReason::kNone;
    // A cold server that has got as much as it may is in use; one that is suspect too isn't.
    const bool cold_in_use =
        reason == IneligibleReason::kCold && !IsSuspectAlone(state, backend, now);
    any = any || views.back().m_usable || cold_in_use;
  }
  if (!any)
    UseLastResorts(state, forwarding, ids, views, now);
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

void LearnConnect(ForwarderState& state,
                  Forwarding& forwarding,
                  const Backend& backend,
                  Duration connect) {
  const ForwarderSettings& settings = state.m_settings;
  forwarding.m_report.m_connect = connect;
  ObserveConnect(state.m_round_trip_table, RegionOf(settings.m_regions, settings.m_data_centre),
                 RegionOf(settings.m_regions, backend.m_record.data_centre), connect);
}

void NoteHealth(ForwarderState& state, Forwarding& forwarding, HealthSignal sign) {
  forwarding.m_report.m_health_signal = sign;
  const std::string& server = forwarding.m_server;
  Backend* backend = FindOwnBackend(state, forwarding);
  if (backend == nullptr)
    return;
  const Instant now = ReadClock();
  const bool avoided = IsEjected(backend->m_health, now);
  backend->m_health = Observe(backend->m_health, sign, now);
  // A whole answer that is a failure comes from a server that runs.
  if (!forwarding.m_report.m_failed)
    ObserveRestartSign(state, *backend, sign, now);
  if (avoided || !IsEjected(backend->m_health, now))
    return;
  POPPYWAY_LOG(info, "server_avoided")
      .Field("server", server)
      .Field("failures", backend->m_health.m_failures)
      .Field("failed_share", backend->m_health.m_failure_rate)
      .Field("for_ms", (backend->m_health.m_ejected_until - now).count() / 1000);
}

void NoteOtherServer(ForwarderState& state, const std::string& meant, const std::string& found) {
  if (Backend* backend = FindBackend(state, meant))
    backend->m_replaced = true;
  Backend* other = FindBackend(state, found);
  // A late first word of a server that is gone may have retired the one that took its place.
  const bool restored = other != nullptr && other->m_replaced;
  if (restored)
    other->m_replaced = false;
  POPPYWAY_LOG(info, "server_replaced")
      .Field("server", meant)
      .Field("by", found)
      .Field("restored", restored);
}

}  // namespace poppyway::impl
