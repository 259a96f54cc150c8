// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/forward/impl/route_table.h"

namespace poppyway {

/// \brief A header field with its name in lower case.
struct Field {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const Field&, const Field&) = default;
};

/// \brief The decoded header fields of a caller's request.
struct CallerRequest {
  std::string m_id;                   ///< The caller's id of this attempt.
  std::string m_key;                  ///< API key; empty: none was sent.
  std::optional<Duration> m_timeout;  ///< How long the caller waits, counted from the arrival.
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_most_tokens = 0;      ///< Maximum number of generated tokens.
  std::int64_t m_expected_tokens = 0;  ///< The caller's estimate, often far off; zero: none.
  bool m_names_tokens = false;         ///< The request states its token counts.
  std::vector<PromptSegment> m_prompt_segments;
  std::optional<std::int64_t> m_resume_after;  ///< Id of the last event that the caller has.
  /// Id of the caller's attempt that brought the first event of the stream; empty: not stated.
  std::string m_first_attempt;
  bool m_first_attempt_ambiguous = false;  ///< The request names several.
  std::vector<Field> m_forwarded;          ///< Fields that are forwarded to the server unchanged.

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// \brief The data that this system adds to a request to a backend server.
struct DispatchFields {
  std::string m_server;     ///< Id of the server that may run it; any other rejects it.
  std::string m_workspace;  ///< Empty: an anonymous request.
  Duration m_left{};        ///< Time that remains until the deadline.
  std::optional<std::int64_t> m_resume_after;
};

/// \brief The decoded head of a backend server's response.
struct ServerResponse {
  int m_status = 0;
  std::optional<std::string> m_id;  ///< Id of the answered request, if the response states it.
  bool m_signed = false;            ///< The response carries the server's signature.
  bool m_not_run = false;           ///< The server states that it has not run the request.
  /// Id of the responding server, if it isn't the one that the request was sent to.
  std::optional<std::string> m_other_server;
  bool m_event_stream = false;
  bool m_leaving = false;              ///< The server drains and takes no new requests.
  std::optional<Duration> m_back_off;  ///< The server asks for no requests for this long.
  /// Requests per second that the server takes from all instances together; unset: any number.
  std::optional<double> m_limit_per_s;
  /// Rejections per second above which the server ends; unset: it isn't brittle.
  std::optional<double> m_max_rejections;
  std::optional<Duration> m_keep_alive;  ///< How long the connection may stay idle.
  int m_running = -1;                    ///< Requests that the server runs; -1: not stated.
  int m_waiting = 0;                     ///< Requests queued at the server.
  std::string m_unreadable;              ///< Name of a field with an invalid value; empty: none.
  std::vector<Field> m_relayed;          ///< Fields that are relayed to the caller unchanged.

  friend bool operator==(const ServerResponse&, const ServerResponse&) = default;
};

/// \brief Pure functions that translate between a deployment's formats and this library's types.
/// Nothing else depends on the deployment's names.
struct ProtocolAdapter {
  std::function<CallerRequest(std::vector<Field> fields)> m_decode_request;
  std::function<std::vector<Field>(const DispatchFields&)> m_encode_dispatch;
  std::function<ServerResponse(int status, std::vector<Field> fields)> m_decode_response;
  std::function<Result<RouteTable>(std::int64_t version, std::string_view document)>
      m_decode_document;
};

}  // namespace poppyway
