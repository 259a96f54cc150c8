// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What the broker of places learns from reports.
#include <cmath>

#include "place_internal.h"

namespace poppyway {
namespace {

constexpr double kEventGain = 0.02;  // Of the size of events: some fifty answers back.

}  // namespace

void LearnEventSize(PlaceBroker& broker, std::int64_t expected_tokens, std::int64_t events) {
  if (expected_tokens <= 0 || events <= 0)
    return;
  const double sample =
      std::log(static_cast<double>(expected_tokens) / static_cast<double>(events));
  // Estimates are right in the median but off by factors: their logarithms are averaged.
  const double before =
      broker.m_tokens_per_event > 0 ? std::log(broker.m_tokens_per_event) : sample;
  broker.m_tokens_per_event = std::exp(before + kEventGain * (sample - before));
}

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
