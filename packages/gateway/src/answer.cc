// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <nlohmann/json.hpp>

#include "filters.h"

namespace poppyway::impl {
namespace {

// The caller has left and doesn't read it, but h2o disposes of a request only after a response.
constexpr int kCallerGoneStatus = 499;

/// h2o's response generator with the reference of its exchange, which may be destroyed before it.
struct Generator {
  h2o_generator_t m_base;
  GatewayState* m_state;
  RequestRef m_ref;
};

void OnProceed(h2o_generator_t* base, h2o_req_t* /*req*/) {
  auto* self = reinterpret_cast<Generator*>(base);
  const auto found = self->m_state->m_exchanges.find(self->m_ref);
  if (found != self->m_state->m_exchanges.end())
    OnCallerReady(*self->m_state, *found->second);
}

void Begin(GatewayState& state, Exchange& exchange) {
  h2o_req_t* req = exchange.m_caller.m_req;
  auto* generator = static_cast<Generator*>(h2o_mem_alloc_pool(&req->pool, sizeof(Generator)));
  *generator = {{&OnProceed, nullptr}, &state, exchange.m_ref};
  AddField(req, "poppyway-request-id", exchange.m_id);
  if (state.m_stopping)
    req->http1_is_persistent = 0;
  BeginResponse(exchange.m_caller, generator->m_base);
}

std::string ProblemJson(const Exchange& exchange,
                        const ResultInfo& info,
                        const std::string& detail) {
  const nlohmann::json problem = {
      {"type", "urn:poppyway:result:" + std::string(info.m_name)},
      {"title", info.m_meaning},
      {"status", info.m_http_status},
      {"code", static_cast<int>(info.m_code)},
      {"run", RunStateName(info.m_run)},
      {"detail", detail},
      {"request", exchange.m_id},
  };
  return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void SendWhole(GatewayState& state,
               Exchange& exchange,
               int status,
               const std::string& type,
               std::string body) {
  h2o_req_t* req = exchange.m_caller.m_req;
  req->res.status = status;
  req->res.reason = status < 400 ? "OK" : "Refused";
  req->res.content_length = body.size();
  AddField(req, "content-type", type);
  Begin(state, exchange);
  SendChunk(exchange.m_caller, body, true);
}

}  // namespace

void Refuse(GatewayState& state, Exchange& exchange, ResultCode code, const std::string& detail) {
  const RequestRef ref = exchange.m_ref;
  const ResultInfo& info = ResultInfoOf(code);
  if (exchange.m_caller.m_req != nullptr && exchange.m_caller.m_started) {
    AbortResponse(exchange.m_caller);
  } else if (exchange.m_caller.m_req != nullptr) {
    h2o_req_t* req = exchange.m_caller.m_req;
    AddField(req, "poppyway-code", std::to_string(static_cast<int>(code)));
    AddField(req, "poppyway-run", RunStateName(info.m_run));
    if (info.m_retry_after)
      AddField(req, "retry-after", std::to_string(RetryAfterSeconds(state, exchange)));
    const int status = info.m_http_status == 0 ? kCallerGoneStatus : info.m_http_status;
    SendWhole(state, exchange, status, "application/problem+json",
              ProblemJson(exchange, info, detail));
  }
  EndExchange(state, exchange, code);
  EraseIfDone(state, ref);
}

void Replay(GatewayState& state, Exchange& exchange, const wire::StoredAnswer& answer) {
  if (!answer.kept) {
    Refuse(state, exchange, ResultCode::kAnswerNotKept, "the answer was too large to keep");
    return;
  }
  const RequestRef ref = exchange.m_ref;
  if (exchange.m_caller.m_req != nullptr) {
    AddField(exchange.m_caller.m_req, "poppyway-replayed", "true");
    AddField(exchange.m_caller.m_req, "poppyway-run", RunStateName(RunState::kRan));
    SendWhole(state, exchange, answer.status, answer.content_type, answer.body);
  }
  state.m_metrics.Add("poppyway_replays_total");
  EndExchange(state, exchange, ResultCode::kOk);
  EraseIfDone(state, ref);
}

void StartAnswer(GatewayState& state,
                 Exchange& exchange,
                 int status,
                 const std::vector<Header>& headers) {
  h2o_req_t* req = exchange.m_caller.m_req;
  if (req == nullptr)
    return;
  req->res.status = status;
  req->res.reason = "OK";
  for (const Header& header : headers) {
    if (header.m_name == "content-length") {
      req->res.content_length = std::stoull(header.m_value);
      continue;
    }
    const bool skipped = header.m_name == "connection" || header.m_name == "transfer-encoding" ||
                         header.m_name == "keep-alive" || header.m_name == "server" ||
                         header.m_name == "date" || header.m_name == "x-request-id";
    if (!skipped)
      AddField(req, header.m_name, header.m_value);
  }
  AddField(req, "poppyway-run", RunStateName(RunState::kRan));
  if (!exchange.m_key.empty())
    AddField(req, "poppyway-key-retention-s", std::to_string(exchange.m_event->m_retention_s));
  Begin(state, exchange);
}

void OnCallerReady(GatewayState& /*state*/, Exchange& exchange) {
  ContinueResponse(exchange.m_caller);
  if (exchange.m_upstream)
    exchange.m_upstream->Resume();
}

}  // namespace poppyway::impl
