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

/// \brief What one request tells of the path to its server.
struct ReachabilityReport {
  std::string m_data_centre;  ///< Of the server.
  std::string m_server;
  std::string m_reported_by;  ///< The instance that sent the request.
  bool m_reachable = false;   ///< Something came from the server; false: no connection, or silence.
  Instant m_sent_at{};        ///< The request went there then; zero: not known.

  friend bool operator==(const ReachabilityReport&, const ReachabilityReport&) = default;
};

/// \brief A server that was found out of reach, and by whom.
struct LostServer {
  std::string m_reported_by;
  Instant m_at{};

  friend bool operator==(const LostServer&, const LostServer&) = default;
};

/// \brief What is known of one data centre.
struct DataCentreReachability {
  int m_servers = 0;  ///< That take new work.
  std::map<std::string, LostServer>
      m_unreachable_servers;                   ///< By server, since the data centre was last heard.
  Instant m_last_response{};                   ///< Any of its servers.
  Instant m_lost_last{};                       ///< Any of its servers was out of reach.
  bool m_suspect = false;                      ///< Held to be lost as a whole.
  Instant m_since{};                           ///< Of the suspicion.
  std::map<std::string, Instant> m_recovered;  ///< Servers heard since the suspicion began.
  std::set<std::string> m_appeared;            ///< Servers that registered anew since.
  std::map<std::string, Instant> m_trials;     ///< Servers on trial, until when.
  std::map<std::string, Instant> m_declined;  ///< Servers whose trial failed: no other before then.
  Instant m_next_trial{};                     ///< While none of its servers is back.

  friend bool operator==(const DataCentreReachability&, const DataCentreReachability&) = default;
};

/// \brief Which data centres are held to be lost or cut off as a whole, from all requests that the
/// owner knows of. At the broker those of all instances, at an instance its own.
struct OutageDetector {
  int m_min_reporters = 2;       ///< Instances whose word makes a data centre suspect.
  Duration m_window{3'000'000};  ///< Older losses say nothing.
  int m_suspect_count = 0;       ///< Data centres under suspicion.
  std::map<std::string, DataCentreReachability> m_data_centres;

  friend bool operator==(const OutageDetector&, const OutageDetector&) = default;
};

/// \brief What a sign changed.
enum class OutageTransition : std::uint8_t {
  kNone,
  kSuspect,          ///< The data centre is held to be lost.
  kServerResponded,  ///< A server there that was held to be lost has answered.
  kRecovered,        ///< It is ordinary again; what is still out of reach there is so by itself.
};

/// \brief A change for the log, with the evidence.
struct OutageEvent {
  std::string m_data_centre;
  OutageTransition m_transition = OutageTransition::kNone;
  std::size_t m_unreachable_servers = 0;  ///< Servers found out of reach since it was last heard.
  std::size_t m_reporters = 0;            ///< Instances that found them so.
  std::size_t m_recovered = 0;            ///< Servers heard since the suspicion began.
  int m_servers = 0;
  Duration
      m_silence{};  ///< Since the data centre was last heard; of `kRecovered`, since the suspicion.

  friend bool operator==(const OutageEvent&, const OutageEvent&) = default;
};

/// \brief A watch fed by the requests of one instance alone.
[[nodiscard]] OutageDetector LocalOutageDetector();

/// \brief Takes how many servers each data centre has. One that isn't named is forgotten.
void SetWatched(OutageDetector& detector, const std::map<std::string, int>& servers);

/// \brief Takes one sign. A data centre is suspect once several of its servers are out of reach, by
/// the word of enough instances, none of it is heard meanwhile and another data centre is.
/// Without another one that is heard nothing tells its loss from that of the watcher.
[[nodiscard]] OutageEvent RecordReport(OutageDetector& detector,
                                       const ReachabilityReport& sign,
                                       Instant now);

/// \brief A server registered anew, so it is within reach of the members: in a suspect data centre
/// it may be used, though it says nothing of the others there.
void Appear(OutageDetector& detector, const std::string& data_centre, const std::string& server);

/// \brief Ends suspicions of data centres that answer again, once no loss was met there for some
/// time. To be called now and then.
/// \return true if `event` was set; call again until false.
[[nodiscard]] bool EndRecoveredOutage(OutageDetector& detector, Instant now, OutageEvent& event);

/// \brief True while the data centre is under suspicion.
[[nodiscard]] bool IsDataCentreSuspect(const OutageDetector& detector,
                                       const std::string& data_centre);

/// \brief True if the server belongs to a suspect data centre and wasn't heard since.
[[nodiscard]] bool IsServerSuspect(const OutageDetector& detector,
                                   const std::string& data_centre,
                                   const std::string& server);

/// \brief True if one request may go to a server that is held to be lost, to find out. One for a
/// data centre at a time until one has answered, then twice as many as servers have.
[[nodiscard]] bool MayProbe(const OutageDetector& detector,
                            const std::string& data_centre,
                            const std::string& server,
                            Instant now);

/// \brief A request goes to a server that is held to be lost; of another server, nothing.
void BeginProbe(OutageDetector& detector,
                const std::string& data_centre,
                const std::string& server,
                Instant now);

/// \brief True if a failure of a request that was sent at `begun` tells of the time before the
/// server came back.
[[nodiscard]] bool SentBeforeRecovery(const OutageDetector& detector,
                                      const std::string& data_centre,
                                      const std::string& server,
                                      Instant begun);

/// \brief Text for logs.
[[nodiscard]] std::string_view OutageTransitionName(OutageTransition change) noexcept;

}  // namespace poppyway
