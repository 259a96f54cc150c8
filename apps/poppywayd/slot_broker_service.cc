// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "slot_broker_service.h"

#include <algorithm>

#include "slot_convert.h"

namespace poppyway {
namespace {

// Each heartbeat and batch says that an instance lives; heartbeats come every half second.
constexpr Duration kHolderLease{3'000'000};
// An instance whose connection was reset connects anew and tells what it holds within some ms; one
// that died never does, and its servers have seen its connections close too.
constexpr Duration kReturnTime{300'000};
// Of an instance in a data centre that is held to be lost: two heartbeats and some delay. What it
// still runs, it runs at servers of that data centre, which get nothing new.
constexpr Duration kLostHolderLease{1'200'000};
// What waits is tried on all servers this often, beside each place that comes free.
constexpr Duration kServeInterval{20'000};

// Servers that turned cold or warm, named one by one at one look; of more the number.
constexpr std::size_t kMostColdLogged = 16;

// A line on each pool this often.
constexpr Duration kLogInterval{1'000'000};

/// What a pool comes to.
struct PoolSums {
  int m_servers = 0;  ///< That take new work.
  int m_ejected = 0;  ///< Of those, kept from it for failures.
  int m_slots = 0;
  int m_taken = 0;
  int m_cold = 0;         ///< That are, or may be, cold.
  int m_backing_off = 0;  ///< That have asked some instance to send nothing for a while.
};

PoolSums SumOf(const OutageDetector& outages, const SlotPool& pool, Instant now) {
  PoolSums sums;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    if (pool.m_servers[i].m_leaving || pool.m_servers[i].m_evacuated)
      continue;
    ++sums.m_servers;
    const bool lost =
        IsServerSuspect(outages, pool.m_servers[i].m_data_centre, pool.m_servers[i].m_id);
    sums.m_ejected += lost || IsEjected(pool.m_health[i], now) ? 1 : 0;
    sums.m_slots += pool.m_views[i].m_slots;
    sums.m_cold +=
        pool.m_slow_start_limit.m_per_s > 0 && IsCold(pool.m_slow_starts[i], now) ? 1 : 0;
    sums.m_backing_off += AnyBackOff(pool.m_notices[i], now) ? 1 : 0;
    sums.m_taken += pool.m_views[i].m_other_in_flight;
  }
  return sums;
}

/// Of several servers at one address only the latest is there.
std::vector<BackendServer> PresentServers(const HostedState& state, const RegionMap& regions) {
  std::map<std::pair<std::string, int>, const wire::ServerRecord*> latest;
  for (const auto& [id, record] : state.m_servers) {
    const wire::ServerRecord*& known = latest[{record.address, record.port}];
    const bool first_seen = known == nullptr || record.stage == wire::ServerStage::READY ||
                            known->stage != wire::ServerStage::READY;
    const bool later = known == nullptr || record.index > known->index;
    if (first_seen && later)
      known = &record;
  }
  std::vector<BackendServer> servers;
  for (const auto& [id, record] : state.m_servers) {
    if (record.stage == wire::ServerStage::GONE || record.pool.empty())
      continue;
    BackendServer& server = servers.emplace_back(ToBackendServer(record));
    server.m_region = RegionOf(regions, record.data_centre);
    server.m_evacuated = IsEvacuated(state, record.data_centre);
    server.m_leaving = server.m_leaving || latest.at({record.address, record.port}) != &record;
  }
  return servers;
}

std::vector<SlotRollout> RolloutsUnderWay(const HostedState& state) {
  std::vector<SlotRollout> rollouts;
  for (const auto& [pool, rollout] : state.m_rollouts) {
    if (IsRolloutActive(rollout))
      rollouts.push_back(
          {pool,
           {rollout.number, rollout.target, rollout.stage == wire::RolloutStage::MOVING,
            rollout.requests, rollout.allowed}});
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
  m_lines.clear();
  UpdateServers(servers, now);
  POPPYWAY_LOG(info, "broker_began").Field("epoch", term);
}

void SlotBrokerService::OnLeadershipLost() {
  if (!m_broker)
    return;
  POPPYWAY_LOG(info, "broker_ended").Field("epoch", m_broker->m_epoch);
  m_broker.reset();
  m_lines.clear();
}

void SlotBrokerService::UpdateColdLimits(std::map<std::string, SlowStartLimit> limits,
                                         Instant now) {
  m_cold_limits = std::move(limits);
  if (!m_broker)
    return;
  SetSlowStartLimits(*m_broker, m_cold_limits);
  UpdateSlowStart(*m_broker, now);
}

void SlotBrokerService::UpdateServers(const HostedState& servers, Instant now) {
  if (!m_broker)
    return;
  SetServers(*m_broker, PresentServers(servers, m_regions));
  SetSlowStartLimits(*m_broker, m_cold_limits);
  UpdateSlowStart(*m_broker, now);
  SetRollouts(*m_broker, RolloutsUnderWay(servers), m_bounds);
}

RolloutObservation SlotBrokerService::ObserveRollout(const std::string& pool) const {
  RolloutObservation sight;
  if (!m_broker)
    return sight;
  const auto found = m_broker->m_pools.find(pool);
  if (found == m_broker->m_pools.end() || !found->second.m_trial)
    return sight;
  const RolloutTrial& trial = *found->second.m_trial;
  sight.m_finding = trial.m_finding;
  sight.m_requests = trial.m_requests;
  sight.m_sent = trial.m_sent;
  sight.m_runs = trial.m_runs;
  sight.m_bad_runs = trial.m_bad_runs;
  sight.m_service =
      Duration(static_cast<std::int64_t>(found->second.m_typical.m_service_ms * 1000));
  sight.m_others_left = false;
  sight.m_others_busy = false;
  for (std::size_t i = 0; i < found->second.m_servers.size(); ++i) {
    if (found->second.m_servers[i].m_version == trial.m_target)
      continue;
    sight.m_others_left = sight.m_others_left || !found->second.m_servers[i].m_leaving;
    sight.m_others_busy = sight.m_others_busy || found->second.m_views[i].m_other_in_flight > 0;
  }
  return sight;
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
    wire::PlaceAnswers refusal;
    refusal.epoch = batch.epoch;
    refusal.not_broker = true;
    envelope.body.__set_place_answers(refusal);
    from.Send(envelope);
    return;
  }
  m_lines[batch.incarnation] = {from.weak_from_this(), Instant{}};
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
    const std::shared_ptr<PeerConnection> connection = m_lines[holder].m_connection.lock();
    if (!connection)
      continue;  // It tells anew what it holds, or its places come free with its lease.
    batch.epoch = epoch();
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    envelope.body.__set_place_answers(std::move(batch));
    connection->Send(envelope);
  }
}

void SlotBrokerService::DropGone(Instant now) {
  std::vector<std::string> gone;
  for (const auto& [incarnation, holder] : m_broker->m_instance_slots) {
    Line& line = m_lines[incarnation];
    const std::shared_ptr<PeerConnection> connection = line.m_connection.lock();
    const bool open = connection && connection->open();
    if (open)
      line.m_lost = Instant{};
    else if (line.m_lost == Instant{})
      line.m_lost = now;
    const bool left = !open && now - line.m_lost >= kReturnTime;
    const bool lost = IsDataCentreSuspect(m_broker->m_outages, holder.m_data_centre);
    if (left || now - holder.m_last_heard >= (lost ? kLostHolderLease : kHolderLease))
      gone.push_back(incarnation);
  }
  std::vector<SlotResponse> answers;
  for (const std::string& incarnation : gone) {
    POPPYWAY_LOG(info, "holder_gone")
        .Field("incarnation", incarnation)
        .Field("held", m_broker->m_instance_slots[incarnation].m_held.size());
    m_lines.erase(incarnation);
    RemoveInstance(*m_broker, incarnation, now, answers);
  }
  Send(answers);
}

void SlotBrokerService::TellOutages() {
  wire::PlaceAnswers news;
  news.epoch = epoch();
  std::vector<std::string> suspects;
  for (const auto& [data_centre, sight] : m_broker->m_outages.m_data_centres) {
    if (sight.m_suspect && sight.m_recovered.empty())
      suspects.push_back(data_centre);
  }
  news.__set_suspects(suspects);
  wire::Envelope envelope;
  envelope.id = 0;
  envelope.reply = true;
  envelope.body.__set_place_answers(news);
  for (const auto& [incarnation, line] : m_lines) {
    const std::shared_ptr<PeerConnection> connection = line.m_connection.lock();
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
  TellOutages();
}

void SlotBrokerService::Tick(Instant now) {
  if (!m_broker || now - m_served < kServeInterval)
    return;
  m_served = now;
  std::vector<SlotResponse> answers;
  TickBroker(*m_broker, now, answers);
  Send(answers);
  LogOutages();
  DropGone(now);
  for (const EjectedServer& avoided : m_broker->m_ejected) {
    POPPYWAY_LOG(info, "server_avoided")
        .Field("server", avoided.m_server)
        .Field("told_by", avoided.m_reported_by)
        .Field("failures", avoided.m_health.m_failures)
        .Field("failed_share", avoided.m_health.m_failure_rate)
        .Field("for_ms", (avoided.m_health.m_ejected_until - now).count() / 1000);
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
      if (++changed > kMostColdLogged)
        continue;
      POPPYWAY_LOG(info, cold ? "server_cold" : "server_warm")
          .Field("server", pool.m_servers[i].m_id)
          .Field("pool", name)
          .Field("silent", slow_start.m_silent)
          .Field("told_ms", slow_start.m_update.m_left.count() / 1000)
          .Field("sent_last_s", slow_start.m_sent.size());
    }
  }
  if (changed > kMostColdLogged)
    POPPYWAY_LOG(info, "servers_cold_changed").Field("servers", changed);
}

void SlotBrokerService::LogPools(Instant now) {
  if (now - m_logged < kLogInterval)
    return;
  m_logged = now;
  for (const auto& [name, pool] : m_broker->m_pools) {
    const PoolSums sums = SumOf(m_broker->m_outages, pool, now);
    if (sums.m_slots == 0)
      continue;
    POPPYWAY_LOG(info, "places")
        .Field("pool", name)
        .Field("servers", sums.m_servers)
        .Field("avoided", sums.m_ejected)
        .Field("cold", sums.m_cold)
        .Field("backing_off", sums.m_backing_off)
        .Field("cold_waits", m_broker->m_cold_waits[name])
        .Field("slots", sums.m_slots)
        .Field("taken", sums.m_taken)
        .Field("waiting", pool.m_waiting.size())
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
    const PoolSums sums = SumOf(m_broker->m_outages, pool, ReadClock());
    metrics.Set("poppyway_place_slots", label, sums.m_slots);
    metrics.Set("poppyway_place_taken", label, sums.m_taken);
    metrics.Set("poppyway_place_avoided", label, sums.m_ejected);
    metrics.Set("poppyway_place_cold", label, sums.m_cold);
    metrics.Set("poppyway_place_backing_off", label, sums.m_backing_off);
    const auto waits = m_broker->m_cold_waits.find(name);
    if (waits != m_broker->m_cold_waits.end())
      metrics.Set("poppyway_place_cold_waits_total", label, static_cast<double>(waits->second));
    metrics.Set("poppyway_place_waiting", label, static_cast<double>(pool.m_waiting.size()));
    if (!pool.m_trial)
      continue;
    metrics.Set("poppyway_rollout_requests", label, static_cast<double>(pool.m_trial->m_requests));
    metrics.Set("poppyway_rollout_sent", label, static_cast<double>(pool.m_trial->m_sent));
    metrics.Set("poppyway_rollout_bad_runs", label, static_cast<double>(pool.m_trial->m_bad_runs));
  }
}

}  // namespace poppyway
