// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What an instance takes of a server's places while a leader doesn't know the others' work.
#include <catch2/catch.hpp>

#include "forwarder_rig.h"
#include "poppyway/policy.h"
#include "poppyway/state.h"

namespace poppyway {
namespace {

FleetLoad LoadOf(int in_flight, bool settled) {
  FleetLoad load;
  load.m_settled = settled;
  load.m_instances = 4;
  if (in_flight > 0) {
    wire::ServerLoad& one = load.m_loads.emplace_back();
    one.server = "s0";
    one.in_flight = in_flight;
  }
  return load;
}

TEST_CASE("even parts of all instances add up to the places there are") {
  for (const int places : {1, 4, 15}) {
    for (const int instances : {1, 3, 8, 69}) {
      int sum = 0;
      for (int turn = 0; turn < instances; ++turn)
        sum += EvenPart(places, instances, static_cast<std::uint64_t>(turn));
      CHECK(sum == places);
    }
  }
}

TEST_CASE("a leader is settled once all instances have had time to find it") {
  const Instant begun{Duration(5'000'000)};
  const InstanceTable table = BeginLeading(Duration(1'500'000), Duration(500'000), begun);
  CHECK_FALSE(IsSettled(table, begun + Duration(900'000)));
  CHECK(IsSettled(table, begun + Duration(1'000'000)));
}

TEST_CASE("what is known of the others' work outlasts a leader that doesn't know it yet") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", server);
  rig.m_forwarder->Take(LoadOf(3, true));
  const Backend& backend = rig.m_forwarder->state().m_backends.at("s0");
  CHECK(backend.m_others_in_flight == 3);
  rig.m_forwarder->Take(LoadOf(0, false));
  CHECK(backend.m_others_in_flight == 3);
  rig.m_forwarder->Take(LoadOf(0, true));
  CHECK(backend.m_others_in_flight == 0);
}

TEST_CASE("without room in an even part an engine counts as full") {
  ServerView server;
  server.m_slots = 15;
  server.m_own = 2;
  server.m_pace = {.m_tokens_per_ms = 100, .m_event_ms = 20, .m_service_ms = 1000};
  RequestShape prompt;
  prompt.m_prompt_tokens = 1'000;
  prompt.m_aim = Duration(400'000);
  server.m_open = 1;
  CHECK(HasRoom(server, prompt, {}));
  server.m_open = 0;
  CHECK_FALSE(HasRoom(server, prompt, {}));
}

}  // namespace
}  // namespace poppyway
