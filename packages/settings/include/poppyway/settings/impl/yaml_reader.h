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

/// \brief Description of a key that a mapping may have; docs/CONFIGURATION.md lists them all.
struct KeyInfo {
  std::string_view m_key;
  std::string_view m_type;
  std::string_view m_unit;     ///< "-" if the key has no unit.
  std::string_view m_default;  ///< "required" if the key has no default.
  std::string_view m_bounds;
  std::string_view m_meaning;
};

namespace impl {

/// \brief Reads one YAML mapping with known keys and records the first error. Not thread-safe.
class YamlReader {
 public:
  /// Checks that `node` is a mapping with no other keys than `keys`.
  /// \param source the file's name, for errors.
  YamlReader(const YAML::Node& node, std::string source, std::span<const KeyInfo> keys);

  // Each of these returns the value of `key`. It returns the fallback (an empty list for `List`) if
  // the key is missing, and also records an error if the value has the wrong type or is out of
  // bounds.
  [[nodiscard]] std::string Text(std::string_view key, std::string fallback = "");
  [[nodiscard]] std::int64_t Number(std::string_view key,
                                    std::int64_t fallback,
                                    std::int64_t low,
                                    std::int64_t high);
  [[nodiscard]] bool Flag(std::string_view key, bool fallback);
  [[nodiscard]] std::vector<std::string> List(std::string_view key);
  /// Returns the node of `key`, undefined if it is missing.
  [[nodiscard]] YAML::Node Child(std::string_view key) const;
  /// Records an error if `key` is missing.
  void Require(std::string_view key);
  /// Records an error at the position of `key`, or of the mapping if the key is missing.
  void Reject(std::string_view key, const std::string& why);

  [[nodiscard]] bool ok() const noexcept { return m_fault.empty(); }
  /// Returns the first error with its position, or "".
  [[nodiscard]] const std::string& fault() const noexcept { return m_fault; }

 private:
  void FaultAt(const YAML::Mark& mark, const std::string& why);

  YAML::Node m_node;
  std::string m_source;
  std::string m_fault;
};

/// \brief Returns "source:line:column: " of a mark (1-based).
[[nodiscard]] std::string Position(const std::string& source, const YAML::Mark& mark);

/// \brief Returns the candidate with the least edit distance to `word`, or "" if all differ in more
/// than half of its length (at least two edits are allowed).
[[nodiscard]] std::string Nearest(std::string_view word, std::span<const KeyInfo> candidates);

}  // namespace impl
}  // namespace poppyway
