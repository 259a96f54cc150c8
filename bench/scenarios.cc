// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "scenarios.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace poppyway::bench {
namespace {

constexpr std::array<double, kTiers> kTierShare = {0.2, 0.5, 0.3};
constexpr std::array<std::int64_t, kTiers> kDeadlineMs = {8000, 10000, 30000};
constexpr int kWorkspaces = 5;
constexpr int kSlots = 8;

std::string GenerationOf(int engine) {
  constexpr std::array<const char*, 5> kMix = {"g2", "g3", "g1", "g2", "g2"};
  return kMix[static_cast<std::size_t>(engine) % kMix.size()];
}

std::int64_t LogUniform(std::mt19937_64& random, double low, double high) {
  std::uniform_real_distribution<double> spread(std::log(low), std::log(high));
  return static_cast<std::int64_t>(std::exp(spread(random)));
}

Arrival MakeArrival(const Deployment& deployment, std::mt19937_64& random, double at_s) {
  Arrival arrival;
  arrival.m_at = Instant(Duration(static_cast<std::int64_t>(at_s * 1e6)));
  arrival.m_gateway = static_cast<int>(random() % static_cast<unsigned>(deployment.m_gateways));
  std::discrete_distribution<int> tier(kTierShare.begin(), kTierShare.end());
  arrival.m_tier = tier(random);
  // Two of the five workspaces are large.
  std::discrete_distribution<int> workspace({8, 8, 2, 1, 1});
  const int w = workspace(random) % kWorkspaces;
  arrival.m_workspace = "w" + std::to_string(w);
  const bool lowest = arrival.m_tier == kTiers - 1;
  const std::int64_t longest = lowest ? deployment.m_long_prompt : deployment.m_prompt_max;
  arrival.m_prompt_tokens = LogUniform(random, 60, static_cast<double>(longest));
  for (std::size_t i = 0; i < 4 && PrefixTokens(i) <= arrival.m_prompt_tokens; ++i) {
    const bool shared = PrefixTokens(i) <= deployment.m_shared_prefix;
    arrival.m_prefixes.push_back(
        shared ? MixHash(Hash("shared"), static_cast<std::uint64_t>(w * 8 + arrival.m_tier) * 8 + i)
               : random());
  }
  arrival.m_output_tokens = LogUniform(random, 12, lowest ? 120 : 60);
  arrival.m_deadline = std::chrono::milliseconds(kDeadlineMs[arrival.m_tier]);
  return arrival;
}

/// Seconds for which a request occupies one engine slot at full batch, averaged over the fleet.
double SlotSeconds(const Deployment& deployment, const Arrival& arrival) {
  double rate = 0;  // Requests per second of one slot of each engine, if all were like this one.
  for (int e = 0; e < deployment.m_engines; ++e) {
    const fakes::EngineSpec spec = fakes::EngineSpecOf(GenerationOf(e));
    const double decode = Seconds(spec.m_decode_step) * (1 + spec.m_batch_slowdown);
    const double prefill =
        static_cast<double>(arrival.m_prompt_tokens) / spec.m_prefill_tokens_per_s;
    rate += 1.0 / (decode * static_cast<double>(arrival.m_output_tokens) + prefill);
  }
  return deployment.m_engines / rate;
}

}  // namespace

Deployment Stichting() {
  return {"stichting", 7, 55, 1200, 8000, 256};
}

Deployment MalyUver() {
  return {"maly-uver", 6, 50, 800, 12000, 1024};
}

Deployment PlannedShard() {
  return {"planned-shard", 16, 128, 1200, 8000, 256};
}

double Capacity(const Deployment& deployment) {
  std::mt19937_64 random(7);
  constexpr int kSamples = 4000;
  double seconds = 0;
  for (int i = 0; i < kSamples; ++i)
    seconds += SlotSeconds(deployment, MakeArrival(deployment, random, 0));
  return deployment.m_engines * kSlots / (seconds / kSamples);
}

Scenario MakeScenario(const Deployment& deployment,
                      const std::string& name,
                      double factor,
                      double seconds,
                      double opening,
                      std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Scenario scenario;
  scenario.m_name = name;
  scenario.m_gateways = deployment.m_gateways;
  scenario.m_slots = kSlots;
  for (int e = 0; e < deployment.m_engines; ++e)
    scenario.m_generations.push_back(GenerationOf(e));
  const auto count = static_cast<int>(factor * Capacity(deployment) * seconds);
  std::uniform_real_distribution<double> any(0, seconds);
  std::uniform_real_distribution<double> first(0, 2);
  std::bernoulli_distribution opens(opening);
  for (int i = 0; i < count; ++i)
    scenario.m_arrivals.push_back(
        MakeArrival(deployment, random, opens(random) ? first(random) : any(random)));
  std::sort(scenario.m_arrivals.begin(), scenario.m_arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.m_at < b.m_at; });
  scenario.m_length = Duration(static_cast<std::int64_t>(seconds * 1e6));
  return scenario;
}

std::int64_t BestGoodput(const Deployment& deployment, const Scenario& scenario) {
  std::array<std::vector<double>, kTiers> costs;
  for (const Arrival& arrival : scenario.m_arrivals)
    costs[arrival.m_tier].push_back(SlotSeconds(deployment, arrival));
  std::int64_t good = 0;
  double left = deployment.m_engines * kSlots * Seconds(scenario.m_length);
  for (Tier tier = 0; tier < kTiers; ++tier) {
    // Requests that arrive last may run beyond the end of the load, until their deadline.
    left += deployment.m_engines * kSlots * static_cast<double>(kDeadlineMs[tier]) / 1000.0 *
            kTierShare[tier];
    std::sort(costs[tier].begin(), costs[tier].end());
    for (const double cost : costs[tier]) {
      if (cost > left)
        break;
      left -= cost;
      ++good;
    }
  }
  return good;
}

}  // namespace poppyway::bench
