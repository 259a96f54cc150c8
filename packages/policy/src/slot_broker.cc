// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <cmath>

#include "slot_internal.h"

namespace poppyway {
namespace {

// After a change of broker, instances connect to the new one within some heartbeats. An instance
// that takes longer holds few slots.
constexpr Duration kResyncTime{1'000'000};
// Gain of the mean event size, which averages over some fifty responses.
constexpr double kEventGain = 0.02;
// Two heartbeats plus some delay.
constexpr Duration kReachableTimeout{1'200'000};

/// Returns true if `started_ms` is the start time of the server's known process. A start time that
/// isn't reported matches any.
bool IsSameProcess(std::int64_t started_ms, const BackendServer& server) {
  return started_ms == 0 || server.m_started_ms == 0 || started_ms == server.m_started_ms;
}

/// Returns true if the slot is at the known process of its server.
bool IsAtCurrentProcess(const HeldSlot& held, const BackendServer& server) {
  return IsSameProcess(held.m_started_ms, server);
}

/// Frees expired back-offs. A server that asked every instance once and never again would otherwise
/// keep one for each.
void DropExpiredBackOffs(SlotPool& pool, Instant now) {
  if (pool.m_back_off_until == Instant{} || now < pool.m_back_off_until)
    return;
  pool.m_back_off_until = {};
  for (ServerNotices& notices : pool.m_notices)
    notices.m_back_off_until.clear();
}

bool IsReachable(const InstanceSlots& instance, Instant now) noexcept {
  return now - instance.m_last_heard <= kReachableTimeout;
}

void SetReachableInstances(SlotBroker& broker, int reachable, Instant now) {
  broker.m_reachable_instances = reachable;
  broker.m_instances = CountInstances(broker.m_instances, reachable, broker.m_may_serve, now);
}

void CountReachableInstances(SlotBroker& broker, Instant now) {
  const auto is_reachable = [now](const auto& entry) { return IsReachable(entry.second, now); };
  const auto reachable =
      std::count_if(broker.m_instance_slots.begin(), broker.m_instance_slots.end(), is_reachable);
  SetReachableInstances(broker, static_cast<int>(reachable), now);
}

void FreeSlot(SlotBroker& broker, const HeldSlot& held, Instant now) {
  const auto [pool, i] = FindServer(broker, held.m_server);
  if (pool == nullptr || !IsAtCurrentProcess(held, pool->m_servers[i]))
    return;
  // A slot at an evacuated server comes free for no other request.
  if (held.m_taken != Instant{} && !pool->m_servers[i].m_evacuated)
    pool->m_turnover = CountFreed(pool->m_turnover, now - held.m_taken, now);
  --pool->m_views[i].m_other_in_flight;
  pool->m_views[i].m_pending_prefill_tokens -= held.m_pending_prefill_tokens;
  ViewChanged(*pool, i);
}

}  // namespace

std::string_view SlotVerdictName(SlotVerdict verdict) noexcept {
  switch (verdict) {
    case SlotVerdict::kPlaced:
      return "placed";
    case SlotVerdict::kQueued:
      return "queued";
    case SlotVerdict::kNoRoom:
      return "no_room";
    case SlotVerdict::kOverLimit:
      return "over_limit";
    case SlotVerdict::kNoServer:
      return "no_server";
    case SlotVerdict::kNoRetry:
      return "no_retry";
    case SlotVerdict::kUnknownStream:
      return "unknown_stream";
  }
  return "unknown";
}

int LengthClass(double& usual, std::int64_t expected_tokens) noexcept {
  constexpr double kGain = 0.02;  // The mean covers some fifty requests.
  constexpr int kLongest = kLengthClasses - 1;
  if (expected_tokens <= 0)
    return 0;
  const double length = std::log2(static_cast<double>(expected_tokens));
  usual = usual == 0 ? length : usual + kGain * (length - usual);
  return std::clamp(static_cast<int>(length - usual), 0, kLongest);
}

SlotBroker MakeSlotBroker(std::int64_t epoch, std::uint64_t seed, Duration may_serve, Instant now) {
  SlotBroker broker;
  broker.m_epoch = epoch;
  broker.m_may_serve = may_serve;
  broker.m_began = now;
  broker.m_random = seed | 1;
  return broker;
}

double ReportedShare(const SlotBroker& broker, Instant now) noexcept {
  return now - broker.m_began >= kResyncTime ? 1 : ReachableShare(broker);
}

double ReachableShare(const SlotBroker& broker) noexcept {
  const int most = std::max(1, broker.m_instances.m_recent_max);
  return std::min(1.0, static_cast<double>(std::max(1, broker.m_reachable_instances)) / most);
}

void ApplyBatch(SlotBroker& broker,
                const std::string& instance,
                SlotBatch batch,
                Instant now,
                std::vector<SlotResponse>& out) {
  if (batch.m_resync)
    ForgetInstance(broker, instance, batch.m_instances, now);
  for (const LimitReport& report : batch.m_limits)
    ApplyLimitReport(broker, report, now);
  for (const RetryReport& report : batch.m_retries)
    ApplyRetryReport(broker, report, now);
  for (const ServerNotice& notice : batch.m_notices)
    ApplyServerNotice(broker, instance, notice, now);
  for (const HeldSlot& held : batch.m_held)
    Hold(broker, instance, held, now);
  for (const SlotRef ref : batch.m_cancelled_requests)
    CancelRequest(broker, instance, ref);
  for (const StreamOrigin& origin : batch.m_begun_streams)
    RecordOrigin(broker.m_origins, origin, now);
  for (const SlotReport& report : batch.m_reports)
    ApplyReport(broker, instance, report, now, out);
  for (SlotRequest& slot_request : batch.m_slot_requests)
    RequestSlot(broker, instance, std::move(slot_request), now, out);
}

void RequestSlot(SlotBroker& broker,
                 const std::string& instance,
                 SlotRequest slot_request,
                 Instant now,
                 std::vector<SlotResponse>& out) {
  broker.m_instance_slots[instance].m_last_heard = now;
  broker.m_instance_slots[instance].m_data_centre = slot_request.m_data_centre;
  SlotPool& pool = broker.m_pools[slot_request.m_pool];
  if (!CountAgainstRetryLimit(broker, pool, slot_request)) {
    out.push_back(MakeRejection(instance, slot_request.m_ref, SlotVerdict::kNoRetry, 0));
    return;
  }
  ShareGroup group{slot_request.m_shape.m_tier, 0, slot_request.m_workspace};
  const bool limited = !slot_request.m_workspace.empty() && slot_request.m_limit.m_rate_per_s > 0;
  if (limited) {
    QuotaBucket& limit =
        broker.m_limits
            .try_emplace(slot_request.m_workspace, BeginLimit(slot_request.m_limit, broker.m_began))
            .first->second;
    const double share = ReachableShare(broker);
    Withhold(limit, slot_request.m_limit, share, broker.m_may_serve, now);
    const QuotaLimit granted{slot_request.m_limit.m_rate_per_s * share,
                             slot_request.m_limit.m_burst};
    if (!Spend(limit, granted, slot_request.m_quota, now)) {
      out.push_back(
          MakeRejection(instance, slot_request.m_ref, SlotVerdict::kOverLimit, limit.m_tokens));
      return;
    }
  } else {
    slot_request.m_workspace.clear();
  }
  ResolveContinuation(broker, pool, slot_request.m_continuation);
  if (pool.m_servers.empty() || NoServerMayServe(pool, slot_request.m_allowed_regions) ||
      !HasServerToContinue(pool, slot_request)) {
    RefundRequest(broker, slot_request);
    out.push_back(MakeRejection(instance, slot_request.m_ref, SlotVerdict::kNoServer, 0));
    return;
  }
  RefreshTypical(pool, now);
  if (broker.m_tokens_per_event > 0)
    slot_request.m_shape.m_events =
        static_cast<double>(slot_request.m_expected_tokens) / broker.m_tokens_per_event;
  const Tier route_tier = slot_request.m_shape.m_tier;
  group.m_length_class =
      LengthClass(pool.m_mean_log_tokens[TierIndex(route_tier)], slot_request.m_expected_tokens);
  pool.m_turnover = CountRequested(pool.m_turnover, route_tier, now);
  CountRequested(pool.m_shares, group, now);
  const bool underserved = IsUnderserved(pool.m_shares, group);
  if (underserved)
    CountServed(pool.m_shares, group, now);
  const SlotQueueOrder order{
      underserved,          slot_request.m_tier,    route_tier,
      group.m_length_class, broker.m_next_number++, !slot_request.m_continuation.m_continues};
  QueuedSlotRequest waiting{instance, std::move(slot_request), std::move(group), order, now, {},
                            false};
  const bool yields = !underserved && MustYield(pool, route_tier);
  if (std::optional<SlotResponse> response = TryAssignSlot(broker, pool, waiting, yields, now)) {
    out.push_back(std::move(*response));
    return;
  }
  QueueOrReject(broker, pool, std::move(waiting), now, out);
}

void CancelRequest(SlotBroker& broker, const std::string& instance, SlotRef ref) {
  InstanceSlots& known = broker.m_instance_slots[instance];
  const auto found = known.m_waiting.find(ref);
  if (found == known.m_waiting.end())
    return;
  SlotPool& pool = broker.m_pools[found->second.first];
  const auto waiting = pool.m_waiting.find(found->second.second);
  known.m_waiting.erase(found);
  if (waiting == pool.m_waiting.end())
    return;
  RefundRequest(broker, waiting->second.m_request);
  if (waiting->first.m_underserved)
    CountUnserved(pool.m_shares, waiting->second.m_group, pool.m_shares.m_all.m_at);
  EraseWaiting(pool, waiting);
}

void ApplyReport(SlotBroker& broker,
                 const std::string& instance,
                 const SlotReport& original,
                 Instant now,
                 std::vector<SlotResponse>& out) {
  InstanceSlots& known = broker.m_instance_slots[instance];
  known.m_last_heard = now;
  const auto found = known.m_held.find(original.m_ref);
  if (found == known.m_held.end())
    return;
  HeldSlot& held = found->second;
  const auto [pool, i] = FindServer(broker, held.m_server);
  const bool counts = pool != nullptr && IsAtCurrentProcess(held, pool->m_servers[i]);
  SlotReport report = original;
  const FailureSubject subject = pool == nullptr
                                     ? FailureSubject::kServer
                                     : JudgeFailure(broker, *pool, i, instance, held, report, now);
  if (subject != FailureSubject::kServer) {
    // It moves no belief about the server or its version. That a data centre is lost is found from
    // several servers and instances, so a failure of unknown subject counts there.
    report.m_health_signal.reset();
    ++broker.m_disregarded_failures;
  }
  if (pool != nullptr) {
    const SlotReport at_server = LearnRoundTrip(broker, held, pool->m_servers[i].m_region, report);
    LearnVersion(*pool, held, at_server, now);
    if (counts)
      pool->m_views[i].m_performance = LearnPerformance(pool->m_views[i].m_performance, at_server);
  }
  if (counts) {
    if (report.m_head) {
      ApplyStatedLimit(pool->m_limits[i], report.m_limit_per_s, held.m_taken, now);
      ApplyStatedBrittleness(pool->m_brittleness[i], report.m_max_rejections, held.m_taken, now);
    }
    if (IsRejection(report))
      RecordRejection(pool->m_brittleness[i], now);
    const bool shows_reachability = subject != FailureSubject::kInstance;
    LearnReachability(broker, instance, held, shows_reachability ? original : report, now);
    const bool old = SentBeforeRecovery(broker.m_outages, pool->m_servers[i].m_data_centre,
                                        held.m_server, held.m_taken);
    // A failure of a request that was sent before the server recovered says nothing about its
    // current health.
    const bool conclusive =
        report.m_health_signal && (!old || report.m_health_signal == HealthSignal::kSuccess);
    if (conclusive) {
      LearnHealth(broker, *pool, i, {instance, *report.m_health_signal}, now);
      ObserveRestartSign(*pool, i, report, now);
    }
    if (report.m_time_to_first_event > Duration(0)) {
      pool->m_views[i].m_pending_prefill_tokens -= held.m_pending_prefill_tokens;
      held.m_pending_prefill_tokens = 0;
    }
  }
  if (counts)
    ViewChanged(*pool, i);
  broker.m_tokens_per_event = UpdateTokensPerEvent(
      broker.m_tokens_per_event, held.m_expected_tokens, report.m_events, kEventGain);
  if (!report.m_ended)
    return;
  const auto limit = broker.m_limits.find(held.m_workspace);
  if (!report.m_may_have_run && limit != broker.m_limits.end())
    Refund(limit->second, held.m_cost);
  FreeSlot(broker, held, now);
  known.m_held.erase(found);
  if (counts && !pool->m_waiting.empty())
    ServeQueueAtServer(broker, *pool, i, now, out);
}

void Hold(SlotBroker& broker, const std::string& instance, const HeldSlot& held, Instant now) {
  InstanceSlots& known = broker.m_instance_slots[instance];
  known.m_last_heard = now;
  const auto [entry, added] = known.m_held.emplace(held.m_ref, held);
  if (!added)
    return;
  const auto [pool, i] = FindServer(broker, held.m_server);
  if (pool == nullptr)
    return;
  entry->second.m_version = pool->m_servers[i].m_version;
  if (!IsAtCurrentProcess(held, pool->m_servers[i]))
    return;
  if (held.m_started_ms == 0)
    entry->second.m_started_ms = pool->m_servers[i].m_started_ms;
  ++pool->m_views[i].m_other_in_flight;
  pool->m_views[i].m_pending_prefill_tokens += held.m_pending_prefill_tokens;
  ViewChanged(*pool, i);
  CountPlaced(*pool, i);
  CountRequest(pool->m_limits[i], now);
}

void ApplyServerNotice(SlotBroker& broker,
                       const std::string& instance,
                       const ServerNotice& notice,
                       Instant now) {
  broker.m_instance_slots[instance].m_last_heard = now;
  const auto [pool, i] = FindServer(broker, notice.m_server);
  if (pool == nullptr || !IsSameProcess(notice.m_started_ms, pool->m_servers[i]))
    return;
  RecordNotice(pool->m_notices[i], instance, notice, now);
  // Only a response that a report tells of ends a limit: the instance may not have heard lately.
  if (notice.m_limit_per_s)
    ApplyStatedLimit(pool->m_limits[i], notice.m_limit_per_s, now, now);
  if (notice.m_max_rejections)
    ApplyStatedBrittleness(pool->m_brittleness[i], notice.m_max_rejections, now, now);
  pool->m_back_off_until = std::max(pool->m_back_off_until, now + notice.m_back_off);
  BackendServer& server = pool->m_servers[i];
  if (!notice.m_leaving || server.m_leaving)
    return;
  server.m_leaving = true;
  broker.m_leaving_events.push_back({server.m_id, instance});
  UpdateOutageServerCounts(broker);
}

void ForgetInstance(SlotBroker& broker, const std::string& instance, int instances, Instant now) {
  std::vector<SlotResponse> none;
  broker.m_instances = CountInstances(broker.m_instances, instances, broker.m_may_serve, now);
  const auto found = broker.m_instance_slots.find(instance);
  if (found != broker.m_instance_slots.end()) {
    for (const auto& [ref, held] : found->second.m_held)
      FreeSlot(broker, held, now);
    const std::unordered_map<SlotRef, std::pair<std::string, SlotQueueOrder>> waiting =
        found->second.m_waiting;
    for (const auto& [ref, where] : waiting)
      CancelRequest(broker, instance, ref);
  }
  const bool counted = found != broker.m_instance_slots.end() && IsReachable(found->second, now);
  broker.m_instance_slots[instance] = {};
  broker.m_instance_slots[instance].m_last_heard = now;
  // All instances report to a new broker at once, so none of them may cost a pass over the others.
  if (!counted)
    SetReachableInstances(broker, broker.m_reachable_instances + 1, now);
}

void ApplyLimitReport(SlotBroker& broker, const LimitReport& report, Instant now) {
  QuotaBucket& limit =
      broker.m_limits.try_emplace(report.m_workspace, BeginLimit(report.m_limit, broker.m_began))
          .first->second;
  // A level that this broker reported itself adds nothing.
  if (report.m_epoch != 0 && report.m_epoch < broker.m_epoch)
    TakeOver(limit, report.m_limit, report.m_limit_left, now - report.m_age, now);
  ChargeLate(limit, report.m_limit, report.m_charged_without_broker);
}

void RemoveInstance(SlotBroker& broker,
                    const std::string& instance,
                    Instant now,
                    std::vector<SlotResponse>& out) {
  ForgetInstance(broker, instance, 0, now);
  broker.m_instance_slots.erase(instance);
  for (auto& [name, pool] : broker.m_pools)
    ServePoolQueue(broker, pool, now, out);
}

void TickBroker(SlotBroker& broker, Instant now, std::vector<SlotResponse>& out) {
  CountReachableInstances(broker, now);
  EndRecoveredOutages(broker, now);
  for (auto& [name, pool] : broker.m_pools) {
    DropExpiredBackOffs(pool, now);
    if (pool.m_waiting.empty())
      continue;
    ResolveWaiting(broker, pool);
    RejectUnservable(broker, pool, now, out);
    RejectExpired(broker, pool, now, out);
    ServePoolQueue(broker, pool, now, out);
  }
}

}  // namespace poppyway
