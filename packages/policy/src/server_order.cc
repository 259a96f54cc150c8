// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <utility>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

std::uint32_t NextShuffle(ServerOrder& order) noexcept {
  order.m_random = order.m_random * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<std::uint32_t>(order.m_random >> 32);
}

ServerOrderKey KeyOf(ServerOrder& order,
                     std::size_t i,
                     const ServerView& server,
                     const ServerPerformance& typical) {
  // What depends on the last request that looked at the server says nothing about the next one.
  ServerView view = server;
  view.m_cached_tokens = 0;
  view.m_same_data_centre = true;
  view.m_round_trip = {};
  return {static_cast<float>(ChoiceCostMs(view, order.m_reference, typical)), NextShuffle(order),
          static_cast<std::uint32_t>(i)};
}

/// Returns the servers that would serve the reference request first if all were idle.
std::vector<std::size_t> FindFastest(std::span<const ServerView> servers,
                                     const RequestShape& reference,
                                     const ServerPerformance& typical) {
  constexpr std::size_t kNumber = 32;
  std::vector<std::pair<Duration, std::size_t>> times;
  times.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i)
    times.emplace_back(PredictUnloadedTimeToFirstEvent(servers[i], reference, typical), i);
  const auto number = static_cast<std::ptrdiff_t>(std::min(kNumber, times.size()));
  std::partial_sort(times.begin(), times.begin() + number, times.end());
  std::vector<std::size_t> fastest;
  for (std::ptrdiff_t k = 0; k < number; ++k)
    fastest.push_back(times[static_cast<std::size_t>(k)].second);
  return fastest;
}

int InFlight(const ServerView& server) noexcept {
  return server.m_own_in_flight + server.m_other_in_flight;
}

}  // namespace

ServerOrder MakeServerOrder(std::span<const ServerView> servers,
                            std::vector<std::uint32_t> data_centre_of,
                            const RequestShape& reference,
                            const ServerPerformance& typical,
                            std::uint64_t random) {
  ServerOrder order;
  order.m_reference = reference;
  order.m_random = random | 1;
  order.m_data_centre_of = std::move(data_centre_of);
  std::uint32_t data_centres = 0;
  for (const std::uint32_t number : order.m_data_centre_of)
    data_centres = std::max(data_centres, number + 1);
  order.m_data_centres.resize(data_centres);
  order.m_keys.reserve(servers.size());
  order.m_in_flight.reserve(servers.size());
  std::vector<std::vector<ServerOrderKey>> keys(data_centres);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    order.m_keys.push_back(KeyOf(order, i, servers[i], typical));
    keys[order.m_data_centre_of[i]].push_back(order.m_keys.back());
    order.m_in_flight.push_back(InFlight(servers[i]));
    order.m_taken += order.m_in_flight.back();
    order.m_open += order.m_in_flight.back() < servers[i].m_slots ? 1 : 0;
  }
  for (std::size_t d = 0; d < keys.size(); ++d) {
    std::sort(keys[d].begin(), keys[d].end());
    order.m_data_centres[d].insert(keys[d].begin(), keys[d].end());
  }
  order.m_fastest = FindFastest(servers, reference, typical);
  return order;
}

void Reorder(ServerOrder& order,
             std::size_t i,
             const ServerView& server,
             const ServerPerformance& typical) {
  std::set<ServerOrderKey>& servers = order.m_data_centres[order.m_data_centre_of[i]];
  auto node = servers.extract(order.m_keys[i]);
  order.m_keys[i] = KeyOf(order, i, server, typical);
  node.value() = order.m_keys[i];
  servers.insert(std::move(node));
  const int before = std::exchange(order.m_in_flight[i], InFlight(server));
  order.m_taken += order.m_in_flight[i] - before;
  order.m_open +=
      (order.m_in_flight[i] < server.m_slots ? 1 : 0) - (before < server.m_slots ? 1 : 0);
}

}  // namespace poppyway
