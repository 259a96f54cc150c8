// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/core.h"

#include <array>

#include <xxhash.h>

namespace poppyway {

std::uint64_t Hash(std::string_view data, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) noexcept {
  const std::array<std::uint64_t, 2> both = {a, b};
  return XXH3_64bits(both.data(), sizeof(both));
}

}  // namespace poppyway
