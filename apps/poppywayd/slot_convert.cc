// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "slot_convert.h"

#include <algorithm>
#include <limits>

namespace poppyway {
namespace {

/// Rounded up, so that a span that isn't zero stays so.
std::int32_t ToMillis(Duration duration) {
  constexpr std::int64_t kMost = std::numeric_limits<std::int32_t>::max();
  const std::int64_t millis = (duration.count() + 999) / 1000;
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(millis, 0, kMost));
}

Duration FromMillis(std::int32_t millis) {
  return std::chrono::milliseconds(millis);
}

wire::PlaceSign::type ToWire(const std::optional<HealthSignal>& sign) {
  if (!sign)
    return wire::PlaceSign::NONE;
  switch (*sign) {
    case HealthSignal::kSuccess:
      return wire::PlaceSign::GOOD;
    case HealthSignal::kFailure:
      return wire::PlaceSign::BAD;
    case HealthSignal::kUnreachable:
      return wire::PlaceSign::UNREACHABLE;
  }
  return wire::PlaceSign::NONE;
}

std::optional<HealthSignal> FromWire(wire::PlaceSign::type sign) {
  switch (sign) {
    case wire::PlaceSign::GOOD:
      return HealthSignal::kSuccess;
    case wire::PlaceSign::BAD:
      return HealthSignal::kFailure;
    case wire::PlaceSign::UNREACHABLE:
      return HealthSignal::kUnreachable;
    default:
      return std::nullopt;
  }
}

wire::PlaceAsk ToWire(const SlotRequest& slot_request) {
  wire::PlaceAsk sent;
  sent.ref = slot_request.m_ref;
  sent.pool = slot_request.m_pool;
  sent.workspace = slot_request.m_workspace;
  sent.route = static_cast<std::int64_t>(slot_request.m_route);
  sent.tier = slot_request.m_tier;
  sent.rank = slot_request.m_shape.m_tier;
  sent.prompt_tokens = slot_request.m_shape.m_prompt_tokens;
  sent.expected_tokens = slot_request.m_expected_tokens;
  sent.aim_ms = ToMillis(slot_request.m_shape.m_latency_target);
  sent.waited_ms = ToMillis(slot_request.m_shape.m_waited);
  sent.left_ms = ToMillis(slot_request.m_shape.m_left);
  sent.pause_aim_ms = ToMillis(slot_request.m_shape.m_gap_target);
  sent.wait_ms = ToMillis(slot_request.m_wait);
  for (const PromptSegment& part : slot_request.m_prompt_segments) {
    wire::PromptPart& sent_part = sent.parts.emplace_back();
    sent_part.id = static_cast<std::int64_t>(part.m_id);
    sent_part.tokens = static_cast<std::int32_t>(part.m_tokens);
  }
  sent.tried = slot_request.m_tried;
  sent.cost = slot_request.m_quota.m_cost;
  sent.reserve = slot_request.m_quota.m_reserve;
  sent.limit_rate = slot_request.m_limit.m_rate_per_s;
  sent.limit_burst = slot_request.m_limit.m_burst;
  sent.bound = slot_request.m_home_regions.m_restricted;
  sent.regions = slot_request.m_home_regions.m_regions;
  return sent;
}

SlotRequest FromWire(const wire::PlaceAsk& sent, const std::string& data_centre) {
  SlotRequest slot_request;
  slot_request.m_ref = sent.ref;
  slot_request.m_pool = sent.pool;
  slot_request.m_workspace = sent.workspace;
  slot_request.m_data_centre = data_centre;
  slot_request.m_route = static_cast<RouteKey>(sent.route);
  slot_request.m_tier = sent.tier;
  slot_request.m_shape.m_tier = sent.rank;
  slot_request.m_shape.m_prompt_tokens = sent.prompt_tokens;
  slot_request.m_expected_tokens = sent.expected_tokens;
  slot_request.m_shape.m_latency_target = FromMillis(sent.aim_ms);
  slot_request.m_shape.m_waited = FromMillis(sent.waited_ms);
  slot_request.m_shape.m_left = FromMillis(sent.left_ms);
  slot_request.m_shape.m_gap_target = FromMillis(sent.pause_aim_ms);
  slot_request.m_wait = FromMillis(sent.wait_ms);
  for (const wire::PromptPart& part : sent.parts)
    slot_request.m_prompt_segments.push_back({static_cast<std::uint64_t>(part.id), part.tokens});
  slot_request.m_tried = sent.tried;
  slot_request.m_quota = {sent.cost, sent.reserve};
  slot_request.m_limit = {sent.limit_rate, sent.limit_burst};
  slot_request.m_home_regions = {sent.bound, sent.regions};
  return slot_request;
}

wire::PlaceHeld ToWire(const HeldSlot& held) {
  wire::PlaceHeld sent;
  sent.ref = held.m_ref;
  sent.server = held.m_server;
  sent.reading_tokens = held.m_pending_prefill_tokens;
  sent.expected_tokens = held.m_expected_tokens;
  sent.born = held.m_started_ms;
  return sent;
}

HeldSlot FromWire(const wire::PlaceHeld& sent) {
  HeldSlot held;
  held.m_ref = sent.ref;
  held.m_server = sent.server;
  held.m_pending_prefill_tokens = sent.reading_tokens;
  held.m_expected_tokens = sent.expected_tokens;
  held.m_started_ms = sent.born;
  return held;
}

wire::PlaceReport ToWire(const SlotReport& report) {
  wire::PlaceReport sent;
  sent.ref = report.m_ref;
  sent.tokens_read = report.m_tokens_read;
  sent.first_ms = ToMillis(report.m_time_to_first_event);
  sent.ended = report.m_ended;
  sent.ran = report.m_may_have_run;
  sent.sign = ToWire(report.m_health_signal);
  sent.failed = report.m_failed;
  sent.service_ms = ToMillis(report.m_service);
  sent.events = report.m_events;
  sent.span_ms = ToMillis(report.m_span);
  sent.pause_ms = ToMillis(report.m_longest_pause);
  sent.connect_us = static_cast<std::int32_t>(
      std::min<std::int64_t>(report.m_connect.count(), std::numeric_limits<std::int32_t>::max()));
  return sent;
}

SlotReport FromWire(const wire::PlaceReport& sent) {
  SlotReport report;
  report.m_ref = sent.ref;
  report.m_tokens_read = sent.tokens_read;
  report.m_time_to_first_event = FromMillis(sent.first_ms);
  report.m_ended = sent.ended;
  report.m_may_have_run = sent.ran;
  report.m_health_signal = FromWire(sent.sign);
  report.m_failed = sent.failed;
  report.m_service = FromMillis(sent.service_ms);
  report.m_events = sent.events;
  report.m_span = FromMillis(sent.span_ms);
  report.m_longest_pause = FromMillis(sent.pause_ms);
  report.m_connect = Duration(sent.connect_us);
  return report;
}

wire::LimitUse ToWire(const LimitReport& word) {
  wire::LimitUse sent;
  sent.workspace = word.m_workspace;
  sent.left = word.m_limit_left;
  sent.age_ms = ToMillis(word.m_age);
  sent.spent_alone = word.m_charged_without_broker;
  sent.rate = word.m_limit.m_rate_per_s;
  sent.burst = word.m_limit.m_burst;
  sent.epoch = word.m_epoch;
  return sent;
}

LimitReport FromWire(const wire::LimitUse& sent) {
  LimitReport word;
  word.m_workspace = sent.workspace;
  word.m_limit = {sent.rate, sent.burst};
  word.m_limit_left = sent.left;
  word.m_age = FromMillis(sent.age_ms);
  word.m_charged_without_broker = sent.spent_alone;
  word.m_epoch = sent.epoch;
  return word;
}

wire::ServerWord ToWire(const ServerNotice& notice) {
  wire::ServerWord sent;
  sent.server = notice.m_server;
  sent.born = notice.m_started_ms;
  sent.back_off_ms = ToMillis(notice.m_back_off);
  sent.leaving = notice.m_leaving;
  return sent;
}

ServerNotice FromWire(const wire::ServerWord& sent) {
  ServerNotice notice;
  notice.m_server = sent.server;
  notice.m_started_ms = sent.born;
  notice.m_back_off = FromMillis(sent.back_off_ms);
  notice.m_leaving = sent.leaving;
  return notice;
}

}  // namespace

wire::PlaceBatch ToWire(const SlotBatch& batch,
                        const std::string& incarnation,
                        const std::string& data_centre) {
  wire::PlaceBatch sent;
  sent.incarnation = incarnation;
  sent.data_centre = data_centre;
  sent.epoch = batch.m_epoch;
  sent.resync = batch.m_resync;
  sent.instances = batch.m_instances;
  for (const HeldSlot& held : batch.m_held)
    sent.held.push_back(ToWire(held));
  for (const LimitReport& word : batch.m_limits)
    sent.limits.push_back(ToWire(word));
  for (const ServerNotice& notice : batch.m_notices)
    sent.words.push_back(ToWire(notice));
  for (const SlotRequest& slot_request : batch.m_slot_requests)
    sent.asks.push_back(ToWire(slot_request));
  sent.withdrawn = batch.m_cancelled_requests;
  for (const SlotReport& report : batch.m_reports)
    sent.reports.push_back(ToWire(report));
  return sent;
}

SlotBatch FromWire(const wire::PlaceBatch& sent) {
  SlotBatch batch;
  batch.m_epoch = sent.epoch;
  batch.m_resync = sent.resync;
  batch.m_instances = sent.instances;
  for (const wire::PlaceHeld& held : sent.held)
    batch.m_held.push_back(FromWire(held));
  for (const wire::LimitUse& word : sent.limits)
    batch.m_limits.push_back(FromWire(word));
  for (const wire::ServerWord& notice : sent.words)
    batch.m_notices.push_back(FromWire(notice));
  for (const wire::PlaceAsk& slot_request : sent.asks)
    batch.m_slot_requests.push_back(FromWire(slot_request, sent.data_centre));
  batch.m_cancelled_requests = sent.withdrawn;
  for (const wire::PlaceReport& report : sent.reports)
    batch.m_reports.push_back(FromWire(report));
  return batch;
}

wire::PlaceAnswer ToWire(const SlotResponse& answer) {
  wire::PlaceAnswer sent;
  sent.ref = answer.m_ref;
  sent.verdict = static_cast<wire::PlaceVerdict::type>(answer.m_verdict);
  sent.server = answer.m_server;
  sent.first_ms = ToMillis(answer.m_time_to_first_event);
  sent.left = answer.m_limit_left;
  sent.come_back_ms = ToMillis(answer.m_estimated_wait);
  sent.born = answer.m_started_ms;
  sent.address = answer.m_address;
  sent.port = answer.m_port;
  return sent;
}

SlotResponse FromWire(const wire::PlaceAnswer& sent) {
  SlotResponse answer;
  answer.m_ref = sent.ref;
  answer.m_verdict = static_cast<SlotVerdict>(sent.verdict);
  answer.m_server = sent.server;
  answer.m_time_to_first_event = FromMillis(sent.first_ms);
  answer.m_limit_left = sent.left;
  answer.m_estimated_wait = FromMillis(sent.come_back_ms);
  answer.m_started_ms = sent.born;
  answer.m_address = sent.address;
  answer.m_port = static_cast<std::uint16_t>(sent.port);
  return answer;
}

BackendServer ToBackendServer(const wire::ServerRecord& record) {
  BackendServer server;
  server.m_id = record.id;
  server.m_pool = record.pool;
  server.m_data_centre = record.data_centre;
  server.m_slots = record.slots;
  server.m_leaving = record.stage != wire::ServerStage::READY;
  server.m_version = record.version;
  server.m_started_ms = record.born;
  server.m_cold_left = FromMillis(record.cold_for_ms);
  server.m_address = record.address;
  server.m_port = static_cast<std::uint16_t>(record.port);
  return server;
}

}  // namespace poppyway
