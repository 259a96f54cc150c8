// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The command `load`: generates an open-loop load of limited duration and checks the responses.

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>

#include <nlohmann/json.hpp>

#include "command.h"
#include "load_runner.h"

namespace poppyway::cli {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

json ToJson(const LoadClass& load, const ClassResult& result) {
  json refused = json::object();
  for (const auto& [code, count] : result.m_rejections)
    refused[std::to_string(code)] = count;
  return {{"class", load.m_name},
          {"tier", load.m_tier},
          {"offered", result.m_offered},
          {"good", result.m_good},
          {"late", result.m_late},
          {"wrong", result.m_wrong},
          {"cut", result.m_cut},
          {"cut_reasons", result.m_cut_reasons},
          {"bad_refusals", result.m_bad_rejections},
          {"refused", refused},
          {"first_token_ms",
           {{"p50", Millis(result.m_first_token.Quantile(0.5))},
            {"p95", Millis(result.m_first_token.Quantile(0.95))},
            {"p99", Millis(result.m_first_token.Quantile(0.99))}}},
          {"total_ms",
           {{"p50", Millis(result.m_total.Quantile(0.5))},
            {"p99", Millis(result.m_total.Quantile(0.99))}}}};
}

void PrintRow(const LoadClass& load, const ClassResult& result) {
  const double share = result.m_offered == 0 ? 0
                                             : 100.0 * static_cast<double>(result.m_good) /
                                                   static_cast<double>(result.m_offered);
  std::cout << std::left << std::setw(20) << load.m_name << std::right << std::setw(5)
            << load.m_tier << std::setw(9) << result.m_offered << std::setw(8) << result.m_good
            << std::setw(8) << std::fixed << std::setprecision(1) << share << std::setw(7)
            << result.m_late << std::setw(7) << result.m_wrong << std::setw(6) << result.m_cut
            << std::setw(11) << Millis(result.m_first_token.Quantile(0.5)) << std::setw(10)
            << Millis(result.m_first_token.Quantile(0.95));
  for (const auto& [code, count] : result.m_rejections)
    std::cout << "  " << ResultInfoOf(static_cast<ResultCode>(code)).m_name << "=" << count;
  std::cout << "\n";
}

}  // namespace

int Load(const CommonOptions& common, const Arguments& arguments) {
  std::string path;
  std::vector<std::string> targets;
  LoadSettings settings;
  std::int64_t lag_ms = 500;
  po::options_description options("poppyway load PLAN: a bounded load, with goodput by tier");
  options.add_options()("plan", po::value(&path)->required(), "load plan (YAML)")(
      "target", po::value(&targets)->composing(), "HTTP endpoint of an instance; several")(
      "balancer-lag-ms", po::value(&lag_ms), "how late the stand-in balancer follows readiness")(
      "seed", po::value(&settings.m_seed), "same seed, same load")(
      "max-open", po::value(&settings.m_max_open), "most requests open at once");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "plan", arguments, given, exit_code))
    return exit_code;
  for (const std::string& text : targets) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint)
      return PrintError(endpoint.error());
    if (!endpoint->m_address.starts_with("127.")) {
      std::cerr << "poppyway load: targets must be loopback addresses\n";
      return kExitUsage;
    }
    settings.m_targets.push_back(*endpoint);
  }
  if (settings.m_targets.empty()) {
    std::cerr << "poppyway load: name at least one --target\n";
    return kExitUsage;
  }
  const Result<LoadPlan> plan = ReadLoadPlan(path);
  if (!plan)
    return PrintError(plan.error());
  settings.m_balancer_lag = std::chrono::milliseconds(lag_ms);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  LoadRunner runner(loop, *plan, settings);
  runner.Run();
  json rows = json::array();
  std::int64_t wrong = 0;
  if (!common.m_json)
    std::cout << "class                tier  offered    good  good %   late  wrong   cut  ttft p50"
                 " ms    p95 ms  refused\n";
  for (std::size_t i = 0; i < plan->m_classes.size(); ++i) {
    const ClassResult& result = runner.results()[i];
    rows.push_back(ToJson(plan->m_classes[i], result));
    wrong += result.m_wrong;
    if (!common.m_json)
      PrintRow(plan->m_classes[i], result);
  }
  if (common.m_json)
    std::cout << json{{"classes", rows}, {"tokens", runner.tokens()}}.dump(2) << "\n";
  else
    std::cout << "tokens received: " << runner.tokens() << "\n";
  return wrong == 0 ? kExitOk : kExitFailed;
}

}  // namespace poppyway::cli
