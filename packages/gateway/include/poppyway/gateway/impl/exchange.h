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

/// \brief Where an exchange stands; it only moves down this list.
enum class Stage : std::uint8_t {
  kNew,
  kClaiming,    ///< The ledger was asked for its key.
  kWaiting,     ///< In the admission queue; no byte was sent to a back end.
  kConnecting,  ///< Has a credit; no byte was sent to a back end.
  kSent,        ///< Bytes were written: from here on it may have run.
  kRelaying,    ///< The back end's head arrived.
  kDone,        ///< The caller has its answer, or is gone.
};

/// \brief A header of a caller's request or a back end's answer; the name in lower case.
struct Header {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const Header&, const Header&) = default;
};

class Upstream;

/// \brief One request from its arrival to its end. Plain data, owned by the gateway.
struct Exchange {
  RequestRef m_ref = 0;
  std::string m_id;  ///< Unique over all instances; sent to the back end and to the caller.
  Stage m_stage = Stage::kNew;
  ResponseWriter m_caller;

  // What the caller sent.
  std::string m_method;
  std::string m_path;
  std::vector<Header> m_headers;
  std::string m_body;
  Labels m_labels;
  std::string m_workspace;
  std::string m_key;  ///< Scoped to the workspace; empty if the caller named none.
  bool m_model_call = false;
  CompletionRequest m_completion;

  // What was decided.
  std::shared_ptr<const Catalogue> m_catalogue;
  const EventDeclaration* m_event = nullptr;
  std::string m_model;
  std::int64_t m_prompt_tokens = 1;
  std::vector<std::uint64_t> m_prefixes;
  std::vector<std::string> m_tried;
  bool m_claimed = false;  ///< The ledger holds our claim.
  Credit m_credit;
  std::unique_ptr<Upstream> m_upstream;

  // What came back.
  int m_status = 0;
  std::string m_content_type;
  std::string m_kept;  ///< The answer so far, as long as it is small enough to keep.
  bool m_keep_overflow = false;
  std::string m_tail;  ///< Last bytes of a stream, to see its end marker.

  Instant m_arrived{};
  Instant m_deadline{};
  Instant m_dispatched{};
  Instant m_first_token{};
  Instant m_last_chunk{};
};

/// \brief The event's tier, or the lowest if no event matched yet.
[[nodiscard]] inline Tier TierOf(const Exchange& exchange) noexcept {
  return exchange.m_event == nullptr ? kTiers - 1 : exchange.m_event->m_tier;
}

/// \brief The value of the header `name`, or "".
[[nodiscard]] inline std::string HeaderValue(const std::vector<Header>& headers,
                                             std::string_view name) {
  for (const Header& header : headers) {
    if (header.m_name == name)
      return header.m_value;
  }
  return "";
}

}  // namespace poppyway
