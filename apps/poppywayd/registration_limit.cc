// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "registration_limit.h"

#include "poppyway/platform.h"

namespace poppyway {
namespace {

constexpr Duration kLogInterval{1'000'000};  // Rejected servers retry with every heartbeat.

}  // namespace

bool RegistrationLimit::Rejects(const HostedState& state, const wire::ServerRecord& record) {
  if (state.m_servers.size() < kMaxUnlistedPoolServers)
    return false;  // Below the limit, the document needn't be decoded.
  ReadPoolNames(state.m_document);
  if (!ExceedsUnlistedPoolLimit(state, m_listed_pools, record))
    return false;
  ++m_rejected;
  const Instant now = ReadClock();
  if (now - m_last_log < kLogInterval)
    return true;
  m_last_log = now;
  POPPYWAY_LOG(warning, "server_not_registered")
      .Field("server", record.id)
      .Field("pool", record.pool)
      .Field("refused", m_rejected);
  return true;
}

void RegistrationLimit::ReadPoolNames(const wire::Document& document) {
  if (document.version == m_version)
    return;
  m_version = document.version;
  m_listed_pools.clear();
  const Result<RouteTable> table = platform::DecodeDocument(document.body);
  if (!table) {
    POPPYWAY_LOG(error, "configuration_unusable")
        .Field("version", document.version)
        .Field("why", table.error().m_message);
    return;
  }
  for (const auto& pool : table->m_pools)
    m_listed_pools.insert(pool.m_name);
}

void RegistrationLimit::AddMetrics(MetricSet& metrics) const {
  metrics.Set("poppyway_servers_not_registered_total", "", static_cast<double>(m_rejected));
}

}  // namespace poppyway
