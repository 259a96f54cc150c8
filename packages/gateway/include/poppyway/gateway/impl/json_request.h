// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <string_view>

#include "poppyway/core.h"

namespace poppyway {

/// \brief The fields of a completion request's body that scheduling needs.
struct CompletionRequest {
  std::string m_model;
  std::string m_prompt;  ///< The prompt, or the contents of all messages, each with a line feed.
  bool m_stream = false;
  std::int64_t m_max_tokens = 256;

  friend bool operator==(const CompletionRequest&, const CompletionRequest&) = default;
};

/// \brief Parses the body of an OpenAI-style chat or text completion request.
/// \return the request, `kBadJson` (with the byte position for a syntax error), or `kBadRequest`
/// with the name of the invalid field.
[[nodiscard]] Result<CompletionRequest> ParseCompletion(std::string_view body);

/// \brief Estimates the number of prompt tokens from the prompt's size in bytes. \return at
/// least 1.
[[nodiscard]] std::int64_t EstimateTokens(std::string_view prompt) noexcept;

}  // namespace poppyway
