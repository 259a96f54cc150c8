// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the broker of places knows of data centres that are lost or cut off as a whole.
#include "place_internal.h"

namespace poppyway {
namespace {

// A trial that finds no connection costs its request 300 ms; it has to be of use still after it.
constexpr Duration kLeastLeft{1'000'000};

/// Something came from the server, if only a refusal.
bool IsHeard(const PlaceReport& report) {
  const bool declined = report.m_sign == ServerSign::kBad && !report.m_ran;
  return report.m_first > Duration(0) || report.m_connect > Duration(0) || report.m_failed ||
         report.m_sign == ServerSign::kGood || declined;
}

void TakeNews(PlaceBroker& broker, OutageNews news) {
  if (news.m_change != OutageChange::kNone)
    broker.m_outage_news.push_back(std::move(news));
}

/// What was learned of the server's health was the data centre's.
void ForgetFailures(PlaceBroker& broker, const std::string& server) {
  const auto& [name, i] = broker.m_server_index.at(server);
  ServerHealth& health = broker.m_pools.at(name).m_health[i];
  health.m_failures = 0;
  health.m_avoid_until = {};
  health.m_trial_until = {};
}

}  // namespace

void LearnPath(PlaceBroker& broker,
               const std::string& holder,
               const HeldPlace& held,
               const PlaceReport& report,
               Instant now) {
  const auto found = broker.m_server_index.find(held.m_server);
  if (found == broker.m_server_index.end())
    return;
  const auto& [name, i] = found->second;
  const bool heard = IsHeard(report);
  const bool says_nothing = !heard && (!report.m_sign || report.m_sign == ServerSign::kGood);
  if (says_nothing)
    return;
  const std::string& data_centre = broker.m_pools.at(name).m_servers[i].m_data_centre;
  OutageNews news =
      Note(broker.m_outages, {data_centre, held.m_server, holder, heard, held.m_taken}, now);
  if (news.m_change == OutageChange::kHeard)
    ForgetFailures(broker, held.m_server);
  TakeNews(broker, std::move(news));
}

bool IsSuspect(const OutageWatch& outages, const PlacePool& pool, std::size_t i, Instant now) {
  const PlaceServer& server = pool.m_servers[i];
  return IsLost(outages, server.m_data_centre, server.m_id) || Avoided(pool.m_health[i], now);
}

std::optional<std::size_t> ChooseOutageTrial(const PlaceBroker& broker,
                                             const PlacePool& pool,
                                             const WaitingAsk& waiting,
                                             const RequestShape& shape,
                                             Instant now) {
  if (broker.m_outages.m_suspects == 0 || shape.m_left < kLeastLeft)
    return std::nullopt;
  const WorkingSide side = SideAtWork(pool);
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const PlaceServer& server = pool.m_servers[i];
    if (!MayTry(broker.m_outages, server.m_data_centre, server.m_id, now))
      continue;
    const bool only_lost = BarOf(broker.m_outages, pool, i, waiting, KeptFromWork(pool, side, i),
                                 now) == ServerBar::kSuspect;
    if (only_lost && HasRoom(pool.m_views[i], shape, pool.m_typical))
      return i;
  }
  return std::nullopt;
}

void WatchServers(PlaceBroker& broker) {
  std::map<std::string, int> servers;
  for (const auto& [name, pool] : broker.m_pools) {
    for (const PlaceServer& server : pool.m_servers) {
      if (!server.m_leaving && !server.m_data_centre.empty())
        ++servers[server.m_data_centre];
    }
  }
  SetWatched(broker.m_outages, servers);
}

void SettleOutages(PlaceBroker& broker, Instant now) {
  OutageNews news;
  while (Settle(broker.m_outages, now, news))
    TakeNews(broker, news);
}

}  // namespace poppyway
