// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "slot_convert.h"

#include <algorithm>
#include <limits>

namespace poppyway {
namespace {

/// Converts to milliseconds, rounded up so that no nonzero duration becomes zero.
std::int32_t ToMillis(Duration duration) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  const std::int64_t millis = (duration.count() + 999) / 1000;
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(millis, 0, kMax));
}

Duration FromMillis(std::int32_t millis) {
  return std::chrono::milliseconds(millis);
}

wire::PlaceSign::type ToWire(const std::optional<HealthSignal>& signal) {
  if (!signal)
    return wire::PlaceSign::NONE;
  switch (*signal) {
    case HealthSignal::kSuccess:
      return wire::PlaceSign::GOOD;
    case HealthSignal::kFailure:
      return wire::PlaceSign::BAD;
    case HealthSignal::kUnreachable:
      return wire::PlaceSign::UNREACHABLE;
  }
  return wire::PlaceSign::NONE;
}

std::optional<HealthSignal> FromWire(wire::PlaceSign::type signal) {
  switch (signal) {
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
  wire::PlaceAsk message;
  message.ref = slot_request.m_ref;
  message.pool = slot_request.m_pool;
  message.workspace = slot_request.m_workspace;
  message.route = static_cast<std::int64_t>(slot_request.m_route);
  message.tier = slot_request.m_tier;
  message.rank = slot_request.m_shape.m_tier;
  message.prompt_tokens = slot_request.m_shape.m_prompt_tokens;
  message.expected_tokens = slot_request.m_expected_tokens;
  message.aim_ms = ToMillis(slot_request.m_shape.m_latency_target);
  message.waited_ms = ToMillis(slot_request.m_shape.m_waited);
  message.left_ms = ToMillis(slot_request.m_shape.m_left);
  message.pause_aim_ms = ToMillis(slot_request.m_shape.m_gap_target);
  message.wait_ms = ToMillis(slot_request.m_wait);
  for (const PromptSegment& part : slot_request.m_prompt_segments) {
    wire::PromptPart& sent_part = message.parts.emplace_back();
    sent_part.id = static_cast<std::int64_t>(part.m_id);
    sent_part.tokens = static_cast<std::int32_t>(part.m_tokens);
  }
  message.tried = slot_request.m_tried;
  message.cost = slot_request.m_quota.m_cost;
  message.reserve = slot_request.m_quota.m_reserve;
  message.limit_rate = slot_request.m_limit.m_rate_per_s;
  message.limit_burst = slot_request.m_limit.m_burst;
  message.bound = slot_request.m_allowed_regions.m_restricted;
  message.regions = slot_request.m_allowed_regions.m_regions;
  message.retried = slot_request.m_retry;
  message.continues = slot_request.m_continuation.m_continues;
  message.stream = static_cast<std::int64_t>(slot_request.m_continuation.m_stream);
  message.software = static_cast<std::int64_t>(slot_request.m_continuation.m_software);
  return message;
}

SlotRequest FromWire(const wire::PlaceAsk& message, const std::string& data_centre) {
  SlotRequest slot_request;
  slot_request.m_ref = message.ref;
  slot_request.m_pool = message.pool;
  slot_request.m_workspace = message.workspace;
  slot_request.m_data_centre = data_centre;
  slot_request.m_route = static_cast<RouteKey>(message.route);
  slot_request.m_tier = message.tier;
  slot_request.m_shape.m_tier = message.rank;
  slot_request.m_shape.m_prompt_tokens = message.prompt_tokens;
  slot_request.m_expected_tokens = message.expected_tokens;
  slot_request.m_shape.m_latency_target = FromMillis(message.aim_ms);
  slot_request.m_shape.m_waited = FromMillis(message.waited_ms);
  slot_request.m_shape.m_left = FromMillis(message.left_ms);
  slot_request.m_shape.m_gap_target = FromMillis(message.pause_aim_ms);
  slot_request.m_wait = FromMillis(message.wait_ms);
  for (const wire::PromptPart& part : message.parts)
    slot_request.m_prompt_segments.push_back({static_cast<std::uint64_t>(part.id), part.tokens});
  slot_request.m_tried = message.tried;
  slot_request.m_quota = {message.cost, message.reserve};
  slot_request.m_limit = {message.limit_rate, message.limit_burst};
  slot_request.m_allowed_regions = {message.bound, message.regions};
  slot_request.m_retry = message.retried;
  slot_request.m_continuation = {message.continues, static_cast<StreamKey>(message.stream),
                                 static_cast<SoftwareId>(message.software)};
  return slot_request;
}

wire::PlaceHeld ToWire(const HeldSlot& held) {
  wire::PlaceHeld message;
  message.ref = held.m_ref;
  message.server = held.m_server;
  message.reading_tokens = held.m_pending_prefill_tokens;
  message.expected_tokens = held.m_expected_tokens;
  message.born = held.m_started_ms;
  return message;
}

HeldSlot FromWire(const wire::PlaceHeld& message) {
  HeldSlot held;
  held.m_ref = message.ref;
  held.m_server = message.server;
  held.m_pending_prefill_tokens = message.reading_tokens;
  held.m_expected_tokens = message.expected_tokens;
  held.m_started_ms = message.born;
  return held;
}

wire::PlaceReport ToWire(const SlotReport& report) {
  wire::PlaceReport message;
  message.ref = report.m_ref;
  message.tokens_read = report.m_tokens_read;
  message.first_ms = ToMillis(report.m_time_to_first_event);
  message.ended = report.m_ended;
  message.ran = report.m_may_have_run;
  message.sign = ToWire(report.m_health_signal);
  message.failed = report.m_failed;
  message.service_ms = ToMillis(report.m_service);
  message.events = report.m_events;
  message.span_ms = ToMillis(report.m_span);
  message.pause_ms = ToMillis(report.m_longest_pause);
  message.connect_us = static_cast<std::int32_t>(
      std::min<std::int64_t>(report.m_connect.count(), std::numeric_limits<std::int32_t>::max()));
  message.head = report.m_head;
  if (report.m_limit_per_s)
    message.__set_limit_per_s(*report.m_limit_per_s);
  if (report.m_max_rejections)
    message.__set_max_rejections(*report.m_max_rejections);
  return message;
}

SlotReport FromWire(const wire::PlaceReport& message) {
  SlotReport report;
  report.m_ref = message.ref;
  report.m_tokens_read = message.tokens_read;
  report.m_time_to_first_event = FromMillis(message.first_ms);
  report.m_ended = message.ended;
  report.m_may_have_run = message.ran;
  report.m_health_signal = FromWire(message.sign);
  report.m_failed = message.failed;
  report.m_service = FromMillis(message.service_ms);
  report.m_events = message.events;
  report.m_span = FromMillis(message.span_ms);
  report.m_longest_pause = FromMillis(message.pause_ms);
  report.m_connect = Duration(message.connect_us);
  report.m_head = message.head;
  if (message.__isset.limit_per_s)
    report.m_limit_per_s = message.limit_per_s;
  if (message.__isset.max_rejections)
    report.m_max_rejections = message.max_rejections;
  return report;
}

wire::LimitUse ToWire(const LimitReport& limit_report) {
  wire::LimitUse message;
  message.workspace = limit_report.m_workspace;
  message.left = limit_report.m_limit_left;
  message.age_ms = ToMillis(limit_report.m_age);
  message.spent_alone = limit_report.m_charged_without_broker;
  message.rate = limit_report.m_limit.m_rate_per_s;
  message.burst = limit_report.m_limit.m_burst;
  message.epoch = limit_report.m_epoch;
  return message;
}

LimitReport FromWire(const wire::LimitUse& message) {
  LimitReport limit_report;
  limit_report.m_workspace = message.workspace;
  limit_report.m_limit = {message.rate, message.burst};
  limit_report.m_limit_left = message.left;
  limit_report.m_age = FromMillis(message.age_ms);
  limit_report.m_charged_without_broker = message.spent_alone;
  limit_report.m_epoch = message.epoch;
  return limit_report;
}

wire::RetryUse ToWire(const RetryReport& report) {
  wire::RetryUse message;
  message.pool = report.m_pool;
  message.left = report.m_left;
  message.age_ms = ToMillis(report.m_age);
  message.used_alone = report.m_used_without_broker;
  message.epoch = report.m_epoch;
  return message;
}

RetryReport FromWire(const wire::RetryUse& message) {
  RetryReport report;
  report.m_pool = message.pool;
  report.m_left = message.left;
  report.m_age = FromMillis(message.age_ms);
  report.m_used_without_broker = message.used_alone;
  report.m_epoch = message.epoch;
  return report;
}

wire::ServerWord ToWire(const ServerNotice& notice) {
  wire::ServerWord message;
  message.server = notice.m_server;
  message.born = notice.m_started_ms;
  message.back_off_ms = ToMillis(notice.m_back_off);
  message.leaving = notice.m_leaving;
  if (notice.m_limit_per_s)
    message.__set_limit_per_s(*notice.m_limit_per_s);
  if (notice.m_max_rejections)
    message.__set_max_rejections(*notice.m_max_rejections);
  return message;
}

ServerNotice FromWire(const wire::ServerWord& message) {
  ServerNotice notice;
  notice.m_server = message.server;
  notice.m_started_ms = message.born;
  notice.m_back_off = FromMillis(message.back_off_ms);
  notice.m_leaving = message.leaving;
  if (message.__isset.limit_per_s)
    notice.m_limit_per_s = message.limit_per_s;
  if (message.__isset.max_rejections)
    notice.m_max_rejections = message.max_rejections;
  return notice;
}

wire::StreamBegun ToWire(const StreamOrigin& origin) {
  wire::StreamBegun message;
  message.stream = static_cast<std::int64_t>(origin.m_stream);
  message.software = static_cast<std::int64_t>(origin.m_software);
  return message;
}

StreamOrigin FromWire(const wire::StreamBegun& message) {
  return {static_cast<StreamKey>(message.stream), static_cast<SoftwareId>(message.software)};
}

}  // namespace

wire::PlaceBatch ToWire(const SlotBatch& batch,
                        const std::string& incarnation,
                        const std::string& data_centre) {
  wire::PlaceBatch message;
  message.incarnation = incarnation;
  message.data_centre = data_centre;
  message.epoch = batch.m_epoch;
  message.resync = batch.m_resync;
  message.instances = batch.m_instances;
  for (const HeldSlot& held : batch.m_held)
    message.held.push_back(ToWire(held));
  for (const LimitReport& limit_report : batch.m_limits)
    message.limits.push_back(ToWire(limit_report));
  for (const RetryReport& report : batch.m_retries)
    message.retries.push_back(ToWire(report));
  for (const ServerNotice& notice : batch.m_notices)
    message.words.push_back(ToWire(notice));
  for (const StreamOrigin& origin : batch.m_begun_streams)
    message.begun.push_back(ToWire(origin));
  for (const ServerResponded& responded : batch.m_responded) {
    wire::ServerResponded& one = message.responded.emplace_back();
    one.server = responded.m_server;
    one.expected = responded.m_expected;
  }
  for (const SlotRequest& slot_request : batch.m_slot_requests)
    message.asks.push_back(ToWire(slot_request));
  message.withdrawn = batch.m_cancelled_requests;
  for (const SlotReport& report : batch.m_reports)
    message.reports.push_back(ToWire(report));
  return message;
}

SlotBatch FromWire(const wire::PlaceBatch& message) {
  SlotBatch batch;
  batch.m_epoch = message.epoch;
  batch.m_resync = message.resync;
  batch.m_instances = message.instances;
  for (const wire::PlaceHeld& held : message.held)
    batch.m_held.push_back(FromWire(held));
  for (const wire::LimitUse& limit_report : message.limits)
    batch.m_limits.push_back(FromWire(limit_report));
  for (const wire::RetryUse& report : message.retries)
    batch.m_retries.push_back(FromWire(report));
  for (const wire::ServerWord& notice : message.words)
    batch.m_notices.push_back(FromWire(notice));
  for (const wire::StreamBegun& origin : message.begun)
    batch.m_begun_streams.push_back(FromWire(origin));
  for (const wire::PlaceAsk& slot_request : message.asks)
    batch.m_slot_requests.push_back(FromWire(slot_request, message.data_centre));
  batch.m_cancelled_requests = message.withdrawn;
  for (const wire::PlaceReport& report : message.reports)
    batch.m_reports.push_back(FromWire(report));
  return batch;
}

wire::PlaceAnswer ToWire(const SlotResponse& answer) {
  wire::PlaceAnswer message;
  message.ref = answer.m_ref;
  message.verdict = static_cast<wire::PlaceVerdict::type>(answer.m_verdict);
  message.server = answer.m_server;
  message.first_ms = ToMillis(answer.m_time_to_first_event);
  message.left = answer.m_limit_left;
  message.come_back_ms = ToMillis(answer.m_estimated_wait);
  message.born = answer.m_started_ms;
  message.address = answer.m_address;
  message.port = answer.m_port;
  message.software = static_cast<std::int64_t>(answer.m_software);
  if (answer.m_retries_left)
    message.__set_retries_left(*answer.m_retries_left);
  return message;
}

SlotResponse FromWire(const wire::PlaceAnswer& message) {
  SlotResponse answer;
  answer.m_ref = message.ref;
  answer.m_verdict = static_cast<SlotVerdict>(message.verdict);
  answer.m_server = message.server;
  answer.m_time_to_first_event = FromMillis(message.first_ms);
  answer.m_limit_left = message.left;
  answer.m_estimated_wait = FromMillis(message.come_back_ms);
  answer.m_started_ms = message.born;
  answer.m_address = message.address;
  answer.m_port = static_cast<std::uint16_t>(message.port);
  answer.m_software = static_cast<SoftwareId>(message.software);
  if (message.__isset.retries_left)
    answer.m_retries_left = message.retries_left;
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
