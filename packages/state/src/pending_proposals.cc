// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/state/impl/pending_proposals.h"

#include <utility>

namespace poppyway {
namespace {

void Reply(PendingProposals::Proposal& proposal, Result<std::vector<wire::CommandResult>> results) {
  const ProposalReply reply = std::exchange(proposal.m_reply, nullptr);
  if (reply)
    reply(std::move(results));
}

}  // namespace

void AddProposal(PendingProposals& pending,
                 std::int64_t first,
                 std::size_t commands,
                 std::int64_t term,
                 Instant expires,
                 ProposalReply reply) {
  auto proposal = std::make_shared<PendingProposals::Proposal>();
  proposal->m_left = commands;
  proposal->m_term = term;
  proposal->m_results.resize(commands);
  proposal->m_reply = std::move(reply);
  proposal->m_expires = expires;
  for (std::size_t i = 0; i < commands; ++i)
    pending.m_commands[first + static_cast<std::int64_t>(i)] = {proposal, i};
}

void CompleteCommand(PendingProposals& pending,
                     std::int64_t index,
                     std::int64_t term,
                     wire::CommandResult result) {
  const auto found = pending.m_commands.find(index);
  if (found == pending.m_commands.end())
    return;
  const PendingProposals::Command command = found->second;
  pending.m_commands.erase(found);
  PendingProposals::Proposal& proposal = *command.m_proposal;
  if (proposal.m_term != term) {
    Reply(proposal, Fail(ResultCode::kNoMajority, "another leader's entry took its place"));
    return;
  }
  proposal.m_results[command.m_result_index] = std::move(result);
  if (--proposal.m_left == 0)
    Reply(proposal, std::move(proposal.m_results));
}

void FailProposals(PendingProposals& pending, const std::string& why) {
  const std::map<std::int64_t, PendingProposals::Command> failed =
      std::exchange(pending.m_commands, {});
  for (const auto& [index, command] : failed)
    Reply(*command.m_proposal, Fail(ResultCode::kNoMajority, why));
}

void ExpireProposals(PendingProposals& pending, Instant now) {
  std::vector<PendingProposals::Command> expired;
  for (const auto& [index, command] : pending.m_commands) {
    if (now >= command.m_proposal->m_expires)
      expired.push_back(command);
  }
  std::erase_if(pending.m_commands,
                [now](const auto& entry) { return now >= entry.second.m_proposal->m_expires; });
  for (const PendingProposals::Command& command : expired)
    Reply(*command.m_proposal, Fail(ResultCode::kNoMajority, "no majority in time"));
}

}  // namespace poppyway
