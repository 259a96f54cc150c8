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

std::size_t CountTellers(const DataCentreSight& sight) {
  std::set<std::string_view> tellers;
  for (const auto& [server, lost] : sight.m_lost)
    tellers.insert(lost.m_told_by);
  return tellers.size();
}

OutageNews NewsOf(const std::string& name, const DataCentreSight& sight, OutageChange change) {
  OutageNews news;
  news.m_data_centre = name;
  news.m_change = change;
  news.m_lost = sight.m_lost.size();
  news.m_tellers = CountTellers(sight);
  news.m_back = sight.m_back.size();
  news.m_servers = sight.m_servers;
  return news;
}

/// Another data centre was heard after this one was, and not long ago.
bool HeardElsewhere(const OutageWatch& watch, const DataCentreSight& sight, Instant now) {
  return std::any_of(
      watch.m_sights.begin(), watch.m_sights.end(), [&watch, &sight, now](const auto& entry) {
        const DataCentreSight& other = entry.second;
        const bool lately = other.m_heard != Instant{} && now - other.m_heard < watch.m_window;
        return &other != &sight && lately && other.m_heard > sight.m_heard;
      });
}

bool LooksLost(const OutageWatch& watch, const DataCentreSight& sight, Instant now) {
  return sight.m_lost.size() >= kLeastLost &&
         CountTellers(sight) >= static_cast<std::size_t>(watch.m_least_tellers) &&
         now - sight.m_heard >= kQuiet && HeardElsewhere(watch, sight, now);
}

void Suspect(OutageWatch& watch, DataCentreSight& sight, Instant now) {
  if (!sight.m_suspect)
    ++watch.m_suspects;
  sight.m_suspect = true;
  sight.m_since = now;
  sight.m_back.clear();
  sight.m_trials.clear();
  sight.m_declined.clear();
  sight.m_next_trial = now + kTrialPause;
}

void EndSuspicion(OutageWatch& watch, DataCentreSight& sight) {
  --watch.m_suspects;
  sight.m_suspect = false;  // `m_back` stays: failures from before are still under way.
  sight.m_lost.clear();
  sight.m_appeared.clear();
  sight.m_trials.clear();
  sight.m_declined.clear();
}

OutageNews NoteHeard(DataCentreSight& sight, const PathSign& sign, Instant now) {
  OutageNews news = NewsOf(sign.m_data_centre, sight, OutageChange::kNone);
  news.m_quiet = sight.m_heard == Instant{} ? Duration(0) : now - sight.m_heard;
  sight.m_heard = now;
  sight.m_lost.clear();
  if (!sight.m_suspect || !sight.m_back.emplace(sign.m_server, now).second)
    return news;
  sight.m_trials.erase(sign.m_server);
  sight.m_appeared.erase(sign.m_server);
  news.m_change = OutageChange::kHeard;
  news.m_back = sight.m_back.size();
  return news;
}

OutageNews NoteLost(OutageWatch& watch, DataCentreSight& sight, const PathSign& sign, Instant now) {
  if (BeforeReturn(watch, sign.m_data_centre, sign.m_server, sign.m_begun))
    return {};
  std::erase_if(sight.m_lost, [&watch, now](const auto& entry) {
    return now - entry.second.m_at > watch.m_window;
  });
  sight.m_lost.insert_or_assign(sign.m_server, LostServer{sign.m_told_by, now});
  sight.m_lost_last = now;
  sight.m_appeared.erase(sign.m_server);
  if (sight.m_suspect && sight.m_trials.erase(sign.m_server) > 0) {
    sight.m_declined[sign.m_server] = now + kTrialPause;
    sight.m_next_trial = now + kTrialPause;
  }
  const bool all_lost = !sight.m_suspect || !sight.m_back.empty();
  if (!all_lost || !LooksLost(watch, sight, now))
    return {};
  OutageNews news = NewsOf(sign.m_data_centre, sight, OutageChange::kSuspect);
  news.m_quiet = sight.m_heard == Instant{} ? Duration(0) : now - sight.m_heard;
  news.m_back = 0;
  Suspect(watch, sight, now);
  return news;
}

const DataCentreSight* SuspectSight(const OutageWatch& watch, const std::string& data_centre) {
  if (watch.m_suspects == 0)
    return nullptr;
  const auto found = watch.m_sights.find(data_centre);
  const bool suspect = found != watch.m_sights.end() && found->second.m_suspect;
  return suspect ? &found->second : nullptr;
}

}  // namespace

OutageWatch OwnOutageWatch() {
  OutageWatch watch;
  watch.m_least_tellers = 1;
  watch.m_window = kOwnWindow;
  return watch;
}

void SetWatched(OutageWatch& watch, const std::map<std::string, int>& servers) {
  std::erase_if(watch.m_sights,
                [&servers](const auto& entry) { return !servers.contains(entry.first); });
  watch.m_suspects = 0;
  for (const auto& [data_centre, count] : servers) {
    DataCentreSight& sight = watch.m_sights[data_centre];
    sight.m_servers = count;
    watch.m_suspects += sight.m_suspect ? 1 : 0;
  }
}

OutageNews Note(OutageWatch& watch, const PathSign& sign, Instant now) {
  const auto found = watch.m_sights.find(sign.m_data_centre);
  if (found == watch.m_sights.end())
    return {};
  return sign.m_heard ? NoteHeard(found->second, sign, now)
                      : NoteLost(watch, found->second, sign, now);
}

void Appear(OutageWatch& watch, const std::string& data_centre, const std::string& server) {
  const auto found = watch.m_sights.find(data_centre);
  if (found != watch.m_sights.end() && found->second.m_suspect)
    found->second.m_appeared.insert(server);
}

bool Settle(OutageWatch& watch, Instant now, OutageNews& news) {
  if (watch.m_suspects == 0)
    return false;
  for (auto& [name, sight] : watch.m_sights) {
    if (!sight.m_suspect || sight.m_back.empty())
      continue;
    const bool whole =
        static_cast<int>(sight.m_back.size() + sight.m_appeared.size()) >= sight.m_servers;
    const bool quiet = now - sight.m_back.begin()->second >= kSettled &&
                       now - sight.m_lost_last >= kSettled && now - sight.m_heard < kSettled;
    if (!whole && !quiet)
      continue;
    news = NewsOf(name, sight, OutageChange::kOver);
    news.m_quiet = now - sight.m_since;
    EndSuspicion(watch, sight);
    return true;
  }
  return false;
}

bool IsSuspect(const OutageWatch& watch, const std::string& data_centre) {
  return SuspectSight(watch, data_centre) != nullptr;
}

bool IsLost(const OutageWatch& watch, const std::string& data_centre, const std::string& server) {
  const DataCentreSight* sight = SuspectSight(watch, data_centre);
  return sight != nullptr && !sight->m_back.contains(server) && !sight->m_appeared.contains(server);
}

bool MayTry(const OutageWatch& watch,
            const std::string& data_centre,
            const std::string& server,
            Instant now) {
  if (!IsLost(watch, data_centre, server))
    return false;
  const DataCentreSight& sight = *SuspectSight(watch, data_centre);
  const auto trial = sight.m_trials.find(server);
  if (trial != sight.m_trials.end() && now < trial->second)
    return false;
  const auto declined = sight.m_declined.find(server);
  if (declined != sight.m_declined.end() && now < declined->second)
    return false;
  const auto open = static_cast<std::size_t>(
      std::count_if(sight.m_trials.begin(), sight.m_trials.end(),
                    [now](const auto& entry) { return now < entry.second; }));
  if (sight.m_back.empty())
    return open == 0 && now >= sight.m_next_trial;
  return open < kTrialsForEachBack * sight.m_back.size();
}

void BeginTrial(OutageWatch& watch,
                const std::string& data_centre,
                const std::string& server,
                Instant now) {
  if (IsLost(watch, data_centre, server))
    watch.m_sights[data_centre].m_trials.insert_or_assign(server, now + kTrialTime);
}

bool BeforeReturn(const OutageWatch& watch,
                  const std::string& data_centre,
                  const std::string& server,
                  Instant begun) {
  if (begun == Instant{})
    return false;
  const auto found = watch.m_sights.find(data_centre);
  if (found == watch.m_sights.end())
    return false;
  const auto back = found->second.m_back.find(server);
  return back != found->second.m_back.end() && begun < back->second;
}

std::string_view OutageChangeName(OutageChange change) noexcept {
  switch (change) {
    case OutageChange::kNone:
      return "none";
    case OutageChange::kSuspect:
      return "data_centre_suspect";
    case OutageChange::kHeard:
      return "data_centre_heard";
    case OutageChange::kOver:
      return "data_centre_back";
  }
  return "unknown";
}

}  // namespace poppyway
