// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/policy.h"
#include "poppyway/state.h"
#include "poppyway/telemetry.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief The broker's observations of a roll-out.
struct RolloutObservation {
  TrialFinding m_finding = TrialFinding::kTooLittle;
  std::int64_t m_requests = 0;  ///< Requests to the pool since the order.
  std::int64_t m_sent = 0;      ///< Those of `m_requests` that went to the target version.
  std::int64_t m_runs = 0;
  std::int64_t m_bad_runs = 0;
  bool m_others_left = true;  ///< Servers of other versions remain that aren't leaving.
  bool m_others_busy = true;  ///< Servers of other versions have requests in flight.
  Duration m_service{};       ///< Typical service time of the pool.

  friend bool operator==(const RolloutObservation&, const RolloutObservation&) = default;
};

/// \brief Runs the slot broker of a leading member and its connections to the instances. The broker
/// exists while the member leads; its epoch is the leader's term. Not thread-safe: it belongs to
/// the control task.
class SlotBrokerService {
 public:
  /// \param regions the regions of all data centres.
  /// \param retry_limit limit of all instances' retries for each pool.
  SlotBrokerService(const ExposureBounds& bounds, const RetryLimit& retry_limit, RegionMap regions)
      : m_bounds(bounds), m_retry_limit(retry_limit), m_regions(std::move(regions)) {}

  /// Starts the broker, since this member leads in `term`.
  /// \param servers the state with all registered servers.
  /// \param may_serve for how long an instance continues to serve without contact to a leader.
  void OnLeadershipGained(std::int64_t term,
                          const HostedState& servers,
                          Duration may_serve,
                          Instant now);
  /// Stops the broker, since this member no longer leads; no more slots are granted.
  void OnLeadershipLost();
  [[nodiscard]] bool active() const noexcept { return m_broker.has_value(); }
  [[nodiscard]] std::int64_t epoch() const noexcept { return m_broker ? m_broker->m_epoch : 0; }
  /// Updates the broker after a change of the registry, a roll-out or an evacuation.
  void UpdateServers(const HostedState& servers, Instant now);
  /// Replaces the slow-start limits of the pools. They remain in force when the broker restarts.
  void UpdateSlowStartLimits(std::map<std::string, SlowStartLimit> limits, Instant now);
  /// Handles a batch of an instance; responses go over `from`. The batch is rejected if it names
  /// another epoch, comes from an unknown instance without a resync, or if `may_decide` is false.
  /// \param may_decide a majority has recently confirmed that this member leads.
  void OnBatch(const wire::PlaceBatch& batch, PeerConnection& from, bool may_decide, Instant now);
  /// Records that an instance made contact by other means than a batch.
  void RecordContact(const std::string& incarnation, Instant now);
  /// Expires waiting requests and removes instances that are gone. Call it every few milliseconds.
  /// \param may_decide whether this member is confirmed as leader; if not, nothing is decided.
  void Tick(bool may_decide, Instant now);
  /// Returns the observations of a pool's active roll-out, or the defaults if there is none.
  [[nodiscard]] RolloutObservation ObserveRollout(const std::string& pool) const;
  /// Returns the number of requests in flight at the servers of a data centre, or nullopt if this
  /// member isn't the broker.
  [[nodiscard]] std::optional<int> CountRunningIn(const std::string& data_centre) const;
  void AddMetrics(MetricSet& metrics) const;

 private:
  struct InstanceConnection {
    std::weak_ptr<PeerConnection> m_connection;
    Instant m_closed_at{};  ///< When the connection was found closed; zero if it is open.
  };

  void Send(const std::vector<SlotResponse>& answers);
  /// Removes the instances whose connection is lost or whose last contact is too long ago.
  void RemoveGoneInstances(Instant now);
  /// Sends all instances the list of data centres that are presumed lost and of which no server has
  /// responded since.
  void SendSuspectDataCentres();
  void LogOutages();
  void LogPools(Instant now);
  void LogCold(Instant now);

  ExposureBounds m_bounds;
  RetryLimit m_retry_limit;
  RegionMap m_regions;
  std::map<std::string, SlowStartLimit> m_slow_start_limits;  ///< By pool.
  std::optional<SlotBroker> m_broker;
  std::map<std::string, InstanceConnection> m_connections;  ///< By incarnation.
  Instant m_last_tick{};
  Instant m_last_pool_log{};
  std::uint64_t m_verdicts[kSlotVerdicts] = {};  ///< Number of responses, by verdict.
  std::uint64_t m_outage_changes[4] = {};        ///< Number of changes, by kind.
};

}  // namespace poppyway
