// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The command `evacuate`: stops new work for a data centre, or ends an evacuation.

#include <algorithm>
#include <iostream>

#include "command.h"

namespace poppyway::cli {
namespace {

/// Number of the data centre's last evacuation order; zero if there is none.
std::int64_t LastOrderOf(const wire::StatusReply& status, const std::string& data_centre) {
  const auto& all = status.evacuations;
  const auto found = std::find_if(all.begin(), all.end(), [&](const wire::EvacuationStatus& one) {
    return one.evacuation.data_centre == data_centre;
  });
  return found == all.end() ? 0 : found->evacuation.number;
}

}  // namespace

int Evacuate(const CommonOptions& common, const Arguments& arguments) {
  namespace po = boost::program_options;
  std::vector<std::string> what;
  po::options_description options(
      "poppyway evacuate DATA_CENTRE [--end]: its servers get nothing new; what runs there ends");
  options.add_options()("what", po::value(&what)->composing(), "the data centre")(
      "end", "take the order back");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "what", arguments, given, exit_code))
    return exit_code;
  if (what.size() != 1) {
    std::cerr << "poppyway evacuate: name one data centre\n";
    return kExitUsage;
  }
  wire::EvacuationOrder order;
  order.data_centre = what[0];
  order.ends = given.contains("end");
  // The last order's number is read once and sent with each attempt, so that a delayed duplicate
  // can't undo a later order.
  const Result<wire::StatusReply> status = FetchStatus(common);
  if (!status)
    return PrintError(status.error());
  order.__set_known(LastOrderOf(*status, order.data_centre));
  wire::Body body;
  body.__set_evacuation_order(order);
  const Result<wire::Body> reply = SendRequest(common, body);
  if (!reply)
    return PrintError(reply.error());
  if (reply->__isset.error)
    return PrintError({static_cast<ResultCode>(reply->error.code), reply->error.message});
  std::cout << "data centre " << order.data_centre
            << (order.ends ? " gets work again" : " gets nothing new; see poppyway status") << "\n";
  return kExitOk;
}

}  // namespace poppyway::cli
