// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poppyway {

/// \brief Hashes of growing prefixes of a prompt, at 256, 1024, 4096 and 16384 bytes, as far as it
/// reaches. Requests that share a hash share that prefix.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(std::string_view prompt);

/// \brief Prompt tokens that the prefix hash at position `index` of `PrefixHashes` stands for.
[[nodiscard]] std::int64_t PrefixTokens(std::size_t index) noexcept;

/// \brief Which engine prefilled which prefix lately; bounded, oldest forgotten first.
///
/// Kept from our own dispatches, since the engines' cache events come late and with gaps.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity_per_engine) : m_capacity(capacity_per_engine) {}

  void Note(std::uint32_t engine, const std::vector<std::uint64_t>& prefixes);
  /// Tokens of the longest known prefix on `engine`; zero if none.
  [[nodiscard]] std::int64_t Known(std::uint32_t engine,
                                   const std::vector<std::uint64_t>& prefixes) const;
  void Forget(std::uint32_t engine);

 private:
  struct Recent {
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_at;
  };
  std::size_t m_capacity;
  std::unordered_map<std::uint32_t, Recent> m_engines;
};

}  // namespace poppyway
