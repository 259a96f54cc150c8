// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Entry point of `poppyway`, the operators' command-line client.

#include <array>
#include <iostream>

#include "command.h"

namespace poppyway::cli {
namespace {

namespace po = boost::program_options;

struct Command {
  const char* m_name;
  const char* m_summary;
  int (*m_run)(const CommonOptions&, const Arguments&);
};

constexpr std::array kCommands = {
    Command{"apply", "make declarations the configuration", &Apply},
    Command{"diff", "show what apply would change", &Diff},
    Command{"get", "print declarations in force", &Get},
    Command{"history", "list accepted changes", &History},
    Command{"status", "show members, instances and brokers", &Status},
    Command{"drain", "stop an instance, or take a backend server out of work", &Drain},
    Command{"rollout", "move a pool's work to servers of another version", &Rollout},
    Command{"evacuate", "give the servers of a data centre nothing new", &Evacuate},
    Command{"check", "validate declarations and settings offline", &Check},
    Command{"load", "generate a bounded load and report goodput by tier", &Load},
};

void PrintUsage(const po::options_description& options) {
  std::cout << "usage: poppyway [options] COMMAND [arguments]\n\ncommands:\n";
  for (const Command& command : kCommands)
    std::cout << "  " << command.m_name << "\t" << command.m_summary << "\n";
  std::cout << "  completion\tprint a completion script for bash\n\n"
            << options << "\nEach command has --help. Exit codes: 0 done, 1 refused, 2 differs, "
            << "3 not yet in force everywhere, 64 usage, 69 unreachable.\n";
}

int PrintCompletion() {
  std::cout << "complete -W '";
  for (const Command& command : kCommands)
    std::cout << command.m_name << " ";
  std::cout << "completion --instance --output --timeout --help' poppyway\n";
  return kExitOk;
}

int Main(int argc, char** argv) {
  std::vector<std::string> instances;
  std::string output = "table";
  double timeout_s = 5;
  po::options_description options("options");
  options.add_options()("instance,i", po::value(&instances)->composing(),
                        "peer endpoint of any instance (address:port); may be given several times")(
      "output,o", po::value(&output), "json or table")(
      "timeout", po::value(&timeout_s), "seconds for one call")("help,h", "print this");
  po::options_description hidden;
  std::vector<std::string> rest;
  hidden.add_options()("rest", po::value(&rest));
  po::options_description all;
  all.add(options).add(hidden);
  // Options before the command name apply to all commands; the arguments after it are its own.
  int split = 1;
  while (split < argc && argv[split][0] == '-') {
    const std::string option = argv[split];
    const bool takes_value = option.find('=') == std::string::npos && option != "-h" &&
                             option != "--help" && !(option.size() > 2 && option[1] != '-');
    split += takes_value ? 2 : 1;
  }
  split = std::min(split, argc);
  po::variables_map given;
  try {
    po::store(po::parse_command_line(split, argv, options), given);
    po::notify(given);
  } catch (const po::error& fault) {
    std::cerr << "poppyway: " << fault.what() << "; see --help\n";
    return kExitUsage;
  }
  if (given.contains("help") || split >= argc) {
    PrintUsage(options);
    return given.contains("help") ? kExitOk : kExitUsage;
  }
  CommonOptions common;
  common.m_json = output == "json";
  common.m_timeout = Duration(static_cast<std::int64_t>(timeout_s * 1e6));
  for (const std::string& text : instances) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint)
      return PrintError(endpoint.error());
    common.m_instances.push_back(*endpoint);
  }
  const std::string name = argv[split];
  const Arguments arguments(argv + split + 1, argv + argc);
  if (name == "completion")
    return PrintCompletion();
  for (const Command& command : kCommands) {
    if (name == command.m_name)
      return command.m_run(common, arguments);
  }
  std::cerr << "poppyway: unknown command '" << name << "'; see --help\n";
  return kExitUsage;
}

}  // namespace
}  // namespace poppyway::cli

int main(int argc, char** argv) {
  return poppyway::cli::Main(argc, argv);
}
