// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Decides which change of the membership is due, and describes the voters' state.
///
/// \detail The functions only read a `LogNode`. They may be called from any thread that owns it.

#include <optional>
#include <string>
#include <vector>

#include "poppyway/log/impl/log_node.h"

namespace poppyway {

/// \brief A member as its leader sees it.
struct MemberStatus {
  MemberId m_id = 0;
  std::string m_name;
  bool m_voter = false;
  bool m_silent = false;    ///< It doesn't reply to the leader now.
  Duration m_silent_for{};  ///< Time since its last reply; zero if it isn't silent.

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

/// \brief The members as their leader sees them.
struct MembershipStatus {
  std::vector<MemberStatus> m_members;
  /// The number of voters that may still be lost now, so that a majority of all voters replies.
  int m_tolerated_losses = 0;

  friend bool operator==(const MembershipStatus&, const MembershipStatus&) = default;
};

/// \brief Returns the voter that has been silent for the longest time, if it may be removed without
/// a successor.
///
/// It must have exceeded the removal timeout, and there must be more than three voters. Besides,
/// either their number is even, so that the removal costs no fault tolerance, or the voters that
/// reply now tolerate the losses stated in `LogNode::m_tolerance` without any silent one.
[[nodiscard]] std::optional<MemberId> RemovableVoter(const LogNode& node, Instant now);

/// \brief Returns the membership change that a leader should propose now, if one is due. It adds or
/// removes at most one voter, or begins or ends the replacement of one voter by another.
///
/// In this order: a replacement in progress is ended; a joining member is added as a non-voter and
/// replaces a member of the same name, which has lost its folder; a caught-up non-voter becomes a
/// voter if fewer than planned are; it replaces a voter that has exceeded the removal timeout; a
/// voter that `RemovableVoter` returns is removed; a non-voter that has been silent for several
/// removal timeouts is removed. A removed member that still runs asks to join again.
/// \param joining_members the members that requested to join.
[[nodiscard]] std::optional<wire::Membership> PlanMembershipChange(
    const LogNode& node,
    const std::vector<wire::MemberInfo>& joining_members,
    Instant now);

/// \brief Returns the state of all members and the number of voters that may still be lost.
/// Precondition: the node leads; a follower hears only from its leader.
[[nodiscard]] MembershipStatus MembershipStatusOf(const LogNode& node, Instant now);

}  // namespace poppyway
