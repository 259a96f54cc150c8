// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy.h"

namespace poppyway {

/// \brief Whether the requests of a route may run more than once.
enum class Repeat : std::uint8_t {
  kNever,   ///< A request runs at most once.
  kAlways,  ///< A request may be retried after it has run.
};

/// \brief A pool and its relative weight within a route.
struct PoolWeight {
  std::string m_pool;
  double m_weight = 1;

  friend bool operator==(const PoolWeight&, const PoolWeight&) = default;
};

/// \brief A rule for all requests to one host under one path prefix.
struct Route {
  std::string m_name;
  std::string m_host;    ///< Lower case, without a port.
  std::string m_prefix;  ///< Begins and ends with a slash.
  std::vector<PoolWeight> m_pools;
  Repeat m_repeat = Repeat::kNever;
  bool m_stream = false;     ///< Responses are event streams.
  bool m_resumable = false;  ///< A broken stream may be resumed at another server.
  bool m_anonymous = false;  ///< Requests need no API key.
  Tier m_tier = 0;
  int m_max_attempts = 1;         ///< Maximum number of servers that a request may be sent to.
  Duration m_timeout{};           ///< Maximum time from arrival to the final response.
  Duration m_latency_target{};    ///< Target for the first event, or for the whole response.
  Duration m_gap_target{};        ///< Longest gap between events that counts as in time.
  HomeRegions m_allowed_regions;  ///< Regions where its requests may be served.

  friend bool operator==(const Route&, const Route&) = default;
};

/// \brief A pool of backend servers as the operator declares it.
struct Pool {
  std::string m_name;
  std::string m_health_path;
  int m_max_connections = 0;  ///< For each server, over all instances; zero: no limit.
  bool m_engines = false;     ///< The servers are model engines, which prefill prompts and batch.
  SlowStartLimit m_slow_start_limit;  ///< Limit without tolerance; the settings hold the tolerance.

  friend bool operator==(const Pool&, const Pool&) = default;
};

/// \brief A workspace with its API keys and its quota limit.
struct Workspace {
  std::string m_name;
  std::vector<std::string> m_keys;
  std::optional<Tier> m_tier;  ///< Overrides the tier of the route.
  QuotaLimit m_limit;
  bool m_counts_tokens = false;   ///< The limit counts tokens instead of requests.
  double m_plain_cost = 1;        ///< Cost of a request that states no token counts.
  HomeRegions m_allowed_regions;  ///< Regions where its requests may be served.

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// \brief Limits of a caller's request size and idle connection time.
struct CallerLimits {
  std::int64_t m_max_body_bytes = 4 << 20;
  Duration m_idle{15'000'000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// \brief A complete routing configuration. Immutable once built by `BuildRouteTable`.
struct RouteTable {
  std::int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Pool> m_pools;
  std::vector<Workspace> m_workspaces;
  CallerLimits m_limits;
  // Indexes that `BuildRouteTable` fills.
  std::map<std::string, std::vector<std::size_t>, std::less<>>
      m_by_host;  ///< Route indexes by host, longest prefix first.
  std::map<std::string, std::size_t, std::less<>> m_by_key;  ///< Workspace index by API key.

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// \brief Copies of parts of the current table that requests hold on to. Requests of one table
/// share them, and none keeps a whole table: tables of thousands of routes may follow each other
/// while requests last. Not thread-safe.
template <typename Part>
class SharedCopies {
 public:
  /// Returns the copy of `part`, or null for null.
  [[nodiscard]] std::shared_ptr<const Part> Get(const Part* part) {
    if (part == nullptr)
      return nullptr;
    std::shared_ptr<const Part>& copy = m_copies[part];
    if (!copy)
      copy = std::make_shared<const Part>(*part);
    return copy;
  }
  /// Forgets all copies: the table that held their originals is replaced. Requests keep theirs.
  void Clear() noexcept { m_copies.clear(); }

 private:
  std::unordered_map<const Part*, std::shared_ptr<const Part>> m_copies;  ///< By the original.
};

/// \brief Validates a table and builds its indexes.
/// \return the table, or `kBadDeclaration` naming the route, pool or workspace at fault: an unknown
/// or duplicate pool, two routes with the same host and prefix, weights that sum to zero, no
/// timeout, an empty key or a key shared by two workspaces.
[[nodiscard]] Result<RouteTable> BuildRouteTable(RouteTable table);

/// \brief Finds the route of `host` with the longest prefix of `path`. A port in `host` and a query
/// in `path` are ignored.
/// \return a pointer into `table`, or null.
[[nodiscard]] const Route* FindRoute(const RouteTable& table,
                                     std::string_view host,
                                     std::string_view path) noexcept;
/// \brief Returns the workspace that holds `key`, or null. The pointer is valid as long as `table`.
[[nodiscard]] const Workspace* FindWorkspace(const RouteTable& table,
                                             std::string_view key) noexcept;
/// \brief Returns the pool with this name, or null. The pointer is valid as long as `table`.
[[nodiscard]] const Pool* FindPool(const RouteTable& table, std::string_view name) noexcept;

/// \brief Returns the regions where a request of this route and workspace may be served: the
/// intersection of their home regions; an unrestricted side doesn't narrow it.
[[nodiscard]] HomeRegions CommonHomes(const HomeRegions& route, const HomeRegions& workspace);

/// \brief Picks a pool of the route by weight.
/// \param random 64 uniformly distributed bits.
/// Precondition: the route's weights sum to more than zero.
[[nodiscard]] const std::string& PickPool(const Route& route, std::uint64_t random) noexcept;

/// \brief Returns the quota cost of a request: 1, or its tokens if the workspace's limit counts
/// tokens.
/// \param tokens prompt tokens plus maximum generated tokens; unset: the request doesn't state
/// them.
[[nodiscard]] double CostOf(const Workspace& workspace,
                            std::optional<std::int64_t> tokens) noexcept;

}  // namespace poppyway
