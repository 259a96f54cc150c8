// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "poppyway/policy.h"
#include "poppyway/settings.h"
#include "poppyway/telemetry.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Runs the brokers of the pools that this instance holds a lease for. Not thread-safe: it
/// belongs to the control task.
class BrokerService {
 public:
  explicit BrokerService(const DaemonSettings& settings) : m_settings(settings) {}

  /// Reconfigures every broker for a new catalogue: all declarations of one version (pools,
  /// servers, events, workspaces), compiled.
  void OnCatalogue(std::shared_ptr<const Catalogue> catalogue);
  /// Removes the engines of the backend servers that the platform lists as leaving.
  void OnLeaving(const std::set<std::string>& servers);
  /// Starts the broker of `lease`, which the leader granted to this instance, or extends its time.
  /// The broker acts until `valid_until`.
  void OnLease(const wire::LeaseGrant& lease, int live_gateways, Instant valid_until, Instant now);
  /// Stops the broker of `lease`, which the leader granted to another instance.
  void OnLeaseLost(const std::string& lease);
  /// Handles a gateway's demand. Grants go over `from`. A demand is rejected if this instance has
  /// no valid lease for the pool, if the demand names another epoch, or if it isn't complete and
  /// comes from a gateway whose credits the broker doesn't know.
  void OnDemand(const wire::Demand& demand, PeerConnection& from);
  /// Stops brokers whose lease ran out and sends the grants that are due.
  void Tick(Instant now);
  /// Stops every broker.
  void StopAll() { m_brokers.clear(); }
  /// Returns true while requests wait at one of the brokers.
  [[nodiscard]] bool HasPendingWork() const;
  void AddMetrics(MetricSet& metrics) const;

 private:
  struct GatewayConnection {
    std::weak_ptr<PeerConnection> m_connection;
    std::int64_t m_sequence = 0;  ///< Sequence number of the gateway's last demand.
  };
  struct HostedBroker {
    Broker m_broker;
    Instant m_valid_until{};
    std::map<std::string, GatewayConnection> m_connections;  ///< By the gateway's incarnation.
  };

  void Configure(const std::string& pool, Broker& broker) const;
  void Send(const std::string& pool, HostedBroker& hosted, const std::vector<GrantBatch>& batches);

  DaemonSettings m_settings;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::set<std::string> m_leaving;  ///< Backend servers that the platform lists as leaving.
  std::map<std::string, HostedBroker> m_brokers;  ///< By pool.
};

}  // namespace poppyway
