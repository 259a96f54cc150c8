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

/// \brief The brokers that this instance holds a lease for. Belongs to the control task.
class BrokerService {
 public:
  explicit BrokerService(const DaemonSettings& settings) : m_settings(settings) {}

  void OnCatalogue(std::shared_ptr<const Catalogue> catalogue);
  void OnLeaving(const std::set<std::string>& servers);
  /// The leader says that this instance holds `lease`; it may act on it until `valid_until`.
  void OnLease(const wire::LeaseGrant& lease, int live_gateways, Instant valid_until, Instant now);
  /// The leader says that another instance holds `lease`.
  void OnLeaseLost(const std::string& lease);
  /// A gateway's demand, on the connection over which it gets its grants.
  void OnDemand(const wire::Demand& demand, PeerConnection& from);
  void Tick(Instant now);
  /// Stops acting on every lease.
  void DropAll() { m_brokers.clear(); }
  /// True while requests wait at a broker here.
  [[nodiscard]] bool HasPendingWork() const;
  void AddMetrics(MetricSet& metrics) const;

 private:
  struct GatewayLine {
    std::weak_ptr<PeerConnection> m_connection;
    std::int64_t m_sequence = 0;  ///< Of its last demand.
  };
  struct Hosted {
    Broker m_broker;
    Instant m_valid_until{};
    std::map<std::string, GatewayLine> m_lines;
  };

  void Configure(const std::string& pool, Broker& broker) const;
  void Send(const std::string& pool, Hosted& hosted, const std::vector<GrantBatch>& batches);

  DaemonSettings m_settings;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::set<std::string> m_leaving;  ///< Backend servers, as the platform says.
  std::map<std::string, Hosted> m_brokers;
};

}  // namespace poppyway
