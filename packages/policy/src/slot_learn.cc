// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the slot broker learns from reports.
#include "slot_internal.h"

namespace poppyway {

void LearnHealth(SlotBroker& broker,
                 SlotPool& pool,
                 std::size_t i,
                 const HealthReport& report,
                 Instant now) {
  ServerHealth& health = pool.m_health[i];
  const bool was_ejected = IsEjected(health, now);
  health = Observe(health, report.m_health_signal, now);
  if (!was_ejected && IsEjected(health, now))
    broker.m_ejected.push_back({pool.m_servers[i].m_id, report.m_instance, health,
                                broker.m_instance_slots[report.m_instance].m_last_response,
                                LastResponseToOthers(pool.m_responses[i], report.m_instance)});
}

SlotReport LearnRoundTrip(SlotBroker& broker,
                          const HeldSlot& held,
                          const std::string& region,
                          const SlotReport& report) {
  ObserveConnect(broker.m_round_trip_table, held.m_from, region, report.m_connect);
  const Duration trip = RoundTrip(broker.m_round_trip_table, held.m_from, region);
  SlotReport at_server = report;
  if (report.m_time_to_first_event > Duration(0))
    at_server.m_time_to_first_event = TimeAtServer(report.m_time_to_first_event, trip);
  if (report.m_service > Duration(0))
    at_server.m_service = TimeAtServer(report.m_service, trip);
  return at_server;
}

ServerPerformance LearnPerformance(const ServerPerformance& before, const SlotReport& report) {
  ServerPerformance performance = before;
  if (report.m_time_to_first_event > Duration(0))
    performance =
        ObserveFirstEvent(performance, report.m_tokens_read, report.m_time_to_first_event);
  if (report.m_service > Duration(0))
    performance = ObserveService(performance, report.m_service);
  if (report.m_events > 1)
    performance =
        ObserveStream(performance, report.m_events - 1, report.m_span, report.m_longest_pause);
  return performance;
}

}  // namespace poppyway
