// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "slot_broker_service.h"

#include <algorithm>

#include "slot_convert.h"

namespace poppyway {
namespace {

// An instance without a heartbeat or batch for longer is gone; heartbeats come every half second.
constexpr Duration kInstanceTimeout{3'000'000};
// An instance whose connection stays closed for this time is removed and its slots become free. One
// whose connection was reset reconnects and reports its slots within a few milliseconds. A crashed
// instance never does, and its connections to backend servers are closed too.
constexpr Duration kReconnectTimeout{300'000};
// This applies to an instance in a data centre that is suspected to be lost: two heartbeats and
// some delay. The requests that it may still run are at servers of that data centre, which get no
// new ones.
constexpr Duration kSuspectInstanceTimeout{1'200'000};
// Waiting requests are tried on all servers at this interval, and whenever a slot becomes free.
constexpr Duration kTickInterval{20'000};

// At most this many servers that became cold or warm are logged individually per tick; if there are
// more, their number is logged too.
constexpr std::size_t kMaxColdLogged = 16;

// Each pool and each round-trip time is logged at this interval.
constexpr Duration kLogInterval{1'000'000};

/// Returns the milliseconds since `time`; -1 if it is zero.
std::int64_t MillisSince(Instant time, Instant now) {
  return time == Instant{} ? -1 : (now - time).count() / 1000;
}

/// Totals over the servers of a pool that accept new requests.
struct PoolTotals {
  int m_servers = 0;
  int m_ejected = 0;  ///< Servers that get no requests because of failures or an outage.
  int m_slots = 0;
  int m_in_flight = 0;
  int m_cold = 0;         ///< Servers that are, or may be, cold.
  int m_backing_off = 0;  ///< Servers that asked an instance to send nothing for a while.
  int m_limited = 0;      ///< Servers that state how many requests a second they take.
};

PoolTotals TotalsOf(const OutageDetector& outages, const SlotPool& pool, Instant now) {
  PoolTotals totals;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    if (pool.m_servers[i].m_leaving || pool.m_servers[i].m_evacuated)
      continue;
    ++totals.m_servers;
    const bool suspect =
        IsServerSuspect(outages, pool.m_servers[i].m_data_centre, pool.m_servers[i].m_id);
    totals.m_ejected += suspect || IsEjected(pool.m_health[i], now) ? 1 : 0;
    totals.m_slots += pool.m_views[i].m_slots;
    totals.m_cold +=
        pool.m_slow_start_limit.m_per_s > 0 && IsCold(pool.m_slow_starts[i], now) ? 1 : 0;
    totals.m_backing_off += AnyBackOff(pool.m_notices[i], now) ? 1 : 0;
    totals.m_limited += pool.m_limits[i].m_per_s ? 1 : 0;
    totals.m_in_flight += pool.m_views[i].m_other_in_flight;
  }
  return totals;
}

/// Returns the registered servers that have a pool. Of several servers at one address only the
/// owner takes new requests; the others count as leaving.
std::vector<BackendServer> PresentServers(const HostedState& state, const RegionMap& regions) {
  std::vector<BackendServer> servers;
  for (const auto& [id, record] : state.m_servers) {
    if (record.stage == wire::ServerStage::GONE || record.pool.empty())
      continue;
    BackendServer& server = servers.emplace_back(ToBackendServer(record));
    server.m_region = RegionOf(regions, record.data_centre);
    server.m_evacuated = IsEvacuated(state, record.data_centre);
    server.m_leaving = server.m_leaving || IsReplaced(state, record);
  }
  return servers;
}

/// Returns the version of each pool whose servers, those that are gone included, all have the same.
std::map<std::string, SoftwareId> SoleVersions(const HostedState& state) {
  std::map<std::string, SoftwareId> versions;
  for (const auto& [id, record] : state.m_servers) {
    const SoftwareId software = SoftwareIdOf(record.pool, record.version);
    const auto [known, added] = versions.try_emplace(record.pool, software);
    if (!added && known->second != software)
      known->second = 0;
  }
  return versions;
}

std::vector<SlotRollout> ActiveRollouts(const HostedState& state) {
  std::vector<SlotRollout> rollouts;
  for (const auto& [pool, rollout] : state.m_rollouts) {
    if (IsRolloutActive(rollout))
      rollouts.push_back(
          {pool,
           {rollout.number, rollout.target, rollout.stage == wire::RolloutStage::MOVING,
            rollout.requests, rollout.allowed, static_cast<TrialFinding>(rollout.finding)}});
  }
  return rollouts;
}

}  // namespace

void SlotBrokerService::OnLeadershipGained(std::int64_t term,
                                           const HostedState& servers,
                                           Duration may_serve,
                                           Instant now) {
  const auto seed = static_cast<std::uint64_t>(now.time_since_epoch().count());
  m_broker = MakeSlotBroker(term, seed, may_serve, now);
  SetRegions(*m_broker, m_regions);
  SetRetryLimit(*m_broker, m_retry_limit);
  m_connections.clear();
  UpdateServers(servers, now);
  POPPYWAY_LOG(info, "broker_began").Field("epoch", term);
}

void SlotBrokerService::OnLeadershipLost() {
  if (!m_broker)
    return;
  POPPYWAY_LOG(info, "broker_ended").Field("epoch", m_broker->m_epoch);
  m_broker.reset();
  m_connections.clear();
}

void SlotBrokerService::UpdateSlowStartLimits(std::map<std::string, SlowStartLimit> limits,
                                              Instant now) {
  m_slow_start_limits = std::move(limits);
  if (!m_broker)
    return;
  SetSlowStartLimits(*m_broker, m_slow_start_limits);
  UpdateSlowStart(*m_broker, now);
}

void SlotBrokerService::UpdateServers(const HostedState& servers, Instant now) {
  if (!m_broker)
    return;
  SetServers(*m_broker, PresentServers(servers, m_regions));
  SetSoleVersions(*m_broker, SoleVersions(servers));
  SetSlowStartLimits(*m_broker, m_slow_start_limits);
  UpdateSlowStart(*m_broker, now);
  SetRollouts(*m_broker, ActiveRollouts(servers), m_bounds);
}

RolloutObservation SlotBrokerService::ObserveRollout(const std::string& pool) const {
  RolloutObservation observation;
  if (!m_broker)
    return observation;
  const auto found = m_broker->m_pools.find(pool);
  if (found == m_broker->m_pools.end() || !found->second.m_trial)
    return observation;
  const RolloutTrial& trial = *found->second.m_trial;
  observation.m_finding = trial.m_finding;
  observation.m_requests = trial.m_requests;
  observation.m_sent = trial.m_sent;
  observation.m_runs = trial.m_runs;
  observation.m_bad_runs = trial.m_bad_runs;
  observation.m_service =
      Duration(static_cast<std::int64_t>(found->second.m_typical.m_service_ms * 1000));
  observation.m_others_left = false;
  observation.m_others_busy = false;
  for (std::size_t i = 0; i < found->second.m_servers.size(); ++i) {
    if (found->second.m_servers[i].m_version == trial.m_target)
      continue;
    observation.m_others_left = observation.m_others_left || !found->second.m_servers[i].m_leaving;
    observation.m_others_busy =
        observation.m_others_busy || found->second.m_views[i].m_other_in_flight > 0;
  }
  return observation;
}

std::optional<int> SlotBrokerService::CountRunningIn(const std::string& data_centre) const {
  if (!m_broker)
    return std::nullopt;
  int running = 0;
  for (const auto& [name, pool] : m_broker->m_pools) {
    for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
      if (pool.m_servers[i].m_data_centre == data_centre)
        running += pool.m_views[i].m_other_in_flight;
    }
  }
  return running;
}

void SlotBrokerService::OnBatch(const wire::PlaceBatch& batch,
                                PeerConnection& from,
                                bool may_decide,
                                Instant now) {
  const bool known =
      m_broker && (batch.resync || m_broker->m_instance_slots.contains(batch.incarnation));
  if (!may_decide || !known || batch.epoch != epoch()) {
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    wire::PlaceAnswers rejection;
    rejection.epoch = batch.epoch;
    rejection.not_broker = true;
    envelope.body.__set_place_answers(rejection);
    from.Send(envelope);
    return;
  }
  m_connections[batch.incarnation] = {from.weak_from_this(), Instant{}};
  std::vector<SlotResponse> answers;
  ApplyBatch(*m_broker, batch.incarnation, FromWire(batch), now, answers);
  Send(answers);
}

void SlotBrokerService::RecordContact(const std::string& incarnation, Instant now) {
  if (!m_broker)
    return;
  const auto holder = m_broker->m_instance_slots.find(incarnation);
  if (holder != m_broker->m_instance_slots.end())
    holder->second.m_last_heard = now;
}

void SlotBrokerService::Send(const std::vector<SlotResponse>& answers) {
  std::map<std::string, wire::PlaceAnswers> by_holder;
  for (const SlotResponse& answer : answers) {
    ++m_verdicts[static_cast<std::size_t>(answer.m_verdict)];
    by_holder[answer.m_instance].answers.push_back(ToWire(answer));
  }
  for (auto& [holder, batch] : by_holder) {
    const std::shared_ptr<PeerConnection> connection = m_connections[holder].m_connection.lock();
    if (!connection)
      continue;  // The instance's resync or removal frees the slots.
    batch.epoch = epoch();
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    envelope.body.__set_place_answers(std::move(batch));
    connection->Send(envelope);
  }
}

void SlotBrokerService::RemoveGoneInstances(Instant now) {
  std::vector<std::string> gone;
  for (const auto& [incarnation, holder] : m_broker->m_instance_slots) {
    InstanceConnection& instance = m_connections[incarnation];
    const std::shared_ptr<PeerConnection> connection = instance.m_connection.lock();
    const bool open = connection && connection->open();
    if (open)
      instance.m_closed_at = Instant{};
    else if (instance.m_closed_at == Instant{})
      instance.m_closed_at = now;
    const bool disconnected = !open && now - instance.m_closed_at >= kReconnectTimeout;
    const bool suspect = IsDataCentreSuspect(m_broker->m_outages, holder.m_data_centre);
    if (disconnected ||
        now - holder.m_last_heard >= (suspect ? kSuspectInstanceTimeout : kInstanceTimeout))
      gone.push_back(incarnation);
  }
  std::vector<SlotResponse> answers;
  for (const std::string& incarnation : gone) {
    POPPYWAY_LOG(info, "holder_gone")
        .Field("incarnation", incarnation)
        .Field("held", m_broker->m_instance_slots[incarnation].m_held.size());
    m_connections.erase(incarnation);
    RemoveInstance(*m_broker, incarnation, now, answers);
  }
  Send(answers);
}

void SlotBrokerService::SendSuspectDataCentres() {
  wire::PlaceAnswers update;
  update.epoch = epoch();
  std::vector<std::string> suspects;
  for (const auto& [data_centre, outage] : m_broker->m_outages.m_data_centres) {
    if (outage.m_suspect && outage.m_recovered.empty())
      suspects.push_back(data_centre);
  }
  update.__set_suspects(suspects);
  wire::Envelope envelope;
  envelope.id = 0;
  envelope.reply = true;
  envelope.body.__set_place_answers(update);
  for (const auto& [incarnation, instance] : m_connections) {
    const std::shared_ptr<PeerConnection> connection = instance.m_connection.lock();
    if (connection && connection->open())
      connection->Send(envelope);
  }
}

void SlotBrokerService::LogOutages() {
  if (m_broker->m_outage_events.empty())
    return;
  for (const OutageEvent& event : m_broker->m_outage_events) {
    ++m_outage_changes[static_cast<std::size_t>(event.m_transition)];
    const bool one_of_many =
        event.m_transition == OutageTransition::kServerResponded && event.m_recovered > 1;
    if (one_of_many)
      continue;
    POPPYWAY_LOG(info, OutageTransitionName(event.m_transition))
        .Field("data_centre", event.m_data_centre)
        .Field("lost", event.m_unreachable_servers)
        .Field("told_by", event.m_reporters)
        .Field("back", event.m_recovered)
        .Field("servers", event.m_servers)
        .Field("after_ms", event.m_silence.count() / 1000);
  }
  m_broker->m_outage_events.clear();
  SendSuspectDataCentres();
}

void SlotBrokerService::Tick(bool may_decide, Instant now) {
  // A leader that stood still answers no request that has waited here since: another member may
  // lead by now, and know other servers.
  if (!m_broker || !may_decide || now - m_last_tick < kTickInterval)
    return;
  m_last_tick = now;
  std::vector<SlotResponse> answers;
  TickBroker(*m_broker, now, answers);
  Send(answers);
  LogOutages();
  RemoveGoneInstances(now);
  for (const EjectedServer& avoided : m_broker->m_ejected) {
    POPPYWAY_LOG(info, "server_avoided")
        .Field("server", avoided.m_server)
        .Field("told_by", avoided.m_reported_by)
        .Field("failures", avoided.m_health.m_failures)
        .Field("failed_share", avoided.m_health.m_failure_rate)
        .Field("for_ms", (avoided.m_health.m_ejected_until - now).count() / 1000)
        .Field("teller_heard_ms", MillisSince(avoided.m_reporter_last_response, now))
        .Field("others_heard_ms", MillisSince(avoided.m_last_response_to_others, now));
  }
  m_broker->m_ejected.clear();
  for (const LeavingServer& leaving : m_broker->m_leaving_events)
    POPPYWAY_LOG(info, "server_leaves")
        .Field("server", leaving.m_server)
        .Field("told_by", leaving.m_reported_by);
  m_broker->m_leaving_events.clear();
  LogCold(now);
  LogPools(now);
}

void SlotBrokerService::LogCold(Instant now) {
  std::size_t changed = 0;
  for (auto& [name, pool] : m_broker->m_pools) {
    for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
      SlowStartState& slow_start = pool.m_slow_starts[i];
      const bool cold = pool.m_slow_start_limit.m_per_s > 0 && IsCold(slow_start, now);
      if (cold == slow_start.m_logged)
        continue;
      slow_start.m_logged = cold;
      if (++changed > kMaxColdLogged)
        continue;
      POPPYWAY_LOG(info, cold ? "server_cold" : "server_warm")
          .Field("server", pool.m_servers[i].m_id)
          .Field("pool", name)
          .Field("silent", slow_start.m_silent)
          .Field("told_ms", slow_start.m_update.m_left.count() / 1000)
          .Field("sent_last_s", slow_start.m_sent.size());
    }
  }
  if (changed > kMaxColdLogged)
    POPPYWAY_LOG(info, "servers_cold_changed").Field("servers", changed);
}

void SlotBrokerService::LogPools(Instant now) {
  if (now - m_last_pool_log < kLogInterval)
    return;
  m_last_pool_log = now;
  for (const auto& [name, pool] : m_broker->m_pools) {
    const PoolTotals totals = TotalsOf(m_broker->m_outages, pool, now);
    if (totals.m_slots == 0)
      continue;
    POPPYWAY_LOG(info, "places")
        .Field("pool", name)
        .Field("servers", totals.m_servers)
        .Field("avoided", totals.m_ejected)
        .Field("cold", totals.m_cold)
        .Field("backing_off", totals.m_backing_off)
        .Field("limited", totals.m_limited)
        .Field("cold_waits", m_broker->m_cold_waits[name])
        .Field("slots", totals.m_slots)
        .Field("taken", totals.m_in_flight)
        .Field("waiting", pool.m_waiting.size())
        .Field("retries_left", RetriesLeft(*m_broker, pool))
        .Field("holders", m_broker->m_instance_slots.size())
        .Field("heard_share", ReachableShare(*m_broker));
  }
  for (const auto& [pair, trip] : m_broker->m_round_trip_table.m_round_trips) {
    POPPYWAY_LOG(info, "round_trip")
        .Field("from", pair.first)
        .Field("to", pair.second)
        .Field("us", trip.count());
  }
}

void SlotBrokerService::AddMetrics(MetricSet& metrics) const {
  for (std::size_t i = 0; i < std::size(m_verdicts); ++i) {
    const auto verdict = static_cast<SlotVerdict>(i);
    metrics.Set("poppyway_place_answers_total",
                "verdict=\"" + std::string(SlotVerdictName(verdict)) + "\"",
                static_cast<double>(m_verdicts[i]));
  }
  for (const OutageTransition change :
       {OutageTransition::kSuspect, OutageTransition::kServerResponded,
        OutageTransition::kRecovered}) {
    metrics.Set("poppyway_outage_changes_total",
                "change=\"" + std::string(OutageTransitionName(change)) + "\"",
                static_cast<double>(m_outage_changes[static_cast<std::size_t>(change)]));
  }
  if (!m_broker)
    return;
  metrics.Set("poppyway_suspect_data_centres", "", m_broker->m_outages.m_suspect_count);
  metrics.Set("poppyway_place_holders", "", static_cast<double>(m_broker->m_instance_slots.size()));
  for (const auto& [pair, trip] : m_broker->m_round_trip_table.m_round_trips)
    metrics.Set("poppyway_place_round_trip_seconds",
                "from=\"" + pair.first + "\",to=\"" + pair.second + "\"", Seconds(trip));
  for (const auto& [name, pool] : m_broker->m_pools) {
    const std::string label = "pool=\"" + name + "\"";
    const PoolTotals totals = TotalsOf(m_broker->m_outages, pool, ReadClock());
    metrics.Set("poppyway_place_slots", label, totals.m_slots);
    metrics.Set("poppyway_place_taken", label, totals.m_in_flight);
    metrics.Set("poppyway_place_avoided", label, totals.m_ejected);
    metrics.Set("poppyway_place_cold", label, totals.m_cold);
    metrics.Set("poppyway_place_backing_off", label, totals.m_backing_off);
    metrics.Set("poppyway_place_limited", label, totals.m_limited);
    const auto waits = m_broker->m_cold_waits.find(name);
    if (waits != m_broker->m_cold_waits.end())
      metrics.Set("poppyway_place_cold_waits_total", label, static_cast<double>(waits->second));
    metrics.Set("poppyway_place_disregarded_failures_total", "",
                static_cast<double>(m_broker->m_disregarded_failures));
    metrics.Set("poppyway_place_waiting", label, static_cast<double>(pool.m_waiting.size()));
    metrics.Set("poppyway_place_retries_left", label, RetriesLeft(*m_broker, pool));
    if (!pool.m_trial)
      continue;
    metrics.Set("poppyway_rollout_requests", label, static_cast<double>(pool.m_trial->m_requests));
    metrics.Set("poppyway_rollout_sent", label, static_cast<double>(pool.m_trial->m_sent));
    metrics.Set("poppyway_rollout_bad_runs", label, static_cast<double>(pool.m_trial->m_bad_runs));
  }
}

}  // namespace poppyway
