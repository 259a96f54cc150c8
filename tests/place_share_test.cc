// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What an instance takes of a server's places while no broker answers.
#include <catch2/catch.hpp>

#include "forwarder_rig.h"
#include "poppyway/policy.h"
#include "poppyway/state.h"

namespace poppyway {
namespace {

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
