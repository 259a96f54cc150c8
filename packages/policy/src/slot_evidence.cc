// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Whether a failure that an instance reports says something of the server or of the instance.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {
namespace {

// A server that has responded to another instance so recently is taken as within reach.
constexpr Duration kRecentResponse{1'000'000};

/// Returns true if any server has responded to another instance lately.
bool OthersGetResponses(const SlotBroker& broker, const std::string& instance, Instant now) {
  return std::any_of(
      broker.m_instance_slots.begin(), broker.m_instance_slots.end(), [&](const auto& entry) {
        const Instant last = entry.second.m_last_response;
        return entry.first != instance && last != Instant{} && now - last < kRecentResponse;
      });
}

/// Returns when a server last responded to another instance; zero: never, or it is unknown.
Instant LastResponseToOthers(const SlotBroker& broker,
                             const std::string& server,
                             const std::string& instance) {
  const auto found = broker.m_server_index.find(server);
  if (found == broker.m_server_index.end())
    return {};
  const auto& [name, i] = found->second;
  return LastResponseToOthers(broker.m_pools.at(name).m_responses[i], instance);
}

/// Counts a failure that was put off: the instance that reported it has shown since that it reaches
/// servers.
void CountProvenFailure(SlotBroker& broker,
                        const std::string& instance,
                        const std::string& server,
                        Instant now) {
  const auto found = broker.m_server_index.find(server);
  if (found == broker.m_server_index.end())
    return;
  const Instant to_others = LastResponseToOthers(broker, server, instance);
  if (to_others != Instant{} && now - to_others < kRecentResponse)
    return;
  const auto& [name, i] = found->second;
  LearnHealth(broker, broker.m_pools.at(name), i, {instance, HealthSignal::kUnreachable}, now);
}

}  // namespace

bool IsRejection(const SlotReport& report) noexcept {
  return report.m_health_signal == HealthSignal::kFailure && !report.m_may_have_run;
}

bool ServerResponded(const SlotReport& report) noexcept {
  return report.m_time_to_first_event > Duration(0) || report.m_connect > Duration(0) ||
         report.m_failed || report.m_health_signal == HealthSignal::kSuccess || IsRejection(report);
}

FailureSubject JudgeFailure(SlotBroker& broker,
                            const SlotPool& pool,
                            std::size_t i,
                            const std::string& instance,
                            const HeldSlot& held,
                            const SlotReport& report,
                            Instant now) {
  InstanceSlots& reporter = broker.m_instance_slots[instance];
  if (ServerResponded(report)) {
    reporter.m_last_response = now;
    const std::string failing = std::move(reporter.m_failing_server);
    reporter.m_failing_server.clear();
    if (!failing.empty() && failing != pool.m_servers[i].m_id)
      CountProvenFailure(broker, instance, failing, now);
    return FailureSubject::kServer;
  }
  const bool failure = report.m_health_signal && report.m_health_signal != HealthSignal::kSuccess;
  if (!failure || reporter.m_last_response > held.m_taken)
    return FailureSubject::kServer;
  if (!OthersGetResponses(broker, instance, now))
    return FailureSubject::kServer;
  const bool responded = LastResponseToOthers(pool.m_responses[i], instance) > held.m_taken;
  const bool other_responded =
      LastResponseToOthers(broker, reporter.m_failing_server, instance) > reporter.m_last_response;
  if (reporter.m_failing_server.empty())
    reporter.m_failing_server = held.m_server;
  return responded || other_responded ? FailureSubject::kInstance : FailureSubject::kUnknown;
}

}  // namespace poppyway
