// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

constexpr Duration kAvoidTime{1'000'000};

}  // namespace

void SetHelpers(std::vector<Helper>& helpers, const std::vector<Endpoint>& endpoints) {
  std::vector<Helper> replaced;
  for (const Endpoint& endpoint : endpoints) {
    const auto known = std::find_if(helpers.begin(), helpers.end(), [&](const Helper& helper) {
      return helper.m_endpoint == endpoint;
    });
    replaced.push_back(known == helpers.end() ? Helper{endpoint, {}} : *known);
  }
  helpers = std::move(replaced);
}

std::optional<Endpoint> ChooseHelper(const std::vector<Helper>& helpers,
                                     std::uint64_t random,
                                     Instant now) {
  if (helpers.empty())
    return std::nullopt;
  std::vector<const Helper*> usable;
  for (const Helper& helper : helpers) {
    if (now >= helper.m_avoided_until)
      usable.push_back(&helper);
  }
  if (!usable.empty())
    return usable[random % usable.size()]->m_endpoint;
  return std::min_element(
             helpers.begin(), helpers.end(),
             [](const Helper& a, const Helper& b) { return a.m_avoided_until < b.m_avoided_until; })
      ->m_endpoint;
}

void AvoidHelper(std::vector<Helper>& helpers, const Endpoint& endpoint, Instant now) {
  for (Helper& helper : helpers) {
    if (helper.m_endpoint == endpoint)
      helper.m_avoided_until = now + kAvoidTime;
  }
}

}  // namespace poppyway
