// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "broker_convert.h"

namespace poppyway {
namespace {

std::int64_t Millis(Duration duration) {
  return duration.count() / 1000;
}

wire::HeldCredit ToWire(const Credit& credit) {
  wire::HeldCredit held;
  held.credit = credit.m_id;
  held.ref = credit.m_ref;
  held.engine = credit.m_engine;
  held.prompt_tokens = credit.m_prompt_tokens;
  return held;
}

Credit FromWire(const wire::HeldCredit& held) {
  return {held.credit, held.ref, held.engine, held.prompt_tokens};
}

wire::DemandItem ToWire(const WaitingRequest& request, Instant now) {
  wire::DemandItem item;
  item.ref = request.m_ref;
  item.tier = request.m_tier;
  item.prompt_tokens = request.m_prompt_tokens;
  item.prefixes.assign(request.m_prefixes.begin(), request.m_prefixes.end());
  item.age_ms = static_cast<std::int32_t>(Millis(now - request.m_arrived));
  item.deadline_ms = static_cast<std::int32_t>(Millis(request.m_deadline - now));
  item.workspace = request.m_workspace;
  item.event = request.m_event;
  item.model = request.m_model;
  item.avoid = request.m_tried;
  return item;
}

WaitingRequest FromWire(const wire::DemandItem& item, Instant now) {
  WaitingRequest request;
  request.m_ref = item.ref;
  request.m_tier = std::clamp(item.tier, 0, kTiers - 1);
  request.m_prompt_tokens = item.prompt_tokens;
  request.m_prefixes.assign(item.prefixes.begin(), item.prefixes.end());
  request.m_arrived = now - std::chrono::milliseconds(item.age_ms);
  request.m_deadline = now + std::chrono::milliseconds(item.deadline_ms);
  request.m_workspace = item.workspace;
  request.m_event = item.event;
  request.m_model = item.model;
  request.m_tried = item.avoid;
  return request;
}

std::vector<std::int32_t> ToWire(const TierCounts& counts) {
  return {counts.begin(), counts.end()};
}

TierCounts FromWire(const std::vector<std::int32_t>& counts) {
  TierCounts result{};
  for (std::size_t t = 0; t < result.size() && t < counts.size(); ++t)
    result[t] = counts[t];
  return result;
}

}  // namespace

wire::Demand ToWire(const std::string& pool,
                    const GatewayDemand& demand,
                    std::int64_t epoch,
                    std::int64_t sequence,
                    Instant now) {
  wire::Demand message;
  message.pool = pool;
  message.incarnation = demand.m_gateway;
  message.epoch = epoch;
  message.resync = demand.m_resync;
  for (const Credit& credit : demand.m_held)
    message.held.push_back(ToWire(credit));
  for (const WaitingRequest& item : demand.m_items)
    message.items.push_back(ToWire(item, now));
  message.waiting = ToWire(demand.m_waiting);
  for (const CreditUse& use : demand.m_uses) {
    wire::CreditUse entry;
    entry.credit = use.m_id;
    entry.stage = static_cast<wire::UseStage::type>(use.m_stage);
    entry.elapsed_us = use.m_elapsed.count();
    message.uses.push_back(entry);
  }
  message.floor_ack = demand.m_floor_ack;
  message.sequence = sequence;
  return message;
}

GatewayDemand FromWire(const wire::Demand& message, Instant now) {
  GatewayDemand demand;
  demand.m_gateway = message.incarnation;
  demand.m_resync = message.resync;
  for (const wire::HeldCredit& held : message.held)
    demand.m_held.push_back(FromWire(held));
  for (const wire::DemandItem& item : message.items)
    demand.m_items.push_back(FromWire(item, now));
  demand.m_waiting = FromWire(message.waiting);
  for (const wire::CreditUse& use : message.uses)
    demand.m_uses.push_back(
        {use.credit, static_cast<UseStage>(use.stage), Duration(use.elapsed_us)});
  demand.m_floor_ack = message.floor_ack;
  return demand;
}

wire::Grants ToWire(const std::string& pool,
                    const GrantBatch& batch,
                    std::int64_t epoch,
                    std::int64_t sequence) {
  wire::Grants grants;
  grants.pool = pool;
  grants.epoch = epoch;
  for (const Credit& credit : batch.m_credits)
    grants.credits.push_back(ToWire(credit));
  grants.unreachable = batch.m_infeasible;
  grants.floor = batch.m_floor;
  grants.floor_epoch = batch.m_floor_epoch;
  grants.contended = batch.m_contended;
  grants.drain_per_s = batch.m_drain_per_s;
  grants.gateways = batch.m_gateways;
  grants.backlog = ToWire(batch.m_backlog);
  grants.sequence = sequence;
  grants.not_broker = false;
  return grants;
}

GrantBatch FromWire(const wire::Grants& grants) {
  GrantBatch batch;
  for (const wire::HeldCredit& credit : grants.credits)
    batch.m_credits.push_back(FromWire(credit));
  batch.m_infeasible = grants.unreachable;
  batch.m_floor = grants.floor;
  batch.m_floor_epoch = grants.floor_epoch;
  batch.m_contended = grants.contended;
  batch.m_drain_per_s = grants.drain_per_s;
  batch.m_gateways = grants.gateways;
  batch.m_backlog = FromWire(grants.backlog);
  return batch;
}

wire::Body ErrorBody(ResultCode code, const std::string& message) {
  wire::ErrorReply error;
  error.code = static_cast<std::int32_t>(code);
  error.message = message;
  error.leader_port = 0;
  wire::Body body;
  body.__set_error(error);
  return body;
}

}  // namespace poppyway
