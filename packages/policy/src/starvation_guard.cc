// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// At 1.4 times a pool's capacity for half a minute (tests/slot_overload_test.cc, mean of six seeds)
// the least urgent tier gets 0.48 of its requests served, against 0.68 of all requests; without a
// floor it gets 0.11. The most urgent tier loses 0.001 of its share. The requirement is half of the
// overall share. The margin covers requests whose outcome is unknown here: waiting ones count as
// unserved, and running ones may still fail.
constexpr double kFloor = 0.6;
// The longest tenth of the second tier's requests get 0.71 of the tier's share, where half is
// required; without a floor they get 0.36.
constexpr double kLengthFloor = 0.7;
// Long enough that a burst of some seconds is still served strictly by tier; short enough that an
// overload of half a minute starves no group.
constexpr double kMemoryS = 10;
constexpr double kMinRequested = 10;  // Fewer requests give no usable share.
// Per pool. Idle workspaces are dropped beyond this number.
constexpr std::size_t kMaxWorkspaces = 4096;

void Decay(ServedCount& count, Instant now) {
  if (count.m_at == now)
    return;
  const double factor = std::exp(-Seconds(now - count.m_at) / kMemoryS);
  count.m_requested *= factor;
  count.m_served *= factor;
  count.m_at = now;
}

void Add(ServedCount& count, double requested, double served, Instant now) {
  Decay(count, now);
  count.m_requested += requested;
  count.m_served = std::max(0.0, count.m_served + served);
}

std::size_t Index(int value, int count) {
  return static_cast<std::size_t>(std::clamp(value, 0, count - 1));
}

void AddToAll(ServedShares& shares,
              const ShareGroup& group,
              double requested,
              double served,
              Instant now) {
  const std::size_t tier = Index(group.m_route_tier, kTiers);
  Add(shares.m_all, requested, served, now);
  Add(shares.m_by_tier[tier], requested, served, now);
  Add(shares.m_by_length[tier][Index(group.m_length_class, kLengthClasses)], requested, served,
      now);
  if (!group.m_workspace.empty())
    Add(shares.m_by_workspace[group.m_workspace], requested, served, now);
}

void ForgetIdle(ServedShares& shares, Instant now) {
  if (shares.m_by_workspace.size() <= kMaxWorkspaces)
    return;
  std::erase_if(shares.m_by_workspace,
                [now](const auto& entry) { return Seconds(now - entry.second.m_at) > kMemoryS; });
}

/// Returns the served share; one for a group with too few requests.
double ServedShare(const ServedCount& count) {
  return count.m_requested < kMinRequested ? 1 : count.m_served / count.m_requested;
}

bool IsMoreUrgentTierServedLess(const ServedShares& shares, std::size_t tier) {
  const double own = ServedShare(shares.m_by_tier[tier]);
  return std::any_of(shares.m_by_tier.begin(),
                     shares.m_by_tier.begin() + static_cast<std::ptrdiff_t>(tier),
                     [own](const ServedCount& count) { return ServedShare(count) < own; });
}

}  // namespace

void CountRequested(ServedShares& shares, const ShareGroup& group, Instant now) {
  AddToAll(shares, group, 1, 0, now);
  ForgetIdle(shares, now);
}

void CountServed(ServedShares& shares, const ShareGroup& group, Instant now) {
  AddToAll(shares, group, 0, 1, now);
}

void CountUnserved(ServedShares& shares, const ShareGroup& group, Instant now) {
  AddToAll(shares, group, 0, -1, now);
}

bool IsUnderserved(const ServedShares& shares, const ShareGroup& group) {
  const std::size_t tier = Index(group.m_route_tier, kTiers);
  const double all = ServedShare(shares.m_all);
  const double of_tier = ServedShare(shares.m_by_tier[tier]);
  const bool tier_underserved = of_tier < kFloor * all && !IsMoreUrgentTierServedLess(shares, tier);
  if (tier_underserved)
    return true;
  const ServedCount& length = shares.m_by_length[tier][Index(group.m_length_class, kLengthClasses)];
  if (ServedShare(length) < kLengthFloor * of_tier)
    return true;
  const auto workspace = shares.m_by_workspace.find(group.m_workspace);
  return workspace != shares.m_by_workspace.end() && ServedShare(workspace->second) < kFloor * all;
}

}  // namespace poppyway
