// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kTextPath = "/v1/completions";

void SetLabel(Exchange& exchange, const char* label, std::string_view header) {
  std::string value = HeaderValue(exchange.m_headers, header);
  if (!value.empty())
    exchange.m_labels[label] = std::move(value);
}

}  // namespace

/// Reads the caller's labels, workspace and idempotency key, and parses the body of a model call.
Verdict IdentifyCaller(GatewayState& state, Exchange& exchange) {
  const std::string path = exchange.m_path.substr(0, exchange.m_path.find('?'));
  exchange.m_model_call = path == kChatPath || path == kTextPath;
  SetLabel(exchange, "workspace", "poppyway-workspace");
  SetLabel(exchange, "language", "poppyway-language");
  SetLabel(exchange, "event", "poppyway-event");
  exchange.m_labels["path"] = path;
  exchange.m_labels["method"] = exchange.m_method;
  const auto workspace = exchange.m_labels.find("workspace");
  exchange.m_workspace = workspace == exchange.m_labels.end() ? "" : workspace->second;
  const std::string key = HeaderValue(exchange.m_headers, "idempotency-key");
  if (!key.empty())
    exchange.m_key = exchange.m_workspace + "/" + key;
  if (static_cast<std::int64_t>(exchange.m_body.size()) > state.m_settings.m_max_body_bytes) {
    Refuse(state, exchange, ResultCode::kBodyTooLarge,
           "the body has " + std::to_string(exchange.m_body.size()) + " bytes; at most " +
               std::to_string(state.m_settings.m_max_body_bytes) + " are taken");
    return Verdict::kSuspended;
  }
  if (!exchange.m_model_call)
    return Verdict::kContinue;
  Result<CompletionRequest> completion = ParseCompletion(exchange.m_body);
  if (!completion) {
    Refuse(state, exchange, completion.error().m_code, completion.error().m_message);
    return Verdict::kSuspended;
  }
  exchange.m_completion = std::move(*completion);
  exchange.m_prompt_tokens = EstimateTokens(exchange.m_completion.m_prompt);
  exchange.m_prefixes = PrefixHashes(exchange.m_completion.m_prompt);
  exchange.m_completion.m_prompt.clear();  // Only its token count and prefix hashes are needed.
  return Verdict::kContinue;
}

}  // namespace poppyway::impl
