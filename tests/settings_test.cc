// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/settings.h"

using namespace poppyway;

namespace {

const std::string kGood = R"(cluster: c
instance: a
data_centre: dc
http: 127.0.0.1:8080
peer: 127.0.0.1:9080
data_folder: /tmp/a
members:
  a: 127.0.0.1:9080
  b: 127.0.0.1:9081
  c: 127.0.0.1:9082
)";

std::string FaultOf(const std::string& text) {
  const Result<DaemonSettings> settings = ParseDaemonSettings(text, "s.yaml");
  REQUIRE_FALSE(settings);
  return settings.error().m_message;
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

TEST_CASE("good settings are read with their defaults", "[settings]") {
  const Result<DaemonSettings> settings = ParseDaemonSettings(kGood, "s.yaml");
  REQUIRE(settings);
  CHECK(settings->m_http == Endpoint{"127.0.0.1", 8080});
  CHECK(settings->m_members.size() == 3);
  CHECK(settings->m_lease_ms == 3000);
  CHECK(IsMember(*settings));
}

TEST_CASE("an unknown key is refused with its place and the nearest key", "[settings]") {
  CHECK(FaultOf(kGood + "leese_ms: 5\n") ==
        "s.yaml:11:1: unknown key 'leese_ms'; did you mean 'lease_ms'?");
}

TEST_CASE("an impossible set of members is refused", "[settings]") {
  CHECK(FaultOf(Replaced(kGood, "  c: 127.0.0.1:9082\n", "")).find("1, 3, 5, 7 or 9") !=
        std::string::npos);
  CHECK(FaultOf(Replaced(kGood, "c: 127.0.0.1:9082", "c: 127.0.0.1:9081")).find("used twice") !=
        std::string::npos);
  CHECK(FaultOf(Replaced(kGood, "peer: 127.0.0.1:9080", "peer: 127.0.0.1:9089")).find("differs") !=
        std::string::npos);
  CHECK(FaultOf(Replaced(kGood, "data_folder: /tmp/a\n", "")).find("data_folder") !=
        std::string::npos);
}

TEST_CASE("values out of bounds and of the wrong type are refused", "[settings]") {
  CHECK(FaultOf(kGood + "max_queue: 0\n").find("from 1 to") != std::string::npos);
  CHECK(FaultOf(kGood + "max_queue: many\n").find("whole number") != std::string::npos);
  CHECK(FaultOf(kGood + "lease_ms: 600\nheartbeat_ms: 500\n").find("three times") !=
        std::string::npos);
  CHECK(FaultOf(Replaced(kGood, "127.0.0.1:8080", "localhost:8080")).find("IPv4") !=
        std::string::npos);
  CHECK(FaultOf("a: [").find("s.yaml:") == 0);
}

TEST_CASE("declarations are checked with file, line and column", "[settings][declarations]") {
  const auto fault = [](const std::string& text) {
    const auto parsed = ParseDeclarations(text, "d.yaml");
    REQUIRE_FALSE(parsed);
    return parsed.error().m_message;
  };
  CHECK(fault("kind: pol\nname: x\n").find("d.yaml:1:1") == 0);
  CHECK(fault("kind: pool\nname: x\ntyp: model\n").find("did you mean 'type'") !=
        std::string::npos);
  CHECK(fault("kind: event\nname: e\npool: p\ncallers: a in b\n").find("column 6") !=
        std::string::npos);
  CHECK(fault("kind: event\nname: e\npool: p\ntier: 3\n").find("from 0 to 2") != std::string::npos);
  CHECK(fault("kind: server\nname: s\npool: p\naddress: 1.2.3.4\nengines: []\n")
            .find("at least one engine") != std::string::npos);
}

TEST_CASE("names that refer to nothing and doubled names are refused", "[settings][declarations]") {
  const auto event = ParseDeclarations("kind: event\nname: e\npool: nowhere\n", "d");
  REQUIRE(event);
  CHECK(Compile(*event, 1).error().m_message.find("'nowhere' is not declared") !=
        std::string::npos);
  const auto twice = ParseDeclarations("kind: pool\nname: p\n---\nkind: pool\nname: p\n", "d");
  REQUIRE(twice);
  CHECK(Compile(*twice, 1).error().m_message.find("declared twice") != std::string::npos);
}

TEST_CASE("both example deployments are valid and have the sizes of the brief",
          "[settings][examples]") {
  const auto count = [](const std::string& name, std::size_t engines) {
    const auto declarations =
        LoadDeclarations(std::string(POPPYWAY_SOURCE) + "/examples/" + name + "/declarations");
    REQUIRE(declarations);
    const Result<Catalogue> catalogue = Compile(*declarations, 1);
    REQUIRE(catalogue);
    CHECK(catalogue->m_servers.size() == 24);
    CHECK(catalogue->m_engines.size() == engines + 4);
    CHECK(catalogue->m_workspaces.size() == 5);
  };
  count("stichting", 55);
  count("maly-uver", 50);
}

TEST_CASE("a leaving server and a selector keep engines out", "[settings][declarations]") {
  const std::string text =
      "kind: pool\nname: p\n---\n"
      "kind: server\nname: s1\npool: p\naddress: 1.1.1.1\nlabels: {gen: g1}\n"
      "engines: [{name: e, port: 1}]\n---\n"
      "kind: server\nname: s2\npool: p\naddress: 1.1.1.2\nlabels: {gen: g2}\nleaving: true\n"
      "engines: [{name: e, port: 1}]\n---\n"
      "kind: server\nname: s3\npool: p\naddress: 1.1.1.3\nlabels: {gen: g2}\n"
      "engines: [{name: e, port: 1, models: [m]}]\n---\n"
      "kind: event\nname: any\npool: p\n---\n"
      "kind: event\nname: new\npool: p\nservers: gen = g2\n";
  const auto declarations = ParseDeclarations(text, "d");
  REQUIRE(declarations);
  const Result<Catalogue> catalogue = Compile(*declarations, 1);
  REQUIRE(catalogue);
  CHECK(EligibleEngines(*catalogue, catalogue->m_events[0], "").size() == 2);
  CHECK(EligibleEngines(*catalogue, catalogue->m_events[1], "").size() == 1);
  CHECK(EligibleEngines(*catalogue, catalogue->m_events[1], "other").empty());
}
