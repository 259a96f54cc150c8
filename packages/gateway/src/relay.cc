// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "relay.h"

namespace poppyway::impl {
namespace {

// Above this many pending bytes of a request, reading from its back end is paused.
constexpr std::size_t kMaxBuffered = 256 * 1024;
// Response bodies up to this size are kept to answer resends.
constexpr std::size_t kMaxKept = 64 * 1024;
// Bytes at the end of a stream that are searched for `kStreamEnd`.
constexpr std::size_t kTailBytes = 64;
constexpr std::string_view kStreamEnd = "data: [DONE]";

Exchange* Find(GatewayState& state, RequestRef ref) {
  const auto found = state.m_exchanges.find(ref);
  return found == state.m_exchanges.end() ? nullptr : found->second.get();
}

bool IsEventStream(const Exchange& exchange) {
  return exchange.m_content_type.starts_with("text/event-stream");
}

/// Keeps body bytes of a request with a key, up to `kMaxKept`, to answer resends.
void KeepForResend(Exchange& exchange, std::string_view bytes) {
  if (exchange.m_key.empty() || exchange.m_keep_overflow)
    return;
  if (exchange.m_kept.size() + bytes.size() > kMaxKept) {
    exchange.m_keep_overflow = true;
    exchange.m_kept.clear();
    return;
  }
  exchange.m_kept += bytes;
}

/// Records the time to the first chunk, or between two chunks, in the metrics.
void RecordChunk(GatewayState& state, Exchange& exchange) {
  const Instant now = ReadClock();
  const std::string labels = "tier=\"" + std::to_string(TierOf(exchange)) + "\"";
  if (exchange.m_first_token == Instant{}) {
    exchange.m_first_token = now;
    state.m_metrics.Record("poppyway_first_token_seconds", labels, now - exchange.m_arrived);
    if (IsEventStream(exchange))
      RecordUse(PoolOf(state, exchange), exchange.m_credit, UseStage::kFirstToken,
                now - exchange.m_dispatched);
  } else {
    state.m_metrics.Record("poppyway_between_tokens_seconds", labels, now - exchange.m_last_chunk);
  }
  exchange.m_last_chunk = now;
}

/// Tries another engine after a failed connection. Precondition: no byte was sent. Returns false if
/// the retry budget is spent.
bool RetryElsewhere(GatewayState& state, Exchange& exchange) {
  PoolClient& pool = PoolOf(state, exchange);
  if (!Withdraw(pool.m_retries))
    return false;
  exchange.m_tried.push_back(exchange.m_credit.m_engine);
  exchange.m_credit = {};
  state.m_metrics.Add("poppyway_retries_total",
                      TierAndReason(TierOf(exchange), "connection_failed"));
  if (Route(state, exchange) == Verdict::kContinue)
    Dispatch(state, exchange);
  return true;
}

}  // namespace

bool OnMaySend(GatewayState& state, RequestRef ref) {
  Exchange* exchange = Find(state, ref);
  if (exchange == nullptr || exchange->m_stage != Stage::kConnecting ||
      CallerDisconnected(exchange->m_caller.m_req))
    return false;
  exchange->m_stage = Stage::kSent;
  exchange->m_dispatched = ReadClock();
  state.m_metrics.Add("poppyway_dispatches_total",
                      "tier=\"" + std::to_string(TierOf(*exchange)) + "\"");
  return true;
}

void OnBackendHead(GatewayState& state, RequestRef ref, const UpstreamHead& head) {
  Exchange* exchange = Find(state, ref);
  if (exchange == nullptr || exchange->m_stage != Stage::kSent)
    return;
  const std::string answered = HeaderValue(head.m_headers, "x-request-id");
  if (!answered.empty() && answered != exchange->m_id) {
    Refuse(state, *exchange, ResultCode::kAnswerCrossed, "the back end answered another request");
    return;
  }
  exchange->m_stage = Stage::kRelaying;
  exchange->m_status = head.m_status;
  exchange->m_content_type = HeaderValue(head.m_headers, "content-type");
  StartAnswer(state, *exchange, head.m_status, head.m_headers);
}

void OnBackendData(GatewayState& state, RequestRef ref, std::string_view bytes) {
  Exchange* exchange = Find(state, ref);
  if (exchange == nullptr || exchange->m_stage != Stage::kRelaying)
    return;
  RecordChunk(state, *exchange);
  KeepForResend(*exchange, bytes);
  if (IsEventStream(*exchange)) {
    exchange->m_tail += bytes.substr(bytes.size() - std::min(bytes.size(), kTailBytes));
    if (exchange->m_tail.size() > kTailBytes)
      exchange->m_tail.erase(0, exchange->m_tail.size() - kTailBytes);
  }
  SendChunk(exchange->m_caller, bytes, false);
  if (exchange->m_caller.m_pending.size() > kMaxBuffered && exchange->m_upstream)
    exchange->m_upstream->Pause();
}

void OnBackendComplete(GatewayState& state, RequestRef ref) {
  Exchange* exchange = Find(state, ref);
  if (exchange == nullptr || exchange->m_stage != Stage::kRelaying)
    return;
  const bool cut_stream = exchange->m_model_call && IsEventStream(*exchange) &&
                          exchange->m_tail.find(kStreamEnd) == std::string::npos;
  if (cut_stream) {
    OnBackendFailure(state, ref, true, "the stream ended without its end marker");
    return;
  }
  Retire(state, *exchange);
  SendChunk(exchange->m_caller, "", true);
  EndExchange(state, *exchange, ResultCode::kOk);
  EraseIfDone(state, ref);
}

void OnBackendFailure(GatewayState& state, RequestRef ref, bool sent, const std::string& why) {
  Exchange* exchange = Find(state, ref);
  if (exchange == nullptr || exchange->m_stage == Stage::kDone)
    return;
  POPPYWAY_LOG(warning, "backend_failure")
      .Field("request", exchange->m_id)
      .Field("engine", exchange->m_credit.m_engine)
      .Field("sent", sent)
      .Field("why", why);
  if (sent || exchange->m_stage > Stage::kConnecting) {
    const bool started = exchange->m_stage == Stage::kRelaying;
    Refuse(state, *exchange, started ? ResultCode::kAnswerIncomplete : ResultCode::kOutcomeUnknown,
           why);
    return;
  }
  Retire(state, *exchange);
  PoolClient& pool = PoolOf(state, *exchange);
  const bool caller_left = CallerDisconnected(exchange->m_caller.m_req);
  EndDispatch(pool, exchange->m_credit, caller_left ? UseStage::kReturned : UseStage::kFailed,
              Duration(0), ReadClock());
  exchange->m_stage = Stage::kWaiting;
  if (caller_left)
    Refuse(state, *exchange, ResultCode::kCallerGone, "the caller left before dispatch");
  else if (!RetryElsewhere(state, *exchange))
    Refuse(state, *exchange, ResultCode::kRetryBudgetSpent, why);
}

}  // namespace poppyway::impl
