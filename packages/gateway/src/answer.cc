// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <nlohmann/json.hpp>

#include "filters.h"

namespace poppyway::impl {
namespace {

constexpr int kCallerGoneStatus = 499;  // Nobody reads it; h2o needs an answer to let go.

h2o_iovec_t Copy(h2o_mem_pool_t& pool, std::string_view text) {
  return h2o_strdup(&pool, text.data(), text.size());
}

void AddHeader(h2o_req_t* req, std::string_view name, std::string_view value) {
  const h2o_iovec_t name_copy = Copy(req->pool, name);
  const h2o_iovec_t value_copy = Copy(req->pool, value);
  h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base, name_copy.len, 1, nullptr,
                        value_copy.base, value_copy.len);
}

/// Our generator: h2o calls back through it, by reference number.
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
  AddHeader(req, "poppyway-request-id", exchange.m_id);
  exchange.m_caller.m_started = true;
  if (state.m_stopping)
    req->http1_is_persistent = 0;
  h2o_start_response(req, &generator->m_base);
}

void Push(Exchange& exchange, bool last) {
  CallerSide& caller = exchange.m_caller;
  caller.m_sending.swap(caller.m_pending);
  caller.m_pending.clear();
  caller.m_inflight = true;
  caller.m_final = last;
  h2o_iovec_t part = h2o_iovec_init(caller.m_sending.data(), caller.m_sending.size());
  h2o_send(caller.m_req, &part, part.len == 0 ? 0 : 1,
           last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
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
  AddHeader(req, "content-type", type);
  Begin(state, exchange);
  exchange.m_caller.m_pending = std::move(body);
  exchange.m_caller.m_ended = true;
  Push(exchange, true);
}

}  // namespace

void Refuse(GatewayState& state, Exchange& exchange, ResultCode code, const std::string& detail) {
  const RequestRef ref = exchange.m_ref;
  const ResultInfo& info = Describe(code);
  if (exchange.m_caller.m_req != nullptr && exchange.m_caller.m_started) {
    AbortAnswer(exchange);
  } else if (exchange.m_caller.m_req != nullptr) {
    h2o_req_t* req = exchange.m_caller.m_req;
    AddHeader(req, "poppyway-code", std::to_string(static_cast<int>(code)));
    AddHeader(req, "poppyway-run", RunStateName(info.m_run));
    if (info.m_retry_after)
      AddHeader(req, "retry-after", std::to_string(ComeBackAfter(state, exchange)));
    const int status = info.m_http_status == 0 ? kCallerGoneStatus : info.m_http_status;
    SendWhole(state, exchange, status, "application/problem+json",
              ProblemJson(exchange, info, detail));
  }
  Account(state, exchange, code);
  EraseIfOver(state, ref);
}

void Replay(GatewayState& state, Exchange& exchange, const wire::StoredAnswer& answer) {
  if (!answer.kept) {
    Refuse(state, exchange, ResultCode::kAnswerNotKept, "the answer was too large to keep");
    return;
  }
  const RequestRef ref = exchange.m_ref;
  if (exchange.m_caller.m_req != nullptr) {
    AddHeader(exchange.m_caller.m_req, "poppyway-replayed", "true");
    AddHeader(exchange.m_caller.m_req, "poppyway-run", RunStateName(RunState::kRan));
    SendWhole(state, exchange, answer.status, answer.content_type, answer.body);
  }
  state.m_metrics.Add("poppyway_replays_total");
  Account(state, exchange, ResultCode::kOk);
  EraseIfOver(state, ref);
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
    const bool hop = header.m_name == "connection" || header.m_name == "transfer-encoding" ||
                     header.m_name == "keep-alive" || header.m_name == "server" ||
                     header.m_name == "date" || header.m_name == "x-request-id";
    if (!hop)
      AddHeader(req, header.m_name, header.m_value);
  }
  AddHeader(req, "poppyway-run", RunStateName(RunState::kRan));
  if (!exchange.m_key.empty())
    AddHeader(req, "poppyway-key-retention-s", std::to_string(exchange.m_event->m_retention_s));
  Begin(state, exchange);
}

void SendChunk(Exchange& exchange, std::string_view bytes, bool last) {
  CallerSide& caller = exchange.m_caller;
  if (caller.m_req == nullptr)
    return;
  caller.m_pending += bytes;
  caller.m_ended = caller.m_ended || last;
  if (!caller.m_inflight && (last || !caller.m_pending.empty()))
    Push(exchange, last);
}

void AbortAnswer(Exchange& exchange) {
  CallerSide& caller = exchange.m_caller;
  if (caller.m_req == nullptr || caller.m_ended)
    return;
  caller.m_ended = true;
  caller.m_aborted = true;
  if (caller.m_inflight)
    return;  // The error follows in OnCallerReady.
  caller.m_inflight = true;
  caller.m_final = true;
  h2o_send(caller.m_req, nullptr, 0, H2O_SEND_STATE_ERROR);
}

void OnCallerReady(GatewayState& /*state*/, Exchange& exchange) {
  CallerSide& caller = exchange.m_caller;
  caller.m_inflight = false;
  if (caller.m_req == nullptr || caller.m_final)
    return;
  if (!caller.m_pending.empty() || (caller.m_ended && !caller.m_aborted)) {
    Push(exchange, caller.m_ended && !caller.m_aborted);
  } else if (caller.m_aborted) {
    caller.m_final = true;
    caller.m_inflight = true;
    h2o_send(caller.m_req, nullptr, 0, H2O_SEND_STATE_ERROR);
  }
  if (exchange.m_upstream)
    exchange.m_upstream->Resume();
}

}  // namespace poppyway::impl
