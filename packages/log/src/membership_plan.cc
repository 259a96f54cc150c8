// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <map>

#include "log_internal.h"

namespace poppyway {
namespace {

using impl::IsCaughtUp;
using impl::RepliesNow;
using impl::SpareVoters;

// Two voters would tolerate no failure.
constexpr int kMinVoters = 3;
// Fewer voters would tolerate a single loss only, even where no more is stated.
constexpr int kMinPlannedVoters = 5;
// A non-voter that receives a snapshot may be silent for longer than a voter.
constexpr int kNonVoterTimeoutFactor = 4;

int CountVoters(const wire::Membership& membership) {
  return static_cast<int>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const wire::MemberInfo& member) { return member.voter; }));
}

bool IsToleranceStated(const LogNode& node) {
  return node.m_tolerance.m_members > 0;
}

/// Returns the number of voters that tolerate the stated losses. Precondition: they are stated.
int PlannedVoters(const LogNode& node) {
  return std::max(kMinPlannedVoters, 2 * node.m_tolerance.m_members + 1);
}

bool HasSurplusVoters(const LogNode& node) {
  return IsToleranceStated(node) && CountVoters(node.m_membership) > PlannedVoters(node);
}

std::int64_t VotersIn(const wire::Membership& membership, const std::string& data_centre) {
  return std::count_if(membership.members.begin(), membership.members.end(),
                       [&data_centre](const wire::MemberInfo& member) {
                         return member.voter && member.data_centre == data_centre;
                       });
}

/// Returns when a member last replied; `now` for the leader itself and for a member that the leader
/// doesn't track yet.
Instant LastReply(const LogNode& node, MemberId id, Instant now) {
  const auto progress = node.m_progress.find(id);
  const bool tracked = id != node.m_id && progress != node.m_progress.end();
  return tracked ? progress->second.m_last_reply : now;
}

std::vector<wire::MemberInfo> ReplyingVoters(const LogNode& node, Instant now) {
  std::vector<wire::MemberInfo> replying;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (member.voter && RepliesNow(node, member.id, now))
      replying.push_back(member);
  }
  return replying;
}

/// Returns the number of voters in the `count` data centres that hold most of them.
int VotersInLargestDataCentres(const std::vector<wire::MemberInfo>& voters, int count) {
  std::map<std::string, int> by_data_centre;
  for (const wire::MemberInfo& voter : voters)
    ++by_data_centre[voter.data_centre];
  std::vector<int> sizes;
  for (const auto& [data_centre, size] : by_data_centre)
    sizes.push_back(size);
  std::sort(sizes.rbegin(), sizes.rend());
  int sum = 0;
  for (int i = 0; i < count && i < static_cast<int>(sizes.size()); ++i)
    sum += sizes[static_cast<std::size_t>(i)];
  return sum;
}

/// Returns true if the voters that reply now would tolerate the stated losses without the others.
/// Silent voters may then be removed without a successor.
bool TolerateLossesAlone(const LogNode& node, Instant now) {
  if (!IsToleranceStated(node))
    return false;
  const std::vector<wire::MemberInfo> voters = ReplyingVoters(node, now);
  const int count = static_cast<int>(voters.size());
  const int majority = count / 2 + 1;
  const int lost_at_most =
      std::max(node.m_tolerance.m_members,
               VotersInLargestDataCentres(voters, node.m_tolerance.m_data_centres));
  return count - lost_at_most >= majority;
}

/// Returns true if a caught-up non-voter may become a voter now, in addition to the others.
///
/// There are never more voters than planned: a further one would raise the majority, which could
/// then depend on a member that has only just started. For the same reason the promotion from an
/// odd number waits while a voter is silent, until it replies or is replaced.
bool MayPromote(const LogNode& node, Instant now) {
  const int voters = CountVoters(node.m_membership);
  if (IsToleranceStated(node)) {
    if (voters >= PlannedVoters(node))
      return false;
    if (voters % 2 == 0)
      return true;
  }
  return static_cast<int>(ReplyingVoters(node, now).size()) == voters;
}

/// Returns the caught-up non-voter to promote first: one in the data centre with the fewest voters.
std::optional<MemberId> CaughtUpNonVoter(const LogNode& node, Instant now) {
  std::optional<MemberId> best;
  std::int64_t fewest = 0;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (member.voter || !IsCaughtUp(node, member.id, now))
      continue;
    const std::int64_t voters = VotersIn(node.m_membership, member.data_centre);
    if (best && voters >= fewest)
      continue;
    best = member.id;
    fewest = voters;
  }
  return best;
}

/// Returns the voter that has been silent for longest and for more than the removal timeout.
std::optional<MemberId> LongestSilentVoter(const LogNode& node, Instant now) {
  std::optional<MemberId> longest;
  Instant oldest = now - node.m_timing.m_removal_timeout;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    const Instant last_reply = LastReply(node, member.id, now);
    if (!member.voter || last_reply >= oldest)
      continue;
    oldest = last_reply;
    longest = member.id;
  }
  return longest;
}

/// Returns a non-voter that has been silent for so long that it may be removed.
std::optional<MemberId> RemovableNonVoter(const LogNode& node, Instant now) {
  const Instant oldest = now - kNonVoterTimeoutFactor * node.m_timing.m_removal_timeout;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    if (!member.voter && LastReply(node, member.id, now) < oldest)
      return member.id;
  }
  return std::nullopt;
}

wire::Membership Without(wire::Membership membership, MemberId id) {
  std::erase_if(membership.members, [id](const wire::MemberInfo& m) { return m.id == id; });
  return membership;
}

wire::Membership WithVoter(wire::Membership membership, MemberId id) {
  for (wire::MemberInfo& member : membership.members)
    member.voter = member.voter || member.id == id;
  return membership;
}

/// Returns the membership during the replacement of one voter by a non-voter.
wire::Membership WithReplacement(wire::Membership membership, MemberId leaving, MemberId joining) {
  for (wire::MemberInfo& member : membership.members) {
    member.leaving = member.id == leaving;
    member.joining = member.id == joining;
    member.voter = member.voter || member.joining;
  }
  return membership;
}

/// Returns the membership that ends a replacement; nullopt if none is in progress. A leader that is
/// itself the leaving voter stays one.
std::optional<wire::Membership> EndReplacement(const LogNode& node) {
  wire::Membership next = node.m_membership;
  bool in_progress = false;
  bool is_kept = false;
  for (const wire::MemberInfo& member : next.members) {
    in_progress = in_progress || member.leaving || member.joining;
    is_kept = is_kept || (member.leaving && member.id == node.m_id);
  }
  if (!in_progress)
    return std::nullopt;
  if (!is_kept)
    std::erase_if(next.members, [](const wire::MemberInfo& member) { return member.leaving; });
  for (wire::MemberInfo& member : next.members) {
    member.voter = member.voter && !(is_kept && member.joining);
    member.leaving = false;
    member.joining = false;
  }
  return next;
}

/// Adds the first joining member that isn't one yet, in place of a member of the same name.
std::optional<wire::Membership> WithJoiningMember(
    const wire::Membership& membership,
    const std::vector<wire::MemberInfo>& joining_members) {
  for (const wire::MemberInfo& joining : joining_members) {
    if (FindMember(membership, joining.id) != nullptr)
      continue;
    wire::Membership next = membership;
    std::erase_if(next.members,
                  [&joining](const wire::MemberInfo& m) { return m.name == joining.name; });
    next.members.push_back(joining);
    next.members.back().voter = false;
    return next;
  }
  return std::nullopt;
}

}  // namespace

std::optional<MemberId> RemovableVoter(const LogNode& node, Instant now) {
  const int voters = CountVoters(node.m_membership);
  const bool may_shrink = voters % 2 == 0 || TolerateLossesAlone(node, now);
  if (voters <= kMinVoters || !may_shrink)
    return std::nullopt;
  return LongestSilentVoter(node, now);
}

std::optional<wire::Membership> PlanMembershipChange(
    const LogNode& node,
    const std::vector<wire::MemberInfo>& joining_members,
    Instant now) {
  if (node.m_role != Role::kLeader)
    return std::nullopt;
  if (std::optional<wire::Membership> next = EndReplacement(node))
    return next;
  if (std::optional<wire::Membership> next = WithJoiningMember(node.m_membership, joining_members))
    return next;
  const std::optional<MemberId> successor = CaughtUpNonVoter(node, now);
  if (successor && MayPromote(node, now))
    return WithVoter(node.m_membership, *successor);
  const std::optional<MemberId> silent = LongestSilentVoter(node, now);
  if (silent && successor && !HasSurplusVoters(node))
    return WithReplacement(node.m_membership, *silent, *successor);
  if (const std::optional<MemberId> removable = RemovableVoter(node, now))
    return Without(node.m_membership, *removable);
  if (const std::optional<MemberId> removable = RemovableNonVoter(node, now))
    return Without(node.m_membership, *removable);
  return std::nullopt;
}

MembershipStatus MembershipStatusOf(const LogNode& node, Instant now) {
  MembershipStatus status;
  for (const wire::MemberInfo& member : node.m_membership.members) {
    const bool silent = !RepliesNow(node, member.id, now);
    const Duration silent_for = silent ? now - LastReply(node, member.id, now) : Duration(0);
    status.m_members.push_back({member.id, member.name, member.voter, silent, silent_for});
  }
  status.m_tolerated_losses = std::max(
      0, SpareVoters(node.m_membership, [&](MemberId id) { return RepliesNow(node, id, now); }));
  return status;
}

namespace impl {

bool IsCaughtUp(const LogNode& node, MemberId id, Instant now) {
  // The most entries that a member may lag. Appends are pipelined, so the lag is never quite zero.
  constexpr std::int64_t kMaxLag = 16;
  const auto progress = node.m_progress.find(id);
  return progress != node.m_progress.end() &&
         now - progress->second.m_last_reply < node.m_timing.m_election_max &&
         progress->second.m_match + kMaxLag >= LastIndex(node) &&
         progress->second.m_match >= node.m_term_start;
}

}  // namespace impl
}  // namespace poppyway
