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

/// \brief A roll-out as the broker sees it.
struct RolloutObservation {
  TrialFinding m_finding = TrialFinding::kTooLittle;
  std::int64_t m_requests = 0;  ///< To the pool since the order.
  std::int64_t m_sent = 0;      ///< Of those, to the target version.
  std::int64_t m_runs = 0;
  std::int64_t m_bad_runs = 0;
  bool m_others_left = true;
  bool m_others_busy = true;
  Duration m_service{};  ///< Usual time of an answer of the pool.

  friend bool operator==(const RolloutObservation&, const RolloutObservation&) = default;
};

/// \brief A leading member's broker of places: its lines to the instances. It begins and ends with
/// the lead, whose term is its epoch. Belongs to the control task.
class SlotBrokerService {
 public:
  /// \param regions of all data centres.
  SlotBrokerService(const ExposureBounds& bounds, RegionMap regions)
      : m_bounds(bounds), m_regions(std::move(regions)) {}

  /// This member leads in `term`; `servers` are all that are registered.
  /// \param may_serve for how long an instance out of touch goes on serving.
  void OnLeadershipGained(std::int64_t term,
                          const HostedState& servers,
                          Duration may_serve,
                          Instant now);
  /// It leads no longer: nothing more is given out.
  void OnLeadershipLost();
  [[nodiscard]] bool active() const noexcept { return m_broker.has_value(); }
  [[nodiscard]] std::int64_t epoch() const noexcept { return m_broker ? m_broker->m_epoch : 0; }
  /// The registry, a roll-out or an evacuation has changed.
  void UpdateServers(const HostedState& servers, Instant now);
  /// What each pool says of its cold servers has changed; it stays over a change of broker.
  void UpdateColdLimits(std::map<std::string, SlowStartLimit> limits, Instant now);
  /// A batch of an instance. Refused unless this broker is the one it means and knows it.
  /// \param may_decide a majority has confirmed lately that this member leads.
  void OnBatch(const wire::PlaceBatch& batch, PeerConnection& from, bool may_decide, Instant now);
  /// An instance was heard of otherwise.
  void RecordContact(const std::string& incarnation, Instant now);
  /// Ends waits, forgets instances that are gone. To be called every few ms.
  void Tick(Instant now);
  /// What is known of the roll-out of a pool that is under way.
  [[nodiscard]] RolloutObservation ObserveRollout(const std::string& pool) const;
  /// Requests at the servers of a data centre; nullopt: this member isn't the broker.
  [[nodiscard]] std::optional<int> CountRunningIn(const std::string& data_centre) const;
  void AddMetrics(MetricSet& metrics) const;

 private:
  struct Line {
    std::weak_ptr<PeerConnection> m_connection;
    Instant m_lost{};  ///< When its connection was found closed; zero: open.
  };

  void Send(const std::vector<SlotResponse>& answers);
  void DropGone(Instant now);
  void TellOutages();
  void LogOutages();
  void LogPools(Instant now);
  void LogCold(Instant now);

  ExposureBounds m_bounds;
  RegionMap m_regions;
  std::map<std::string, SlowStartLimit> m_cold_limits;  ///< By pool.
  std::optional<SlotBroker> m_broker;
  std::map<std::string, Line> m_lines;  ///< By incarnation.
  Instant m_served{};
  Instant m_logged{};
  std::uint64_t m_verdicts[5] = {};        ///< Answers given, by verdict.
  std::uint64_t m_outage_changes[4] = {};  ///< By kind.
};

}  // namespace poppyway
