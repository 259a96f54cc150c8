// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <tuple>
#include <vector>

#include "poppyway/policy/impl/server_choice.h"

namespace poppyway {

/// \brief A server's position in the order of its data centre.
struct ServerOrderKey {
  float m_cost_ms = 0;          ///< Cost of sending it the reference request; see `ChoiceCostMs`.
  std::uint32_t m_shuffle = 0;  ///< Orders equal servers at random.
  std::uint32_t m_server = 0;   ///< Index in the pool.

  friend bool operator==(const ServerOrderKey&, const ServerOrderKey&) = default;
  friend bool operator<(const ServerOrderKey& a, const ServerOrderKey& b) noexcept {
    return std::tie(a.m_cost_ms, a.m_shuffle, a.m_server) <
           std::tie(b.m_cost_ms, b.m_shuffle, b.m_server);
  }
};

/// \brief The servers of a pool, by data centre, in the order in which a reference request would
/// choose them.
///
/// A request looks at the first servers of each data centre instead of at the whole pool. Costs of
/// two requests differ, but at idle servers both rank servers by their speed, so the best server
/// for one is among the first for the other. Not thread-safe.
struct ServerOrder {
  RequestShape m_reference;
  std::vector<std::set<ServerOrderKey>> m_data_centres;
  std::vector<std::uint32_t> m_data_centre_of;  ///< Index into `m_data_centres`, by server.
  std::vector<ServerOrderKey> m_keys;           ///< By server.
  std::vector<int> m_in_flight;                 ///< Requests in flight, by server.
  int m_taken = 0;                              ///< Sum of `m_in_flight`.
  int m_open = 0;                               ///< Servers with a free slot.
  /// The servers that would serve the reference request first if all were idle.
  std::vector<std::size_t> m_fastest;
  std::uint64_t m_random = 1;
};

/// \brief Returns an order of the servers.
/// \param data_centre_of number of each server's data centre, counted from zero.
[[nodiscard]] ServerOrder MakeServerOrder(std::span<const ServerView> servers,
                                          std::vector<std::uint32_t> data_centre_of,
                                          const RequestShape& reference,
                                          const ServerPerformance& typical,
                                          std::uint64_t random);

/// \brief Moves server `i` to its position after its view has changed. Takes logarithmic time.
void Reorder(ServerOrder& order,
             std::size_t i,
             const ServerView& server,
             const ServerPerformance& typical);

}  // namespace poppyway
