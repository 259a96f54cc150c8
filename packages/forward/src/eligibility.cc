// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Which servers this instance may send a request to.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

bool Tried(const Forwarding& forwarding, const std::string& id) {
  return std::find(forwarding.m_tried.begin(), forwarding.m_tried.end(), id) !=
         forwarding.m_tried.end();
}

/// Without what an instance only believes of a server.
EligibilityInputs PlainStanding(const ForwarderState& state, const Backend& backend, Instant now) {
  EligibilityInputs standing;
  standing.m_leaving = backend.m_leaving;
  standing.m_evacuated = IsEvacuated(state, backend);
  standing.m_backs_off = now < backend.m_back_off_until;
  standing.m_region = RegionOf(state.m_settings.m_regions, backend.m_record.data_centre);
  return standing;
}

/// `kept`: whether a roll-out keeps the server from work.
IneligibleReason BarIf(const ForwarderState& state,
                       const Forwarding& forwarding,
                       const Backend& backend,
                       bool kept,
                       Instant now) {
  EligibilityInputs standing = PlainStanding(state, backend, now);
  standing.m_leaving = backend.m_leaving || backend.m_replaced;
  standing.m_kept_by_rollout = kept;
  standing.m_cold_full =
      IsCold(backend.m_slow_start, now) &&
      !MaySendWithoutBroker(backend.m_slow_start, ColdLimitOf(state, backend.m_record.pool), now);
  standing.m_suspect = IsSuspectAlone(state, backend, now);
  return CheckEligibility(standing, forwarding.m_home_regions,
                          Tried(forwarding, backend.m_record.id));
}

/// True if the server does ordinary work that this request may be part of, now or a little later.
bool WorksFor(const ForwarderState& state,
              const Forwarding& forwarding,
              const Backend& backend,
              Instant now) {
  if (backend.m_record.held_back)
    return false;
  const IneligibleReason reason = BarIf(state, forwarding, backend, false, now);
  return reason != IneligibleReason::kLeaving && reason != IneligibleReason::kEvacuated &&
         reason != IneligibleReason::kOutsideHome;
}

}  // namespace

IneligibleReason CheckServerEligibility(const ForwarderState& state,
                                        const Forwarding& forwarding,
                                        const Backend& backend,
                                        Instant now) {
  // A version on trial gets work from the broker only, which keeps count of it.
  return BarIf(state, forwarding, backend, backend.m_record.held_back, now);
}

IneligibleReason CheckEligibilityOnSend(const ForwarderState& state,
                                        const Forwarding& forwarding,
                                        const Backend& backend,
                                        Instant now) {
  return CheckEligibility(PlainStanding(state, backend, now), forwarding.m_home_regions, false);
}

bool IsSuspectAlone(const ForwarderState& state, const Backend& backend, Instant now) {
  const std::string& data_centre = backend.m_record.data_centre;
  const std::string& server = backend.m_record.id;
  const bool lost = IsServerSuspect(state.m_outages, data_centre, server) &&
                    !MayProbe(state.m_outages, data_centre, server, now);
  return lost || IsEjected(backend.m_health, now);
}

void UseLastResorts(const ForwarderState& state,
                    const Forwarding& forwarding,
                    const std::vector<std::string>& ids,
                    std::vector<ServerView>& views,
                    Instant now) {
  const bool any_works = std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return WorksFor(state, forwarding, state.m_backends.at(id), now);
  });
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const Backend& backend = state.m_backends.at(ids[i]);
    const bool kept = backend.m_record.held_back && any_works;
    const IneligibleReason reason = BarIf(state, forwarding, backend, kept, now);
    views[i].m_usable = reason == IneligibleReason::kNone || reason == IneligibleReason::kSuspect;
  }
}

}  // namespace poppyway::impl
