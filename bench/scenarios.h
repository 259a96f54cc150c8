// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet.h"

namespace poppyway::bench {

/// \brief Size of a deployment and shape of its load.
struct Deployment {
  std::string m_name;
  int m_gateways = 7;
  int m_engines = 55;
  std::int64_t m_prompt_max = 1200;    ///< Longest prompt of the two upper tiers.
  std::int64_t m_long_prompt = 8000;   ///< Longest prompt of the lowest tier.
  std::int64_t m_shared_prefix = 512;  ///< Prompt tokens that requests of a workspace share.
};

/// \brief The two example deployments: see examples/stichting and examples/maly-uver.
[[nodiscard]] Deployment Stichting();
[[nodiscard]] Deployment MalyUver();
/// \brief One broker shard with the ratios of the planned fleet: 128 engines, 16 gateways.
[[nodiscard]] Deployment PlannedShard();

/// \brief Requests per second that the deployment's engines can serve, by the same offline bound as
/// `BestGoodput`.
[[nodiscard]] double Capacity(const Deployment& deployment);

/// \brief Generates an open-loop load of `factor` times the capacity: a fifth of the requests is of
/// tier 0, half of tier 1, the rest of tier 2.
/// \param seconds length of the load.
/// \param opening share of the load that arrives in the first two seconds.
[[nodiscard]] Scenario MakeScenario(const Deployment& deployment,
                                    const std::string& name,
                                    double factor,
                                    double seconds,
                                    double opening,
                                    std::uint64_t seed);

/// \brief Upper bound of the goodput of any scheduler that serves the tiers in order.
[[nodiscard]] std::int64_t BestGoodput(const Deployment& deployment, const Scenario& scenario);

}  // namespace poppyway::bench
