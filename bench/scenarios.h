// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet.h"

namespace poppyway::bench {

/// \brief Shape of a deployment's load.
struct Deployment {
  std::string m_name;
  int m_gateways = 7;
  int m_engines = 55;
  std::int64_t m_prompt_max = 1200;    ///< Longest prompt of the two upper tiers.
  std::int64_t m_long_prompt = 8000;   ///< Longest prompt of the lowest tier.
  std::int64_t m_shared_prefix = 512;  ///< Prompt tokens shared between requests of a workspace.
};

[[nodiscard]] Deployment Stichting();
[[nodiscard]] Deployment MalyUver();
/// \brief The planned fleet's ratios at one broker shard: 128 engines, 16 gateways.
[[nodiscard]] Deployment PlannedShard();

/// \brief Requests a second that the deployment's engines can serve, by the offline bound.
[[nodiscard]] double Capacity(const Deployment& deployment);

/// \brief An open load of `factor` times the capacity: a fifth tier 0, half tier 1, the rest
/// tier 2. \param opening part of the load that arrives in the first two seconds.
[[nodiscard]] Scenario MakeScenario(const Deployment& deployment,
                                    const std::string& name,
                                    double factor,
                                    double seconds,
                                    double opening,
                                    std::uint64_t seed);

/// \brief Best goodput that any scheduler could reach, tiers in order: an upper bound.
[[nodiscard]] std::int64_t BestGoodput(const Deployment& deployment, const Scenario& scenario);

}  // namespace poppyway::bench
