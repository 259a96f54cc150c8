// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The commands `rollout start` and `rollout status`.

#include <iostream>

#include <nlohmann/json.hpp>

#include "command.h"

namespace poppyway::cli {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

std::string_view StageName(wire::RolloutStage::type stage) {
  switch (stage) {
    case wire::RolloutStage::TRIAL:
      return "trial";
    case wire::RolloutStage::MOVING:
      return "moving";
    case wire::RolloutStage::COMPLETED:
      return "completed";
    case wire::RolloutStage::ROLLED_BACK:
      return "rolled back";
  }
  return "unknown";
}

/// The error that the reply carries; nullopt if the request succeeded.
std::optional<Error> ErrorOf(const Result<wire::Body>& reply) {
  if (!reply)
    return reply.error();
  if (reply->__isset.error)
    return Error{static_cast<ResultCode>(reply->error.code), reply->error.message};
  return std::nullopt;
}

int StartRollout(const CommonOptions& common, const wire::RolloutOrder& order) {
  wire::Body body;
  body.__set_rollout_order(order);
  if (const std::optional<Error> error = ErrorOf(SendRequest(common, body)))
    return PrintError(*error);
  std::cout << "pool " << order.pool << " is being rolled out to version " << order.target
            << "; see poppyway rollout status " << order.pool << "\n";
  return kExitOk;
}

int RolloutStatus(const CommonOptions& common, const std::string& pool) {
  wire::Body body;
  body.__set_rollout_request(pool);
  const Result<wire::Body> reply = SendRequest(common, body);
  if (const std::optional<Error> error = ErrorOf(reply))
    return PrintError(*error);
  const wire::Rollout& rollout = reply->rollout;
  if (common.m_json) {
    std::cout << json({{"pool", rollout.pool},
                       {"version", rollout.target},
                       {"number", rollout.number},
                       {"stage", StageName(rollout.stage)},
                       {"why", rollout.why},
                       {"left_ms", rollout.left_ms},
                       {"requests", rollout.requests},
                       {"allowed", rollout.allowed}})
                     .dump(2)
              << "\n";
    return kExitOk;
  }
  std::cout << "pool " << rollout.pool << ", version " << rollout.target << ": "
            << StageName(rollout.stage);
  if (!rollout.why.empty())
    std::cout << " (" << rollout.why << ")";
  std::cout << "\nrequests since the order " << rollout.requests
            << ", of which the version may have got " << rollout.allowed << "\n"
            << rollout.left_ms << " ms left when last told\n";
  return kExitOk;
}

}  // namespace

int Rollout(const CommonOptions& common, const Arguments& arguments) {
  std::vector<std::string> what;
  double seconds = 0;
  po::options_description options(
      "poppyway rollout start POOL VERSION --seconds N | status POOL: move a pool's work to "
      "servers of another version");
  options.add_options()("what", po::value(&what)->composing(), "start or status, and of what")(
      "seconds", po::value(&seconds), "the time within which it ends");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "what", arguments, given, exit_code))
    return exit_code;
  const bool start = what.size() == 3 && what[0] == "start" && seconds > 0;
  if (start) {
    wire::RolloutOrder order;
    order.pool = what[1];
    order.target = what[2];
    order.duration_ms = static_cast<std::int64_t>(seconds * 1000);
    return StartRollout(common, order);
  }
  if (what.size() == 2 && what[0] == "status")
    return RolloutStatus(common, what[1]);
  std::cerr << "poppyway rollout: say 'start POOL VERSION --seconds N', with N above zero, or "
               "'status POOL'\n";
  return kExitUsage;
}

}  // namespace poppyway::cli
