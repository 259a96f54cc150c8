// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

namespace poppyway {

std::size_t CountReadableBodies(const HeldBytes& held,
                                std::span<const ArrivingBody> bodies) noexcept {
  if (bodies.empty())
    return 0;
  const std::int64_t first = bodies.front().m_complete;
  const bool waits_for_others = held.m_total + first > held.m_budget && first <= held.m_budget;
  if (waits_for_others)
    return 0;
  std::int64_t total = held.m_total;
  for (const ArrivingBody& body : bodies)
    total += body.m_arrived;
  std::size_t readable = 0;
  for (const ArrivingBody& body : bodies) {
    total += std::max<std::int64_t>(0, body.m_complete - body.m_arrived);
    if (readable > 0 && total > held.m_budget)
      break;
    ++readable;
  }
  return readable;
}

}  // namespace poppyway
