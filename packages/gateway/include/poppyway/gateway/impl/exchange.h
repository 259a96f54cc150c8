// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <h2o.h>

#include "poppyway/gateway/impl/json_request.h"
#include "poppyway/http.h"
#include "poppyway/policy.h"
#include "poppyway/settings.h"

namespace poppyway {

/// \brief The stage of an exchange. Only a retry after a failed connection goes back, from
/// `kConnecting` to `kWaiting`.
enum class Stage : std::uint8_t {
  kNew,         ///< The exchange runs through the filters up to admission.
  kClaiming,    ///< The claim of its key awaits the ledger's reply.
  kWaiting,     ///< It is in the admission queue; no byte was sent to a back end.
  kConnecting,  ///< It holds a credit; no byte was sent to a back end.
  kSent,        ///< It is being written or was sent; it may have run.
  kRelaying,    ///< The head of the back end's response arrived.
  kDone,        ///< The outcome is recorded; the response gets no more bytes.
};

/// \brief A header field of a caller's request or a back end's response; its name is in lower
/// case.
struct Header {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const Header&, const Header&) = default;
};

class Upstream;

/// \brief One request and its response. Plain data, owned by the gateway.
struct Exchange {
  RequestRef m_ref = 0;
  std::string m_id;  ///< The request id: unique over all instances, sent to back end and caller.
  Stage m_stage = Stage::kNew;
  ResponseWriter m_caller;

  // The caller's request.
  std::string m_method;
  std::string m_path;
  std::vector<Header> m_headers;
  std::string m_body;
  Labels m_labels;
  std::string m_workspace;
  std::string m_key;  ///< Idempotency key with its workspace as prefix; empty if none was sent.
  bool m_model_call = false;
  CompletionRequest m_completion;

  // Decisions of the filters.
  std::shared_ptr<const Catalogue> m_catalogue;
  const EventDeclaration* m_event = nullptr;
  std::string m_model;
  std::int64_t m_prompt_tokens = 1;
  std::vector<std::uint64_t> m_prefixes;
  std::vector<std::string> m_tried;
  bool m_claimed = false;  ///< The ledger holds this request's claim of `m_key`.
  /// Until when to wait for the end of an earlier request with this key; zero: none was running.
  Instant m_running_until{};
  Instant
      m_claim_again_at{};  ///< When to claim the key again; zero: a claim is pending or none is.
  Credit m_credit;
  std::unique_ptr<Upstream> m_upstream;

  // The back end's response.
  int m_status = 0;
  std::string m_content_type;
  std::string m_kept;  ///< Body received so far, kept to answer resends with the same key.
  bool m_keep_overflow = false;  ///< The body is too large to keep; `m_kept` is empty.
  std::string m_tail;            ///< Last bytes of an event stream, searched for its end marker.

  Instant m_arrived{};
  Instant m_deadline{};
  Instant m_dispatched{};   ///< Time of the dispatch; zero before it.
  Instant m_first_token{};  ///< Arrival of the first body bytes; zero before that.
  Instant m_last_chunk{};   ///< Arrival of the latest body bytes.
};

/// \brief Returns the tier of the matched event, or the lowest tier if no event has matched.
[[nodiscard]] inline Tier TierOf(const Exchange& exchange) noexcept {
  return exchange.m_event == nullptr ? kTiers - 1 : exchange.m_event->m_tier;
}

/// \brief Returns the value of the first header `name` (in lower case), or "".
[[nodiscard]] inline std::string HeaderValue(const std::vector<Header>& headers,
                                             std::string_view name) {
  for (const Header& header : headers) {
    if (header.m_name == name)
      return header.m_value;
  }
  return "";
}

}  // namespace poppyway
