// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What reaches an instance that has just started, before it knows the configuration.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

// An instance knows the configuration 0.4 to 0.6 s after it starts, if a leader is there. Callers
// who lost their connection to a failure have mostly one try left: it had better not meet a
// refusal. With a tenth of the patience and 1 s in place of these, 109 callers were refused
// after all instances had lost power at once; with these 13.
constexpr Duration kMostStartWait{1'500'000};
constexpr double kStartWaitShare = 0.5;     // Of the caller's patience: the rest is for the answer.
constexpr std::size_t kMostAwaiting = 512;  // Bounds the memory of a herd of callers.

Duration StartWait(const Forwarding& forwarding) {
  const Duration patience = forwarding.m_request.m_timeout.value_or(Duration(0));
  const auto share =
      static_cast<std::int64_t>(kStartWaitShare * static_cast<double>(patience.count()));
  return std::min(kMostStartWait, Duration(share));
}

}  // namespace

bool IsStarting(const ForwarderState& state) noexcept {
  return !state.m_table || state.m_confirmed_until == Instant{};
}

void AwaitStart(ForwarderState& state, Forwarding& forwarding) {
  if (state.m_stopping || state.m_awaiting_start.size() >= kMostAwaiting) {
    Refuse(state, forwarding, ResultCode::kNotReady, "no configuration is known yet");
    return;
  }
  forwarding.m_deadline = forwarding.m_arrived + StartWait(forwarding);
  state.m_awaiting_start.push_back(forwarding.m_ref);
}

void EndStart(ForwarderState& state) {
  if (IsStarting(state) || state.m_awaiting_start.empty())
    return;
  POPPYWAY_LOG(info, "start_ended").Field("awaiting", state.m_awaiting_start.size());
  const std::vector<ForwardingRef> awaiting = std::move(state.m_awaiting_start);
  state.m_awaiting_start.clear();
  for (const ForwardingRef ref : awaiting) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding != nullptr && forwarding->m_stage == ForwardingStage::kNew)
      RunChain(state, *forwarding);
  }
}

void ExpireStart(ForwarderState& state, Instant now) {
  std::vector<ForwardingRef> kept;
  for (const ForwardingRef ref : state.m_awaiting_start) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || forwarding->m_stage != ForwardingStage::kNew)
      continue;
    if (now < forwarding->m_deadline) {
      kept.push_back(ref);
      continue;
    }
    Refuse(state, *forwarding, ResultCode::kNotReady, "no configuration became known in time");
  }
  state.m_awaiting_start = std::move(kept);
}

}  // namespace poppyway::impl
