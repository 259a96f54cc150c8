// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "place_internal.h"

#include <algorithm>

namespace poppyway {
namespace {

constexpr std::size_t kMostParts = 65'536;  // Bounds the memory to some 10 MB.
constexpr Duration kPartAge{60'000'000};    // By then an engine at work has given it away.

void ForgetOld(PlacePool& pool, Instant now) {
  std::erase_if(pool.m_parts, [now](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [now](const auto& keeper) { return now - keeper.second > kPartAge; });
  });
  if (pool.m_parts.size() > kMostParts)
    pool.m_parts.clear();
}

}  // namespace

void SetKeptTokens(PlacePool& pool, const PlaceAsk& ask) {
  if (ask.m_parts.empty())
    return;
  // A part is only of use with all those before it.
  std::vector<std::size_t> depth(pool.m_views.size(), 0);
  for (std::size_t k = 0; k < ask.m_parts.size(); ++k) {
    const auto keepers = pool.m_parts.find(ask.m_parts[k].m_id);
    if (keepers == pool.m_parts.end())
      return;
    for (const auto& [i, when] : keepers->second) {
      if (i >= depth.size() || depth[i] != k)
        continue;
      depth[i] = k + 1;
      pool.m_views[i].m_kept_tokens += ask.m_parts[k].m_tokens;
    }
  }
}

void RememberParts(PlacePool& pool, std::size_t i, const PlaceAsk& ask, Instant now) {
  for (const PrefixPart& part : ask.m_parts) {
    PartKeepers& keepers = pool.m_parts[part.m_id];
    const auto known = std::find_if(keepers.begin(), keepers.end(),
                                    [i](const auto& keeper) { return keeper.first == i; });
    if (known != keepers.end())
      known->second = now;
    else
      keepers.emplace_back(i, now);
  }
  if (pool.m_parts.size() > kMostParts)
    ForgetOld(pool, now);
}

}  // namespace poppyway
