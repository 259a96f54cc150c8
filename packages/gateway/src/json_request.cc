// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/gateway.h"

#include <nlohmann/json.hpp>

namespace poppyway {
namespace {

using nlohmann::json;

constexpr std::int64_t kBytesPerToken = 4;  // Assumed average; the estimate uses no tokenizer.

Result<std::string> ReadMessages(const json& messages) {
  if (!messages.is_array() || messages.empty())
    return Fail(ResultCode::kBadRequest, "'messages' must be a list of at least one message");
  std::string prompt;
  for (const json& message : messages) {
    const bool ok =
        message.is_object() && message.contains("content") && message["content"].is_string();
    if (!ok)
      return Fail(ResultCode::kBadRequest, "each of 'messages' needs a text 'content'");
    prompt += message["content"].get_ref<const std::string&>();
    prompt += '\n';
  }
  return prompt;
}

}  // namespace

Result<CompletionRequest> ParseCompletion(std::string_view body) {
  json parsed;
  try {
    parsed = json::parse(body);
  } catch (const json::parse_error& fault) {
    return Fail(ResultCode::kBadJson, "byte " + std::to_string(fault.byte) + ": not valid JSON");
  }
  if (!parsed.is_object())
    return Fail(ResultCode::kBadJson, "the body must be a JSON object");
  CompletionRequest request;
  if (parsed.contains("messages")) {
    Result<std::string> prompt = ReadMessages(parsed["messages"]);
    if (!prompt)
      return tl::unexpected<Error>(prompt.error());
    request.m_prompt = std::move(*prompt);
  } else if (parsed.contains("prompt") && parsed["prompt"].is_string()) {
    request.m_prompt = parsed["prompt"].get<std::string>();
  } else {
    return Fail(ResultCode::kBadRequest, "'messages' or a text 'prompt' is required");
  }
  if (parsed.contains("model") && !parsed["model"].is_string())
    return Fail(ResultCode::kBadRequest, "'model' must be a text");
  if (parsed.contains("stream") && !parsed["stream"].is_boolean())
    return Fail(ResultCode::kBadRequest, "'stream' must be true or false");
  if (parsed.contains("max_tokens") && !parsed["max_tokens"].is_number_integer())
    return Fail(ResultCode::kBadRequest, "'max_tokens' must be a whole number");
  request.m_model = parsed.value("model", "");
  request.m_stream = parsed.value("stream", false);
  request.m_max_tokens = parsed.value("max_tokens", request.m_max_tokens);
  return request;
}

std::int64_t EstimateTokens(std::string_view prompt) noexcept {
  return 1 + static_cast<std::int64_t>(prompt.size()) / kBytesPerToken;
}

}  // namespace poppyway
