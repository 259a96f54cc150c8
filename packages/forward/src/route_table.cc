// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cctype>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

double WeightSum(const Route& route) {
  double sum = 0;
  for (const PoolWeight& part : route.m_pools)
    sum += part.m_weight;
  return sum;
}

Result<void> CheckRoute(const RouteTable& table, const Route& route) {
  const auto fail = [&route](const std::string& what) {
    return Fail(ResultCode::kBadDeclaration, "route '" + route.m_name + "': " + what);
  };
  if (route.m_host.empty())
    return fail("it has no host");
  if (!route.m_prefix.starts_with('/') || !route.m_prefix.ends_with('/'))
    return fail("its prefix must begin and end with a slash");
  if (route.m_timeout <= Duration(0))
    return fail("its timeout must be above zero");
  if (route.m_max_attempts < 1)
    return fail("it must allow at least one attempt");
  for (const PoolWeight& part : route.m_pools) {
    if (FindPool(table, part.m_pool) == nullptr)
      return fail("pool '" + part.m_pool + "' is not declared");
    if (part.m_weight < 0)
      return fail("a weight is below zero");
  }
  if (WeightSum(route) <= 0)
    return fail("its weights sum to zero");
  return {};
}

Result<void> IndexRoutes(RouteTable& table) {
  for (std::size_t i = 0; i < table.m_routes.size(); ++i) {
    Route& route = table.m_routes[i];
    if (Result<void> checked = CheckRoute(table, route); !checked)
      return checked;
    route.m_host = LowerCase(route.m_host);
    table.m_by_host[route.m_host].push_back(i);
  }
  for (auto& [host, routes] : table.m_by_host) {
    std::sort(routes.begin(), routes.end(), [&table](std::size_t a, std::size_t b) {
      const std::string& left = table.m_routes[a].m_prefix;
      const std::string& right = table.m_routes[b].m_prefix;
      return left.size() != right.size() ? left.size() > right.size() : left < right;
    });
    const auto duplicate =
        std::adjacent_find(routes.begin(), routes.end(), [&table](std::size_t a, std::size_t b) {
          return table.m_routes[a].m_prefix == table.m_routes[b].m_prefix;
        });
    if (duplicate != routes.end())
      return Fail(ResultCode::kBadDeclaration,
                  "two routes serve '" + host + table.m_routes[*duplicate].m_prefix + "'");
  }
  return {};
}

Result<void> IndexKeys(RouteTable& table) {
  for (std::size_t i = 0; i < table.m_workspaces.size(); ++i) {
    for (const std::string& key : table.m_workspaces[i].m_keys) {
      if (key.empty())
        return Fail(ResultCode::kBadDeclaration,
                    "workspace '" + table.m_workspaces[i].m_name + "' has an empty key");
      const auto [entry, added] = table.m_by_key.emplace(key, i);
      if (!added && entry->second != i)
        return Fail(ResultCode::kBadDeclaration,
                    "workspaces '" + table.m_workspaces[entry->second].m_name + "' and '" +
                        table.m_workspaces[i].m_name + "' share a key");
    }
  }
  return {};
}

}  // namespace

Result<RouteTable> BuildRouteTable(RouteTable table) {
  table.m_by_host.clear();
  table.m_by_key.clear();
  for (std::size_t i = 0; i < table.m_pools.size(); ++i) {
    if (FindPool(table, table.m_pools[i].m_name) != &table.m_pools[i])
      return Fail(ResultCode::kBadDeclaration,
                  "pool '" + table.m_pools[i].m_name + "' is declared twice");
  }
  if (Result<void> indexed = IndexRoutes(table); !indexed)
    return tl::unexpected<Error>(indexed.error());
  if (Result<void> indexed = IndexKeys(table); !indexed)
    return tl::unexpected<Error>(indexed.error());
  return table;
}

const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path) noexcept {
  const std::string_view name = host.substr(0, host.find(':'));
  auto found = table.m_by_host.find(name);
  if (found == table.m_by_host.end())
    found = table.m_by_host.find(LowerCase(name));
  if (found == table.m_by_host.end())
    return nullptr;
  const std::string_view plain = path.substr(0, path.find('?'));
  for (const std::size_t i : found->second) {
    if (plain.starts_with(table.m_routes[i].m_prefix))
      return &table.m_routes[i];
  }
  return nullptr;
}

const Workspace* FindWorkspace(const RouteTable& table, std::string_view key) noexcept {
  const auto found = table.m_by_key.find(key);
  return found == table.m_by_key.end() ? nullptr : &table.m_workspaces[found->second];
}

const Pool* FindPool(const RouteTable& table, std::string_view name) noexcept {
  const auto found = std::find_if(table.m_pools.begin(), table.m_pools.end(),
                                  [name](const Pool& pool) { return pool.m_name == name; });
  return found == table.m_pools.end() ? nullptr : &*found;
}

HomeRegions CommonHomes(const HomeRegions& route, const HomeRegions& workspace) {
  if (!route.m_restricted)
    return workspace;
  if (!workspace.m_restricted)
    return route;
  HomeRegions common;
  common.m_restricted = true;
  for (const std::string& region : route.m_regions) {
    if (AllowsRegion(workspace, region))
      common.m_regions.push_back(region);
  }
  return common;
}

const std::string& PickPool(const Route& route, std::uint64_t random) noexcept {
  constexpr double kRange = 9007199254740992.0;  // 2^53, the integers that a double holds exactly.
  double at = static_cast<double>(random >> 11) / kRange * WeightSum(route);
  for (const PoolWeight& part : route.m_pools) {
    at -= part.m_weight;
    if (at < 0)
      return part.m_pool;
  }
  // Rounding can leave a rest; the last pool with a weight gets it.
  const auto last = std::find_if(route.m_pools.rbegin(), route.m_pools.rend(),
                                 [](const PoolWeight& part) { return part.m_weight > 0; });
  return last->m_pool;
}

double CostOf(const Workspace& workspace, std::optional<std::int64_t> tokens) noexcept {
  if (!workspace.m_counts_tokens)
    return 1;
  return tokens ? static_cast<double>(*tokens) : workspace.m_plain_cost;
}

}  // namespace poppyway
