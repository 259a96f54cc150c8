// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The daemon: reads its settings, starts the control task and the gateway task, stops on SIGTERM.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

#include <boost/program_options.hpp>

#include "control_task.h"
#include "poppyway/gateway.h"

namespace poppyway {
namespace {

constexpr int kUsageExit = 64;
constexpr int kStartFailedExit = 70;

ControlTask* g_control = nullptr;  // For the signal handler only.

void OnStopSignal(int) {
  if (g_control != nullptr)
    g_control->RequestStop();
}

/// Unique for each run of each instance.
std::string MakeIncarnation(const std::string& instance) {
  std::random_device device;
  const std::uint64_t random = (std::uint64_t{device()} << 32) | device();
  char text[17];
  std::snprintf(text, sizeof(text), "%012llx",
                static_cast<unsigned long long>(random & 0xffffffffffffULL));
  return instance + "-" + text;
}

int Run(const DaemonSettings& settings) {
  const std::string incarnation = MakeIncarnation(settings.m_instance);
  StartLogging(settings.m_log_file, settings.m_instance);
  TaskLoop control_loop;
  std::unique_ptr<Mailbox<ControlMessage>> gateway_inbox;
  ControlTask control(control_loop, settings, incarnation, [&](ControlMessage message) {
    gateway_inbox->Send(std::move(message));
  });
  TaskLoop gateway_loop;
  Gateway gateway(gateway_loop, settings, incarnation, [&control](GatewayMessage message) {
    control.inbox().Send(std::move(message));
  });
  gateway_inbox = std::make_unique<Mailbox<ControlMessage>>(
      gateway_loop,
      [&gateway](ControlMessage message) { gateway.Take(std::move(message)); });
  for (const Result<void>& started : {control.Start(), gateway.Listen()}) {
    if (started)
      continue;
    POPPYWAY_LOG(fatal, "start_failed")
        .Field("code", Describe(started.error().m_code).m_name)
        .Field("why", started.error().m_message);
    std::cerr << "poppywayd: " << started.error().m_message << "\n";
    return kStartFailedExit;
  }
  g_control = &control;
  std::signal(SIGTERM, &OnStopSignal);
  std::signal(SIGINT, &OnStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  POPPYWAY_LOG(info, "started")
      .Field("incarnation", incarnation)
      .Field("http", ToText(settings.m_http))
      .Field("peer", ToText(settings.m_peer));
  std::thread gateway_thread([&gateway_loop] { gateway_loop.Run(); });
  control_loop.Run();
  gateway_loop.Stop();
  gateway_thread.join();
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("poppywayd: the daemon of poppyway");
  options.add_options()("settings,s", po::value<std::string>(), "settings file (YAML)")(
      "check", "check the settings and exit")("version", "print the version")("help,h",
                                                                               "print this");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
  } catch (const po::error& fault) {
    std::cerr << "poppywayd: " << fault.what() << "; see --help\n";
    return kUsageExit;
  }
  if (given.contains("help") || given.contains("version")) {
    std::cout << "poppywayd 0.1.0\n";
    if (given.contains("help"))
      std::cout << options;
    return EXIT_SUCCESS;
  }
  if (!given.contains("settings")) {
    std::cerr << "poppywayd: --settings is required; see --help\n";
    return kUsageExit;
  }
  const Result<DaemonSettings> settings = LoadDaemonSettings(given["settings"].as<std::string>());
  if (!settings) {
    std::cerr << "poppywayd: " << settings.error().m_message << "\n";
    return kUsageExit;
  }
  if (given.contains("check")) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  return Run(*settings);
}

}  // namespace
}  // namespace poppyway

int main(int argc, char** argv) {
  return poppyway::Main(argc, argv);
}
