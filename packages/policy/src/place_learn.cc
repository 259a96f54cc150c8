// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the broker of places learns from reports.
#include "place_internal.h"

namespace poppyway {

void LearnHealth(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 const HealthReport& word,
                 Instant now) {
  ServerHealth& health = pool.m_health[i];
  const bool avoided = Avoided(health, now);
  health = Observe(health, word.m_sign, now);
  if (!avoided && Avoided(health, now))
    broker.m_avoided.push_back({pool.m_servers[i].m_id, word.m_holder, health});
}

PlaceReport LearnReach(PlaceBroker& broker,
                       const HeldPlace& held,
                       const std::string& region,
                       const PlaceReport& report) {
  ObserveConnect(broker.m_reach, held.m_from, region, report.m_connect);
  const Duration trip = RoundTrip(broker.m_reach, held.m_from, region);
  PlaceReport at_server = report;
  if (report.m_first > Duration(0))
    at_server.m_first = AtServer(report.m_first, trip);
  if (report.m_service > Duration(0))
    at_server.m_service = AtServer(report.m_service, trip);
  return at_server;
}

ServerPace LearnPace(const ServerPace& before, const PlaceReport& report) {
  ServerPace pace = before;
  if (report.m_first > Duration(0))
    pace = ObserveFirst(pace, report.m_tokens_read, report.m_first);
  if (report.m_service > Duration(0))
    pace = ObserveService(pace, report.m_service);
  if (report.m_events > 1)
    pace = ObserveEvents(pace, report.m_events - 1, report.m_span, report.m_pause);
  return pace;
}

}  // namespace poppyway
