// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <h2o.h>

namespace poppyway {

/// \brief A response that is sent in parts: h2o's request object, and the bytes that h2o has not
/// accepted yet. Not thread-safe.
struct ResponseWriter {
  h2o_req_t* m_req = nullptr;  ///< Null once the caller is gone.
  bool m_started = false;      ///< Status and headers were passed to h2o.
  bool m_inflight = false;     ///< h2o holds `m_sending` until it calls the generator's proceed.
  bool m_ended = false;        ///< No more bytes will be added.
  bool m_aborted = false;      ///< The response is cut off after the pending bytes.
  bool m_final = false;        ///< The last chunk was passed to h2o.
  std::string m_sending;
  std::string m_pending;
};

/// \brief Passes status and headers to h2o. Preconditions: they are set in `m_req->res`, and
/// `generator` lives as long as the request.
void BeginResponse(ResponseWriter& caller, h2o_generator_t& generator);
/// \brief Adds bytes to the response; `last` ends it. Does nothing once the caller is gone.
void SendChunk(ResponseWriter& caller, std::string_view bytes, bool last);
/// \brief Lets h2o close an HTTP/1 connection after the response in progress, even if the
/// response's headers announced that it is kept open. Call before the last chunk.
void CloseAfterResponse(ResponseWriter& caller);
/// \brief Cuts off a response that can't be completed, so that the caller detects that it is
/// incomplete. Pending bytes are sent first.
void AbortResponse(ResponseWriter& caller);
/// \brief Sends pending bytes. Call when h2o calls the generator's proceed.
void ContinueResponse(ResponseWriter& caller);

/// \brief Returns true if `req` is null or the caller of an HTTP/1 request has closed its
/// connection. h2o doesn't read a connection while its request is pending, so the socket is polled.
[[nodiscard]] bool CallerDisconnected(const h2o_req_t* req);

/// \brief Checks many HTTP/1 requests, none of them null, in one system call.
/// \return for each request, whether its caller has closed its connection.
[[nodiscard]] std::vector<bool> CallersDisconnected(std::span<h2o_req_t* const> requests);

}  // namespace poppyway
