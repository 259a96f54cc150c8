// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <set>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// Fewer servers may crash at once by themselves; each is found out by its own failures then.
constexpr std::size_t kLeastLost = 3;
// A data centre at work is heard more often than this under any load that a loss would hurt.
constexpr Duration kQuiet{200'000};
// An instance alone meets a given data centre about once a second.
constexpr Duration kOwnWindow{4'000'000};
// A connection is given up after 300 ms; the first event of a busy server takes some hundred more.
constexpr Duration kTrialTime{800'000};
// Each failed trial makes one caller wait for a connection: some two of them a second.
constexpr Duration kTrialPause{200'000};
constexpr std::size_t kTrialsForEachBack = 2;
constexpr Duration kSettled{1'000'000};  // Several trials of each server that is still missing.

std::size_t CountTellers(const DataCentreReachability& reachability) {
  std::set<std::string_view> tellers;
  for (const auto& [server, lost] : reachability.m_unreachable_servers)
    tellers.insert(lost.m_reported_by);
  return tellers.size();
}

OutageEvent NewsOf(const std::string& name,
                   const DataCentreReachability& reachability,
                   OutageTransition change) {
  OutageEvent event;
  event.m_data_centre = name;
  event.m_transition = change;
  event.m_unreachable_servers = reachability.m_unreachable_servers.size();
  event.m_reporters = CountTellers(reachability);
  event.m_recovered = reachability.m_recovered.size();
  event.m_servers = reachability.m_servers;
  return event;
}

/// Another data centre was heard after this one was, and not long ago.
bool HeardElsewhere(const OutageDetector& detector,
                    const DataCentreReachability& reachability,
                    Instant now) {
  return std::any_of(detector.m_data_centres.begin(), detector.m_data_centres.end(),
                     [&detector, &reachability, now](const auto& entry) {
                       const DataCentreReachability& other = entry.second;
                       const bool lately = other.m_last_response != Instant{} &&
                                           now - other.m_last_response < detector.m_window;
                       return &other != &reachability && lately &&
                              other.m_last_response > reachability.m_last_response;
                     });
}

bool LooksLost(const OutageDetector& detector,
               const DataCentreReachability& reachability,
               Instant now) {
  return reachability.m_unreachable_servers.size() >= kLeastLost &&
         CountTellers(reachability) >= static_cast<std::size_t>(detector.m_min_reporters) &&
         now - reachability.m_last_response >= kQuiet &&
         HeardElsewhere(detector, reachability, now);
}

void Suspect(OutageDetector& detector, DataCentreReachability& reachability, Instant now) {
  if (!reachability.m_suspect)
    ++detector.m_suspect_count;
  reachability.m_suspect = true;
  reachability.m_since = now;
  reachability.m_recovered.clear();
  reachability.m_trials.clear();
  reachability.m_declined.clear();
  reachability.m_next_trial = now + kTrialPause;
}

void EndSuspicion(OutageDetector& detector, DataCentreReachability& reachability) {
  --detector.m_suspect_count;
  reachability.m_suspect = false;  // `m_recovered` stays: failures from before are still under way.
  reachability.m_unreachable_servers.clear();
  reachability.m_appeared.clear();
  reachability.m_trials.clear();
  reachability.m_declined.clear();
}

OutageEvent NoteHeard(DataCentreReachability& reachability,
                      const ReachabilityReport& sign,
                      Instant now) {
  OutageEvent event = NewsOf(sign.m_data_centre, reachability, OutageTransition::kNone);
  event.m_silence =
      reachability.m_last_response == Instant{} ? Duration(0) : now - reachability.m_last_response;
  reachability.m_last_response = now;
  reachability.m_unreachable_servers.clear();
  if (!reachability.m_suspect || !reachability.m_recovered.emplace(sign.m_server, now).second)
    return event;
  reachability.m_trials.erase(sign.m_server);
  reachability.m_appeared.erase(sign.m_server);
  event.m_transition = OutageTransition::kServerResponded;
  event.m_recovered = reachability.m_recovered.size();
  return event;
}

OutageEvent NoteLost(OutageDetector& detector,
                     DataCentreReachability& reachability,
                     const ReachabilityReport& sign,
                     Instant now) {
  if (SentBeforeRecovery(detector, sign.m_data_centre, sign.m_server, sign.m_sent_at))
    return {};
  std::erase_if(reachability.m_unreachable_servers, [&detector, now](const auto& entry) {
    return now - entry.second.m_at > detector.m_window;
  });
  reachability.m_unreachable_servers.insert_or_assign(sign.m_server,
                                                      LostServer{sign.m_reported_by, now});
  reachability.m_lost_last = now;
  reachability.m_appeared.erase(sign.m_server);
  if (reachability.m_suspect && reachability.m_trials.erase(sign.m_server) > 0) {
    reachability.m_declined[sign.m_server] = now + kTrialPause;
    reachability.m_next_trial = now + kTrialPause;
  }
  const bool all_lost = !reachability.m_suspect || !reachability.m_recovered.empty();
  if (!all_lost || !LooksLost(detector, reachability, now))
    return {};
  OutageEvent event = NewsOf(sign.m_data_centre, reachability, OutageTransition::kSuspect);
  event.m_silence =
      reachability.m_last_response == Instant{} ? Duration(0) : now - reachability.m_last_response;
  event.m_recovered = 0;
  Suspect(detector, reachability, now);
  return event;
}

const DataCentreReachability* SuspectSight(const OutageDetector& detector,
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
  detector.m_window = kOwnWindow;
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

OutageEvent RecordReport(OutageDetector& detector, const ReachabilityReport& sign, Instant now) {
  const auto found = detector.m_data_centres.find(sign.m_data_centre);
  if (found == detector.m_data_centres.end())
    return {};
  return sign.m_reachable ? NoteHeard(found->second, sign, now)
                          : NoteLost(detector, found->second, sign, now);
}

void Appear(OutageDetector& detector, const std::string& data_centre, const std::string& server) {
  const auto found = detector.m_data_centres.find(data_centre);
  if (found != detector.m_data_centres.end() && found->second.m_suspect)
    found->second.m_appeared.insert(server);
}

bool EndRecoveredOutage(OutageDetector& detector, Instant now, OutageEvent& event) {
  if (detector.m_suspect_count == 0)
    return false;
  for (auto& [name, sight] : detector.m_data_centres) {
    if (!sight.m_suspect || sight.m_recovered.empty())
      continue;
    const bool whole =
        static_cast<int>(sight.m_recovered.size() + sight.m_appeared.size()) >= sight.m_servers;
    const bool quiet = now - sight.m_recovered.begin()->second >= kSettled &&
                       now - sight.m_lost_last >= kSettled &&
                       now - sight.m_last_response < kSettled;
    if (!whole && !quiet)
      continue;
    event = NewsOf(name, sight, OutageTransition::kRecovered);
    event.m_silence = now - sight.m_since;
    EndSuspicion(detector, sight);
    return true;
  }
  return false;
}

bool IsDataCentreSuspect(const OutageDetector& detector, const std::string& data_centre) {
  return SuspectSight(detector, data_centre) != nullptr;
}

bool IsServerSuspect(const OutageDetector& detector,
                     const std::string& data_centre,
                     const std::string& server) {
  const DataCentreReachability* reachability = SuspectSight(detector, data_centre);
  return reachability != nullptr && !reachability->m_recovered.contains(server) &&
         !reachability->m_appeared.contains(server);
}

bool MayProbe(const OutageDetector& detector,
              const std::string& data_centre,
              const std::string& server,
              Instant now) {
  if (!IsServerSuspect(detector, data_centre, server))
    return false;
  const DataCentreReachability& reachability = *SuspectSight(detector, data_centre);
  const auto trial = reachability.m_trials.find(server);
  if (trial != reachability.m_trials.end() && now < trial->second)
    return false;
  const auto declined = reachability.m_declined.find(server);
  if (declined != reachability.m_declined.end() && now < declined->second)
    return false;
  const auto open = static_cast<std::size_t>(
      std::count_if(reachability.m_trials.begin(), reachability.m_trials.end(),
                    [now](const auto& entry) { return now < entry.second; }));
  if (reachability.m_recovered.empty())
    return open == 0 && now >= reachability.m_next_trial;
  return open < kTrialsForEachBack * reachability.m_recovered.size();
}

void BeginProbe(OutageDetector& detector,
                const std::string& data_centre,
                const std::string& server,
                Instant now) {
  if (IsServerSuspect(detector, data_centre, server))
    detector.m_data_centres[data_centre].m_trials.insert_or_assign(server, now + kTrialTime);
}

bool SentBeforeRecovery(const OutageDetector& detector,
                        const std::string& data_centre,
                        const std::string& server,
                        Instant begun) {
  if (begun == Instant{})
    return false;
  const auto found = detector.m_data_centres.find(data_centre);
  if (found == detector.m_data_centres.end())
    return false;
  const auto back = found->second.m_recovered.find(server);
  return back != found->second.m_recovered.end() && begun < back->second;
}

std::string_view OutageTransitionName(OutageTransition change) noexcept {
  switch (change) {
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
