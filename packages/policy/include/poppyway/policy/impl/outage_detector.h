// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief What one request shows about the path to its server.
struct ReachabilityReport {
  std::string m_data_centre;  ///< The server's data centre.
  std::string m_server;
  std::string m_reported_by;  ///< The instance that sent the request.
  bool m_reachable = false;   ///< False: no connection, or nothing received.
  Instant m_sent_at{};        ///< When the request was sent; zero if unknown.

  friend bool operator==(const ReachabilityReport&, const ReachabilityReport&) = default;
};

/// \brief An unreachable server, with the instance that last reported it so.
struct UnreachableServer {
  std::string m_reported_by;
  Instant m_at{};

  friend bool operator==(const UnreachableServer&, const UnreachableServer&) = default;
};

/// \brief The reachability of one data centre.
struct DataCentreReachability {
  int m_servers = 0;  ///< Servers that take new work.
  std::map<std::string, UnreachableServer>
      m_unreachable_servers;  ///< By server, since the data centre's last response.
  Instant m_last_response{};  ///< Last response from any of its servers.
  Instant m_last_failure{};   ///< Last time that a server was reported unreachable.
  bool m_suspect = false;     ///< The data centre is presumed lost as a whole.
  Instant m_since{};          ///< When the suspicion began.
  std::map<std::string, Instant> m_recovered;       ///< By server: first response since `m_since`.
  std::set<std::string> m_registered;               ///< Servers that registered anew since then.
  std::map<std::string, Instant> m_probes;          ///< Servers being probed, with the probe's end.
  std::map<std::string, Instant> m_probe_backoffs;  ///< Earliest next probe after a failed one.
  Instant m_next_probe{};  ///< Earliest next probe while none of its servers has recovered.

  friend bool operator==(const DataCentreReachability&, const DataCentreReachability&) = default;
};

/// \brief Detects data centres that are lost or unreachable as a whole, from the outcomes of
/// requests.
///
/// The broker records the requests of all instances, an instance its own.
struct OutageDetector {
  int m_min_reporters = 2;       ///< Reporting instances needed for a suspicion.
  Duration m_window{3'000'000};  ///< Older reports of unreachable servers are ignored.
  int m_suspect_count = 0;       ///< Suspect data centres.
  std::map<std::string, DataCentreReachability> m_data_centres;

  friend bool operator==(const OutageDetector&, const OutageDetector&) = default;
};

/// \brief The transition that a report caused.
enum class OutageTransition : std::uint8_t {
  kNone,
  kSuspect,          ///< The data centre became suspect.
  kServerResponded,  ///< A server of a suspect data centre responded for the first time.
  kRecovered,        ///< The suspicion ended; servers still unreachable are treated one by one.
};

/// \brief A transition with its evidence, for the log.
struct OutageEvent {
  std::string m_data_centre;
  OutageTransition m_transition = OutageTransition::kNone;
  std::size_t m_unreachable_servers = 0;  ///< Unreachable servers since its last response.
  std::size_t m_reporters = 0;            ///< Instances that reported them.
  std::size_t m_recovered = 0;            ///< Servers that responded since the suspicion began.
  int m_servers = 0;
  Duration m_silence{};  ///< Time since the data centre's last response; for `kRecovered`, since
                         ///< the suspicion began.

  friend bool operator==(const OutageEvent&, const OutageEvent&) = default;
};

/// \brief Returns a detector for the requests of a single instance.
[[nodiscard]] OutageDetector LocalOutageDetector();

/// \brief Sets the number of servers of each data centre. Other data centres are removed.
void SetWatched(OutageDetector& detector, const std::map<std::string, int>& servers);

/// \brief Records one report.
///
/// A data centre becomes suspect once enough instances report several of its servers unreachable,
/// none of its servers responds and another data centre does. Without a response from another one,
/// its loss can't be told from that of the detector's own network. Reports of other data centres
/// than those of `SetWatched` are ignored.
/// \return the transition that the report caused; `kNone` if there is none.
[[nodiscard]] OutageEvent RecordReport(OutageDetector& detector,
                                       const ReachabilityReport& report,
                                       Instant now);

/// \brief Records that a server registered anew and is thus reachable from the members: in a
/// suspect data centre it may be used, but doesn't count as a response of the data centre.
void Appear(OutageDetector& detector, const std::string& data_centre, const std::string& server);

/// \brief Ends the suspicion of one data centre that has recovered: all of its servers have, or it
/// responds and no server of it was reported unreachable for some time.
///
/// Call it periodically, each time until it returns false.
/// \return true if a suspicion ended and `event` was set.
[[nodiscard]] bool EndRecoveredOutage(OutageDetector& detector, Instant now, OutageEvent& event);

/// \brief Returns true while the data centre is suspect.
[[nodiscard]] bool IsDataCentreSuspect(const OutageDetector& detector,
                                       const std::string& data_centre);

/// \brief Returns true if the server belongs to a suspect data centre and has neither responded nor
/// registered anew since.
[[nodiscard]] bool IsServerSuspect(const OutageDetector& detector,
                                   const std::string& data_centre,
                                   const std::string& server);

/// \brief Returns true if a request may be sent to a suspect server as a probe.
///
/// A data centre gets one probe at a time until one of its servers has recovered, then up to two
/// for each recovered server.
[[nodiscard]] bool MayProbe(const OutageDetector& detector,
                            const std::string& data_centre,
                            const std::string& server,
                            Instant now);

/// \brief Records that a request is sent to a server as a probe. Has no effect unless the server is
/// suspect.
void BeginProbe(OutageDetector& detector,
                const std::string& data_centre,
                const std::string& server,
                Instant now);

/// \brief Returns true if a request sent at `sent_at` was sent before the server's recovery, so
/// that its failure says nothing about the server's state now.
[[nodiscard]] bool SentBeforeRecovery(const OutageDetector& detector,
                                      const std::string& data_centre,
                                      const std::string& server,
                                      Instant sent_at);

/// \brief Returns the transition's name in logs.
[[nodiscard]] std::string_view OutageTransitionName(OutageTransition transition) noexcept;

}  // namespace poppyway
