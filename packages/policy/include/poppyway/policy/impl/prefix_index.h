// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poppyway {

/// \brief Returns hashes of growing prefixes of a prompt: of 256, 1024, 4096 and 16384 bytes, as
/// far as the prompt reaches. Requests that share a hash share that prefix.
[[nodiscard]] std::vector<std::uint64_t> PrefixHashes(std::string_view prompt);

/// \brief Returns the number of prompt tokens covered by the hash at position `index` of
/// `PrefixHashes`, at four bytes per token.
[[nodiscard]] std::int64_t PrefixTokens(std::size_t index) noexcept;

/// \brief Records which prefixes each engine prefilled recently, up to a capacity per engine.
///
/// The index is built from the dispatches of this process, since the engines' cache events arrive
/// late and with gaps. The least recently used prefix is evicted first.
class PrefixIndex {
 public:
  explicit PrefixIndex(std::size_t capacity_per_engine) : m_capacity(capacity_per_engine) {}

  /// Records that `engine` prefilled these prefixes.
  void Record(std::uint32_t engine, const std::vector<std::uint64_t>& prefixes);
  /// Returns the tokens of the longest known prefix on `engine`, or zero if none is known.
  [[nodiscard]] std::int64_t Known(std::uint32_t engine,
                                   const std::vector<std::uint64_t>& prefixes) const;
  /// Removes all prefixes of `engine`.
  void Forget(std::uint32_t engine);

 private:
  struct LruList {
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
  };
  std::size_t m_capacity;
  std::unordered_map<std::uint32_t, LruList> m_engines;
};

}  // namespace poppyway
