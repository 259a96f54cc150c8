// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <cmath>

#include "poppyway/policy.h"

namespace poppyway {

double UpdateTokensPerEvent(double known,
                            std::int64_t expected_tokens,
                            std::int64_t events,
                            double gain) noexcept {
  if (expected_tokens <= 0 || events <= 0)
    return known;
  const double sample =
      std::log(static_cast<double>(expected_tokens) / static_cast<double>(events));
  const double before = known > 0 ? std::log(known) : sample;
  return std::exp(before + gain * (sample - before));
}

}  // namespace poppyway
