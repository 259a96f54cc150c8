// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Home regions of requests: where a request may be queued, retried and resumed.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

HomeRegions CommonHomesOf(const Route* route, const Workspace* workspace) {
  const HomeRegions unbound;
  return CommonHomes(route == nullptr ? unbound : route->m_allowed_regions,
                     workspace == nullptr ? unbound : workspace->m_allowed_regions);
}

const Workspace* FindByName(const RouteTable& table, const std::string& name) {
  const auto found =
      std::find_if(table.m_workspaces.begin(), table.m_workspaces.end(),
                   [&name](const Workspace& workspace) { return workspace.m_name == name; });
  return found == table.m_workspaces.end() ? nullptr : &*found;
}

/// Returns the home regions by the current document. Its route and workspace may have other regions
/// than at the request's arrival, or may have been removed.
HomeRegions HomesByCurrentTable(const RouteTable& table, const Forwarding& forwarding) {
  const Workspace* workspace = forwarding.m_workspace == nullptr
                                   ? nullptr
                                   : FindByName(table, forwarding.m_workspace->m_name);
  return CommonHomesOf(FindRoute(table, forwarding.m_host, forwarding.m_target), workspace);
}

bool HasNoRegion(const HomeRegions& homes) {
  return homes.m_restricted && homes.m_regions.empty();
}

std::string RegionsText(const HomeRegions& homes) {
  std::string text;
  for (const std::string& region : homes.m_regions)
    text += (text.empty() ? "" : ",") + region;
  return text;
}

void RefuseWithoutHome(ForwarderState& state, Forwarding& forwarding) {
  POPPYWAY_LOG(info, "no_home")
      .Field("request", forwarding.m_request.m_id)
      .Field("route", forwarding.m_route->m_name)
      .Field("route_homes", RegionsText(forwarding.m_route->m_allowed_regions))
      .Field("workspace", forwarding.m_workspace == nullptr ? "-" : forwarding.m_workspace->m_name)
      .Field("version", state.m_table->m_version);
  Refuse(state, forwarding,
         forwarding.m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNoHome,
         "route and workspace share no home region");
}

/// Updates a queued request after its home regions changed. The broker keeps the regions of the
/// slot request, so that is cancelled and sent again.
void RequeueWithNewHomes(ForwarderState& state, Forwarding& forwarding) {
  if (HasNoRegion(forwarding.m_allowed_regions)) {
    RefuseWithoutHome(state, forwarding);
    return;
  }
  if (forwarding.m_slot_request == 0)
    return;
  CancelSlotRequest(state, forwarding);
  if (state.m_broker.m_active && !IsBrokerOverdue(state.m_broker))
    RequestSlot(state, forwarding);
}

}  // namespace

Step SetHomeRegions(ForwarderState& state, Forwarding& forwarding) {
  forwarding.m_allowed_regions =
      CommonHomesOf(forwarding.m_route.get(), forwarding.m_workspace.get());
  if (!HasNoRegion(forwarding.m_allowed_regions))
    return Step::kContinue;
  RefuseWithoutHome(state, forwarding);
  return Step::kEnded;
}

HomeRegions CurrentHomes(const ForwarderState& state, const Forwarding& forwarding) {
  const HomeRegions arrived = CommonHomesOf(forwarding.m_route.get(), forwarding.m_workspace.get());
  if (state.m_table->m_version == forwarding.m_table_version)
    return arrived;
  return CommonHomes(arrived, HomesByCurrentTable(*state.m_table, forwarding));
}

void RefreshHomeRegions(ForwarderState& state) {
  std::vector<ForwardingRef> changed;
  for (auto& [ref, forwarding] : state.m_forwardings) {
    const bool open =
        forwarding->m_route != nullptr && forwarding->m_stage != ForwardingStage::kDone;
    if (!open)
      continue;
    HomeRegions homes = CurrentHomes(state, *forwarding);
    if (homes == forwarding->m_allowed_regions)
      continue;
    forwarding->m_allowed_regions = std::move(homes);
    changed.push_back(ref);
  }
  if (changed.empty())
    return;
  POPPYWAY_LOG(info, "homes_changed")
      .Field("version", state.m_table->m_version)
      .Field("requests", changed.size());
  for (const ForwardingRef ref : changed) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding != nullptr && forwarding->m_stage == ForwardingStage::kWaiting)
      RequeueWithNewHomes(state, *forwarding);
  }
  for (const auto& [name, pool] : state.m_pools)
    ServeQueue(state, name);
}

bool NoServerInHomeRegion(const ForwarderState& state, const Forwarding& forwarding) {
  if (!forwarding.m_allowed_regions.m_restricted)
    return false;
  const auto pool = state.m_pools.find(forwarding.m_pool->m_name);
  if (pool == state.m_pools.end() || pool->second.m_servers.empty())
    return false;
  const std::vector<std::string>& servers = pool->second.m_servers;
  return std::none_of(servers.begin(), servers.end(), [&](const std::string& id) {
    const std::string& data_centre = state.m_backends.at(id).m_record.data_centre;
    return AllowsRegion(forwarding.m_allowed_regions,
                        RegionOf(state.m_settings.m_regions, data_centre));
  });
}

}  // namespace poppyway::impl
