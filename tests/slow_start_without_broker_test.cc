// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What an instance without a broker sends to cold servers.
#include "forwarder_fixture.h"

namespace poppyway {
namespace {

/// Returns the configuration document of the tests with servers that are cold for 8 s after a
/// start.
std::string ColdDocument() {
  std::string document = Document(1, "key");
  const std::string before = R"("max_conns":9)";
  return document.replace(document.find(before), before.size(),
                          before + R"(,"cold_s":8,"cold_per_s":12)");
}

void RegisterCold(ForwarderFixture& fixture,
                  const std::string& id,
                  const ScriptedServer& server,
                  const std::string& data_centre = "") {
  wire::ServerRecord record = fixture.Record(id, server);
  record.data_centre = data_centre;
  record.cold_for_ms = 8'000;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
}

int Served(ForwarderFixture& fixture, int calls) {
  int served = 0;
  for (int i = 0; i < calls; ++i)
    served += Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200 ? 1 : 0;
  return served;
}

TEST_CASE("an instance that decides alone sends to warm servers while they have room") {
  ScriptedServer warm([](const std::string& request) { return MakeResponse(request, "ok"); });
  ScriptedServer cold([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(ColdDocument());
  // The instance may send to cold servers at any time.
  fixture.m_forwarder->state().m_settings.m_slow_start_tolerance = {1, 10'000};
  // If both were warm, the one in the instance's own data centre would get all requests.
  fixture.m_forwarder->state().m_settings.m_data_centre = "east";
  fixture.Register("s0", warm);
  RegisterCold(fixture, "s1", cold, "east");
  CHECK(Served(fixture, 12) == 12);
  CHECK(cold.requests().empty());
}

TEST_CASE("an instance that decides alone sends cold servers its even part") {
  ScriptedServer cold([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(ColdDocument());
  // Half of 10 requests per second for the one instance: one every 200 ms.
  fixture.m_forwarder->state().m_settings.m_slow_start_tolerance = {1, 10};
  RegisterCold(fixture, "s0", cold);
  const Instant start = ReadClock();
  const int served = Served(fixture, 8);
  const double spent_s = static_cast<double>((ReadClock() - start).count()) / 1e6;
  CHECK(served >= 1);
  CHECK(served <= 1 + spent_s * 5);
  CHECK(cold.requests().size() == static_cast<std::size_t>(served));
}

TEST_CASE("an instance that decides alone sends cold servers nothing where no part is left") {
  ScriptedServer cold([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(ColdDocument());
  RegisterCold(fixture, "s0", cold);
  CHECK(Served(fixture, 3) == 0);
  CHECK(cold.requests().empty());
}

TEST_CASE("an evacuation that ends leaves its servers presumed cold at an instance") {
  ScriptedServer server([](const std::string& request) { return MakeResponse(request, "ok"); });
  ForwarderFixture fixture(ColdDocument());
  wire::ServerRecord record = fixture.Record("s0", server);
  record.data_centre = "east";
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  CHECK(Served(fixture, 1) == 1);
  wire::Evacuation evacuation;
  evacuation.data_centre = "east";
  fixture.m_forwarder->HandleMessage(EvacuationsChanged{{evacuation}});
  evacuation.ended = true;
  fixture.m_forwarder->HandleMessage(EvacuationsChanged{{evacuation}});
  CHECK(Served(fixture, 1) == 0);
}

}  // namespace
}  // namespace poppyway
