// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief The state of a blank member (one with an empty data folder) before it has joined a
/// cluster.
struct ClusterBootstrap {
  std::vector<std::string> m_names;  ///< The names of all members in the settings.
  wire::MemberInfo m_self;
  /// The other members that reported to be blank, by name.
  std::map<std::string, wire::MemberInfo> m_blank_members;
  bool m_cluster_exists = false;  ///< Some member reported not to be blank.
};

/// \brief Records what another member reported of itself in a hello request or reply.
void RecordHello(ClusterBootstrap& bootstrap, const wire::MemberInfo& member, bool blank);

/// \brief Returns the membership of a new cluster, with every member of the settings as a voter.
///
/// Only the member with the lowest name forms a cluster, and only after every other member of the
/// settings has reported to be blank. A member that lost its folder therefore can't form a second
/// cluster beside the first.
/// \return nullopt if this member must not form a cluster, or not yet. Precondition: the settings
/// name at least one member.
[[nodiscard]] std::optional<wire::Membership> BootstrapMembership(
    const ClusterBootstrap& bootstrap);

}  // namespace poppyway
