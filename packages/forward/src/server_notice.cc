// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Drain and back-off notices that backend servers add to their responses.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

void LogUnreadable(ForwarderState& state, const Forwarding& forwarding, const std::string& field) {
  state.m_metrics.Add("poppyway_forward_unreadable_fields_total", "field=\"" + field + "\"");
  POPPYWAY_LOG(warning, "field_unreadable")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", forwarding.m_server)
      .Field("field", field);
}

ServerNotice MakeNotice(const Backend& backend, Instant now) {
  ServerNotice notice;
  notice.m_server = backend.m_record.id;
  notice.m_started_ms = backend.m_record.born;
  notice.m_back_off = std::max(Duration(0), backend.m_back_off_until - now);
  notice.m_leaving = backend.m_announced_leaving;
  notice.m_limit_per_s = backend.m_limit.m_per_s;
  notice.m_max_rejections = backend.m_brittleness.m_max_rejections;
  return notice;
}

/// Tells the broker that a server is leaving or backs off; does nothing without a broker. Otherwise
/// the broker would assign more slots there, each of which costs a request a round trip to the
/// broker. A slot that is already assigned goes back to the broker when `CheckEligibilityOnSend`
/// finds the server ineligible before the first byte is sent.
void NotifyBroker(ForwarderState& state, const Backend& backend, Instant now) {
  if (!state.m_broker.m_active)
    return;
  state.m_broker.m_outbox.m_notices.push_back(MakeNotice(backend, now));
  FlushToBroker(state);
}

void HandleBackOff(ForwarderState& state,
                   Backend& backend,
                   const Forwarding& forwarding,
                   Duration back_off,
                   Instant now) {
  const Duration before = std::max(Duration(0), backend.m_back_off_until - now);
  state.m_metrics.Add("poppyway_forward_back_offs_total");
  POPPYWAY_LOG(info, "server_backs_off")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", backend.m_record.id)
      .Field("for_ms", back_off.count() / 1000)
      .Field("before_ms", before.count() / 1000)
      .Field("in_flight", backend.m_in_flight);
  if (back_off <= before)
    return;
  backend.m_back_off_until = now + back_off;
  state.m_back_off_until = std::max(state.m_back_off_until, backend.m_back_off_until);
  NotifyBroker(state, backend, now);
}

void HandleLeaving(ForwarderState& state,
                   Backend& backend,
                   const Forwarding& forwarding,
                   Instant now) {
  if (backend.m_announced_leaving)
    return;
  state.m_metrics.Add("poppyway_forward_servers_leaving_total");
  POPPYWAY_LOG(info, "server_leaves")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", backend.m_record.id)
      .Field("known", backend.m_leaving)
      .Field("in_flight", backend.m_in_flight);
  backend.m_announced_leaving = true;
  backend.m_leaving = true;
  IndexPools(state);
  UpdateWatchedServers(state);
  NotifyBroker(state, backend, now);
}

/// Records whether the server is brittle. Like a limit, it isn't ended by another request's
/// response.
void HandleBrittleness(ForwarderState& state,
                       Backend& backend,
                       Forwarding& forwarding,
                       const ServerResponse& answer,
                       Instant now) {
  const bool crossed = answer.m_id && *answer.m_id != forwarding.m_request.m_id;
  if (crossed && !answer.m_max_rejections)
    return;
  forwarding.m_report.m_max_rejections = answer.m_max_rejections;
  if (!ApplyStatedBrittleness(backend.m_brittleness, answer.m_max_rejections,
                              forwarding.m_dispatched, now))
    return;
  state.m_metrics.Add("poppyway_forward_brittle_changes_total");
  POPPYWAY_LOG(info, "server_brittle")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", backend.m_record.id)
      .Field("max_rejections", answer.m_max_rejections.value_or(-1))
      .Field("in_flight", backend.m_in_flight);
}

/// Records the limit of a response head. A response to another request may be older than the last
/// change, so it doesn't end a limit. The broker hears of it with the next report on the slot.
void HandleLimit(ForwarderState& state,
                 Backend& backend,
                 Forwarding& forwarding,
                 const ServerResponse& answer,
                 Instant now) {
  const bool crossed = answer.m_id && *answer.m_id != forwarding.m_request.m_id;
  if (crossed && !answer.m_limit_per_s)
    return;
  forwarding.m_report.m_head = true;
  forwarding.m_report.m_limit_per_s = answer.m_limit_per_s;
  const std::optional<double> before = backend.m_limit.m_per_s;
  if (!ApplyStatedLimit(backend.m_limit, answer.m_limit_per_s, forwarding.m_dispatched, now))
    return;
  state.m_metrics.Add("poppyway_forward_server_limits_total");
  POPPYWAY_LOG(info, "server_limit")
      .Field("request", forwarding.m_request.m_id)
      .Field("server", backend.m_record.id)
      .Field("per_s", answer.m_limit_per_s.value_or(-1))
      .Field("before_per_s", before.value_or(-1))
      .Field("in_flight", backend.m_in_flight);
}

}  // namespace

void HandleServerNotice(ForwarderState& state,
                        Forwarding& forwarding,
                        const ServerResponse& answer) {
  if (!answer.m_unreadable.empty())
    LogUnreadable(state, forwarding, answer.m_unreadable);
  // If another server answered at the address, the notice is about that server.
  Backend* backend = answer.m_other_server ? FindBackend(state, *answer.m_other_server)
                                           : FindCalledBackend(state, forwarding);
  if (backend == nullptr)
    return;
  const Instant now = ReadClock();
  if (!answer.m_other_server) {
    HandleLimit(state, *backend, forwarding, answer, now);
    HandleBrittleness(state, *backend, forwarding, answer, now);
  }
  if (answer.m_leaving)
    HandleLeaving(state, *backend, forwarding, now);
  if (answer.m_back_off)
    HandleBackOff(state, *backend, forwarding, *answer.m_back_off, now);
}

std::vector<ServerNotice> CurrentNotices(const ForwarderState& state, Instant now) {
  std::vector<ServerNotice> notices;
  for (const auto& [id, backend] : state.m_backends) {
    const bool holds = backend.m_announced_leaving || now < backend.m_back_off_until ||
                       backend.m_limit.m_per_s.has_value() ||
                       backend.m_brittleness.m_max_rejections.has_value();
    if (holds)
      notices.push_back(MakeNotice(backend, now));
  }
  return notices;
}

std::optional<Duration> RemainingBackOff(const ForwarderState& state,
                                         const Forwarding& forwarding,
                                         Instant now) {
  const auto pool = state.m_pools.find(forwarding.m_pool->m_name);
  if (now >= state.m_back_off_until || pool == state.m_pools.end())
    return std::nullopt;
  const std::vector<std::string>& ids = pool->second.m_servers;
  const auto reason_of = [&](std::size_t i) {
    return CheckEligibilityOnChoice(state, forwarding, state.m_backends.at(ids[i]), now);
  };
  const auto left_of = [&](std::size_t i) {
    return state.m_backends.at(ids[i]).m_back_off_until - now;
  };
  return ShortestBackOff(ids.size(), reason_of, left_of);
}

}  // namespace poppyway::impl
