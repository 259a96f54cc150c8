// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Majorities of the voters, also while one voter replaces another.
#include <algorithm>

#include "log_internal.h"

namespace poppyway::impl {
namespace {

struct VoterCount {
  int m_voters = 0;
  int m_counted = 0;
};

bool IsVoterBefore(const wire::MemberInfo& member) noexcept {
  return member.voter && !member.joining;
}

bool IsVoterAfter(const wire::MemberInfo& member) noexcept {
  return member.voter && !member.leaving;
}

VoterCount Count(const wire::Membership& membership,
                 bool (*is_voter)(const wire::MemberInfo&) noexcept,
                 const std::function<bool(MemberId)>& counts) {
  VoterCount count;
  for (const wire::MemberInfo& member : membership.members) {
    if (!is_voter(member))
      continue;
    ++count.m_voters;
    count.m_counted += counts(member.id) ? 1 : 0;
  }
  return count;
}

int Spare(const VoterCount& count) noexcept {
  return count.m_counted - (count.m_voters / 2 + 1);
}

}  // namespace

bool IsMajority(const wire::Membership& membership, const std::function<bool(MemberId)>& counts) {
  return SpareVoters(membership, counts) >= 0;
}

int SpareVoters(const wire::Membership& membership, const std::function<bool(MemberId)>& counts) {
  return std::min(Spare(Count(membership, &IsVoterBefore, counts)),
                  Spare(Count(membership, &IsVoterAfter, counts)));
}

}  // namespace poppyway::impl
