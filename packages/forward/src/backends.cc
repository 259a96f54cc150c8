// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// Of a longer list, as an instance gets it when it starts, only the length is logged.
constexpr std::size_t kMostLogged = 64;

std::string DataCentreLabel(const std::string& data_centre) {
  return "data_centre=\"" + data_centre + "\"";
}

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

/// Of an evacuation that was ordered or has ended. What runs there ends by itself.
void PutInForce(ForwarderState& state, const wire::Evacuation& evacuation) {
  int servers = 0;
  int running = 0;
  for (const auto& [id, backend] : state.m_backends) {
    if (backend.m_record.data_centre != evacuation.data_centre)
      continue;
    ++servers;
    running += backend.m_in_flight;
    if (!evacuation.ended)
      state.m_connections->Forget(backend.m_place);
  }
  state.m_metrics.Set("poppyway_evacuated", DataCentreLabel(evacuation.data_centre),
                      evacuation.ended ? 0 : 1);
  POPPYWAY_LOG(info, "evacuation_in_force")
      .Field("data_centre", evacuation.data_centre)
      .Field("number", evacuation.number)
      .Field("ends", evacuation.ended)
      .Field("servers", servers)
      .Field("running", running);
}

std::int64_t KeptTokens(const Backend& backend, const CallerRequest& request) {
  std::int64_t kept = 0;
  for (const PrefixPart& part : request.m_parts) {
    if (!backend.m_parts.contains(part.m_id))
      break;  // A part is only of use with all those before it.
    kept += part.m_tokens;
  }
  return kept;
}

bool Tried(const Forwarding& forwarding, const std::string& id) {
  return std::find(forwarding.m_tried.begin(), forwarding.m_tried.end(), id) !=
         forwarding.m_tried.end();
}

ServerView ViewOf(const ForwarderState& state,
                  const Forwarding& forwarding,
                  const Backend& backend,
                  Instant now) {
  ServerView view;
  view.m_slots = std::max(1, backend.m_record.slots);
  view.m_own = backend.m_in_flight;
  view.m_open = PlacesAlone(state, backend) - backend.m_in_flight;
  view.m_reading_tokens = backend.m_reading_tokens;
  view.m_kept_tokens = KeptTokens(backend, forwarding.m_request);
  view.m_pace = backend.m_pace;
  view.m_usable = BarOf(state, forwarding, backend, now) == ServerBar::kNone;
  view.m_same_data_centre = backend.m_record.data_centre == state.m_settings.m_data_centre;
  view.m_round_trip = RoundTripOf(state, backend);
  return view;
}

/// Cold servers get what no warm one has room for.
std::optional<ServerChoice> ChooseWarmFirst(ForwarderState& state,
                                            const std::vector<std::string>& ids,
                                            std::vector<ServerView> views,
                                            const RequestShape& shape,
                                            Instant now) {
  const ServerPace typical = TypicalPace(views);
  const std::uint64_t random = state.m_random();
  const bool may_be_cold =
      ColdLimitOf(state, state.m_backends.at(ids[0]).m_record.pool).m_per_s > 0;
  if (may_be_cold) {
    std::vector<ServerView> warm = views;
    for (std::size_t i = 0; i < ids.size(); ++i)
      warm[i].m_usable = warm[i].m_usable && !IsCold(state.m_backends.at(ids[i]).m_ramp, now);
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

void TakeServer(ForwarderState& state, const wire::ServerRecord& record) {
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
  backend.m_leaving = record.stage != wire::ServerStage::READY;
  if ((!known || new_life) && !backend.m_leaving)
    RetireOthers(state, record.id);
}

void TakeServers(ForwarderState& state, const std::vector<wire::ServerRecord>& records) {
  // The first list is of servers that were there before this instance.
  const bool serving = !state.m_backends.empty();
  const Instant now = ReadClock();
  for (const wire::ServerRecord* record : ByChange(records)) {
    const bool known = state.m_backends.contains(record->id);
    TakeServer(state, *record);
    if (Backend* backend = FindBackend(state, record->id))
      TakeColdNews(state, *backend, serving && !known, now);
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

void TakeEvacuations(ForwarderState& state, const std::vector<wire::Evacuation>& evacuations) {
  bool changed = false;
  for (const wire::Evacuation& evacuation : evacuations) {
    wire::Evacuation& known = state.m_evacuations[evacuation.data_centre];
    if (evacuation.number <= known.number)
      continue;
    known = evacuation;
    changed = true;
    PutInForce(state, evacuation);
  }
  if (!changed)
    return;
  const Instant now = ReadClock();
  for (auto& [id, backend] : state.m_backends)
    TakeColdNews(state, backend, false, now);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

bool IsEvacuated(const ForwarderState& state, const Backend& backend) {
  const auto found = state.m_evacuations.find(backend.m_record.data_centre);
  return found != state.m_evacuations.end() && !found->second.ended;
}

bool EvacuatedAway(const ForwarderState& state, const Forwarding& forwarding) {
  const auto pool = state.m_pools.find(forwarding.m_pool->m_name);
  if (state.m_evacuations.empty() || pool == state.m_pools.end())
    return false;
  bool evacuated = false;
  for (const std::string& id : pool->second.m_servers) {
    const Backend& backend = state.m_backends.at(id);
    const std::string_view region =
        RegionOf(state.m_settings.m_regions, backend.m_record.data_centre);
    if (backend.m_replaced || !ServesAtHome(forwarding.m_homes, region))
      continue;
    if (!IsEvacuated(state, backend))
      return false;
    evacuated = true;
  }
  return evacuated;
}

void CountEvacuated(ForwarderState& state) {
  std::map<std::string, int> running;
  for (const auto& [data_centre, evacuation] : state.m_evacuations)
    running[data_centre] = 0;
  for (const auto& [id, backend] : state.m_backends) {
    if (IsEvacuated(state, backend))
      running[backend.m_record.data_centre] += backend.m_in_flight;
  }
  for (const auto& [data_centre, count] : running)
    state.m_metrics.Set("poppyway_evacuated_running", DataCentreLabel(data_centre), count);
}

namespace {

/// Without what an instance only believes of a server.
ServerStanding PlainStanding(const ForwarderState& state, const Backend& backend) {
  ServerStanding standing;
  standing.m_leaving = backend.m_leaving;
  standing.m_evacuated = IsEvacuated(state, backend);
  standing.m_region = RegionOf(state.m_settings.m_regions, backend.m_record.data_centre);
  return standing;
}

bool IsSuspectAlone(const ForwarderState& state, const Backend& backend, Instant now) {
  const std::string& data_centre = backend.m_record.data_centre;
  const std::string& server = backend.m_record.id;
  const bool lost = IsLost(state.m_outages, data_centre, server) &&
                    !MayTry(state.m_outages, data_centre, server, now);
  return lost || Avoided(backend.m_health, now);
}

/// `kept`: whether a roll-out keeps the server from work.
ServerBar BarIf(const ForwarderState& state,
                const Forwarding& forwarding,
                const Backend& backend,
                bool kept,
                Instant now) {
  ServerStanding standing = PlainStanding(state, backend);
  standing.m_leaving = backend.m_leaving || backend.m_replaced;
  standing.m_kept_by_rollout = kept;
  standing.m_cold_full =
      IsCold(backend.m_ramp, now) &&
      !MaySendAlone(backend.m_ramp, ColdLimitOf(state, backend.m_record.pool), now);
  standing.m_suspect = IsSuspectAlone(state, backend, now);
  return BarFor(standing, forwarding.m_homes, Tried(forwarding, backend.m_record.id));
}

/// True if the server does ordinary work that this request may be part of, now or a little later.
bool WorksFor(const ForwarderState& state,
              const Forwarding& forwarding,
              const Backend& backend,
              Instant now) {
  if (backend.m_record.held_back)
    return false;
  const ServerBar bar = BarIf(state, forwarding, backend, false, now);
  return bar != ServerBar::kLeaving && bar != ServerBar::kEvacuated &&
         bar != ServerBar::kOutsideHome;
}

/// None is free of suspicion: a suspect server is better than none, and so is one on trial if all
/// that work are gone.
void UseLastResorts(const ForwarderState& state,
                    const Forwarding& forwarding,
                    const std::vector<std::string>& ids,
                    std::vector<ServerView>& views,
                    Instant now) {
  const bool any_works = std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return WorksFor(state, forwarding, state.m_backends.at(id), now);
  });
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const Backend& backend = state.m_backends.at(ids[i]);
    const bool kept = backend.m_record.held_back && any_works;
    const ServerBar bar = BarIf(state, forwarding, backend, kept, now);
    views[i].m_usable = bar == ServerBar::kNone || bar == ServerBar::kSuspect;
  }
}

}  // namespace

ServerBar BarOf(const ForwarderState& state,
                const Forwarding& forwarding,
                const Backend& backend,
                Instant now) {
  // A version on trial gets work from the broker only, which keeps count of it.
  return BarIf(state, forwarding, backend, backend.m_record.held_back, now);
}

ServerBar BarOnSend(const ForwarderState& state,
                    const Forwarding& forwarding,
                    const Backend& backend) {
  return BarFor(PlainStanding(state, backend), forwarding.m_homes, false);
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
  std::vector<ServerView> views;
  views.reserve(ids.size());
  bool any = false;
  for (const std::string& id : ids) {
    const Backend& backend = state.m_backends.at(id);
    views.push_back(ViewOf(state, forwarding, backend, now));
    // A cold server that has got as much as it may is in use; one that is suspect too isn't.
    const bool cold_in_use = BarOf(state, forwarding, backend, now) == ServerBar::kCold &&
                             !IsSuspectAlone(state, backend, now);
    any = any || views.back().m_usable || cold_in_use;
  }
  if (!any)
    UseLastResorts(state, forwarding, ids, views, now);
  RequestShape shape;
  shape.m_tier = forwarding.m_route->m_tier;
  shape.m_yields = yields;
  shape.m_prompt_tokens = forwarding.m_pool->m_engines ? forwarding.m_request.m_prompt_tokens : 0;
  shape.m_aim = forwarding.m_route->m_aim;
  shape.m_waited = now - forwarding.m_arrived;
  shape.m_left = forwarding.m_deadline - now;
  if (forwarding.m_route->m_stream)
    shape.m_pause_aim = forwarding.m_route->m_pause_aim;
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
  return RoundTrip(state.m_reach, RegionOf(settings.m_regions, settings.m_data_centre),
                   RegionOf(settings.m_regions, backend.m_record.data_centre));
}

void LearnConnect(ForwarderState& state,
                  Forwarding& forwarding,
                  const Backend& backend,
                  Duration connect) {
  const ForwarderSettings& settings = state.m_settings;
  forwarding.m_report.m_connect = connect;
  ObserveConnect(state.m_reach, RegionOf(settings.m_regions, settings.m_data_centre),
                 RegionOf(settings.m_regions, backend.m_record.data_centre), connect);
}

void NoteHealth(ForwarderState& state, Forwarding& forwarding, ServerSign sign) {
  forwarding.m_report.m_sign = sign;
  const std::string& server = forwarding.m_server;
  Backend* backend = FindOwnBackend(state, forwarding);
  if (backend == nullptr)
    return;
  const Instant now = ReadClock();
  const bool avoided = Avoided(backend->m_health, now);
  backend->m_health = Observe(backend->m_health, sign, now);
  // A whole answer that is a failure comes from a server that runs.
  if (!forwarding.m_report.m_failed)
    NoteColdSign(state, *backend, sign, now);
  if (avoided || !Avoided(backend->m_health, now))
    return;
  POPPYWAY_LOG(info, "server_avoided")
      .Field("server", server)
      .Field("failures", backend->m_health.m_failures)
      .Field("failed_share", backend->m_health.m_failed_share)
      .Field("for_ms", (backend->m_health.m_avoid_until - now).count() / 1000);
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
