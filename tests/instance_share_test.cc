// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The share of a server's slots that an instance uses without a broker.
#include <catch2/catch.hpp>

#include "forwarder_fixture.h"
#include "poppyway/policy.h"
#include "poppyway/state.h"

namespace poppyway {
namespace {

TEST_CASE("even parts of all instances add up to the places there are") {
  for (const int slots : {1, 4, 15}) {
    for (const int instances : {1, 3, 8, 69}) {
      int sum = 0;
      for (int rotation = 0; rotation < instances; ++rotation)
        sum += EvenShare(slots, instances, static_cast<std::uint64_t>(rotation));
      CHECK(sum == slots);
    }
  }
}

TEST_CASE("without room in an even part an engine counts as full") {
  ServerView server;
  server.m_slots = 15;
  server.m_own_in_flight = 2;
  server.m_performance = {
      .m_prefill_tokens_per_ms = 100, .m_event_interval_ms = 20, .m_service_ms = 1000};
  RequestShape prompt;
  prompt.m_prompt_tokens = 1'000;
  prompt.m_latency_target = Duration(400'000);
  server.m_available_slots = 1;
  CHECK(HasRoom(server, prompt, {}));
  server.m_available_slots = 0;
  CHECK_FALSE(HasRoom(server, prompt, {}));
}

}  // namespace
}  // namespace poppyway
