// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {

int EvenShare(int places, int instances, std::uint64_t turn) noexcept {
  const int sharers = std::max(1, instances);
  const bool one_more = static_cast<int>(turn % static_cast<unsigned>(sharers)) < places % sharers;
  return places / sharers + (one_more ? 1 : 0);
}

InstanceCount CountInstances(const InstanceCount& before,
                             int live,
                             Duration may_serve,
                             Instant now) noexcept {
  if (live < before.m_recent_max && now - before.m_counted <= may_serve)
    return before;
  return {std::max(1, live), now};
}

}  // namespace poppyway
