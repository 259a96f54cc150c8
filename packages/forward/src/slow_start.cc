// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Slow start of cold servers at an instance, which may have to place requests without a broker.
#include "steps.h"

namespace poppyway::impl {

SlowStartLimit SlowStartLimitOf(const ForwarderState& state, const std::string& pool) {
  const Pool* declared = state.m_table ? FindPool(*state.m_table, pool) : nullptr;
  if (declared == nullptr || declared->m_slow_start_limit.m_per_s <= 0)
    return {};
  return WithTolerance(declared->m_slow_start_limit, state.m_settings.m_slow_start_tolerance);
}

void UpdateSlowStart(ForwarderState& state, Backend& backend, bool fresh, Instant now) {
  const wire::ServerRecord& record = backend.m_record;
  SlowStartUpdate update;
  update.m_left = std::chrono::milliseconds(record.cold_for_ms);
  update.m_started_ms = record.born;
  update.m_evacuated = IsEvacuated(state, backend);
  bool& declared_cold = state.m_pools[record.pool].m_cold_declared;
  declared_cold = declared_cold || record.cold_for_ms > 0;
  const Duration presumed = PresumedTime(SlowStartLimitOf(state, record.pool), declared_cold);
  poppyway::UpdateSlowStart(backend.m_slow_start, update, fresh, presumed, now);
}

void ObserveRestartSign(ForwarderState& state, Backend& backend, HealthSignal signal, Instant now) {
  const std::string& pool = backend.m_record.pool;
  const SlowStartLimit limit = SlowStartLimitOf(state, pool);
  if (limit.m_per_s <= 0)
    return;
  const bool was_cold = IsCold(backend.m_slow_start, now);
  const Duration presumed = PresumedTime(limit, state.m_pools[pool].m_cold_declared);
  poppyway::ObserveRestartSign(backend.m_slow_start, signal, backend.m_health, presumed, now);
  if (!was_cold && IsCold(backend.m_slow_start, now))
    POPPYWAY_LOG(info, "server_cold")
        .Field("server", backend.m_record.id)
        .Field("pool", pool)
        .Field("silent", backend.m_slow_start.m_silent);
}

void BeginColdSendsWithoutBroker(ForwarderState& state, const std::string& pool, Instant now) {
  const SlowStartLimit limit = SlowStartLimitOf(state, pool);
  if (limit.m_per_s <= 0)
    return;
  for (const std::string& id : state.m_pools[pool].m_servers) {
    SlowStartState& slow_start = state.m_backends.at(id).m_slow_start;
    if (!IsCold(slow_start, now))
      continue;
    const double random = static_cast<double>(state.m_random() >> 11) * 0x1.0p-53;
    BeginSendsWithoutBroker(slow_start, limit, state.m_instances.m_recent_max, random, now);
  }
}

void RecordColdSendWithoutBroker(ForwarderState& state, Backend& backend, Instant now) {
  const SlowStartLimit limit = SlowStartLimitOf(state, backend.m_record.pool);
  if (limit.m_per_s > 0 && IsCold(backend.m_slow_start, now))
    RecordSendWithoutBroker(backend.m_slow_start, limit, state.m_instances.m_recent_max, now);
}

}  // namespace poppyway::impl
