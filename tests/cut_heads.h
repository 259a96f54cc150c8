// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "scripted_server.h"

namespace poppyway {

/// \brief A response whose head stops before its end.
struct CutHead {
  std::string m_name;
  std::string m_bytes;       ///< `{id}` stands for the id of the request.
  bool m_in_pieces = false;  ///< It is sent byte by byte.
};

/// \brief Returns all forms of heads that stop before their end.
inline std::vector<CutHead> CutHeads() {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string own = "x-attempt-id: {id}\r\nx-response-seal: s\r\n";
  const std::string begun = line + own;
  const std::string events = "content-type: text/event-stream\r\n";
  return {
      {"nothing", ""},
      {"within the protocol", "HT"},
      {"within the version", "HTTP/1."},
      {"after the version", "HTTP/1.1"},
      {"before the status", "HTTP/1.1 "},
      {"within the status", "HTTP/1.1 20"},
      {"after the status", "HTTP/1.1 200"},
      {"before the reason", "HTTP/1.1 200 "},
      {"within the reason", "HTTP/1.1 200 O"},
      {"after the reason", "HTTP/1.1 200 OK"},
      {"before the first line feed", "HTTP/1.1 200 OK\r"},
      {"after the first line", line},
      {"within a name", line + "x-att"},
      {"after a name", line + "x-attempt-id"},
      {"after a colon", line + "x-attempt-id:"},
      {"within a value", line + "x-attempt-id: {id}\r\nx-response-seal: "},
      {"after a value", line + "x-attempt-id: {id}\r\nx-response-seal: s"},
      {"before a line feed", line + "x-attempt-id: {id}\r\nx-response-seal: s\r"},
      {"after a field", begun},
      {"before the last line feed", begun + "\r"},
      {"after a length of 0", begun + "content-length: 0\r\n"},
      {"before the last line feed, a length of 0", begun + "content-length: 0\r\n\r"},
      {"after a length of 17", begun + "content-length: 17\r\n"},
      {"within the digits of a length", begun + "content-length: 1"},
      {"after chunked", begun + "transfer-encoding: chunked\r\n"},
      {"within chunked", begun + "transfer-encoding: chu"},
      {"after connection: close", begun + "connection: close\r\n"},
      {"an event stream", begun + events},
      {"a chunked event stream", begun + events + "transfer-encoding: chunked\r\n"},
      {"bare line feeds", "HTTP/1.1 200 OK\nx-attempt-id: {id}\nx-response-seal: s\n"},
      {"no content", "HTTP/1.1 204 No Content\r\n" + own},
      {"not modified", "HTTP/1.1 304 Not Modified\r\n" + own},
      {"the former version", "HTTP/1.0 200 OK\r\n" + own},
      {"the former version with a length", "HTTP/1.0 200 OK\r\n" + own + "content-length: 0\r\n"},
      {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"in the head after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + begun},
      {"in the head after early hints", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" + begun},
      {"within an interim response", "HTTP/1.1 100 Continue\r\n"},
      {"slowly, nothing stated", begun, true},
      {"slowly, a length of 0", begun + "content-length: 0\r\n", true},
      {"slowly, an event stream", begun + events, true},
  };
}

/// \brief Returns the steps of a server that sends a cut head and then ends the connection by
/// `end`.
inline std::vector<test::ScriptStep> CutHeadSteps(const CutHead& head,
                                                  const std::string& id,
                                                  const test::ScriptStep& end) {
  constexpr std::string_view kId = "{id}";
  constexpr int kArriveMillis = 5;  // A reset would else take the bytes along.
  std::string bytes = head.m_bytes;
  if (const std::size_t at = bytes.find(kId); at != std::string::npos)
    bytes.replace(at, kId.size(), id);
  std::vector<test::ScriptStep> steps;
  if (head.m_in_pieces) {
    for (const char byte : bytes)
      steps.push_back(test::Send({byte}));
  } else if (!bytes.empty()) {
    steps.push_back(test::Send(bytes));
  }
  steps.push_back(test::Wait(kArriveMillis));
  steps.push_back(end);
  return steps;
}

/// \brief Calls `check` for each cut head with each way to end the connection.
inline void ForEachCut(const std::function<void(const CutHead&, const test::ScriptStep&)>& check) {
  for (const CutHead& head : CutHeads()) {
    for (const test::ScriptStep& end : {test::CloseNow(), test::ResetNow()}) {
      INFO(head.m_name << (end.m_kind == test::ScriptStep::Kind::kReset ? ", then a reset" : ""));
      check(head, end);
    }
  }
}

}  // namespace poppyway
