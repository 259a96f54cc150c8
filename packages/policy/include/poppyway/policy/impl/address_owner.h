// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Which of the servers that registered at one address is there now.
///
/// \detail The owner of an address is the server that was shown there last: by its registration, or
/// by a presence entry, which the leader proposes when heartbeats of another server there arrive
/// steadily or it has responded there. Any other change of a server's record (the end of its slow
/// start, its drain, its slots) says nothing about the address, since it may come from a heartbeat
/// that was delayed until after its sender's end. The replicated state, the broker and all
/// instances use this rule.

#include <cstdint>
#include <string>

namespace poppyway {

/// \brief The server that was last shown at an address. It remains the owner once it is gone, so
/// that the servers before it don't get its work.
struct AddressOwner {
  std::string m_server;      ///< Empty: no server was shown there yet.
  std::int64_t m_index = 0;  ///< The log index of the entry that showed it there.

  friend bool operator==(const AddressOwner&, const AddressOwner&) = default;
};

/// \brief Returns the log index of the last entry that showed a server at its address; negative if
/// none did. A record of an earlier build has no `present_index`, only the index of its last
/// change. Pure and thread-safe.
[[nodiscard]] std::int64_t PresenceIndex(std::int64_t present_index,
                                         std::int64_t change_index) noexcept;

/// \brief Makes a server the owner of an address, unless another one was shown there by a later
/// entry. A negative index changes nothing. Not thread-safe.
/// \return true if the owner is another server than before.
bool ClaimAddress(AddressOwner& owner, const std::string& server, std::int64_t index);

}  // namespace poppyway
