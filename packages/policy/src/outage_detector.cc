// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <set>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Fewer servers may crash independently at once; each is then ejected for its own failures.
constexpr std::size_t kMinUnreachableServers = 3;
// A working data centre responds more often than this under any load at which a loss matters.
constexpr Duration kMinSilence{200'000};
// A single instance sends a request to a given data centre about once a second.
constexpr Duration kLocalWindow{4'000'000};
// A connect times out after 300 ms; the first event of a busy server takes some hundred ms more.
constexpr Duration kProbeTimeout{800'000};
// Each failed probe makes one caller wait for a connection: about two callers a second.
constexpr Duration kProbeInterval{200'000};
constexpr std::size_t kProbesPerRecoveredServer = 2;
// Time for several probes of each server that hasn't recovered.
constexpr Duration kRecoveryTime{1'000'000};

std::size_t CountReporters(const DataCentreReachability& reachability) {
  std::set<std::string_view> reporters;
  for (const auto& [server, unreachable] : reachability.m_unreachable_servers)
    reporters.insert(unreachable.m_reported_by);
  return reporters.size();
}

OutageEvent MakeEvent(const std::string& name,
                      const DataCentreReachability& reachability,
                      OutageTransition transition) {
  OutageEvent event;
  event.m_data_centre = name;
  event.m_transition = transition;
  event.m_unreachable_servers = reachability.m_unreachable_servers.size();
  event.m_reporters = CountReporters(reachability);
  event.m_recovered = reachability.m_recovered.size();
  event.m_servers = reachability.m_servers;
  return event;
}

/// Returns true if another data centre responded within the window and after this one did.
bool RespondedElsewhere(const OutageDetector& detector,
                        const DataCentreReachability& reachability,
                        Instant now) {
  return std::any_of(detector.m_data_centres.begin(), detector.m_data_centres.end(),
                     [&detector, &reachability, now](const auto& entry) {
                       const DataCentreReachability& other = entry.second;
                       const bool recently = other.m_last_response != Instant{} &&
                                             now - other.m_last_response < detector.m_window;
                       return &other != &reachability && recently &&
                              other.m_last_response > reachability.m_last_response;
                     });
}

bool IsUnreachable(const OutageDetector& detector,
                   const DataCentreReachability& reachability,
                   Instant now) {
  return reachability.m_unreachable_servers.size() >= kMinUnreachableServers &&
         CountReporters(reachability) >= static_cast<std::size_t>(detector.m_min_reporters) &&
         now - reachability.m_last_response >= kMinSilence &&
         RespondedElsewhere(detector, reachability, now);
}

void Suspect(OutageDetector& detector, DataCentreReachability& reachability, Instant now) {
  if (!reachability.m_suspect)
    ++detector.m_suspect_count;
  reachability.m_suspect = true;
  reachability.m_since = now;
  reachability.m_recovered.clear();
  reachability.m_probes.clear();
  reachability.m_probe_backoffs.clear();
  reachability.m_next_probe = now + kProbeInterval;
}

void EndSuspicion(OutageDetector& detector, DataCentreReachability& reachability) {
  --detector.m_suspect_count;
  reachability.m_suspect = false;  // `m_recovered` stays: requests sent before the
                                   // recovery may still fail.
  reachability.m_unreachable_servers.clear();
  reachability.m_registered.clear();
  reachability.m_probes.clear();
  reachability.m_probe_backoffs.clear();
}

OutageEvent RecordResponse(DataCentreReachability& reachability,
                           const ReachabilityReport& report,
                           Instant now) {
  OutageEvent event = MakeEvent(report.m_data_centre, reachability, OutageTransition::kNone);
  event.m_silence =
      reachability.m_last_response == Instant{} ? Duration(0) : now - reachability.m_last_response;
  reachability.m_last_response = now;
  reachability.m_unreachable_servers.clear();
  if (!reachability.m_suspect || !reachability.m_recovered.emplace(report.m_server, now).second)
    return event;
  reachability.m_probes.erase(report.m_server);
  reachability.m_registered.erase(report.m_server);
  event.m_transition = OutageTransition::kServerResponded;
  event.m_recovered = reachability.m_recovered.size();
  return event;
}

OutageEvent RecordFailure(OutageDetector& detector,
                          DataCentreReachability& reachability,
                          const ReachabilityReport& report,
                          Instant now) {
  if (SentBeforeRecovery(detector, report.m_data_centre, report.m_server, report.m_sent_at))
    return {};
  std::erase_if(reachability.m_unreachable_servers, [&detector, now](const auto& entry) {
    return now - entry.second.m_at > detector.m_window;
  });
  reachability.m_unreachable_servers.insert_or_assign(report.m_server,
                                                      UnreachableServer{report.m_reported_by, now});
  reachability.m_last_failure = now;
  reachability.m_registered.erase(report.m_server);
  if (reachability.m_suspect && reachability.m_probes.erase(report.m_server) > 0) {
    reachability.m_probe_backoffs[report.m_server] = now + kProbeInterval;
    reachability.m_next_probe = now + kProbeInterval;
  }
  const bool may_be_lost = !reachability.m_suspect || !reachability.m_recovered.empty();
  if (!may_be_lost || !IsUnreachable(detector, reachability, now))
    return {};
  OutageEvent event = MakeEvent(report.m_data_centre, reachability, OutageTransition::kSuspect);
  event.m_silence =
      reachability.m_last_response == Instant{} ? Duration(0) : now - reachability.m_last_response;
  event.m_recovered = 0;
  Suspect(detector, reachability, now);
  return event;
}

const DataCentreReachability* FindSuspect(const OutageDetector& detector,
                                          const std::string& data_centre) {
  if (detector.m_suspect_count == 0)
    return nullptr;
  const auto found = detector.m_data_centres.find(data_centre);
  const bool suspect = found != detector.m_data_centres.end() && found->second.m_suspect;
  return suspect ? &found->second : nullptr;
}

}  // namespace

OutageDetector LocalOutageDetector() {
  OutageDetector detector;
  detector.m_min_reporters = 1;
  detector.m_window = kLocalWindow;
  return detector;
}

void SetWatched(OutageDetector& detector, const std::map<std::string, int>& servers) {
  std::erase_if(detector.m_data_centres,
                [&servers](const auto& entry) { return !servers.contains(entry.first); });
  detector.m_suspect_count = 0;
  for (const auto& [data_centre, count] : servers) {
    DataCentreReachability& reachability = detector.m_data_centres[data_centre];
    reachability.m_servers = count;
    detector.m_suspect_count += reachability.m_suspect ? 1 : 0;
  }
}

OutageEvent RecordReport(OutageDetector& detector, const ReachabilityReport& report, Instant now) {
  const auto found = detector.m_data_centres.find(report.m_data_centre);
  if (found == detector.m_data_centres.end())
    return {};
  return report.m_reachable ? RecordResponse(found->second, report, now)
                            : RecordFailure(detector, found->second, report, now);
}

void Appear(OutageDetector& detector, const std::string& data_centre, const std::string& server) {
  const auto found = detector.m_data_centres.find(data_centre);
  if (found != detector.m_data_centres.end() && found->second.m_suspect)
    found->second.m_registered.insert(server);
}

bool EndRecoveredOutage(OutageDetector& detector, Instant now, OutageEvent& event) {
  if (detector.m_suspect_count == 0)
    return false;
  for (auto& [name, reachability] : detector.m_data_centres) {
    if (!reachability.m_suspect || reachability.m_recovered.empty())
      continue;
    const bool all_recovered =
        static_cast<int>(reachability.m_recovered.size() + reachability.m_registered.size()) >=
        reachability.m_servers;
    const bool settled = now - reachability.m_recovered.begin()->second >= kRecoveryTime &&
                         now - reachability.m_last_failure >= kRecoveryTime &&
                         now - reachability.m_last_response < kRecoveryTime;
    if (!all_recovered && !settled)
      continue;
    event = MakeEvent(name, reachability, OutageTransition::kRecovered);
    event.m_silence = now - reachability.m_since;
    EndSuspicion(detector, reachability);
    return true;
  }
  return false;
}

bool IsDataCentreSuspect(const OutageDetector& detector, const std::string& data_centre) {
  return FindSuspect(detector, data_centre) != nullptr;
}

bool IsServerSuspect(const OutageDetector& detector,
                     const std::string& data_centre,
                     const std::string& server) {
  const DataCentreReachability* reachability = FindSuspect(detector, data_centre);
  return reachability != nullptr && !reachability->m_recovered.contains(server) &&
         !reachability->m_registered.contains(server);
}

bool MayProbe(const OutageDetector& detector,
              const std::string& data_centre,
              const std::string& server,
              Instant now) {
  if (!IsServerSuspect(detector, data_centre, server))
    return false;
  const DataCentreReachability& reachability = *FindSuspect(detector, data_centre);
  const auto probe = reachability.m_probes.find(server);
  if (probe != reachability.m_probes.end() && now < probe->second)
    return false;
  const auto backoff = reachability.m_probe_backoffs.find(server);
  if (backoff != reachability.m_probe_backoffs.end() && now < backoff->second)
    return false;
  const auto open = static_cast<std::size_t>(
      std::count_if(reachability.m_probes.begin(), reachability.m_probes.end(),
                    [now](const auto& entry) { return now < entry.second; }));
  if (reachability.m_recovered.empty())
    return open == 0 && now >= reachability.m_next_probe;
  return open < kProbesPerRecoveredServer * reachability.m_recovered.size();
}

void BeginProbe(OutageDetector& detector,
                const std::string& data_centre,
                const std::string& server,
                Instant now) {
  if (IsServerSuspect(detector, data_centre, server))
    detector.m_data_centres[data_centre].m_probes.insert_or_assign(server, now + kProbeTimeout);
}

bool SentBeforeRecovery(const OutageDetector& detector,
                        const std::string& data_centre,
                        const std::string& server,
                        Instant sent_at) {
  if (sent_at == Instant{})
    return false;
  const auto found = detector.m_data_centres.find(data_centre);
  if (found == detector.m_data_centres.end())
    return false;
  const auto recovery = found->second.m_recovered.find(server);
  return recovery != found->second.m_recovered.end() && sent_at < recovery->second;
}

std::string_view OutageTransitionName(OutageTransition transition) noexcept {
  switch (transition) {
    case OutageTransition::kNone:
      return "none";
    case OutageTransition::kSuspect:
      return "data_centre_suspect";
    case OutageTransition::kServerResponded:
      return "data_centre_heard";
    case OutageTransition::kRecovered:
      return "data_centre_back";
  }
  return "unknown";
}

}  // namespace poppyway
