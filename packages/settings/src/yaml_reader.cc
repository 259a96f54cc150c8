// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/settings.h"

#include <algorithm>
#include <numeric>

namespace poppyway::impl {
namespace {

/// Returns the Levenshtein distance of two texts.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      const std::size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({change, above + 1, row[j - 1] + 1});
      diagonal = above;
    }
  }
  return row.back();
}

}  // namespace

std::string Position(const std::string& source, const YAML::Mark& mark) {
  return source + ":" + std::to_string(mark.line + 1) + ":" + std::to_string(mark.column + 1) +
         ": ";
}

std::string Nearest(std::string_view word, std::span<const KeyInfo> candidates) {
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, word.size() / 2) + 1;
  for (const KeyInfo& candidate : candidates) {
    const std::size_t distance = EditDistance(word, candidate.m_key);
    if (distance >= best_distance)
      continue;
    best = candidate.m_key;
    best_distance = distance;
  }
  return best;
}

YamlReader::YamlReader(const YAML::Node& node, std::string source, std::span<const KeyInfo> keys)
    : m_node(node), m_source(std::move(source)) {
  if (!m_node.IsMap()) {
    FaultAt(m_node.Mark(), "expected a mapping of keys to values");
    return;
  }
  for (const auto& entry : m_node) {
    const std::string key = entry.first.as<std::string>("");
    const bool known = std::any_of(keys.begin(), keys.end(),
                                   [&key](const KeyInfo& info) { return info.m_key == key; });
    if (known)
      continue;
    const std::string nearest = Nearest(key, keys);
    FaultAt(entry.first.Mark(), "unknown key '" + key + "'" +
                                    (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
  }
}

YAML::Node YamlReader::Child(std::string_view key) const {
  if (!m_node.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  return m_node[std::string(key)];
}

std::string YamlReader::Text(std::string_view key, std::string fallback) {
  const YAML::Node node = Child(key);
  if (!node.IsDefined())
    return fallback;
  if (!node.IsScalar()) {
    FaultAt(node.Mark(), "'" + std::string(key) + "' must be a text");
    return fallback;
  }
  return node.Scalar();
}

std::int64_t YamlReader::Number(std::string_view key,
                                std::int64_t fallback,
                                std::int64_t low,
                                std::int64_t high) {
  const YAML::Node node = Child(key);
  if (!node.IsDefined())
    return fallback;
  std::int64_t value = 0;
  if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, value)) {
    FaultAt(node.Mark(), "'" + std::string(key) + "' must be a whole number");
    return fallback;
  }
  if (value < low || value > high) {
    FaultAt(node.Mark(), "'" + std::string(key) + "' must be from " + std::to_string(low) + " to " +
                             std::to_string(high));
    return fallback;
  }
  return value;
}

bool YamlReader::Flag(std::string_view key, bool fallback) {
  const YAML::Node node = Child(key);
  if (!node.IsDefined())
    return fallback;
  bool value = fallback;
  if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))
    FaultAt(node.Mark(), "'" + std::string(key) + "' must be true or false");
  return value;
}

std::vector<std::string> YamlReader::List(std::string_view key) {
  std::vector<std::string> values;
  const YAML::Node node = Child(key);
  if (!node.IsDefined())
    return values;
  if (!node.IsSequence()) {
    FaultAt(node.Mark(), "'" + std::string(key) + "' must be a list");
    return values;
  }
  for (const auto& item : node)
    values.push_back(item.as<std::string>(""));
  return values;
}

void YamlReader::Require(std::string_view key) {
  if (!Child(key).IsDefined())
    FaultAt(m_node.Mark(), "'" + std::string(key) + "' is required");
}

void YamlReader::Reject(std::string_view key, const std::string& why) {
  const YAML::Node node = Child(key);
  FaultAt(node.IsDefined() ? node.Mark() : m_node.Mark(), why);
}

void YamlReader::FaultAt(const YAML::Mark& mark, const std::string& why) {
  if (m_fault.empty())
    m_fault = Position(m_source, mark) + why;
}

}  // namespace poppyway::impl
