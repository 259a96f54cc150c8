// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "control_server.h"

#include "poppyway/platform.h"

namespace poppyway {
namespace {

constexpr std::uint64_t kIdleMillis = 30'000;
// Other senders may send unusable heartbeats without end. At most `kMaxLogLines` are logged in each
// interval; the counters cover all of them.
constexpr Duration kLogInterval{1'000'000};
constexpr int kMaxLogLines = 10;
constexpr std::size_t kMaxLoggedTargetBytes = 300;  // The longest id of a server fits.

/// A request that may be destroyed before its outcome is known; `m_req` is null from then on.
struct PendingRequest {
  h2o_req_t* m_req = nullptr;
};

std::shared_ptr<PendingRequest> Track(h2o_req_t* req) {
  using Holder = std::shared_ptr<PendingRequest>;
  auto pending = std::make_shared<PendingRequest>(PendingRequest{req});
  void* memory = h2o_mem_alloc_shared(&req->pool, sizeof(Holder), [](void* data) {
    auto* holder = static_cast<Holder*>(data);
    (*holder)->m_req = nullptr;
    holder->~Holder();
  });
  new (memory) Holder(pending);
  return pending;
}

void SendAnswer(const PendingRequest& pending, const platform::ControlResponse& answer) {
  if (pending.m_req != nullptr)
    SendResponse(pending.m_req, answer.m_status, "application/json", answer.m_body);
}

void LogRequest(const platform::ControlRequest& call, int status, Instant started) {
  using Kind = platform::ControlRequest::Kind;
  const Duration took = ReadClock() - started;
  if (call.m_kind == Kind::kPutDocument) {
    POPPYWAY_LOG(info, "document_call")
        .Field("version", call.m_document.version)
        .Field("bytes", call.m_document.body.size())
        .Field("status", status)
        .Field("took_ms", took.count() / 1000);
    return;
  }
  if (call.m_kind == Kind::kOrderRollout) {
    POPPYWAY_LOG(info, "rollout_call")
        .Field("pool", call.m_rollout.pool)
        .Field("version", call.m_rollout.target)
        .Field("status", status)
        .Field("took_ms", took.count() / 1000);
    return;
  }
  if (call.m_kind == Kind::kOrderEvacuation) {
    POPPYWAY_LOG(info, "evacuation_call")
        .Field("data_centre", call.m_evacuation.data_centre)
        .Field("ends", call.m_evacuation.ends)
        .Field("status", status)
        .Field("took_ms", took.count() / 1000);
    return;
  }
  const bool is_heartbeat = call.m_kind == Kind::kServerHeartbeat &&
                            call.m_server.stage == wire::ServerStage::READY && status == 200;
  const bool is_read = call.m_kind == Kind::kReadDocument || call.m_kind == Kind::kReadRollout;
  if (is_heartbeat || is_read)
    return;  // These requests are frequent and change nothing.
  POPPYWAY_LOG(info, "server_call")
      .Field("server", call.m_server.id)
      .Field("stage", static_cast<int>(call.m_server.stage))
      .Field("status", status)
      .Field("took_ms", took.count() / 1000);
}

}  // namespace

ControlServer::ControlServer(EventLoop& loop, const Endpoint& endpoint, MemberService& member)
    : m_endpoint(endpoint),
      m_member(member),
      m_server(loop, HttpLimits{kMaxDocumentBytes, kIdleMillis}, [this](h2o_req_t* req) {
        OnRequest(req);
      }) {}

Result<void> ControlServer::Listen() {
  return m_server.Listen(m_endpoint.m_address, m_endpoint.m_port);
}

bool ControlServer::MayLogRejected(Instant now) {
  if (now - m_log_interval_start >= kLogInterval) {
    m_log_interval_start = now;
    m_rejected_in_interval = 0;
  }
  return ++m_rejected_in_interval <= kMaxLogLines;
}

void ControlServer::AddMetrics(MetricSet& metrics) const {
  for (std::size_t i = 0; i < m_rejected_heartbeats.size(); ++i) {
    const auto heartbeat_error = static_cast<platform::HeartbeatError>(i);
    const std::string label =
        "reason=\"" + std::string(platform::HeartbeatErrorName(heartbeat_error)) + "\"";
    metrics.Set("poppyway_heartbeats_refused_total", label,
                static_cast<double>(m_rejected_heartbeats[i]));
  }
}

void ControlServer::OnRequest(h2o_req_t* req) {
  using Kind = platform::ControlRequest::Kind;
  const Instant started = ReadClock();
  const std::string_view method(req->method.base, req->method.len);
  const std::string_view target(req->path.base, req->path.len);
  const std::string_view body(req->entity.base, req->entity.len);
  Result<platform::ControlRequest> call = platform::DecodeControlRequest(method, target, body);
  if (!call) {
    const platform::ControlResponse answer = platform::EncodeControlError(call.error());
    const auto heartbeat_error = platform::FindHeartbeatError(method, target, body);
    if (heartbeat_error)
      ++m_rejected_heartbeats[static_cast<std::size_t>(*heartbeat_error)];
    if (!heartbeat_error || MayLogRejected(started))
      POPPYWAY_LOG(warning, "call_refused")
          .Field("target", target.substr(0, kMaxLoggedTargetBytes))
          .Field("why", call.error().m_message);
    SendResponse(req, answer.m_status, "application/json", answer.m_body);
    return;
  }
  const std::shared_ptr<PendingRequest> pending = Track(req);
  const ReplyFn reply = [pending, call = *call, started](wire::Body outcome) {
    const platform::ControlResponse answer = platform::EncodeControlResponse(call, outcome);
    LogRequest(call, answer.m_status, started);
    SendAnswer(*pending, answer);
  };
  switch (call->m_kind) {
    case Kind::kPutDocument:
      m_member.SubmitDocument(call->m_document, reply);
      return;
    case Kind::kReadDocument:
      m_member.ReadDocument(reply);
      return;
    case Kind::kServerHeartbeat:
    case Kind::kDeregisterServer:
      m_member.SubmitServer(call->m_server, reply);
      return;
    case Kind::kOrderRollout:
      m_member.SubmitRollout(call->m_rollout, reply);
      return;
    case Kind::kReadRollout:
      m_member.ReadRollout(call->m_rollout.pool, reply);
      return;
    case Kind::kOrderEvacuation:
      m_member.SubmitEvacuation(call->m_evacuation, reply);
      return;
    case Kind::kUnknown:
      SendAnswer(*pending, platform::EncodeControlResponse(*call, {}));
      return;
  }
}

}  // namespace poppyway
