// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/log.h"

namespace poppyway {

void RecordHello(ClusterBootstrap& bootstrap, const wire::MemberInfo& member, bool blank) {
  if (!blank) {
    bootstrap.m_cluster_exists = true;
    bootstrap.m_blank_members.erase(member.name);
    return;
  }
  bootstrap.m_blank_members[member.name] = member;
}

std::optional<wire::Membership> BootstrapMembership(const ClusterBootstrap& bootstrap) {
  if (bootstrap.m_cluster_exists)
    return std::nullopt;
  const std::string& lowest = *std::min_element(bootstrap.m_names.begin(), bootstrap.m_names.end());
  if (bootstrap.m_self.name != lowest)
    return std::nullopt;
  wire::Membership membership;
  for (const std::string& name : bootstrap.m_names) {
    const auto found = bootstrap.m_blank_members.find(name);
    if (name == bootstrap.m_self.name)
      membership.members.push_back(bootstrap.m_self);
    else if (found != bootstrap.m_blank_members.end())
      membership.members.push_back(found->second);
    else
      return std::nullopt;
    membership.members.back().voter = true;
  }
  return membership;
}

}  // namespace poppyway
