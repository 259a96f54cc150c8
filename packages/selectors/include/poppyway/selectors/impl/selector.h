// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Labels by name.
using Labels = std::map<std::string, std::string, std::less<>>;

/// \brief How a requirement reads its label.
enum class SelectorOp : std::uint8_t { kIn, kNotIn, kExists, kNotExists };

/// \brief One requirement on one label.
struct Requirement {
  std::string m_label;
  SelectorOp m_op = SelectorOp::kExists;
  std::vector<std::string> m_values;

  friend bool operator==(const Requirement&, const Requirement&) = default;
};

/// \brief A parsed selector: the conjunction of its requirements.
struct Selector {
  std::vector<Requirement> m_requirements;

  friend bool operator==(const Selector&, const Selector&) = default;
};

/// \brief Parses `text`.
/// \return the selector, or `kBadSelector` with the position (1-based column) of the fault.
[[nodiscard]] Result<Selector> ParseSelector(std::string_view text);

/// \brief True if every requirement of `selector` holds for `labels`.
[[nodiscard]] bool Matches(const Selector& selector, const Labels& labels);

}  // namespace poppyway
