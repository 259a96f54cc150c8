// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Whether a failure that an instance reports says something of the server or of the instance.
#include "slot_internal.h"

namespace poppyway {
namespace {

// A server that has responded to another instance so recently is taken as within reach.
constexpr Duration kRecentResponse{1'000'000};

}  // namespace

bool ServerResponded(const SlotReport& report) noexcept {
  const bool declined = report.m_health_signal == HealthSignal::kFailure && !report.m_may_have_run;
  return report.m_time_to_first_event > Duration(0) || report.m_connect > Duration(0) ||
         report.m_failed || report.m_health_signal == HealthSignal::kSuccess || declined;
}

bool SpeaksOfInstance(SlotBroker& broker,
                      const SlotPool& pool,
                      std::size_t i,
                      const std::string& instance,
                      const HeldSlot& held,
                      const SlotReport& report,
                      Instant now) {
  InstanceSlots& reporter = broker.m_instance_slots[instance];
  if (ServerResponded(report)) {
    reporter.m_last_response = now;
    reporter.m_failing_server.clear();
    return false;
  }
  const bool failure = report.m_health_signal && report.m_health_signal != HealthSignal::kSuccess;
  if (!failure || reporter.m_last_response >= held.m_taken)
    return false;
  const bool at_several =
      !reporter.m_failing_server.empty() && reporter.m_failing_server != held.m_server;
  if (reporter.m_failing_server.empty())
    reporter.m_failing_server = held.m_server;
  const Instant to_others = LastResponseToOthers(pool.m_responses[i], instance);
  const bool responds_to_others = to_others != Instant{} && now - to_others < kRecentResponse;
  return at_several || responds_to_others;
}

}  // namespace poppyway
