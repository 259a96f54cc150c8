// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "fleet.h"

namespace poppyway::bench {

std::string NameOf(Strategy strategy) {
  switch (strategy) {
    case Strategy::kPoppyway:
      return "poppyway";
    case Strategy::kRoundRobin:
      return "round robin";
    case Strategy::kLeastReported:
      return "least reported load";
    case Strategy::kTwoChoices:
      return "two random choices";
    case Strategy::kPrefixHash:
      return "prefix hash";
  }
  return "";
}

std::int64_t GoodOf(const Outcome& outcome) {
  std::int64_t good = 0;
  for (const TierResult& tier : outcome.m_tiers)
    good += tier.m_good;
  return good;
}

std::int64_t OfferedOf(const Outcome& outcome) {
  std::int64_t offered = 0;
  for (const TierResult& tier : outcome.m_tiers)
    offered += tier.m_offered;
  return offered;
}

std::int64_t WastedOf(const Outcome& outcome) {
  std::int64_t wasted = 0;
  for (const auto& [cause, tokens] : outcome.m_wasted)
    wasted += tokens;
  return wasted;
}

}  // namespace poppyway::bench
