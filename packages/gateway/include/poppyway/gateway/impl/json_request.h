// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief What scheduling needs of a completion request's body.
struct CompletionRequest {
  std::string m_model;
  std::string m_prompt;  ///< All message contents, or the prompt, joined.
  bool m_stream = false;
  std::int64_t m_max_tokens = 256;

  friend bool operator==(const CompletionRequest&, const CompletionRequest&) = default;
};

/// \brief Parses an OpenAI-style chat or text completion body.
/// \return `kBadJson` with the position, or `kBadRequest` naming the field.
[[nodiscard]] Result<CompletionRequest> ParseCompletion(std::string_view body);

/// \brief Prompt tokens estimated from its bytes; at least one.
[[nodiscard]] std::int64_t EstimateTokens(std::string_view prompt) noexcept;

}  // namespace poppyway
