// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>
#include <map>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix, const std::string& pool) {
  Route route;
  route.m_name = name;
  route.m_host = "School.example";
  route.m_prefix = prefix;
  route.m_pools = {{pool, 1}};
  route.m_timeout = Duration(1'000'000);
  return route;
}

RouteTable MakeTable() {
  RouteTable table;
  table.m_pools = {{.m_name = "models"}, {.m_name = "app"}};
  table.m_routes = {MakeRoute("a", "/x/", "models"), MakeRoute("b", "/x/y/", "app")};
  table.m_workspaces = {{.m_name = "north", .m_keys = {"k1", "k2"}},
                        {.m_name = "south", .m_keys = {"k3"}}};
  return table;
}

TEST_CASE("the longest prefix of the host wins, whatever the case of the host") {
  const RouteTable table = BuildRouteTable(MakeTable()).value();
  CHECK(FindRoute(table, "school.example", "/x/1")->m_name == "a");
  CHECK(FindRoute(table, "SCHOOL.example:8080", "/x/y/1?q=/x/")->m_name == "b");
  CHECK(FindRoute(table, "school.example", "/x") == nullptr);
  CHECK(FindRoute(table, "school.example", "/z/x/") == nullptr);
  CHECK(FindRoute(table, "other.example", "/x/1") == nullptr);
}

TEST_CASE("a prefix is matched against the path as it was sent, never against its query") {
  const RouteTable table = BuildRouteTable(MakeTable()).value();
  CHECK(FindRoute(table, "school.example", "/%78/1") == nullptr);
  CHECK(FindRoute(table, "school.example", "/?/x/") == nullptr);
}

TEST_CASE("every key leads to its workspace") {
  const RouteTable table = BuildRouteTable(MakeTable()).value();
  CHECK(FindWorkspace(table, "k2")->m_name == "north");
  CHECK(FindWorkspace(table, "k3")->m_name == "south");
  CHECK(FindWorkspace(table, "k") == nullptr);
  CHECK(FindWorkspace(table, "") == nullptr);
}

TEST_CASE("a table that is wrong in one place is refused and the place is named") {
  const auto message = [](const RouteTable& table) {
    return BuildRouteTable(table).error().m_message;
  };
  RouteTable table = MakeTable();
  SECTION("an unknown pool") {
    table.m_routes[0].m_pools = {{"nowhere", 1}};
    CHECK(message(table) == "route 'a': pool 'nowhere' is not declared");
  }
  SECTION("two routes in one place") {
    table.m_routes[1].m_prefix = "/x/";
    table.m_routes[1].m_host = "SCHOOL.EXAMPLE";
    CHECK(message(table) == "two routes serve 'school.example/x/'");
  }
  SECTION("weights that sum to zero") {
    table.m_routes[0].m_pools = {{"models", 0}, {"app", 0}};
    CHECK(message(table) == "route 'a': its weights sum to zero");
  }
  SECTION("no timeout") {
    table.m_routes[0].m_timeout = Duration(0);
    CHECK(message(table) == "route 'a': its timeout must be above zero");
  }
  SECTION("a key of two workspaces") {
    table.m_workspaces[1].m_keys.push_back("k1");
    CHECK(message(table) == "workspaces 'north' and 'south' share a key");
  }
  SECTION("a prefix without its slash") {
    table.m_routes[0].m_prefix = "/x";
    CHECK(message(table) == "route 'a': its prefix must begin and end with a slash");
  }
  SECTION("a negative weight") {
    table.m_routes[0].m_pools = {{"models", 2}, {"app", -1}};
    CHECK(message(table) == "route 'a': a weight is below zero");
  }
}

TEST_CASE("requests are split over pools by weight") {
  Route route = MakeRoute("a", "/x/", "models");
  route.m_pools = {{"models", 90}, {"app", 10}, {"none", 0}};
  std::map<std::string, int> picked;
  for (std::uint64_t i = 0; i < 10'000; ++i)
    ++picked[PickPool(route, i * (UINT64_MAX / 10'000))];
  CHECK(picked["models"] == Approx(9000).margin(20));
  CHECK(picked["app"] == Approx(1000).margin(20));
  CHECK(picked.count("none") == 0);
  CHECK(PickPool(route, UINT64_MAX) != "none");
}

TEST_CASE("a request costs its tokens, or the plain cost where it names none") {
  const Workspace workspace{.m_name = "north", .m_counts_tokens = true, .m_plain_cost = 200};
  CHECK(CostOf(workspace, 1500) == 1500);
  CHECK(CostOf(workspace, std::nullopt) == 200);
  CHECK(CostOf(Workspace{}, 1500) == 1);
}

}  // namespace
}  // namespace poppyway
