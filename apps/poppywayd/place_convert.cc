// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "place_convert.h"

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

wire::PlaceSign::type ToWire(const std::optional<ServerSign>& sign) {
  if (!sign)
    return wire::PlaceSign::NONE;
  switch (*sign) {
    case ServerSign::kGood:
      return wire::PlaceSign::GOOD;
    case ServerSign::kBad:
      return wire::PlaceSign::BAD;
    case ServerSign::kUnreachable:
      return wire::PlaceSign::UNREACHABLE;
  }
  return wire::PlaceSign::NONE;
}

std::optional<ServerSign> FromWire(wire::PlaceSign::type sign) {
  switch (sign) {
    case wire::PlaceSign::GOOD:
      return ServerSign::kGood;
    case wire::PlaceSign::BAD:
      return ServerSign::kBad;
    case wire::PlaceSign::UNREACHABLE:
      return ServerSign::kUnreachable;
    default:
      return std::nullopt;
  }
}

wire::PlaceAsk ToWire(const PlaceAsk& ask) {
  wire::PlaceAsk sent;
  sent.ref = ask.m_ref;
  sent.pool = ask.m_pool;
  sent.workspace = ask.m_workspace;
  sent.route = static_cast<std::int64_t>(ask.m_route);
  sent.tier = ask.m_tier;
  sent.rank = ask.m_shape.m_tier;
  sent.prompt_tokens = ask.m_shape.m_prompt_tokens;
  sent.expected_tokens = ask.m_expected_tokens;
  sent.aim_ms = ToMillis(ask.m_shape.m_aim);
  sent.waited_ms = ToMillis(ask.m_shape.m_waited);
  sent.left_ms = ToMillis(ask.m_shape.m_left);
  sent.pause_aim_ms = ToMillis(ask.m_shape.m_pause_aim);
  sent.wait_ms = ToMillis(ask.m_wait);
  for (const PrefixPart& part : ask.m_parts) {
    wire::PromptPart& sent_part = sent.parts.emplace_back();
    sent_part.id = static_cast<std::int64_t>(part.m_id);
    sent_part.tokens = static_cast<std::int32_t>(part.m_tokens);
  }
  sent.tried = ask.m_tried;
  sent.cost = ask.m_quota.m_cost;
  sent.reserve = ask.m_quota.m_reserve;
  sent.limit_rate = ask.m_limit.m_rate_per_s;
  sent.limit_burst = ask.m_limit.m_burst;
  sent.bound = ask.m_homes.m_bound;
  sent.regions = ask.m_homes.m_regions;
  return sent;
}

PlaceAsk FromWire(const wire::PlaceAsk& sent, const std::string& data_centre) {
  PlaceAsk ask;
  ask.m_ref = sent.ref;
  ask.m_pool = sent.pool;
  ask.m_workspace = sent.workspace;
  ask.m_data_centre = data_centre;
  ask.m_route = static_cast<RouteKey>(sent.route);
  ask.m_tier = sent.tier;
  ask.m_shape.m_tier = sent.rank;
  ask.m_shape.m_prompt_tokens = sent.prompt_tokens;
  ask.m_expected_tokens = sent.expected_tokens;
  ask.m_shape.m_aim = FromMillis(sent.aim_ms);
  ask.m_shape.m_waited = FromMillis(sent.waited_ms);
  ask.m_shape.m_left = FromMillis(sent.left_ms);
  ask.m_shape.m_pause_aim = FromMillis(sent.pause_aim_ms);
  ask.m_wait = FromMillis(sent.wait_ms);
  for (const wire::PromptPart& part : sent.parts)
    ask.m_parts.push_back({static_cast<std::uint64_t>(part.id), part.tokens});
  ask.m_tried = sent.tried;
  ask.m_quota = {sent.cost, sent.reserve};
  ask.m_limit = {sent.limit_rate, sent.limit_burst};
  ask.m_homes = {sent.bound, sent.regions};
  return ask;
}

wire::PlaceHeld ToWire(const HeldPlace& held) {
  wire::PlaceHeld sent;
  sent.ref = held.m_ref;
  sent.server = held.m_server;
  sent.reading_tokens = held.m_reading_tokens;
  sent.expected_tokens = held.m_expected_tokens;
  sent.born = held.m_born;
  return sent;
}

HeldPlace FromWire(const wire::PlaceHeld& sent) {
  HeldPlace held;
  held.m_ref = sent.ref;
  held.m_server = sent.server;
  held.m_reading_tokens = sent.reading_tokens;
  held.m_expected_tokens = sent.expected_tokens;
  held.m_born = sent.born;
  return held;
}

wire::PlaceReport ToWire(const PlaceReport& report) {
  wire::PlaceReport sent;
  sent.ref = report.m_ref;
  sent.tokens_read = report.m_tokens_read;
  sent.first_ms = ToMillis(report.m_first);
  sent.ended = report.m_ended;
  sent.ran = report.m_ran;
  sent.sign = ToWire(report.m_sign);
  sent.failed = report.m_failed;
  sent.service_ms = ToMillis(report.m_service);
  sent.events = report.m_events;
  sent.span_ms = ToMillis(report.m_span);
  sent.pause_ms = ToMillis(report.m_pause);
  sent.connect_us = static_cast<std::int32_t>(
      std::min<std::int64_t>(report.m_connect.count(), std::numeric_limits<std::int32_t>::max()));
  return sent;
}

PlaceReport FromWire(const wire::PlaceReport& sent) {
  PlaceReport report;
  report.m_ref = sent.ref;
  report.m_tokens_read = sent.tokens_read;
  report.m_first = FromMillis(sent.first_ms);
  report.m_ended = sent.ended;
  report.m_ran = sent.ran;
  report.m_sign = FromWire(sent.sign);
  report.m_failed = sent.failed;
  report.m_service = FromMillis(sent.service_ms);
  report.m_events = sent.events;
  report.m_span = FromMillis(sent.span_ms);
  report.m_pause = FromMillis(sent.pause_ms);
  report.m_connect = Duration(sent.connect_us);
  return report;
}

wire::LimitUse ToWire(const LimitReport& word) {
  wire::LimitUse sent;
  sent.workspace = word.m_workspace;
  sent.left = word.m_left;
  sent.age_ms = ToMillis(word.m_age);
  sent.spent_alone = word.m_spent_alone;
  sent.rate = word.m_limit.m_rate_per_s;
  sent.burst = word.m_limit.m_burst;
  sent.epoch = word.m_epoch;
  return sent;
}

LimitReport FromWire(const wire::LimitUse& sent) {
  LimitReport word;
  word.m_workspace = sent.workspace;
  word.m_limit = {sent.rate, sent.burst};
  word.m_left = sent.left;
  word.m_age = FromMillis(sent.age_ms);
  word.m_spent_alone = sent.spent_alone;
  word.m_epoch = sent.epoch;
  return word;
}

wire::ServerWord ToWire(const ServerWord& word) {
  wire::ServerWord sent;
  sent.server = word.m_server;
  sent.born = word.m_born;
  sent.back_off_ms = ToMillis(word.m_back_off);
  sent.leaving = word.m_leaving;
  return sent;
}

ServerWord FromWire(const wire::ServerWord& sent) {
  ServerWord word;
  word.m_server = sent.server;
  word.m_born = sent.born;
  word.m_back_off = FromMillis(sent.back_off_ms);
  word.m_leaving = sent.leaving;
  return word;
}

}  // namespace

wire::PlaceBatch ToWire(const PlaceBatch& batch,
                        const std::string& incarnation,
                        const std::string& data_centre) {
  wire::PlaceBatch sent;
  sent.incarnation = incarnation;
  sent.data_centre = data_centre;
  sent.epoch = batch.m_epoch;
  sent.resync = batch.m_resync;
  sent.instances = batch.m_instances;
  for (const HeldPlace& held : batch.m_held)
    sent.held.push_back(ToWire(held));
  for (const LimitReport& word : batch.m_limits)
    sent.limits.push_back(ToWire(word));
  for (const ServerWord& word : batch.m_words)
    sent.words.push_back(ToWire(word));
  for (const PlaceAsk& ask : batch.m_asks)
    sent.asks.push_back(ToWire(ask));
  sent.withdrawn = batch.m_withdrawn;
  for (const PlaceReport& report : batch.m_reports)
    sent.reports.push_back(ToWire(report));
  return sent;
}

PlaceBatch FromWire(const wire::PlaceBatch& sent) {
  PlaceBatch batch;
  batch.m_epoch = sent.epoch;
  batch.m_resync = sent.resync;
  batch.m_instances = sent.instances;
  for (const wire::PlaceHeld& held : sent.held)
    batch.m_held.push_back(FromWire(held));
  for (const wire::LimitUse& word : sent.limits)
    batch.m_limits.push_back(FromWire(word));
  for (const wire::ServerWord& word : sent.words)
    batch.m_words.push_back(FromWire(word));
  for (const wire::PlaceAsk& ask : sent.asks)
    batch.m_asks.push_back(FromWire(ask, sent.data_centre));
  batch.m_withdrawn = sent.withdrawn;
  for (const wire::PlaceReport& report : sent.reports)
    batch.m_reports.push_back(FromWire(report));
  return batch;
}

wire::PlaceAnswer ToWire(const PlaceAnswer& answer) {
  wire::PlaceAnswer sent;
  sent.ref = answer.m_ref;
  sent.verdict = static_cast<wire::PlaceVerdict::type>(answer.m_verdict);
  sent.server = answer.m_server;
  sent.first_ms = ToMillis(answer.m_first);
  sent.left = answer.m_left;
  sent.come_back_ms = ToMillis(answer.m_come_back);
  sent.born = answer.m_born;
  sent.address = answer.m_address;
  sent.port = answer.m_port;
  return sent;
}

PlaceAnswer FromWire(const wire::PlaceAnswer& sent) {
  PlaceAnswer answer;
  answer.m_ref = sent.ref;
  answer.m_verdict = static_cast<PlaceVerdict>(sent.verdict);
  answer.m_server = sent.server;
  answer.m_first = FromMillis(sent.first_ms);
  answer.m_left = sent.left;
  answer.m_come_back = FromMillis(sent.come_back_ms);
  answer.m_born = sent.born;
  answer.m_address = sent.address;
  answer.m_port = static_cast<std::uint16_t>(sent.port);
  return answer;
}

PlaceServer ToPlaceServer(const wire::ServerRecord& record) {
  PlaceServer server;
  server.m_id = record.id;
  server.m_pool = record.pool;
  server.m_data_centre = record.data_centre;
  server.m_slots = record.slots;
  server.m_leaving = record.stage != wire::ServerStage::READY;
  server.m_version = record.version;
  server.m_born = record.born;
  server.m_cold_left = FromMillis(record.cold_for_ms);
  server.m_address = record.address;
  server.m_port = static_cast<std::uint16_t>(record.port);
  return server;
}

}  // namespace poppyway
