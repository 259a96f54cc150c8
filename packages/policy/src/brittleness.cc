// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

constexpr Duration kWindow{1'000'000};
// Requests that are on their way when a rejection is counted may be rejected too.
constexpr double kUsedShare = 0.5;

}  // namespace

bool ApplyStatedBrittleness(Brittleness& brittleness,
                            std::optional<double> max_rejections,
                            Instant sent,
                            Instant now) noexcept {
  if (brittleness.m_max_rejections == max_rejections)
    return false;
  if (!max_rejections && sent <= brittleness.m_changed)
    return false;
  brittleness.m_max_rejections = max_rejections;
  brittleness.m_changed = now;
  return true;
}

void RecordRejection(Brittleness& brittleness, Instant now) noexcept {
  brittleness.m_rejections[brittleness.m_next] = now;
  brittleness.m_next = (brittleness.m_next + 1) % kRememberedRejections;
}

bool MayRiskRejection(const Brittleness& brittleness, int instances, Instant now) noexcept {
  if (!brittleness.m_max_rejections)
    return true;
  const auto recent =
      std::count_if(brittleness.m_rejections.begin(), brittleness.m_rejections.end(),
                    [now](Instant at) { return at != Instant{} && now - at < kWindow; });
  const double allowed = kUsedShare * *brittleness.m_max_rejections / std::max(1, instances);
  return recent == 0 || static_cast<double>(recent) < allowed;
}

}  // namespace poppyway
