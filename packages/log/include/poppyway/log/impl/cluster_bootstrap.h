// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief What a blank member knows while no cluster exists yet.
struct ClusterBootstrap {
  std::vector<std::string> m_names;  ///< All members that the settings name.
  wire::MemberInfo m_self;
  std::map<std::string, wire::MemberInfo> m_blank;  ///< Others that said they are blank.
  bool m_cluster_exists = false;                    ///< Some member said that it is not blank.
};

/// \brief Takes a member's word on itself.
void RecordHello(ClusterBootstrap& formation, const wire::MemberInfo& member, bool blank);

/// \brief The first membership, on the one member that forms it: the lowest name, and only when
/// every member named in the settings said that it is blank. Hence a member whose folder was lost
/// can't form a second cluster beside the first.
[[nodiscard]] std::optional<wire::Membership> BootstrapMembership(
    const ClusterBootstrap& formation);

}  // namespace poppyway
