// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {

Duration ExpectedWait(const WaitInputs& inputs) noexcept {
  if (inputs.m_drain_per_s <= 0)
    return Duration(0);
  double ahead = 0;
  for (Tier t = 0; t < inputs.m_tier; ++t)
    ahead += inputs.m_backlog[t];
  const double local = std::max(1, inputs.m_local[inputs.m_tier]);
  const double share = std::min(1.0, inputs.m_local_ahead / local);
  ahead += share * std::max(inputs.m_backlog[inputs.m_tier], inputs.m_local[inputs.m_tier]);
  return Duration(static_cast<std::int64_t>(ahead / inputs.m_drain_per_s * 1e6));
}

}  // namespace poppyway
