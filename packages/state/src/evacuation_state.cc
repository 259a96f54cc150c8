// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/state.h"

namespace poppyway {
namespace {

std::int64_t NextNumber(const HostedState& state) {
  std::int64_t last = 0;
  for (const auto& [data_centre, evacuation] : state.m_evacuations)
    last = std::max(last, evacuation.number);
  return last + 1;
}

}  // namespace

void ApplyEvacuation(HostedState& state, const wire::EvacuationOrder& order, std::int64_t index) {
  if (IsEvacuated(state, order.data_centre) != order.ends)
    return;
  const bool late =
      order.__isset.known && order.known < LastEvacuationNumber(state, order.data_centre);
  if (late)
    return;
  wire::Evacuation evacuation;
  evacuation.data_centre = order.data_centre;
  evacuation.number = NextNumber(state);
  evacuation.ended = order.ends;
  evacuation.index = index;
  state.m_evacuations[order.data_centre] = evacuation;
  // A new servers index completes the instances' polls; each reply holds all evacuations.
  state.m_servers_index = index;
}

bool IsEvacuated(const HostedState& state, const std::string& data_centre) {
  const auto found = state.m_evacuations.find(data_centre);
  return found != state.m_evacuations.end() && !found->second.ended;
}

std::int64_t LastEvacuationNumber(const HostedState& state, const std::string& data_centre) {
  const auto found = state.m_evacuations.find(data_centre);
  return found == state.m_evacuations.end() ? 0 : found->second.number;
}

std::int64_t LastEvacuationIndex(const HostedState& state) {
  std::int64_t last = 0;
  for (const auto& [data_centre, evacuation] : state.m_evacuations)
    last = std::max(last, evacuation.index);
  return last;
}

bool KnowsDataCentre(const HostedState& state, const std::string& data_centre) {
  const auto registered = [&data_centre](const auto& entry) {
    return entry.second.data_centre == data_centre;
  };
  return state.m_evacuations.contains(data_centre) ||
         std::any_of(state.m_servers.begin(), state.m_servers.end(), registered);
}

}  // namespace poppyway
