// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The commands `status` and `drain`.

#include <iomanip>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "command.h"

namespace poppyway::cli {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr auto kDrainPoll = std::chrono::milliseconds(200);

/// Returns the milliseconds since the member's last reply; zero if it replies, -1 if the member
/// that sent the status doesn't lead.
std::int64_t SilentMillis(const wire::StatusReply& status, std::int64_t member) {
  if (!status.__isset.tolerated_losses)
    return -1;
  for (const wire::SilentMember& silent : status.silent) {
    if (silent.id == member)
      return silent.silent_ms;
  }
  return 0;
}

json ToJson(const wire::StatusReply& status) {
  json members = json::array();
  for (const wire::MemberInfo& member : status.membership.members)
    members.push_back({{"name", member.name},
                       {"id", member.id},
                       {"voter", member.voter},
                       {"leader", member.id == status.leader_id},
                       {"silent_ms", SilentMillis(status, member.id)}});
  json instances = json::array();
  for (const wire::InstanceStatus& instance : status.instances)
    instances.push_back({{"instance", instance.instance},
                         {"incarnation", instance.incarnation},
                         {"data_centre", instance.data_centre},
                         {"http", instance.http},
                         {"version_in_force", instance.version_in_force},
                         {"ready", instance.ready},
                         {"stopping", instance.stopping},
                         {"age_ms", instance.age_ms}});
  json brokers = json::array();
  for (const wire::LeaseGrant& lease : status.leases)
    brokers.push_back({{"pool", lease.lease}, {"holder", lease.holder}, {"epoch", lease.epoch}});
  json evacuations = json::array();
  for (const wire::EvacuationStatus& one : status.evacuations)
    evacuations.push_back({{"data_centre", one.evacuation.data_centre},
                           {"number", one.evacuation.number},
                           {"ended", one.evacuation.ended},
                           {"servers", one.servers},
                           {"running", one.running}});
  const json tolerated = status.__isset.tolerated_losses ? json(status.tolerated_losses) : json();
  return {{"version", status.version},    {"term", status.term},
          {"commit", status.commit},      {"ledger_keys", status.ledger_keys},
          {"members", members},           {"instances", instances},
          {"brokers", brokers},           {"evacuations", evacuations},
          {"tolerated_losses", tolerated}};
}

void PrintEvacuations(const std::vector<wire::EvacuationStatus>& evacuations) {
  if (evacuations.empty())
    return;
  std::cout << "\n"
            << std::setw(16) << "DATA CENTRE" << std::setw(12) << "EVACUATED" << std::setw(10)
            << "SERVERS"
            << "RUNNING\n";
  for (const wire::EvacuationStatus& one : evacuations) {
    std::cout << std::setw(16) << one.evacuation.data_centre << std::setw(12)
              << (one.evacuation.ended ? "ended" : "yes") << std::setw(10) << one.servers
              << (one.running < 0 ? "?" : std::to_string(one.running)) << "\n";
  }
}

std::string SilenceText(std::int64_t silent_ms) {
  if (silent_ms < 0)
    return "?";
  return silent_ms == 0 ? "no" : std::to_string(silent_ms) + " ms";
}

void PrintMembers(const wire::StatusReply& status) {
  std::cout << std::left << std::setw(16) << "MEMBER" << std::setw(10) << "ROLE" << std::setw(14)
            << "SILENT"
            << "ID\n";
  for (const wire::MemberInfo& member : status.membership.members) {
    const char* role = member.id == status.leader_id ? "leader"
                       : member.voter                ? "voter"
                                                     : "learner";
    std::cout << std::setw(16) << member.name << std::setw(10) << role << std::setw(14)
              << SilenceText(SilentMillis(status, member.id)) << member.id << "\n";
  }
  if (status.__isset.tolerated_losses)
    std::cout << "voters that may still be lost: " << status.tolerated_losses << "\n";
}

void PrintTable(const wire::StatusReply& status) {
  std::cout << "version " << status.version << ", term " << status.term << ", commit "
            << status.commit << ", ledger keys " << status.ledger_keys << "\n\n";
  PrintMembers(status);
  std::cout << "\n"
            << std::setw(16) << "INSTANCE" << std::setw(14) << "DATA CENTRE" << std::setw(22)
            << "HTTP" << std::setw(10) << "IN FORCE" << std::setw(10) << "STATE"
            << "HEARD\n";
  for (const wire::InstanceStatus& instance : status.instances) {
    const char* state = instance.stopping ? "stopping" : instance.ready ? "ready" : "not ready";
    const bool behind = instance.version_in_force < status.version;
    std::cout << std::setw(16) << instance.instance << std::setw(14) << instance.data_centre
              << std::setw(22) << instance.http << std::setw(10)
              << (std::to_string(instance.version_in_force) + (behind ? " !" : "")) << std::setw(10)
              << state << instance.age_ms << " ms ago\n";
  }
  std::cout << "\n"
            << std::setw(24) << "BROKER OF" << std::setw(28) << "HOLDER"
            << "EPOCH\n";
  for (const wire::LeaseGrant& lease : status.leases)
    std::cout << std::setw(24) << lease.lease << std::setw(28) << lease.holder << lease.epoch
              << "\n";
  PrintEvacuations(status.evacuations);
}

int DrainInstance(const CommonOptions& common, const std::string& name, int wait_s) {
  const Result<wire::StatusReply> status = FetchStatus(common);
  if (!status)
    return PrintError(status.error());
  for (const wire::InstanceStatus& instance : status->instances) {
    if (instance.instance != name)
      continue;
    wire::Body body;
    body.__set_drain({});
    body.drain.instance = name;
    const Result<wire::Body> reply = CallOnce(
        instance.address, static_cast<std::uint16_t>(instance.port), body, common.m_timeout);
    if (!reply)
      return PrintError(reply.error());
    std::cout << "instance " << name << " is draining\n";
    const Instant begun = ReadClock();
    while (ReadClock() - begun < std::chrono::seconds(wait_s)) {
      std::this_thread::sleep_for(kDrainPoll);
      const Result<wire::Body> still =
          CallOnce(instance.address, static_cast<std::uint16_t>(instance.port), body,
                   std::chrono::seconds(1));
      if (!still && still.error().m_code == ResultCode::kPeerUnreachable) {
        std::cout << "instance " << name << " has stopped\n";
        return kExitOk;
      }
    }
    return wait_s == 0 ? kExitOk : kExitFailed;
  }
  return PrintError(
      {ResultCode::kNotFound, "no live instance '" + name + "'; see poppyway status"});
}

int DrainServer(const CommonOptions& common, const std::string& name, bool undo) {
  const Result<wire::ObjectsReply> present = FetchDeclarations(common, false);
  if (!present)
    return PrintError(present.error());
  for (const wire::ObjectText& object : present->objects) {
    if (object.kind != "server" || object.name != name)
      continue;
    YAML::Node node = YAML::Load(object.body);
    node["leaving"] = !undo;
    wire::ConfigChange change;
    change.change_id = "drain-" + name + "-" + std::to_string(present->version);
    change.base_version = present->version;
    change.author = "drain";
    change.upserts.push_back(object);
    change.upserts.back().body = YAML::Dump(node);
    wire::Propose propose;
    propose.commands.emplace_back().__set_config(change);
    wire::Body body;
    body.__set_propose(propose);
    const Result<wire::Body> reply = SendRequest(common, body);
    if (!reply)
      return PrintError(reply.error());
    const wire::ConfigOutcome& outcome = reply->propose_reply.results.at(0).config;
    if (outcome.code != 0)
      return PrintError({static_cast<ResultCode>(outcome.code), outcome.message});
    std::cout << "backend server " << name << (undo ? " serves again" : " gets no new work")
              << " from version " << outcome.version << "\n";
    return kExitOk;
  }
  return PrintError({ResultCode::kNotFound, "no backend server '" + name + "' is declared"});
}

}  // namespace

int Status(const CommonOptions& common, const Arguments& arguments) {
  po::options_description options("poppyway status: members, instances, brokers at a glance");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, nullptr, arguments, given, exit_code))
    return exit_code;
  const Result<wire::StatusReply> status = FetchStatus(common);
  if (!status)
    return PrintError(status.error());
  if (common.m_json)
    std::cout << ToJson(*status).dump(2) << "\n";
  else
    PrintTable(*status);
  return kExitOk;
}

int Drain(const CommonOptions& common, const Arguments& arguments) {
  std::vector<std::string> what;
  int wait_s = 0;
  po::options_description options(
      "poppyway drain instance NAME | server NAME: a planned stop, or no new work for a server");
  options.add_options()("what", po::value(&what)->composing(), "instance or server, and its name")(
      "undo", "for a server: give it work again")("wait", po::value(&wait_s)->implicit_value(60),
                                                  "seconds to wait for an instance to stop");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "what", arguments, given, exit_code))
    return exit_code;
  if (what.size() == 2 && what[0] == "instance")
    return DrainInstance(common, what[1], wait_s);
  if (what.size() == 2 && what[0] == "server")
    return DrainServer(common, what[1], given.contains("undo"));
  std::cerr << "poppyway drain: say 'instance NAME' or 'server NAME'\n";
  return kExitUsage;
}

}  // namespace poppyway::cli
