// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "broker_service.h"

#include <algorithm>

#include "broker_convert.h"
#include "poppyway/gateway.h"

namespace poppyway {

void BrokerService::Configure(const std::string& pool, Broker& broker) const {
  if (!m_catalogue)
    return;
  std::vector<EngineBudget> engines;
  for (const CatalogueEngine& engine : m_catalogue->m_engines) {
    const ServerDeclaration& server = m_catalogue->m_servers[engine.m_server];
    const bool stays = !server.m_leaving && !m_leaving.contains(server.m_name);
    if (server.m_pool == pool && stays)
      engines.push_back({engine.m_id, engine.m_engine.m_slots, engine.m_engine.m_prefill_tokens});
  }
  std::map<std::string, std::int64_t> weights;
  for (const WorkspaceDeclaration& workspace : m_catalogue->m_workspaces)
    weights[workspace.m_name] = workspace.m_weight;
  auto cache = std::make_shared<EligibilityCache>();
  EligibleFn eligible = [catalogue = m_catalogue, cache](const std::string& event_name,
                                                         const std::string& model) {
    const auto [entry, added] = cache->try_emplace({event_name, model});
    if (!added)
      return entry->second;
    for (const EventDeclaration& event : catalogue->m_events) {
      if (event.m_name != event_name)
        continue;
      for (const EngineIndex index : EligibleEngines(*catalogue, event, model))
        entry->second.push_back(catalogue->m_engines[index].m_id);
    }
    return entry->second;
  };
  UpdateEngines(broker, engines, std::move(weights), std::move(eligible));
}

void BrokerService::OnCatalogue(std::shared_ptr<const Catalogue> catalogue) {
  m_catalogue = std::move(catalogue);
  for (auto& [pool, hosted] : m_brokers)
    Configure(pool, hosted.m_broker);
}

void BrokerService::OnLeaving(const std::set<std::string>& servers) {
  m_leaving = servers;
  for (auto& [pool, hosted] : m_brokers)
    Configure(pool, hosted.m_broker);
}

void BrokerService::OnLease(const wire::LeaseGrant& lease,
                            int live_gateways,
                            Instant valid_until,
                            Instant now) {
  const auto found = m_brokers.find(lease.lease);
  const bool known = found != m_brokers.end() && found->second.m_broker.m_epoch == lease.epoch;
  if (known) {
    found->second.m_valid_until = std::max(found->second.m_valid_until, valid_until);
    found->second.m_broker.m_live_gateways = live_gateways;
    return;
  }
  BrokerSettings settings;
  settings.m_lease = std::chrono::milliseconds(m_settings.m_lease_ms);
  settings.m_lease_margin = settings.m_lease / 5;
  HostedBroker hosted;
  hosted.m_broker = MakeBroker(settings, lease.epoch, now);
  hosted.m_broker.m_live_gateways = live_gateways;
  hosted.m_valid_until = valid_until;
  Configure(lease.lease, hosted.m_broker);
  m_brokers.insert_or_assign(lease.lease, std::move(hosted));
  POPPYWAY_LOG(info, "broker_began").Field("pool", lease.lease).Field("epoch", lease.epoch);
}

void BrokerService::OnLeaseLost(const std::string& lease) {
  if (m_brokers.erase(lease) > 0)
    POPPYWAY_LOG(info, "broker_ended").Field("pool", lease);
}

void BrokerService::OnDemand(const wire::Demand& demand, PeerConnection& from) {
  const Instant now = ReadClock();
  const auto found = m_brokers.find(demand.pool);
  const bool has_lease = found != m_brokers.end() && now < found->second.m_valid_until &&
                         found->second.m_broker.m_epoch == demand.epoch;
  const bool known =
      has_lease && (demand.resync || found->second.m_connections.contains(demand.incarnation));
  if (!known) {
    // Nothing is granted to the gateway until its next demand, which lists all that it holds.
    if (found != m_brokers.end())
      found->second.m_connections.erase(demand.incarnation);
    wire::Grants rejection;
    rejection.pool = demand.pool;
    rejection.epoch = demand.epoch;
    rejection.sequence = demand.sequence;
    rejection.not_broker = true;
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    envelope.body.__set_grants(rejection);
    from.Send(envelope);
    return;
  }
  HostedBroker& hosted = found->second;
  hosted.m_connections[demand.incarnation] = {from.weak_from_this(), demand.sequence};
  Send(demand.pool, hosted, HandleDemand(hosted.m_broker, FromWire(demand, now), now));
}

void BrokerService::Send(const std::string& pool,
                         HostedBroker& hosted,
                         const std::vector<GrantBatch>& batches) {
  for (const GrantBatch& batch : batches) {
    const auto gateway = hosted.m_connections.find(batch.m_gateway);
    const std::shared_ptr<PeerConnection> connection =
        gateway == hosted.m_connections.end() ? nullptr : gateway->second.m_connection.lock();
    if (!connection)
      continue;  // The gateway's resync or the end of its lease returns these credits.
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    envelope.body.__set_grants(
        ToWire(pool, batch, hosted.m_broker.m_epoch, gateway->second.m_sequence));
    envelope.body.grants.lease_ms = m_settings.m_lease_ms;
    connection->Send(envelope);
  }
}

void BrokerService::Tick(Instant now) {
  for (auto it = m_brokers.begin(); it != m_brokers.end();) {
    HostedBroker& hosted = it->second;
    if (now >= hosted.m_valid_until) {
      POPPYWAY_LOG(warning, "broker_lease_ran_out").Field("pool", it->first);
      it = m_brokers.erase(it);
      continue;
    }
    Send(it->first, hosted, TickBroker(hosted.m_broker, now));
    std::erase_if(hosted.m_connections, [&hosted](const auto& gateway) {
      return !hosted.m_broker.m_gateways.contains(gateway.first);
    });
    ++it;
  }
}

bool BrokerService::HasPendingWork() const {
  return std::any_of(m_brokers.begin(), m_brokers.end(), [](const auto& entry) {
    const TierCounts backlog = Backlog(entry.second.m_broker);
    return backlog[0] + backlog[1] + backlog[2] > 0;
  });
}

void BrokerService::AddMetrics(MetricSet& metrics) const {
  for (const auto& [pool, hosted] : m_brokers) {
    const Broker& broker = hosted.m_broker;
    const std::string label = "pool=\"" + pool + "\"";
    const TierCounts backlog = Backlog(broker);
    for (Tier t = 0; t < kTiers; ++t) {
      metrics.Set("poppyway_broker_backlog", label + ",tier=\"" + std::to_string(t) + "\"",
                  backlog[t]);
    }
    metrics.Set("poppyway_broker_floor", label, broker.m_floor.m_floor);
    metrics.Set("poppyway_broker_gateways", label, static_cast<double>(broker.m_gateways.size()));
    metrics.Set("poppyway_broker_credits_out", label, static_cast<double>(broker.m_credits.size()));
    metrics.Set("poppyway_broker_drain_per_second", label, DrainRate(broker));
    metrics.Set("poppyway_broker_slow_engines", label,
                static_cast<double>(SlowEngines(broker).size()));
  }
}

}  // namespace poppyway
