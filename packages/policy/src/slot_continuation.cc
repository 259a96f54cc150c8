// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Requests that go on with a stream: only servers of the software version that began it may take
// them.
#include <algorithm>

#include "slot_internal.h"

namespace poppyway {

void SetSoleVersions(SlotBroker& broker, const std::map<std::string, SoftwareId>& sole_versions) {
  for (auto& [name, pool] : broker.m_pools) {
    const auto found = sole_versions.find(name);
    const SoftwareId sole = found == sole_versions.end() ? 0 : found->second;
    // A server that changes its version under its id leaves no record of the former one.
    const bool changed = pool.m_sole_software != 0 && sole != pool.m_sole_software;
    pool.m_had_several_versions = pool.m_had_several_versions || changed;
    pool.m_sole_software = pool.m_had_several_versions ? 0 : sole;
  }
}

void ResolveContinuation(const SlotBroker& broker,
                         const SlotPool& pool,
                         Continuation& continuation) {
  const bool open = continuation.m_continues && continuation.m_software == 0;
  if (!open)
    return;
  continuation.m_software =
      FindOrigin(broker.m_origins, continuation.m_stream).value_or(pool.m_sole_software);
}

void ResolveWaiting(const SlotBroker& broker, SlotPool& pool) {
  for (auto& [order, waiting] : pool.m_waiting)
    ResolveContinuation(broker, pool, waiting.m_request.m_continuation);
}

bool HasServerToContinue(const SlotPool& pool, const SlotRequest& slot_request) {
  const Continuation& continuation = slot_request.m_continuation;
  if (continuation.m_software == 0)
    return true;  // Not known yet.
  return std::any_of(pool.m_servers.begin(), pool.m_servers.end(), [&](const auto& server) {
    return !server.m_leaving && !server.m_evacuated &&
           AllowsRegion(slot_request.m_allowed_regions, server.m_region) &&
           !IsOtherVersion(continuation, server.m_pool, server.m_version);
  });
}

bool IsUnknownStream(const SlotRequest& slot_request) noexcept {
  return slot_request.m_continuation.m_continues && slot_request.m_continuation.m_software == 0;
}

Duration MaxContinuationWait(const SlotRequest& slot_request) noexcept {
  return std::min(slot_request.m_wait,
                  IsUnknownStream(slot_request) ? kMaxOriginWait : kMaxContinuationWait);
}

}  // namespace poppyway
