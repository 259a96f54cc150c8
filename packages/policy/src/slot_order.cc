// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Choosing among the first servers of each data centre, where a pool is too large to look at all of
// its servers for each request.
#include <algorithm>
#include <map>

#include "slot_internal.h"

namespace poppyway {
namespace {

// A pass over a smaller pool costs about as much as looking at its first servers.
constexpr std::size_t kMinOrderedServers = 256;
// Servers of each data centre that a request may go to, and that are looked at to find them.
constexpr int kEligiblePerDataCentre = 12;
constexpr int kSeenPerDataCentre = 32;
// Keepers of one prompt segment that are looked at.
constexpr std::size_t kMaxKeepersSeen = 64;
// The order is made anew at this interval, since the reference request and the speed that stands in
// for unknown ones change.
constexpr Duration kOrderAge{1'000'000};
constexpr double kPromptGain = 0.02;  // The mean covers some fifty requests.
// With a larger share of a pool's servers out of use, the exact choice among all decides which of
// them are used nevertheless.
constexpr double kMaxUnusedShare = 0.25;

std::vector<std::uint32_t> NumberDataCentres(const SlotPool& pool) {
  std::map<std::string, std::uint32_t> numbers;
  std::vector<std::uint32_t> number_of;
  number_of.reserve(pool.m_servers.size());
  for (const BackendServer& server : pool.m_servers) {
    const auto number = static_cast<std::uint32_t>(numbers.size());
    number_of.push_back(numbers.try_emplace(server.m_data_centre, number).first->second);
  }
  return number_of;
}

bool AnyEvacuated(const SlotPool& pool) {
  return std::any_of(pool.m_servers.begin(), pool.m_servers.end(),
                     [](const BackendServer& server) { return server.m_evacuated; });
}

std::size_t CountUnused(const OutageDetector& outages, const SlotPool& pool, Instant now) {
  std::size_t unused = 0;
  for (std::size_t i = 0; i < pool.m_servers.size(); ++i) {
    const bool out = pool.m_servers[i].m_leaving || pool.m_servers[i].m_evacuated ||
                     IsSuspect(outages, pool, i, now);
    unused += out ? 1 : 0;
  }
  return unused;
}

void RefreshOrder(SlotBroker& broker, SlotPool& pool, const RequestShape& shape, Instant now) {
  const bool current =
      pool.m_order.m_keys.size() == pool.m_servers.size() && now - pool.m_order_at < kOrderAge;
  if (current)
    return;
  RequestShape reference = shape;
  reference.m_waited = {};
  reference.m_prompt_tokens = static_cast<std::int64_t>(pool.m_mean_prompt_tokens);
  pool.m_order = MakeServerOrder(pool.m_views, NumberDataCentres(pool), reference, pool.m_typical,
                                 broker.m_random);
  pool.m_order_at = now;
  pool.m_unused = CountUnused(broker.m_outages, pool, now);
  pool.m_any_evacuated = AnyEvacuated(pool);
}

/// The servers that a request looks at, each once.
struct Candidates {
  std::vector<std::size_t> m_servers;
  std::vector<bool> m_contained;  ///< By server.
};

void Add(Candidates& candidates, std::size_t server) {
  if (candidates.m_contained[server])
    return;
  candidates.m_contained[server] = true;
  candidates.m_servers.push_back(server);
}

/// Adds servers that likely have the prompt's segments in their caches.
void AddKeepers(const SlotPool& pool, const SlotRequest& slot_request, Candidates& candidates) {
  for (const PromptSegment& segment : slot_request.m_prompt_segments) {
    const auto found = pool.m_prompt_segments.find(segment.m_id);
    if (found == pool.m_prompt_segments.end())
      return;
    const SegmentServers& keepers = found->second;
    const std::size_t first = keepers.size() - std::min(keepers.size(), kMaxKeepersSeen);
    for (std::size_t k = first; k < keepers.size(); ++k)
      Add(candidates, keepers[k].first);
  }
}

/// Adds the first eligible servers of each data centre.
void AddFirstServers(const SlotBroker& broker,
                     const SlotPool& pool,
                     const QueuedSlotRequest& waiting,
                     Instant now,
                     Candidates& candidates) {
  for (const std::set<ServerOrderKey>& servers : pool.m_order.m_data_centres) {
    int seen = 0;
    int eligible = 0;
    for (const ServerOrderKey& key : servers) {
      if (eligible == kEligiblePerDataCentre || ++seen > kSeenPerDataCentre)
        break;
      const IneligibleReason reason =
          CheckServerEligibility(broker.m_outages, pool, key.m_server, waiting, false, now);
      if (reason != IneligibleReason::kNone)
        continue;
      ++eligible;
      Add(candidates, key.m_server);
    }
  }
}

}  // namespace

bool UsesOrder(SlotBroker& broker,
               SlotPool& pool,
               const QueuedSlotRequest& waiting,
               const RequestShape& shape,
               Instant now) {
  const bool plain_case =
      pool.m_servers.size() >= kMinOrderedServers && !pool.m_trial &&
      broker.m_outages.m_suspect_count == 0 && !waiting.m_request.m_allowed_regions.m_restricted &&
      !waiting.m_request.m_continuation.m_continues && ReportedShare(broker, now) >= 1;
  if (!plain_case)
    return false;
  const double tokens = static_cast<double>(shape.m_prompt_tokens);
  double& mean = pool.m_mean_prompt_tokens;
  mean = mean == 0 ? tokens : mean + kPromptGain * (tokens - mean);
  RefreshOrder(broker, pool, shape, now);
  return static_cast<double>(pool.m_unused) <=
         kMaxUnusedShare * static_cast<double>(pool.m_servers.size());
}

std::optional<ServerChoice> ChooseAmongFirst(SlotBroker& broker,
                                             SlotPool& pool,
                                             const QueuedSlotRequest& waiting,
                                             const RequestShape& shape,
                                             std::uint64_t random,
                                             Instant now) {
  Candidates candidates;
  candidates.m_contained.resize(pool.m_servers.size());
  AddKeepers(pool, waiting.m_request, candidates);
  AddFirstServers(broker, pool, waiting, now, candidates);
  SetViewsOf(broker, pool, waiting, candidates.m_servers, now);
  SetCachedTokens(pool, waiting.m_request, &candidates.m_contained);
  std::vector<ServerView> views;
  views.reserve(candidates.m_servers.size());
  for (const std::size_t i : candidates.m_servers)
    views.push_back(pool.m_views[i]);
  std::optional<ServerChoice> choice = ChooseServer(views, shape, pool.m_typical, random);
  if (choice)
    choice->m_index = candidates.m_servers[choice->m_index];
  return choice;
}

bool IsOrdered(const SlotPool& pool) noexcept {
  return !pool.m_order.m_keys.empty() && pool.m_order.m_keys.size() == pool.m_servers.size();
}

bool IsFull(const SlotPool& pool) noexcept {
  return IsOrdered(pool) && pool.m_order.m_open == 0;
}

bool CanFastestMeetTargets(const SlotBroker& broker,
                           SlotPool& pool,
                           const QueuedSlotRequest& waiting,
                           const RequestShape& shape,
                           Instant now) {
  const std::vector<std::size_t>& fastest = pool.m_order.m_fastest;
  SetViewsOf(broker, pool, waiting, fastest, now);
  return std::any_of(fastest.begin(), fastest.end(), [&](std::size_t i) {
    return pool.m_views[i].m_usable && CanMeetTargets(pool.m_views[i], shape, pool.m_typical);
  });
}

void ViewChanged(SlotPool& pool, std::size_t i) {
  // The order is made at the next request if it doesn't cover the pool's servers.
  if (IsOrdered(pool))
    Reorder(pool.m_order, i, pool.m_views[i], pool.m_typical);
}

}  // namespace poppyway
