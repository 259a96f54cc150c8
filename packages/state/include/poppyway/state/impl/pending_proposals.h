// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Called exactly once for each proposal, with the results of its commands in their order,
/// or with why there are none. It may propose again.
using ProposalReply = std::function<void(Result<std::vector<wire::CommandResult>>)>;

/// \brief Commands that this member has appended to its log as a leader and not answered yet. Not
/// thread-safe.
struct PendingProposals {
  struct Proposal {
    std::size_t m_left = 0;  ///< Commands that aren't applied yet.
    std::int64_t m_term = 0;
    std::vector<wire::CommandResult> m_results;
    ProposalReply m_reply;  ///< Empty once it was called.
    Instant m_expires{};
  };
  struct Command {
    std::shared_ptr<Proposal> m_proposal;
    std::size_t m_result_index = 0;  ///< Index of its result in the proposal.
  };
  std::map<std::int64_t, Command> m_commands;  ///< By log index.
};

/// \brief Adds a proposal of `commands` commands that was appended from index `first` on in `term`.
/// Precondition: `commands` is above zero.
void AddProposal(PendingProposals& pending,
                 std::int64_t first,
                 std::size_t commands,
                 std::int64_t term,
                 Instant expires,
                 ProposalReply reply);

/// \brief Takes the result of the entry that was applied at `index`. If it is another leader's,
/// whose `term` differs, the command that waited there is in no log: its proposal fails.
void CompleteCommand(PendingProposals& pending,
                     std::int64_t index,
                     std::int64_t term,
                     wire::CommandResult result);

/// \brief Fails all proposals: nobody knows whether their commands will be accepted.
void FailProposals(PendingProposals& pending, const std::string& why);

/// \brief Fails the proposals whose time is over at `now`.
void ExpireProposals(PendingProposals& pending, Instant now);

}  // namespace poppyway
