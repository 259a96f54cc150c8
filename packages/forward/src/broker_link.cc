// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Place requests and their answers, and what the broker is told of places held.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// A broker answers within some ms; a machine that has used up its share of the processor may stand
// still for the rest of a tenth of a second.
constexpr Duration kAskPatience{100'000};
// Two packets of one connection lost in a row hold it up for 200 and 400 ms. At 3.4 % of packets
// lost, instances of one data centre took a living broker for lost 80 to 100 times a second when
// the patience for one answer decided it.
constexpr Duration kBrokerSilence{1'000'000};

SlotRequest MakeAsk(const ForwarderState& state, const Forwarding& forwarding, Instant now) {
  const Route& route = *forwarding.m_route;
  SlotRequest slot_request;
  slot_request.m_ref = forwarding.m_slot_request;
  slot_request.m_pool = forwarding.m_pool->m_name;
  slot_request.m_data_centre = state.m_settings.m_data_centre;
  slot_request.m_route = Hash(route.m_name);
  slot_request.m_tier = forwarding.m_tier;
  slot_request.m_shape.m_tier = route.m_tier;
  slot_request.m_shape.m_prompt_tokens =
      forwarding.m_pool->m_engines ? forwarding.m_request.m_prompt_tokens : 0;
  slot_request.m_shape.m_latency_target = route.m_latency_target;
  slot_request.m_shape.m_waited = now - forwarding.m_arrived;
  slot_request.m_shape.m_left = forwarding.m_deadline - now;
  if (route.m_stream)
    slot_request.m_shape.m_gap_target = route.m_gap_target;
  slot_request.m_expected_tokens = forwarding.m_request.m_expected_tokens;
  slot_request.m_wait = forwarding.m_deadline - now;
  if (forwarding.m_pool->m_engines)
    slot_request.m_prompt_segments = forwarding.m_request.m_prompt_segments;
  slot_request.m_tried = forwarding.m_tried;
  slot_request.m_home_regions = forwarding.m_home_regions;
  if (forwarding.m_workspace != nullptr)
    slot_request.m_workspace = forwarding.m_workspace->m_name;
  if (forwarding.m_quota.m_cost <= 0)
    return slot_request;
  slot_request.m_quota = forwarding.m_quota;
  slot_request.m_limit = forwarding.m_limit;
  return slot_request;
}

HeldSlot MakeHeld(const Forwarding& forwarding) {
  HeldSlot held;
  held.m_ref = forwarding.m_slot;
  held.m_server = forwarding.m_server;
  held.m_pending_prefill_tokens = forwarding.m_read_tokens;
  held.m_expected_tokens = forwarding.m_request.m_expected_tokens;
  held.m_started_ms = forwarding.m_server_started_ms;
  return held;
}

/// The place isn't used: it goes back at once.
void ReturnPlace(ForwarderState& state, SlotRef ref) {
  SlotReport report;
  report.m_ref = ref;
  report.m_ended = true;
  report.m_may_have_run = false;
  state.m_broker.m_outbox.m_reports.push_back(report);
  FlushToBroker(state);
}

void RememberLeft(ForwarderState& state, const Forwarding& forwarding, const SlotResponse& answer) {
  if (forwarding.m_quota.m_cost <= 0 || answer.m_verdict == SlotVerdict::kQueued)
    return;
  state.m_broker.m_left[forwarding.m_workspace->m_name] = {answer.m_limit_left, forwarding.m_limit,
                                                           ReadClock(), state.m_broker.m_epoch};
}

void UsePlace(ForwarderState& state, Forwarding& forwarding, const SlotResponse& answer) {
  HearOfLife(state, answer);
  const Backend* backend = FindBackend(state, answer.m_server);
  const Instant now = ReadClock();
  const bool confirmed = forwarding.m_workspace == nullptr || now < state.m_confirmed_until;
  const IneligibleReason reason = backend == nullptr
                                      ? IneligibleReason::kLeaving
                                      : CheckEligibilityOnSend(state, forwarding, *backend, now);
  const bool usable = reason == IneligibleReason::kNone && confirmed;
  if (!usable) {
    POPPYWAY_LOG(info, "place_returned")
        .Field("request", forwarding.m_request.m_id)
        .Field("server", answer.m_server)
        .Field("known", backend != nullptr)
        .Field("bar", IneligibleReasonName(reason))
        .Field("confirmed", confirmed);
    ReturnPlace(state, answer.m_ref);
    forwarding.m_tried.push_back(answer.m_server);
    if (state.m_broker.m_active)
      AskBroker(state, forwarding);
    return;
  }
  state.m_pools[forwarding.m_pool->m_name].m_waiting.erase(OrderOf(forwarding));
  forwarding.m_slot = answer.m_ref;
  forwarding.m_by_broker = true;
  forwarding.m_forecast = answer.m_time_to_first_event;
  Dispatch(state, forwarding, answer.m_server);
}

void LogOverLimit(const Forwarding& forwarding, const SlotResponse& answer) {
  POPPYWAY_LOG(info, "limit_spent")
      .Field("request", forwarding.m_request.m_id)
      .Field("workspace", forwarding.m_workspace->m_name)
      .Field("cost", forwarding.m_quota.m_cost)
      .Field("reserve", forwarding.m_quota.m_reserve)
      .Field("rate_per_s", forwarding.m_limit.m_rate_per_s)
      .Field("burst", forwarding.m_limit.m_burst)
      .Field("left", answer.m_limit_left);
}

void RefuseByBroker(ForwarderState& state, Forwarding& forwarding, const SlotResponse& answer) {
  forwarding.m_estimated_wait = answer.m_estimated_wait;
  if (answer.m_verdict == SlotVerdict::kOverLimit)
    LogOverLimit(forwarding, answer);
  if (forwarding.m_unsure > 0) {
    Refuse(state, forwarding, ResultCode::kOutcomeUnknown, "no other server had room");
    return;
  }
  switch (answer.m_verdict) {
    case SlotVerdict::kOverLimit:
      Refuse(state, forwarding, ResultCode::kQuotaSpent, "the workspace has used up its limit");
      return;
    case SlotVerdict::kNoServer:
      Refuse(state, forwarding, ResultCode::kNoBackend,
             forwarding.m_home_regions.m_restricted ? "the pool has no server in a home region"
                                                    : "the pool has no server");
      return;
    default:
      Refuse(state, forwarding, ResultCode::kOverload, "no server had room in time");
  }
}

void TakeAnswer(ForwarderState& state, const SlotResponse& answer) {
  BrokerLink& link = state.m_broker;
  const auto asked = link.m_asked.find(answer.m_ref);
  Forwarding* forwarding = asked == link.m_asked.end() ? nullptr : Find(state, asked->second);
  const bool awaited = forwarding != nullptr && forwarding->m_slot_request == answer.m_ref;
  if (!awaited) {
    if (answer.m_verdict == SlotVerdict::kPlaced)
      ReturnPlace(state, answer.m_ref);
    return;
  }
  RememberLeft(state, *forwarding, answer);
  if (answer.m_verdict == SlotVerdict::kQueued) {
    forwarding->m_queued = true;
    return;
  }
  link.m_asked.erase(asked);
  forwarding->m_slot_request = 0;
  if (answer.m_verdict == SlotVerdict::kPlaced)
    UsePlace(state, *forwarding, answer);
  else
    RefuseByBroker(state, *forwarding, answer);
}

/// What a new broker has to know of limits.
std::vector<LimitReport> LimitReports(const BrokerLink& link, Instant now) {
  std::map<std::string, LimitReport> words;
  for (const auto& [workspace, left] : link.m_left)
    words[workspace] = {workspace,         left.m_limit, left.m_limit_left,
                        now - left.m_told, left.m_epoch, 0};
  for (const auto& [workspace, lone] : link.m_local_quota) {
    LimitReport& report = words[workspace];
    report.m_workspace = workspace;
    report.m_limit = lone.m_limit;
    report.m_charged_without_broker = lone.m_spent;
  }
  std::vector<LimitReport> list;
  for (auto& [workspace, word] : words)
    list.push_back(std::move(word));
  return list;
}

/// Their answers, should they come, are no longer awaited.
void ForgetAsks(ForwarderState& state) {
  for (const auto& [ask, ref] : state.m_broker.m_asked) {
    if (Forwarding* forwarding = Find(state, ref))
      forwarding->m_slot_request = 0;
  }
  state.m_broker.m_asked.clear();
}

/// Those places are nobody else's while the broker's word doesn't arrive.
void KeepOwnPlaces(ForwarderState& state) {
  for (auto& [id, backend] : state.m_backends)
    backend.m_own_before = backend.m_in_flight;
}

/// Requests whose place requests have had no word are decided here from now on. What waits in the
/// broker's queue goes on to wait there.
void BeginQuiet(ForwarderState& state, Instant now) {
  BrokerLink& link = state.m_broker;
  link.m_quiet_since = now;
  std::vector<Forwarding*> without_word;
  for (const auto& [ask, ref] : link.m_asked) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding != nullptr && !forwarding->m_queued)
      without_word.push_back(forwarding);
  }
  POPPYWAY_LOG(info, "broker_quiet")
      .Field("epoch", link.m_epoch)
      .Field("awaited", link.m_asked.size())
      .Field("without_word", without_word.size());
  KeepOwnPlaces(state);
  for (Forwarding* forwarding : without_word)
    WithdrawAsk(state, *forwarding);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

/// What was spent of limits while the broker was quiet.
void TellLone(ForwarderState& state) {
  BrokerLink& link = state.m_broker;
  for (const auto& [workspace, lone] : link.m_local_quota) {
    LimitReport report;
    report.m_workspace = workspace;
    report.m_limit = lone.m_limit;
    report.m_charged_without_broker = lone.m_spent;
    link.m_outbox.m_limits.push_back(std::move(report));
  }
  link.m_local_quota.clear();
  FlushToBroker(state);
}

void AskForAllThatWaits(ForwarderState& state) {
  std::vector<ForwardingRef> waiting;
  for (const auto& [name, pool] : state.m_pools) {
    for (const auto& [order, ref] : pool.m_waiting)
      waiting.push_back(ref);
  }
  for (const ForwardingRef ref : waiting) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || forwarding->m_slot_request != 0)
      continue;
    RefundWithoutBroker(state, *forwarding);  // The broker charges it.
    AskBroker(state, *forwarding);
  }
}

}  // namespace

void AskBroker(ForwarderState& state, Forwarding& forwarding) {
  BrokerLink& link = state.m_broker;
  const Instant now = ReadClock();
  forwarding.m_slot_request = link.m_next_ref++;
  forwarding.m_asked = now;
  forwarding.m_queued = false;
  link.m_asked[forwarding.m_slot_request] = forwarding.m_ref;
  link.m_outbox.m_slot_requests.push_back(MakeAsk(state, forwarding, now));
  FlushToBroker(state);
}

void WithdrawAsk(ForwarderState& state, Forwarding& forwarding) {
  if (forwarding.m_slot_request == 0)
    return;
  state.m_broker.m_asked.erase(forwarding.m_slot_request);
  state.m_broker.m_outbox.m_cancelled_requests.push_back(forwarding.m_slot_request);
  forwarding.m_slot_request = 0;
  FlushToBroker(state);
}

void TakeAnswers(ForwarderState& state, const SlotResponses& message) {
  BrokerLink& link = state.m_broker;
  if (!link.m_active || message.m_epoch != link.m_epoch)
    return;
  const bool was_quiet = IsQuiet(link);
  if (was_quiet) {
    POPPYWAY_LOG(info, "broker_heard")
        .Field("epoch", link.m_epoch)
        .Field("quiet_ms", (ReadClock() - link.m_quiet_since).count() / 1000);
    link.m_quiet_since = {};
  }
  if (message.m_suspects)
    TakeSuspects(state, *message.m_suspects);
  for (const SlotResponse& answer : message.m_answers)
    TakeAnswer(state, answer);
  if (was_quiet) {
    AskForAllThatWaits(state);  // Which the broker charges, so it is no longer spent here.
    TellLone(state);
  }
}

void OnBrokerFound(ForwarderState& state, const BrokerConnected& message) {
  BrokerLink& link = state.m_broker;
  const Instant now = ReadClock();
  link.m_active = true;
  link.m_quiet_since = {};
  link.m_epoch = message.m_epoch;
  ForgetAsks(state);         // Those of a former broker.
  state.m_suspects.clear();  // The new broker says anew what it finds.
  link.m_outbox = {};
  link.m_outbox.m_resync = true;
  link.m_outbox.m_instances = state.m_instances.m_recent_max;
  link.m_outbox.m_limits = LimitReports(link, now);
  link.m_outbox.m_notices = WordsInForce(state, now);
  link.m_local_quota.clear();
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (forwarding->m_slot != 0)
      link.m_outbox.m_held.push_back(MakeHeld(*forwarding));
  }
  POPPYWAY_LOG(info, "broker_found")
      .Field("epoch", message.m_epoch)
      .Field("held", link.m_outbox.m_held.size())
      .Field("instances", state.m_instances.m_recent_max);
  FlushToBroker(state);
  AskForAllThatWaits(state);
}

void OnBrokerLost(ForwarderState& state, std::string_view why) {
  BrokerLink& link = state.m_broker;
  if (!link.m_active)
    return;
  link.m_active = false;
  link.m_quiet_since = {};
  link.m_outbox = {};
  state.m_suspects.clear();
  POPPYWAY_LOG(info, "broker_lost")
      .Field("why", why)
      .Field("epoch", link.m_epoch)
      .Field("awaited", link.m_asked.size());
  KeepOwnPlaces(state);
  ForgetAsks(state);
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

void CheckBroker(ForwarderState& state, Instant now) {
  BrokerLink& link = state.m_broker;
  if (IsQuiet(link)) {
    if (now - link.m_quiet_since < kBrokerSilence)
      return;
    OnBrokerLost(state, "silent");
    if (link.m_port.m_on_unresponsive)
      link.m_port.m_on_unresponsive();
    return;
  }
  const bool silent =
      std::any_of(link.m_asked.begin(), link.m_asked.end(), [&state, now](const auto& asked) {
        const Forwarding* forwarding = Find(state, asked.second);
        return forwarding != nullptr && !forwarding->m_queued &&
               now - forwarding->m_asked > kAskPatience;
      });
  if (silent)
    BeginQuiet(state, now);
}

void TellHeld(ForwarderState& state, const Forwarding& forwarding) {
  if (state.m_broker.m_active)
    state.m_broker.m_outbox.m_held.push_back(MakeHeld(forwarding));
}

void TellPlace(ForwarderState& state, Forwarding& forwarding, bool ended) {
  if (forwarding.m_slot == 0)
    return;
  SlotReport report = forwarding.m_report;
  report.m_ended = ended;
  report.m_may_have_run = forwarding.m_sent;
  forwarding.m_report = {.m_ref = forwarding.m_slot};
  if (ended)
    forwarding.m_slot = 0;
  if (!state.m_broker.m_active)
    return;
  state.m_broker.m_outbox.m_reports.push_back(report);
  if (ended)
    FlushToBroker(state);  // Others wait for the place.
}

void FlushToBroker(ForwarderState& state) {
  BrokerLink& link = state.m_broker;
  if (!link.m_active || link.m_outbox.empty() || !link.m_port.m_send)
    return;
  SlotBatch batch = std::move(link.m_outbox);
  link.m_outbox = {};
  batch.m_epoch = link.m_epoch;
  link.m_port.m_send(std::move(batch));
}

}  // namespace poppyway::impl
