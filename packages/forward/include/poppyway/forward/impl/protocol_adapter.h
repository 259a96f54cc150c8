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

/// \brief A header field; the name in lower case.
struct Field {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const Field&, const Field&) = default;
};

/// \brief What a caller's header fields say, decoded once.
struct CallerRequest {
  std::string m_id;                   ///< The caller's own name for this attempt.
  std::string m_key;                  ///< Empty: none was sent.
  std::optional<Duration> m_timeout;  ///< How long the caller waits, from now on.
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_most_tokens = 0;      ///< That it may generate.
  std::int64_t m_expected_tokens = 0;  ///< That the caller expects; often far off. Zero: not told.
  bool m_names_tokens = false;
  std::vector<PromptSegment> m_prompt_segments;
  std::optional<std::int64_t> m_resume_after;  ///< The last event that the caller has.
  std::vector<Field> m_forwarded;              ///< What a backend server gets unchanged.

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// \brief What this system adds to a request for a backend server.
struct DispatchFields {
  std::string m_server;     ///< Id of the server that may run it; any other declines.
  std::string m_workspace;  ///< Empty: an anonymous request.
  Duration m_left{};        ///< Time that remains.
  std::optional<std::int64_t> m_resume_after;
};

/// \brief What the head of a backend server's answer says, decoded once.
struct ServerResponse {
  int m_status = 0;
  std::optional<std::string> m_id;  ///< Of the request that it answers, if it names one.
  bool m_signed = false;            ///< Carries the server's signature.
  bool m_not_run = false;           ///< The server promises that it has not run the request.
  /// Another server than the one that was meant answered: its id.
  std::optional<std::string> m_other_server;
  bool m_event_stream = false;
  bool m_leaving = false;                ///< The server is about to end: it wants nothing new.
  std::optional<Duration> m_back_off;    ///< It asks this instance to send nothing for so long.
  std::optional<Duration> m_keep_alive;  ///< How long the connection may rest.
  int m_running = -1;                    ///< Requests at work there; -1: not told.
  int m_waiting = 0;
  std::string m_unreadable;      ///< Name of a field whose value can't be read; empty: none.
  std::vector<Field> m_relayed;  ///< What the caller gets unchanged.

  friend bool operator==(const ServerResponse&, const ServerResponse&) = default;
};

/// \brief How a deployment speaks: pure functions between its formats and our types. Nothing else
/// knows its names.
struct ProtocolAdapter {
  std::function<CallerRequest(std::vector<Field> fields)> m_decode_request;
  std::function<std::vector<Field>(const DispatchFields&)> m_encode_dispatch;
  std::function<ServerResponse(int status, std::vector<Field> fields)> m_decode_response;
  std::function<Result<RouteTable>(std::int64_t version, std::string_view document)>
      m_decode_document;
};

}  // namespace poppyway
