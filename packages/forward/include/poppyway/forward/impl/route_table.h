// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy.h"

namespace poppyway {

/// \brief Whether a request may run more than once.
enum class Repeat : std::uint8_t {
  kNever,   ///< At most once.
  kAlways,  ///< As often as needed.
};

/// \brief A pool with its part of a route's requests.
struct PoolWeight {
  std::string m_pool;
  double m_weight = 1;

  friend bool operator==(const PoolWeight&, const PoolWeight&) = default;
};

/// \brief Requests of one host under one path prefix.
struct Route {
  std::string m_name;
  std::string m_host;    ///< Lower case, without a port.
  std::string m_prefix;  ///< Begins and ends with a slash.
  std::vector<PoolWeight> m_pools;
  Repeat m_repeat = Repeat::kNever;
  bool m_stream = false;     ///< Answers are event streams.
  bool m_resumable = false;  ///< A broken stream may go on at another server.
  bool m_anonymous = false;  ///< Needs no key.
  Tier m_tier = 0;
  int m_max_attempts = 1;       ///< Servers that one request may be sent to.
  Duration m_timeout{};         ///< Longest that a request is held.
  Duration m_latency_target{};  ///< First event, or the whole answer, wanted within this.
  Duration m_gap_target{};      ///< Longest pause between events that is still in time.
  HomeRegions m_home_regions;   ///< Where its requests may be served.

  friend bool operator==(const Route&, const Route&) = default;
};

/// \brief A pool of backend servers as the operator declares it.
struct Pool {
  std::string m_name;
  std::string m_health_path;
  int m_max_connections = 0;  ///< Of all instances together, for each server; zero: no limit.
  bool m_engines = false;     ///< Model engines, which read prompts and batch.
  SlowStartLimit
      m_slow_start_limit;  ///< Without the most that a server may get: settings tell that.

  friend bool operator==(const Pool&, const Pool&) = default;
};

/// \brief A workspace with its keys and its limit.
struct Workspace {
  std::string m_name;
  std::vector<std::string> m_keys;
  std::optional<Tier> m_tier;  ///< Takes precedence over a route's.
  QuotaLimit m_limit;
  bool m_counts_tokens = false;  ///< The limit counts tokens, else requests.
  double m_plain_cost = 1;       ///< Of a request that names no tokens.
  HomeRegions m_home_regions;    ///< Where its requests may be served.

  friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// \brief What a caller may send and how long it may rest.
struct CallerLimits {
  std::int64_t m_max_body_bytes = 4 << 20;
  Duration m_idle{15'000'000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// \brief One whole configuration. Immutable once built by `BuildRouteTable`.
struct RouteTable {
  std::int64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Pool> m_pools;
  std::vector<Workspace> m_workspaces;
  CallerLimits m_limits;
  // Built from the above.
  std::map<std::string, std::vector<std::size_t>, std::less<>>
      m_by_host;  ///< Longest prefix first.
  std::map<std::string, std::size_t, std::less<>> m_by_key;

  friend bool operator==(const RouteTable&, const RouteTable&) = default;
};

/// \brief Checks a table and builds its look-ups.
/// \return `kBadDeclaration` naming the route, pool or workspace at fault: an unknown pool, two
/// routes in one place, weights that sum to zero, no timeout, a key of two workspaces.
[[nodiscard]] Result<RouteTable> BuildRouteTable(RouteTable table);

/// \brief The route of `host` with the longest prefix that begins `path`, or null.
[[nodiscard]] const Route* FindRoute(const RouteTable& table,
                                     std::string_view host,
                                     std::string_view path) noexcept;
/// \brief The workspace that holds `key`, or null.
[[nodiscard]] const Workspace* FindWorkspace(const RouteTable& table,
                                             std::string_view key) noexcept;
[[nodiscard]] const Pool* FindPool(const RouteTable& table, std::string_view name) noexcept;

/// \brief Where a request of a route and a workspace may be served: in regions that are homes of
/// both, as far as each has homes.
[[nodiscard]] HomeRegions CommonHomes(const HomeRegions& route, const HomeRegions& workspace);

/// \brief The pool of one request, by weight. `random` is uniform.
[[nodiscard]] const std::string& PickPool(const Route& route, std::uint64_t random) noexcept;

/// \brief What a request costs a workspace.
[[nodiscard]] double CostOf(const Workspace& workspace,
                            std::optional<std::int64_t> tokens) noexcept;

}  // namespace poppyway
