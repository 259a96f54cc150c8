// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {

int EvenShare(int slots, int instances, std::uint64_t rotation) noexcept {
  const int sharers = std::max(1, instances);
  const bool one_more =
      static_cast<int>(rotation % static_cast<unsigned>(sharers)) < slots % sharers;
  return slots / sharers + (one_more ? 1 : 0);
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
