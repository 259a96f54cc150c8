// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// A pool that is short of slots for half a minute: which requests are served.
#include <algorithm>
#include <catch2/catch.hpp>

#include "pool_simulation.h"

namespace poppyway {
namespace {

using test::PoolSimulation;
using test::SimulatedDay;
using test::SimulatedKind;
using test::SimulatedOutcome;
using test::SimulatedResult;

constexpr Duration kMillisecond{1'000};

/// Returns the load of an exam session: few long summaries (most urgent), many explanations, and
/// short checks (least urgent). Rates are those of a working day times `load`. Response lengths
/// have a heavy tail, and the callers' own estimates are right only in the median.
SimulatedDay Session(double load, std::uint64_t seed) {
  SimulatedDay day;
  day.m_seed = seed;
  day.m_kinds = {
      {0, load * 88, 6'610, 55, 800 * kMillisecond, 15'000 * kMillisecond},
      {1, load * 203, 628, 42, 800 * kMillisecond, 12'000 * kMillisecond},
      {2, load * 135, 1'800, 3, 1'500 * kMillisecond, 3'000 * kMillisecond},
  };
  return day;
}

void Print(const SimulatedResult& result) {
  std::string text = "all " + std::to_string(result.m_all.share());
  for (const auto& [tier, outcome] : result.m_by_rank) {
    text += "; rank " + std::to_string(tier) + " " + std::to_string(outcome.share());
    text += " largest " + std::to_string(result.m_largest_tenth.at(tier).share());
    text += " next " + std::to_string(result.m_next_fifth.at(tier).share());
  }
  UNSCOPED_INFO(text);
}

TEST_CASE("at well over capacity no kind and no size of request is starved") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const SimulatedResult result = PoolSimulation(Session(1.4, seed)).Play();
    Print(result);
    for (const auto& [tier, outcome] : result.m_by_rank) {
      CHECK(outcome.share() >= 0.5 * result.m_all.share());
      CHECK(result.m_largest_tenth.at(tier).share() >= 0.5 * outcome.share());
      CHECK(result.m_next_fifth.at(tier).share() >= 0.5 * outcome.share());
    }
  }
}

TEST_CASE("at well over capacity what is more urgent is served at least as often") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const SimulatedResult result = PoolSimulation(Session(1.4, seed)).Play();
    Print(result);
    CHECK(result.m_by_rank.at(0).share() >= result.m_by_rank.at(1).share());
    CHECK(result.m_by_rank.at(1).share() >= result.m_by_rank.at(2).share());
  }
}

TEST_CASE("at well over capacity no workspace and no data centre is starved") {
  const SimulatedResult result = PoolSimulation(Session(1.4, 1)).Play();
  for (const auto& [name, outcome] : result.m_by_workspace)
    CHECK(outcome.share() >= 0.5 * result.m_all.share());
  for (const auto& [name, outcome] : result.m_by_data_centre)
    CHECK(outcome.share() >= 0.5 * result.m_all.share());
}

TEST_CASE("below capacity everything is served") {
  const SimulatedResult result = PoolSimulation(Session(0.4, 1)).Play();
  Print(result);
  CHECK(result.m_all.share() >= 0.97);
}

}  // namespace
}  // namespace poppyway
