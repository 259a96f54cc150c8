// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <poll.h>
#include <sys/socket.h>

#include "poppyway/http.h"

namespace poppyway {
namespace {

constexpr short kLeftEvents = POLLRDHUP | POLLHUP | POLLERR;

int DescriptorOf(const h2o_req_t* req) {
  return h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
}

/// Passes the pending bytes to h2o.
void Push(ResponseWriter& caller, bool last) {
  caller.m_sending.swap(caller.m_pending);
  caller.m_pending.clear();
  caller.m_inflight = true;
  caller.m_final = last;
  h2o_iovec_t part = h2o_iovec_init(caller.m_sending.data(), caller.m_sending.size());
  h2o_send(caller.m_req, &part, part.len == 0 ? 0 : 1,
           last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/// Closes the connection before the response's end. h2o marks the error with bytes of its own that
/// are not part of the protocol; a connection that is shut down doesn't transmit them.
void Cut(ResponseWriter& caller) {
  const bool http2 = caller.m_req->version >= 0x200;
  if (!http2)
    shutdown(DescriptorOf(caller.m_req), SHUT_RDWR);
  caller.m_final = true;
  caller.m_inflight = true;
  h2o_send(caller.m_req, nullptr, 0, H2O_SEND_STATE_ERROR);
}

}  // namespace

void BeginResponse(ResponseWriter& caller, h2o_generator_t& generator) {
  caller.m_started = true;
  h2o_start_response(caller.m_req, &generator);
}

void SendChunk(ResponseWriter& caller, std::string_view bytes, bool last) {
  if (caller.m_req == nullptr)
    return;
  caller.m_pending += bytes;
  caller.m_ended = caller.m_ended || last;
  if (!caller.m_inflight && (last || !caller.m_pending.empty()))
    Push(caller, last);
}

void CloseAfterResponse(ResponseWriter& caller) {
  if (caller.m_req != nullptr)
    caller.m_req->http1_is_persistent = 0;
}

void AbortResponse(ResponseWriter& caller) {
  if (caller.m_req == nullptr || caller.m_ended)
    return;
  caller.m_ended = true;
  caller.m_aborted = true;
  if (!caller.m_inflight)
    Cut(caller);  // Otherwise `ContinueResponse` cuts the response off.
}

void ContinueResponse(ResponseWriter& caller) {
  caller.m_inflight = false;
  if (caller.m_req == nullptr || caller.m_final)
    return;
  const bool whole = caller.m_ended && !caller.m_aborted;
  if (!caller.m_pending.empty() || whole)
    Push(caller, whole);
  else if (caller.m_aborted)
    Cut(caller);
}

bool CallerDisconnected(const h2o_req_t* req) {
  if (req == nullptr)
    return true;
  const bool http2 = req->version >= 0x200;
  if (http2)
    return false;  // h2o disposes of an HTTP/2 request as soon as its caller leaves.
  pollfd watched{DescriptorOf(req), POLLRDHUP, 0};
  return poll(&watched, 1, 0) == 1 && (watched.revents & kLeftEvents) != 0;
}

std::vector<bool> CallersDisconnected(std::span<h2o_req_t* const> requests) {
  std::vector<pollfd> watched;
  watched.reserve(requests.size());
  for (const h2o_req_t* req : requests)
    watched.push_back({DescriptorOf(req), POLLRDHUP, 0});
  std::vector<bool> left(requests.size(), false);
  if (poll(watched.data(), watched.size(), 0) <= 0)
    return left;
  for (std::size_t i = 0; i < watched.size(); ++i)
    left[i] = (watched[i].revents & kLeftEvents) != 0;
  return left;
}

}  // namespace poppyway
