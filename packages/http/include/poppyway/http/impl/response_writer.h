// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <h2o.h>

namespace poppyway {

/// \brief The caller's side of a request: the library's object, null once the caller is gone, and
/// the answer's bytes that it has not taken yet.
struct ResponseWriter {
  h2o_req_t* m_req = nullptr;
  bool m_started = false;   ///< The answer's head was handed over.
  bool m_inflight = false;  ///< The library holds `m_sending` until it asks to proceed.
  bool m_ended = false;     ///< No more bytes will be added.
  bool m_aborted = false;   ///< The answer is cut after what is pending.
  bool m_final = false;     ///< The library was given the last chunk.
  std::string m_sending;
  std::string m_pending;
};

/// \brief Hands the answer's head over. Status and fields of `m_req->res` are set before.
void BeginResponse(ResponseWriter& caller, h2o_generator_t& generator);
/// \brief Adds bytes to the answer; `last` ends it.
void SendChunk(ResponseWriter& caller, std::string_view bytes, bool last);
/// \brief Lets the library close an HTTP/1 connection once the answer under way is sent, also where
/// the answer's head promised to keep it. Call before the last chunk.
void CloseAfterResponse(ResponseWriter& caller);
/// \brief Cuts an answer that can't be completed, so that the caller sees it is not whole.
void AbortResponse(ResponseWriter& caller);
/// \brief The library can take more: sends what is pending.
void ContinueResponse(ResponseWriter& caller);

/// \brief True if the caller of an HTTP/1 request has closed its connection. The library doesn't
/// read a connection while its request is pending, so the socket has to be asked.
[[nodiscard]] bool CallerDisconnected(const h2o_req_t* req);

/// \brief The same for many at once, in one system call. HTTP/1 only.
/// \return for each request whether its caller has left.
[[nodiscard]] std::vector<bool> CallersDisconnected(std::span<h2o_req_t* const> requests);

}  // namespace poppyway
