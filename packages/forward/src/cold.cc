// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Cold servers, as an instance knows of them that may have to decide alone.
#include "steps.h"

namespace poppyway::impl {

ColdLimit ColdLimitOf(const ForwarderState& state, const std::string& pool) {
  const Pool* declared = state.m_table ? FindPool(*state.m_table, pool) : nullptr;
  if (declared == nullptr || declared->m_cold.m_per_s <= 0)
    return {};
  return WithMost(declared->m_cold, state.m_settings.m_cold_tolerance);
}

void TakeColdNews(ForwarderState& state, Backend& backend, bool fresh, Instant now) {
  const wire::ServerRecord& record = backend.m_record;
  ColdNews news;
  news.m_left = std::chrono::milliseconds(record.cold_for_ms);
  news.m_born = record.born;
  news.m_evacuated = IsEvacuated(state, backend);
  bool& told = state.m_pools[record.pool].m_cold_told;
  told = told || record.cold_for_ms > 0;
  const Duration presumed = PresumedTime(ColdLimitOf(state, record.pool), told);
  poppyway::TakeColdNews(backend.m_ramp, news, fresh, presumed, now);
}

void NoteColdSign(ForwarderState& state, Backend& backend, ServerSign sign, Instant now) {
  const std::string& pool = backend.m_record.pool;
  const ColdLimit limit = ColdLimitOf(state, pool);
  if (limit.m_per_s <= 0)
    return;
  const bool was_cold = IsCold(backend.m_ramp, now);
  const Duration presumed = PresumedTime(limit, state.m_pools[pool].m_cold_told);
  poppyway::NoteColdSign(backend.m_ramp, sign, backend.m_health, presumed, now);
  if (!was_cold && IsCold(backend.m_ramp, now))
    POPPYWAY_LOG(info, "server_cold")
        .Field("server", backend.m_record.id)
        .Field("pool", pool)
        .Field("silent", backend.m_ramp.m_silent);
}

void BeginColdAlone(ForwarderState& state, const std::string& pool, Instant now) {
  const ColdLimit limit = ColdLimitOf(state, pool);
  if (limit.m_per_s <= 0)
    return;
  for (const std::string& id : state.m_pools[pool].m_servers) {
    ColdRamp& ramp = state.m_backends.at(id).m_ramp;
    if (!IsCold(ramp, now))
      continue;
    const double random = static_cast<double>(state.m_random() >> 11) * 0x1.0p-53;
    BeginAlone(ramp, limit, state.m_instances.m_most, random, now);
  }
}

void NoteColdAlone(ForwarderState& state, Backend& backend, Instant now) {
  const ColdLimit limit = ColdLimitOf(state, backend.m_record.pool);
  if (limit.m_per_s > 0 && IsCold(backend.m_ramp, now))
    NoteSentAlone(backend.m_ramp, limit, state.m_instances.m_most, now);
}

}  // namespace poppyway::impl
