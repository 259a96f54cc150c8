// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// At 1.4 times a pool's places for half a minute (tests/slot_overload_test.cc, mean of six seeds)
// the least urgent kind gets 0.48 of its requests served, beside 0.68 of all; without a floor 0.11.
// The most urgent gives up 0.001 of its own. Half is needed; the rest is for what is counted here
// and not yet known: who waits counts as unserved, who runs may still fail.
constexpr double kFloor = 0.6;
// The longest tenth of the second kind gets 0.71 of what all of that kind get, where half is
// needed; without a floor 0.36.
constexpr double kLengthFloor = 0.7;
// Long enough that a burst of some seconds is still served by rank alone, short enough that a
// session of half a minute starves nobody.
constexpr double kMemoryS = 10;
constexpr double kLeastAsked = 10;             // Fewer say nothing about a share.
constexpr std::size_t kMostWorkspaces = 4096;  // Of a pool; idle ones are forgotten beyond it.

void Decay(ServedCount& count, Instant now) {
  if (count.m_at == now)
    return;
  const double factor = std::exp(-Seconds(now - count.m_at) / kMemoryS);
  count.m_asked *= factor;
  count.m_served *= factor;
  count.m_at = now;
}

void Add(ServedCount& count, double asked, double served, Instant now) {
  Decay(count, now);
  count.m_asked += asked;
  count.m_served = std::max(0.0, count.m_served + served);
}

std::size_t Index(int value, int count) {
  return static_cast<std::size_t>(std::clamp(value, 0, count - 1));
}

void AddToAll(ServedShares& shares,
              const ShareGroup& group,
              double asked,
              double served,
              Instant now) {
  const std::size_t rank = Index(group.m_route_tier, kTiers);
  Add(shares.m_all, asked, served, now);
  Add(shares.m_by_rank[rank], asked, served, now);
  Add(shares.m_by_length[rank][Index(group.m_length_class, kLengthClasses)], asked, served, now);
  if (!group.m_workspace.empty())
    Add(shares.m_by_workspace[group.m_workspace], asked, served, now);
}

void ForgetIdle(ServedShares& shares, Instant now) {
  if (shares.m_by_workspace.size() <= kMostWorkspaces)
    return;
  std::erase_if(shares.m_by_workspace,
                [now](const auto& entry) { return Seconds(now - entry.second.m_at) > kMemoryS; });
}

/// Of a group that has hardly asked, nothing is known: it counts as served.
double ShareOf(const ServedCount& count) {
  return count.m_asked < kLeastAsked ? 1 : count.m_served / count.m_asked;
}

bool MoreUrgentIsServedLess(const ServedShares& shares, std::size_t rank) {
  const double own = ShareOf(shares.m_by_rank[rank]);
  return std::any_of(shares.m_by_rank.begin(),
                     shares.m_by_rank.begin() + static_cast<std::ptrdiff_t>(rank),
                     [own](const ServedCount& count) { return ShareOf(count) < own; });
}

}  // namespace

void CountAsked(ServedShares& shares, const ShareGroup& group, Instant now) {
  AddToAll(shares, group, 1, 0, now);
  ForgetIdle(shares, now);
}

void CountServed(ServedShares& shares, const ShareGroup& group, Instant now) {
  AddToAll(shares, group, 0, 1, now);
}

void CountUnserved(ServedShares& shares, const ShareGroup& group, Instant now) {
  AddToAll(shares, group, 0, -1, now);
}

bool IsOwedSlot(const ServedShares& shares, const ShareGroup& group) {
  const std::size_t rank = Index(group.m_route_tier, kTiers);
  const double all = ShareOf(shares.m_all);
  const double of_rank = ShareOf(shares.m_by_rank[rank]);
  const bool rank_owed = of_rank < kFloor * all && !MoreUrgentIsServedLess(shares, rank);
  if (rank_owed)
    return true;
  const ServedCount& length = shares.m_by_length[rank][Index(group.m_length_class, kLengthClasses)];
  if (ShareOf(length) < kLengthFloor * of_rank)
    return true;
  const auto workspace = shares.m_by_workspace.find(group.m_workspace);
  return workspace != shares.m_by_workspace.end() && ShareOf(workspace->second) < kFloor * all;
}

}  // namespace poppyway
