// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <array>

namespace poppyway {
namespace {

constexpr std::array<std::size_t, 4> kBoundaries = {256, 1024, 4096, 16384};
constexpr std::int64_t kBytesPerToken = 4;

}  // namespace

std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  for (const std::size_t boundary : kBoundaries) {
    if (prompt.size() < boundary)
      break;
    hashes.push_back(Hash(prompt.substr(0, boundary)));
  }
  return hashes;
}

std::int64_t PrefixTokens(std::size_t index) noexcept {
  return static_cast<std::int64_t>(kBoundaries[index]) / kBytesPerToken;
}

void PrefixIndex::Record(std::uint32_t engine, const std::vector<std::uint64_t>& prefixes) {
  LruList& recent = m_engines[engine];
  for (const std::uint64_t prefix : prefixes) {
    const auto found = recent.m_positions.find(prefix);
    if (found != recent.m_positions.end())
      recent.m_order.erase(found->second);
    recent.m_order.push_front(prefix);
    recent.m_positions[prefix] = recent.m_order.begin();
  }
  while (recent.m_order.size() > m_capacity) {
    recent.m_positions.erase(recent.m_order.back());
    recent.m_order.pop_back();
  }
}

std::int64_t PrefixIndex::Known(std::uint32_t engine,
                                const std::vector<std::uint64_t>& prefixes) const {
  const auto recent = m_engines.find(engine);
  if (recent == m_engines.end())
    return 0;
  for (std::size_t i = prefixes.size(); i > 0; --i) {
    if (recent->second.m_positions.contains(prefixes[i - 1]))
      return PrefixTokens(i - 1);
  }
  return 0;
}

void PrefixIndex::Forget(std::uint32_t engine) {
  m_engines.erase(engine);
}

}  // namespace poppyway
