// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Eligibility of servers for a request at this instance.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

bool WasTried(const Forwarding& forwarding, const std::string& id) {
  return std::find(forwarding.m_tried.begin(), forwarding.m_tried.end(), id) !=
         forwarding.m_tried.end();
}

/// Returns the inputs that are certain, without this instance's own health estimates.
EligibilityInputs BaseInputs(const ForwarderState& state,
                             const Forwarding& forwarding,
                             const Backend& backend,
                             Instant now) {
  EligibilityInputs inputs;
  inputs.m_other_version =
      IsOtherVersion(ContinuationOf(forwarding), backend.m_record.pool, backend.m_record.version);
  inputs.m_leaving = backend.m_leaving;
  inputs.m_evacuated = IsEvacuated(state, backend);
  inputs.m_backs_off = now < backend.m_back_off_until;
  inputs.m_region = RegionOf(state.m_settings.m_regions, backend.m_record.data_centre);
  return inputs;
}

/// Returns the reason of the policy (`CheckEligibility`) against a server that this instance would
/// choose, or `kNone`. `held_back`: whether a roll-out holds the server back.
IneligibleReason ReasonAgainst(const ForwarderState& state,
                               const Forwarding& forwarding,
                               const Backend& backend,
                               bool held_back,
                               Instant now) {
  EligibilityInputs inputs = BaseInputs(state, forwarding, backend, now);
  inputs.m_leaving = backend.m_leaving || backend.m_replaced;
  inputs.m_kept_by_rollout = held_back;
  inputs.m_at_limit = !TakesRequestWithoutBroker(backend.m_limit, now) ||
                      !MayRiskRejection(backend.m_brittleness, state.m_instances.m_recent_max, now);
  inputs.m_cold_full = IsCold(backend.m_slow_start, now) &&
                       !MaySendWithoutBroker(backend.m_slow_start,
                                             SlowStartLimitOf(state, backend.m_record.pool), now);
  inputs.m_suspect = IsSuspectLocally(state, backend, now);
  return CheckEligibility(inputs, forwarding.m_allowed_regions,
                          WasTried(forwarding, backend.m_record.id));
}

/// Returns true if the server serves ordinary requests and could serve this one, now or soon.
bool CanServeOrdinarily(const ForwarderState& state,
                        const Forwarding& forwarding,
                        const Backend& backend,
                        Instant now) {
  if (backend.m_record.held_back)
    return false;
  const IneligibleReason reason = ReasonAgainst(state, forwarding, backend, false, now);
  return reason != IneligibleReason::kLeaving && reason != IneligibleReason::kEvacuated &&
         reason != IneligibleReason::kOutsideHome && reason != IneligibleReason::kOtherVersion;
}

}  // namespace

IneligibleReason CheckEligibilityOnChoice(const ForwarderState& state,
                                          const Forwarding& forwarding,
                                          const Backend& backend,
                                          Instant now) {
  // Only the broker sends requests to a version on trial, since it counts them.
  return ReasonAgainst(state, forwarding, backend, backend.m_record.held_back, now);
}

IneligibleReason CheckEligibilityOnSend(const ForwarderState& state,
                                        const Forwarding& forwarding,
                                        const Backend& backend,
                                        Instant now) {
  return CheckEligibility(BaseInputs(state, forwarding, backend, now), forwarding.m_allowed_regions,
                          false);
}

bool IsSuspectLocally(const ForwarderState& state, const Backend& backend, Instant now) {
  const std::string& data_centre = backend.m_record.data_centre;
  const std::string& server = backend.m_record.id;
  const bool lost = IsServerSuspect(state.m_outages, data_centre, server) &&
                    !MayProbe(state.m_outages, data_centre, server, now);
  return lost || IsEjected(backend.m_health, now);
}

void UseFallbackServers(const ForwarderState& state,
                        const Forwarding& forwarding,
                        const std::vector<std::string>& ids,
                        std::vector<ServerView>& views,
                        Instant now) {
  const bool any_works = std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return CanServeOrdinarily(state, forwarding, state.m_backends.at(id), now);
  });
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const Backend& backend = state.m_backends.at(ids[i]);
    const bool held_back = backend.m_record.held_back && any_works;
    const IneligibleReason reason = ReasonAgainst(state, forwarding, backend, held_back, now);
    views[i].m_usable = reason == IneligibleReason::kNone || reason == IneligibleReason::kSuspect;
  }
}

}  // namespace poppyway::impl
