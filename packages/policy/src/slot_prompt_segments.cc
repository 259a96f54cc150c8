// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "slot_internal.h"

#include <algorithm>

namespace poppyway {
namespace {

constexpr std::size_t kMaxSegments = 65'536;      // Bounds the memory to some 10 MB.
constexpr Duration kSegmentLifetime{60'000'000};  // A busy engine has evicted the segment by then.

void DropOldSegments(SlotPool& pool, Instant now) {
  std::erase_if(pool.m_prompt_segments, [now](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(), [now](const auto& keeper) {
      return now - keeper.second > kSegmentLifetime;
    });
  });
  if (pool.m_prompt_segments.size() > kMaxSegments)
    pool.m_prompt_segments.clear();
}

}  // namespace

void SetCachedTokens(SlotPool& pool,
                     const SlotRequest& slot_request,
                     const std::vector<bool>* only) {
  if (slot_request.m_prompt_segments.empty())
    return;
  // A cached segment is of use only together with all segments before it.
  std::vector<std::size_t> depth(pool.m_views.size(), 0);
  for (std::size_t k = 0; k < slot_request.m_prompt_segments.size(); ++k) {
    const auto keepers = pool.m_prompt_segments.find(slot_request.m_prompt_segments[k].m_id);
    if (keepers == pool.m_prompt_segments.end())
      return;
    for (const auto& [i, when] : keepers->second) {
      const bool counts = i < depth.size() && depth[i] == k && (only == nullptr || (*only)[i]);
      if (!counts)
        continue;
      depth[i] = k + 1;
      pool.m_views[i].m_cached_tokens += slot_request.m_prompt_segments[k].m_tokens;
    }
  }
}

void RecordPromptSegments(SlotPool& pool,
                          std::size_t i,
                          const SlotRequest& slot_request,
                          Instant now) {
  for (const PromptSegment& part : slot_request.m_prompt_segments) {
    SegmentServers& keepers = pool.m_prompt_segments[part.m_id];
    const auto known = std::find_if(keepers.begin(), keepers.end(),
                                    [i](const auto& keeper) { return keeper.first == i; });
    if (known != keepers.end())
      known->second = now;
    else
      keepers.emplace_back(i, now);
  }
  if (pool.m_prompt_segments.size() > kMaxSegments)
    DropOldSegments(pool, now);
}

}  // namespace poppyway
