// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/gateway.h"

#include "relay.h"

namespace poppyway {
namespace {

constexpr std::uint64_t kBusyTickMillis = 5;   // Tick interval with requests in progress.
constexpr std::uint64_t kIdleTickMillis = 50;  // Tick interval without requests.
// Interval of the checks for callers that have closed their connections.
constexpr Duration kCallerPollInterval{100'000};
// An answer reaches its caller before the ledger has committed that its request ended, so a resend
// may find the first request running. The wait covers the commit, also through a leader change.
constexpr Duration kRunningWait{1'000'000};
constexpr Duration kClaimAgainInterval{50'000};
constexpr std::string_view kPlainText = "text/plain; charset=utf-8";
// Longest time that a caller may take to send a request, or leave a connection idle.
constexpr std::uint64_t kSlowSenderMillis = 10'000;
// h2o's body limit lies this far above the setting, so that the gateway itself refuses bodies that
// are slightly too large, with a result code.
constexpr std::size_t kBodySlack = 1 << 20;

/// Allocated in the request's memory pool; `OnDisposed` is called when h2o disposes of the request.
struct DisposalHook {
  GatewayState* m_state;
  RequestRef m_ref;
};

void OnDisposed(void* data) {
  auto* hook = static_cast<DisposalHook*>(data);
  const auto found = hook->m_state->m_exchanges.find(hook->m_ref);
  if (found != hook->m_state->m_exchanges.end())
    impl::OnCallerGone(*hook->m_state, *found->second);
}

void ReadRequest(Exchange& exchange, h2o_req_t* req) {
  exchange.m_method.assign(req->method.base, req->method.len);
  exchange.m_path.assign(req->path.base, req->path.len);
  exchange.m_body.assign(req->entity.base, req->entity.len);
  for (size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& header = req->headers.entries[i];
    exchange.m_headers.push_back({std::string(header.name->base, header.name->len),
                                  std::string(header.value.base, header.value.len)});
  }
}

bool IsReady(const GatewayState& state) {
  return state.m_catalogue != nullptr && state.m_fresh && !state.m_stopping;
}

/// Answers health and metrics requests; returns false for any other path.
bool AnswerOwnPath(GatewayState& state, h2o_req_t* req) {
  const std::string_view path(req->path_normalized.base, req->path_normalized.len);
  if (path == "/health/live") {
    SendResponse(req, 200, kPlainText, "live\n");
  } else if (path == "/health/ready") {
    const bool ready = IsReady(state);
    SendResponse(req, ready ? 200 : 503, kPlainText, ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    state.m_metrics.Set("poppyway_exchanges", "", static_cast<double>(state.m_exchanges.size()));
    SendResponse(req, 200, kPlainText, state.m_metrics.Text() + state.m_control_metrics);
  } else {
    return false;
  }
  return true;
}

/// Handles a claim of a key whose first request hasn't ended as far as the ledger knows: claims the
/// key again for a while, and for no more than half of the time that is left.
void OnStillRunning(GatewayState& state, Exchange& exchange) {
  const Instant now = ReadClock();
  if (exchange.m_running_until == Instant{})
    exchange.m_running_until =
        now + std::min<Duration>(kRunningWait, (exchange.m_deadline - now) / 2);
  if (now >= exchange.m_running_until) {
    impl::Refuse(state, exchange, ResultCode::kInProgress, "the first request still runs");
    return;
  }
  exchange.m_claim_again_at = now + kClaimAgainInterval;
}

/// Claims keys again whose first requests were running.
void ClaimAgain(GatewayState& state, Instant now) {
  for (const auto& [ref, exchange] : state.m_exchanges) {
    const bool due = exchange->m_stage == Stage::kClaiming &&
                     exchange->m_claim_again_at != Instant{} && now >= exchange->m_claim_again_at;
    if (!due)
      continue;
    exchange->m_claim_again_at = {};
    (void)impl::CheckDuplicate(state, *exchange);
  }
}

void OnClaimReply(GatewayState& state, const ClaimReply& answer) {
  const auto found = state.m_exchanges.find(answer.m_ref);
  const bool waiting =
      found != state.m_exchanges.end() && found->second->m_stage == Stage::kClaiming;
  if (!waiting)
    return;  // The exchange has ended. The control task releases a claim that it gave up.
  Exchange& exchange = *found->second;
  switch (answer.m_result.verdict) {
    case wire::ClaimVerdict::GRANTED:
      exchange.m_claimed = true;
      impl::RunChainAfterClaim(state, exchange);
      return;
    case wire::ClaimVerdict::RUNNING:
      OnStillRunning(state, exchange);
      return;
    case wire::ClaimVerdict::DONE:
      impl::Replay(state, exchange, answer.m_result.answer);
      return;
    case wire::ClaimVerdict::UNKNOWN:
      impl::Refuse(state, exchange, ResultCode::kOutcomeUnknown,
                   "an earlier request with this key was sent and its outcome was lost");
      return;
    case wire::ClaimVerdict::KEY_REUSED:
      impl::Refuse(state, exchange, ResultCode::kKeyReused,
                   "the key was first used for another request");
      return;
    case wire::ClaimVerdict::UNAVAILABLE:
      // A repeatable service call may run without a claim; a model request is sent at most once.
      if (exchange.m_event->m_repeatable && !exchange.m_model_call) {
        impl::RunChainAfterClaim(state, exchange);
        return;
      }
      impl::Refuse(state, exchange, ResultCode::kLedgerUnavailable, "the ledger has no majority");
      return;
  }
}

/// Ends exchanges whose callers have closed their connections. h2o doesn't read an HTTP/1
/// connection while its request is pending, so the sockets are polled.
void PollCallers(GatewayState& state) {
  std::vector<RequestRef> left;
  for (const auto& [ref, exchange] : state.m_exchanges) {
    const bool open = exchange->m_stage != Stage::kDone && exchange->m_caller.m_req != nullptr &&
                      !exchange->m_caller.m_started;
    if (open && CallerDisconnected(exchange->m_caller.m_req))
      left.push_back(ref);
  }
  for (const RequestRef ref : left) {
    const auto found = state.m_exchanges.find(ref);
    if (found == state.m_exchanges.end())
      continue;
    // h2o still owns the request and disposes of it, with its connection, only after a response.
    Exchange& exchange = *found->second;
    const bool sent = exchange.m_stage >= Stage::kSent;
    if (sent && exchange.m_claimed)
      continue;
    state.m_metrics.Add("poppyway_callers_left_total", sent ? "sent=\"true\"" : "sent=\"false\"");
    impl::Refuse(state, exchange, sent ? ResultCode::kOutcomeUnknown : ResultCode::kCallerGone,
                 "the caller closed its connection");
  }
}

/// Refuses connecting and sent requests that have no response by their deadline.
void RefuseOverdue(GatewayState& state, Instant now) {
  std::vector<RequestRef> overdue;
  for (const auto& [ref, exchange] : state.m_exchanges) {
    const bool unanswered =
        exchange->m_stage == Stage::kSent || exchange->m_stage == Stage::kConnecting;
    if (unanswered && now > exchange->m_deadline && exchange->m_caller.m_req != nullptr)
      overdue.push_back(ref);
  }
  for (const RequestRef ref : overdue) {
    Exchange& exchange = *state.m_exchanges.at(ref);
    const bool sent = exchange.m_stage == Stage::kSent;
    impl::Refuse(state, exchange,
                 sent ? ResultCode::kDeadlinePassed : ResultCode::kDeadlineUnreachable,
                 "no answer began before the deadline");
  }
}

/// Reports once, during a planned stop, that no request is left and none is accepted any more.
void ReportDrained(GatewayState& state, Instant now) {
  const bool drained = state.m_stopping && now >= state.m_refuse_from && state.m_exchanges.empty();
  if (!drained || state.m_drained_reported)
    return;
  state.m_drained_reported = true;
  state.m_to_control(GatewayDrained{});
}

void Tick(GatewayState& state) {
  const Instant now = ReadClock();
  state.m_retired.clear();
  for (auto& [name, pool] : state.m_pools)
    impl::TickPool(state, name, pool, now);
  RefuseOverdue(state, now);
  ClaimAgain(state, now);
  if (now - state.m_last_poll >= kCallerPollInterval) {
    state.m_last_poll = now;
    PollCallers(state);
  }
  ReportDrained(state, now);
}

/// Handles each type of message from the control task.
struct ControlMessageHandler {
  GatewayState& m_state;

  void operator()(CatalogueUpdate& message) const {
    const bool newer =
        !m_state.m_catalogue || message.m_catalogue->m_version > m_state.m_catalogue->m_version;
    if (!newer)
      return;  // The version in force never decreases.
    m_state.m_catalogue = std::move(message.m_catalogue);
    m_state.m_eligible.clear();
    for (const PoolDeclaration& pool : m_state.m_catalogue->m_pools)
      m_state.m_pools.try_emplace(pool.m_name);
  }
  void operator()(const ClaimReply& message) const { OnClaimReply(m_state, message); }
  void operator()(const GrantsReceived& message) const { impl::OnGrants(m_state, message); }
  void operator()(const BrokerReconnected& message) const {
    PoolClient& pool = m_state.m_pools[message.m_pool];
    pool.m_session = message.m_session;
    pool.m_resync = true;
    pool.m_dirty = true;
  }
  void operator()(LeavingServers& message) const {
    m_state.m_leaving = std::move(message.m_servers);
    m_state.m_eligible.clear();
  }
  void operator()(const ConfigFreshness& message) const { m_state.m_fresh = message.m_fresh; }
  void operator()(const BeginShutdown&) const {
    if (m_state.m_stopping)
      return;
    m_state.m_stopping = true;
    m_state.m_refuse_from =
        ReadClock() + std::chrono::milliseconds(m_state.m_settings.m_balancer_lag_ms);
    POPPYWAY_LOG(info, "stop_begun").Field("in_progress", m_state.m_exchanges.size());
  }
  void operator()(ControlMetrics& message) const {
    m_state.m_control_metrics = std::move(message.m_text);
  }
};

}  // namespace

Gateway::Gateway(EventLoop& loop,
                 const DaemonSettings& settings,
                 std::string incarnation,
                 std::function<void(GatewayMessage)> to_control)
    : m_loop(loop) {
  m_state.m_settings = settings;
  m_state.m_random.seed(Hash(incarnation));
  m_state.m_incarnation = std::move(incarnation);
  m_state.m_to_control = std::move(to_control);
  m_state.m_upstreams = std::make_unique<UpstreamPools>(loop);
  const HttpLimits limits{static_cast<std::size_t>(settings.m_max_body_bytes) + kBodySlack,
                          kSlowSenderMillis};
  m_server = std::make_unique<HttpServer>(loop, limits, [this](h2o_req_t* req) { OnRequest(req); });
  m_tick = std::make_unique<RepeatingTimer>(loop, kBusyTickMillis, kIdleTickMillis, [this] {
    Tick(m_state);
    return !m_state.m_exchanges.empty();
  });
}

Result<void> Gateway::Listen() {
  const Endpoint& endpoint = m_state.m_settings.m_http;
  return m_server->Listen(endpoint.m_address, endpoint.m_port);
}

void Gateway::HandleMessage(ControlMessage message) {
  std::visit(ControlMessageHandler{m_state}, message);
}

void Gateway::OnRequest(h2o_req_t* req) {
  GatewayState& state = m_state;
  if (AnswerOwnPath(state, req))
    return;
  const RequestRef ref = state.m_next_ref++;
  auto owned = std::make_unique<Exchange>();
  Exchange& exchange = *owned;
  state.m_exchanges.emplace(ref, std::move(owned));
  exchange.m_ref = ref;
  exchange.m_id = state.m_incarnation + "-" + std::to_string(ref);
  exchange.m_arrived = ReadClock();
  exchange.m_caller.m_req = req;
  ReadRequest(exchange, req);
  auto* hook = static_cast<DisposalHook*>(
      h2o_mem_alloc_shared(&req->pool, sizeof(DisposalHook), &OnDisposed));
  *hook = {&state, ref};
  impl::RunChain(state, exchange);
}

}  // namespace poppyway
