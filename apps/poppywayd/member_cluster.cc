// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// How a member finds the others, forms a cluster with them, joins one, and, as leader, changes the
// membership.

#include "broker_convert.h"
#include "member_service.h"

namespace poppyway {
namespace {

constexpr Duration kHelloInterval{200'000};

/// Lists the members' names; the names of non-voters are in parentheses. During a replacement, `-`
/// follows the name of the voter that leaves, and `+` that of the one that joins.
std::string DescribeMembers(const wire::Membership& membership) {
  std::string text;
  for (const wire::MemberInfo& member : membership.members) {
    const std::string name = member.voter ? member.name : "(" + member.name + ")";
    const std::string change = member.leaving ? "-" : member.joining ? "+" : "";
    text += (text.empty() ? "" : ",") + name + change;
  }
  return text;
}

}  // namespace

wire::MemberInfo MemberService::Self() const {
  wire::MemberInfo self;
  self.id = m_node.m_id;
  self.name = MemberName();
  self.address = m_settings.m_peer.m_address;
  self.port = m_settings.m_peer.m_port;
  self.voter = false;
  self.data_centre = m_settings.m_data_centre;
  return self;
}

void MemberService::SendHellos(Instant now) {
  m_hello_due = now + kHelloInterval;
  const bool blank = IsBlank();
  for (auto& [name, peer] : m_peers) {
    wire::Hello hello;
    hello.cluster = m_settings.m_cluster;
    hello.member = Self();
    hello.blank = blank;
    wire::Body body;
    body.__set_hello(hello);
    peer->Call(std::move(body), kHelloInterval, [this](Result<wire::Body> reply) {
      if (!reply || !reply->__isset.hello_reply)
        return;
      for (const wire::MemberInfo& member : reply->hello_reply.members) {
        if (FindOrAddPeer(member.name) != nullptr)
          m_member_names[member.id] = member.name;
      }
      RecordHello(m_bootstrap, reply->hello_reply.member, reply->hello_reply.blank);
    });
  }
  TryBootstrap(now);
}

void MemberService::TryBootstrap(Instant now) {
  if (!m_settings.m_may_bootstrap || !IsBlank())
    return;
  const std::optional<wire::Membership> membership = BootstrapMembership(m_bootstrap);
  if (!membership)
    return;
  POPPYWAY_LOG(info, "cluster_formed").Field("members", membership->members.size());
  QueueEffects(BootstrapLog(m_node, *membership, now));
}

void MemberService::OnHello(const wire::Hello& hello, const ReplyFn& reply) {
  if (hello.cluster != m_settings.m_cluster) {
    reply(ErrorBody(ResultCode::kDataForeign, "this is cluster '" + m_settings.m_cluster + "'"));
    return;
  }
  m_member_names[hello.member.id] = hello.member.name;
  const bool unknown_member = FindMember(m_node.m_membership, hello.member.id) == nullptr;
  if (IsBlank())
    RecordHello(m_bootstrap, hello.member, hello.blank);
  else if (is_leader() && (hello.blank || unknown_member))
    m_joining[hello.member.name] = hello.member;
  wire::HelloReply answer;
  answer.member = Self();
  answer.blank = IsBlank();
  answer.leader_id = m_node.m_leader;
  answer.members = m_node.m_membership.members;
  wire::Body body;
  body.__set_hello_reply(answer);
  reply(std::move(body));
}

void MemberService::ProposeMembershipIfDue(LogEffects& effects, Instant now) {
  std::vector<wire::MemberInfo> joining;
  for (const auto& [name, member] : m_joining)
    joining.push_back(member);
  if (const std::optional<wire::Membership> membership =
          PlanMembershipChange(m_node, joining, now)) {
    const Result<std::int64_t> index = ProposeMembership(m_node, *membership, effects, now);
    if (index)
      POPPYWAY_LOG(info, "membership_proposed")
          .Field("index", *index)
          .Field("members", DescribeMembers(*membership));
    m_joining.clear();
  }
}

}  // namespace poppyway
