// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

namespace poppyway {

std::int64_t PresenceIndex(std::int64_t present_index, std::int64_t change_index) noexcept {
  return present_index != 0 ? present_index : change_index;
}

bool ClaimAddress(AddressOwner& owner, const std::string& server, std::int64_t index) {
  const bool later = owner.m_server.empty() || index >= owner.m_index;
  if (index < 0 || !later)
    return false;
  const bool other = owner.m_server != server;
  owner = {server, index};
  return other;
}

}  // namespace poppyway
