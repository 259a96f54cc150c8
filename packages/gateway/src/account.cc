// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "relay.h"

namespace poppyway::impl {
namespace {

/// Returns or finishes the credit of a dispatched request; removes a waiting one from the queue.
void SettleCredit(GatewayState& state, Exchange& exchange) {
  if (exchange.m_event == nullptr)
    return;
  PoolClient& pool = PoolOf(state, exchange);
  switch (exchange.m_stage) {
    case Stage::kWaiting:
      if (pool.m_queue.Remove(exchange.m_ref))
        pool.m_dirty = true;
      return;
    case Stage::kConnecting:
      EndDispatch(pool, exchange.m_credit, UseStage::kReturned, Duration(0), ReadClock());
      return;
    case Stage::kSent:
    case Stage::kRelaying: {
      const Instant now = ReadClock();
      EndDispatch(pool, exchange.m_credit, UseStage::kFinished, now - exchange.m_dispatched, now);
      return;
    }
    case Stage::kNew:
    case Stage::kClaiming:
    case Stage::kDone:
      return;
  }
}

void FinishLedger(GatewayState& state, Exchange& exchange, ResultCode code) {
  if (!exchange.m_claimed)
    return;
  exchange.m_claimed = false;
  wire::LedgerFinish finish;
  finish.key = exchange.m_key;
  finish.owner = state.m_incarnation;
  finish.ref = exchange.m_ref;
  switch (ResultInfoOf(code).m_run) {
    case RunState::kNotRun:
      finish.kind = wire::FinishKind::NOT_RUN;
      break;
    case RunState::kUnknown:
      finish.kind = wire::FinishKind::UNKNOWN;
      break;
    case RunState::kRan:
      finish.kind = wire::FinishKind::DONE;
      finish.answer.status = exchange.m_status;
      finish.answer.content_type = exchange.m_content_type;
      finish.answer.kept = !exchange.m_keep_overflow;
      finish.answer.body = std::move(exchange.m_kept);
      break;
  }
  state.m_to_control(FinishKey{std::move(finish)});
}

void CountWastedPrefill(GatewayState& state, const Exchange& exchange, ResultCode code) {
  const bool sent = exchange.m_stage == Stage::kSent || exchange.m_stage == Stage::kRelaying;
  if (!sent || !exchange.m_model_call || code == ResultCode::kOk)
    return;
  state.m_metrics.Add("poppyway_wasted_prefill_tokens_total",
                      "cause=\"" + std::string(ResultInfoOf(code).m_name) + "\"",
                      static_cast<std::uint64_t>(exchange.m_prompt_tokens));
}

void Log(const Exchange& exchange, ResultCode code) {
  const auto millis = [](Duration d) { return d.count() / 1000; };
  POPPYWAY_LOG(info, "request")
      .Field("request", exchange.m_id)
      .Field("code", ResultInfoOf(code).m_name)
      .Field("event_name", exchange.m_event == nullptr ? "-" : exchange.m_event->m_name)
      .Field("tier", TierOf(exchange))
      .Field("workspace", exchange.m_workspace)
      .Field("engine", exchange.m_credit.m_engine)
      .Field("prompt_tokens", exchange.m_prompt_tokens)
      .Field("total_ms", millis(ReadClock() - exchange.m_arrived));
}

}  // namespace

void EndExchange(GatewayState& state, Exchange& exchange, ResultCode code) {
  if (exchange.m_stage == Stage::kDone)
    return;
  const Tier tier = TierOf(exchange);
  const Instant now = ReadClock();
  const std::string tier_label = "tier=\"" + std::to_string(tier) + "\"";
  if (code == ResultCode::kOk) {
    const bool in_time = now <= exchange.m_deadline;
    state.m_metrics.Add("poppyway_answers_total",
                        tier_label + (in_time ? ",in_time=\"true\"" : ",in_time=\"false\""));
    state.m_metrics.Record("poppyway_request_seconds", tier_label, now - exchange.m_arrived);
    if (exchange.m_dispatched != Instant{})
      LearnService(PoolOf(state, exchange), exchange.m_event->m_name, now - exchange.m_dispatched);
  } else {
    state.m_metrics.Add("poppyway_refusals_total", TierAndReason(tier, ResultInfoOf(code).m_name));
  }
  CountWastedPrefill(state, exchange, code);
  Log(exchange, code);
  SettleCredit(state, exchange);
  FinishLedger(state, exchange, code);
  Retire(state, exchange);
  exchange.m_stage = Stage::kDone;
}

void OnCallerGone(GatewayState& state, Exchange& exchange) {
  exchange.m_caller.m_req = nullptr;
  const RequestRef ref = exchange.m_ref;
  const bool sent = exchange.m_stage == Stage::kSent || exchange.m_stage == Stage::kRelaying;
  if (exchange.m_stage != Stage::kDone) {
    state.m_metrics.Add("poppyway_callers_left_total", sent ? "sent=\"true\"" : "sent=\"false\"");
    // A request with a claimed key runs to its end: its caller may resend it to get the response.
    if (sent && exchange.m_claimed)
      return;
    EndExchange(state, exchange, sent ? ResultCode::kOutcomeUnknown : ResultCode::kCallerGone);
  }
  EraseIfDone(state, ref);
}

void EraseIfDone(GatewayState& state, RequestRef ref) {
  const auto found = state.m_exchanges.find(ref);
  if (found == state.m_exchanges.end())
    return;
  if (found->second->m_stage == Stage::kDone && found->second->m_caller.m_req == nullptr)
    state.m_exchanges.erase(found);
}

void Retire(GatewayState& state, Exchange& exchange) {
  if (!exchange.m_upstream)
    return;
  exchange.m_upstream->SuppressEvents();
  state.m_retired.push_back(std::move(exchange.m_upstream));
}

}  // namespace poppyway::impl
