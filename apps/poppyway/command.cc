// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "command.h"

#include <iostream>
#include <map>
#include <thread>

namespace poppyway::cli {
namespace {

// An election takes about 1 s, and several seconds on slow disks.
constexpr Duration kLeaderTimeout{5'000'000};
constexpr Duration kRetryInterval{200'000};

/// True for errors that only the leader returns; other instances return kNotLeader instead.
bool IsFinal(ResultCode code) {
  return code == ResultCode::kNotFound || code == ResultCode::kOtherRollout;
}

/// True for errors that last only until a leader is elected and ready, which takes seconds.
bool IsTransient(ResultCode code) {
  return code == ResultCode::kNotLeader || code == ResultCode::kNoMajority;
}

/// Sends the request once to each instance in turn until one returns a reply or a final error.
Result<wire::Body> TryEachInstance(const CommonOptions& common, const wire::Body& body) {
  Error last{ResultCode::kPeerUnreachable, "no instance given; use --instance address:port"};
  for (const Endpoint& instance : common.m_instances) {
    Result<wire::Body> reply =
        CallOnce(instance.m_address, instance.m_port, body, common.m_timeout);
    if (reply || IsFinal(reply.error().m_code))
      return reply;
    last = reply.error();
  }
  return tl::unexpected<Error>(last);
}

}  // namespace

Result<wire::Body> SendRequest(const CommonOptions& common, const wire::Body& body) {
  const Instant end = ReadClock() + kLeaderTimeout;
  while (true) {
    Result<wire::Body> reply = TryEachInstance(common, body);
    if (reply || !IsTransient(reply.error().m_code) || ReadClock() >= end)
      return reply;
    std::this_thread::sleep_for(kRetryInterval);
  }
}

int PrintError(const Error& error) {
  std::cerr << "poppyway: " << error.m_message << " (" << static_cast<int>(error.m_code) << " "
            << ResultInfoOf(error.m_code).m_name << ")\n";
  if (error.m_code == ResultCode::kPeerUnreachable) {
    std::cerr << "  is the instance running, and is this its peer endpoint? "
                 "--instance takes several.\n";
    return kExitUnreachable;
  }
  if (error.m_code == ResultCode::kNoMajority || error.m_code == ResultCode::kNotLeader)
    std::cerr << "  no majority of members answered; resend the same command, it is safe.\n";
  return kExitFailed;
}

Result<wire::ObjectsReply> FetchDeclarations(const CommonOptions& common, bool history) {
  wire::ObjectsRequest request;
  request.history = history;
  wire::Body body;
  body.__set_objects(request);
  Result<wire::Body> reply = SendRequest(common, body);
  if (!reply)
    return tl::unexpected<Error>(reply.error());
  return reply->objects_reply;
}

Result<wire::StatusReply> FetchStatus(const CommonOptions& common) {
  wire::StatusRequest request;
  request.here = false;
  wire::Body body;
  body.__set_status(request);
  Result<wire::Body> reply = SendRequest(common, body);
  if (!reply)
    return tl::unexpected<Error>(reply.error());
  return reply->status_reply;
}

bool ParseArguments(const boost::program_options::options_description& options,
                    const char* positional,
                    const Arguments& arguments,
                    boost::program_options::variables_map& given,
                    int& exit_code) {
  namespace po = boost::program_options;
  po::options_description all(options);
  all.add_options()("help,h", "print this");
  po::positional_options_description positions;
  if (positional != nullptr)
    positions.add(positional, -1);
  try {
    po::store(po::command_line_parser(arguments).options(all).positional(positions).run(), given);
    po::notify(given);
  } catch (const po::error& fault) {
    if (!given.contains("help")) {
      std::cerr << "poppyway: " << fault.what() << "; see --help\n";
      exit_code = kExitUsage;
      return false;
    }
  }
  if (given.contains("help")) {
    std::cout << all;
    exit_code = kExitOk;
    return false;
  }
  return true;
}

ChangeSet Compare(const std::vector<wire::ObjectText>& present,
                  const std::vector<DeclarationText>& wanted,
                  bool prune) {
  std::map<std::pair<std::string, std::string>, std::string> existing;
  for (const wire::ObjectText& object : present)
    existing[{object.kind, object.name}] = object.body;
  ChangeSet changes;
  for (const DeclarationText& declaration : wanted) {
    const auto found = existing.find({declaration.m_kind, declaration.m_name});
    wire::ObjectText object;
    object.kind = declaration.m_kind;
    object.name = declaration.m_name;
    object.body = declaration.m_body;
    if (found == existing.end())
      changes.m_added.push_back(std::move(object));
    else if (found->second != declaration.m_body)
      changes.m_changed.push_back(std::move(object));
    if (found != existing.end())
      existing.erase(found);
  }
  for (const auto& [name, body] : existing) {
    if (!prune)
      break;
    wire::ObjectKey key;
    key.kind = name.first;
    key.name = name.second;
    changes.m_removed.push_back(std::move(key));
  }
  return changes;
}

}  // namespace poppyway::cli
