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

/// \brief The operator of a requirement. A label that is missing fulfils `kNotIn` and `kNotExists`.
enum class SelectorOp : std::uint8_t { kIn, kNotIn, kExists, kNotExists };

/// \brief A requirement on one label.
struct Requirement {
  std::string m_label;
  SelectorOp m_op = SelectorOp::kExists;
  std::vector<std::string> m_values;  ///< Values for `kIn` and `kNotIn`.

  friend bool operator==(const Requirement&, const Requirement&) = default;
};

/// \brief A parsed selector: it matches if all its requirements hold.
struct Selector {
  std::vector<Requirement> m_requirements;

  friend bool operator==(const Selector&, const Selector&) = default;
};

/// \brief Parses a selector.
/// \return the selector, or `kBadSelector` with the position (1-based column) of the error.
[[nodiscard]] Result<Selector> ParseSelector(std::string_view text);

/// \brief Returns true if every requirement of `selector` holds for `labels`.
[[nodiscard]] bool Matches(const Selector& selector, const Labels& labels);

}  // namespace poppyway
