// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "registration_limit.h"

#include "poppyway/platform.h"

namespace poppyway {
namespace {

constexpr Duration kLogInterval{1'000'000};  // Those refused come again with every heartbeat.

}  // namespace

bool RegistrationLimit::Rejects(const HostedState& state, const wire::ServerRecord& record) {
  if (state.m_servers.size() < kMaxUnlistedPoolServers)
    return false;  // The document needn't be read.
  ReadNames(state.m_document);
  if (!ExceedsUnlistedPoolLimit(state, m_named, record))
    return false;
  ++m_refused;
  const Instant now = ReadClock();
  if (now - m_logged < kLogInterval)
    return true;
  m_logged = now;
  POPPYWAY_LOG(warning, "server_not_registered")
      .Field("server", record.id)
      .Field("pool", record.pool)
      .Field("refused", m_refused);
  return true;
}

void RegistrationLimit::ReadNames(const wire::Document& document) {
  if (document.version == m_version)
    return;
  m_version = document.version;
  m_named.clear();
  const Result<RouteTable> table = platform::DecodeDocument(document.body);
  if (!table) {
    POPPYWAY_LOG(error, "configuration_unusable")
        .Field("version", document.version)
        .Field("why", table.error().m_message);
    return;
  }
  for (const auto& pool : table->m_pools)
    m_named.insert(pool.m_name);
}

void RegistrationLimit::AddMetrics(MetricSet& metrics) const {
  metrics.Set("poppyway_servers_not_registered_total", "", static_cast<double>(m_refused));
}

}  // namespace poppyway
