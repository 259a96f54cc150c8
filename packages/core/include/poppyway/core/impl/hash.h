// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string_view>

namespace poppyway {

/// \brief Returns the 64-bit XXH3 hash of `data`; it is the same on every machine and in every run.
[[nodiscard]] std::uint64_t Hash(std::string_view data, std::uint64_t seed = 0) noexcept;

/// \brief Combines two hashes into one, for rendezvous hashing. The order of the two matters.
[[nodiscard]] std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) noexcept;

}  // namespace poppyway
