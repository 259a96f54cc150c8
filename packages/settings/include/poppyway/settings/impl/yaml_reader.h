// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "poppyway/core.h"

namespace poppyway {

/// \brief One key that a mapping may have; docs/CONFIGURATION.md lists them all.
struct KeyInfo {
  std::string_view m_key;
  std::string_view m_type;
  std::string_view m_unit;     ///< "-" where it has none.
  std::string_view m_default;  ///< "required" where it has none.
  std::string_view m_bounds;
  std::string_view m_meaning;
};

namespace impl {

/// \brief Reads one YAML mapping with known keys, collecting the first fault.
class YamlReader {
 public:
  /// Precondition: `keys` outlives the reader.
  YamlReader(const YAML::Node& node, std::string source, std::span<const KeyInfo> keys);

  [[nodiscard]] std::string Text(std::string_view key, std::string fallback = "");
  [[nodiscard]] std::int64_t Number(std::string_view key,
                                    std::int64_t fallback,
                                    std::int64_t low,
                                    std::int64_t high);
  [[nodiscard]] bool Flag(std::string_view key, bool fallback);
  [[nodiscard]] std::vector<std::string> List(std::string_view key);
  [[nodiscard]] YAML::Node Child(std::string_view key) const;
  /// Records that `key` must be present.
  void Require(std::string_view key);
  /// Records a fault at the position of `key`.
  void Reject(std::string_view key, const std::string& why);

  [[nodiscard]] bool ok() const noexcept { return m_fault.empty(); }
  [[nodiscard]] const std::string& fault() const noexcept { return m_fault; }

 private:
  void FaultAt(const YAML::Mark& mark, const std::string& why);

  YAML::Node m_node;
  std::string m_source;
  std::string m_fault;
};

/// \brief "file:line:column: " of a mark (1-based).
[[nodiscard]] std::string Position(const std::string& source, const YAML::Mark& mark);

/// \brief The candidate with the least edit distance to `word`, or "" if none is near.
[[nodiscard]] std::string Nearest(std::string_view word, std::span<const KeyInfo> candidates);

}  // namespace impl
}  // namespace poppyway
