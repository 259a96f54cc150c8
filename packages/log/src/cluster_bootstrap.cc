// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/log.h"

namespace poppyway {

void RecordHello(ClusterBootstrap& formation, const wire::MemberInfo& member, bool blank) {
  if (!blank) {
    formation.m_cluster_exists = true;
    formation.m_blank.erase(member.name);
    return;
  }
  formation.m_blank[member.name] = member;
}

std::optional<wire::Membership> BootstrapMembership(const ClusterBootstrap& formation) {
  if (formation.m_cluster_exists)
    return std::nullopt;
  const std::string& lowest = *std::min_element(formation.m_names.begin(), formation.m_names.end());
  if (formation.m_self.name != lowest)
    return std::nullopt;
  wire::Membership membership;
  for (const std::string& name : formation.m_names) {
    const auto found = formation.m_blank.find(name);
    if (name == formation.m_self.name)
      membership.members.push_back(formation.m_self);
    else if (found != formation.m_blank.end())
      membership.members.push_back(found->second);
    else
      return std::nullopt;
    membership.members.back().voter = true;
  }
  return membership;
}

}  // namespace poppyway
