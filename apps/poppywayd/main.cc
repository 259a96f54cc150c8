// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The daemon reads its settings, starts the control task and the gateway task and stops on SIGTERM
// or SIGINT.

#include <cstdlib>
#include <future>
#include <iostream>
#include <thread>

#include <boost/program_options.hpp>

#include "control_task.h"
#include "hosted_daemon.h"
#include "incarnation.h"
#include "poppyway/gateway.h"
#include "signal_reader.h"

namespace poppyway {
namespace {

constexpr int kUsageExit = 64;
constexpr int kStartFailedExit = 70;

/// Runs the gateway task. Its loop and everything on the loop are created, used and destroyed on
/// its own thread, since the HTTP library keeps buffers per thread.
class GatewayThread {
 public:
  GatewayThread(const DaemonSettings& settings,
                const std::string& incarnation,
                std::function<void(GatewayMessage)> to_control)
      : m_thread([this, settings, incarnation, to_control] {
          EventLoop loop;
          Gateway gateway(loop, settings, incarnation, to_control);
          Mailbox<ControlMessage> inbox(loop, [&gateway](ControlMessage message) {
            gateway.HandleMessage(std::move(message));
          });
          m_loop = &loop;
          m_inbox = &inbox;
          m_started.set_value(gateway.Listen());
          loop.Run();
        }) {}

  [[nodiscard]] Result<void> AwaitStart() { return m_started.get_future().get(); }
  void Send(ControlMessage message) { m_inbox->Send(std::move(message)); }
  void Stop() {
    m_loop->Stop();
    m_thread.join();
  }

 private:
  std::promise<Result<void>> m_started;
  EventLoop* m_loop = nullptr;
  Mailbox<ControlMessage>* m_inbox = nullptr;
  std::thread m_thread;
};

int ReportStartFailure(const Error& error) {
  POPPYWAY_LOG(fatal, "start_failed")
      .Field("code", ResultInfoOf(error.m_code).m_name)
      .Field("why", error.m_message);
  std::cerr << "poppywayd: " << error.m_message << "\n";
  return kStartFailedExit;
}

int Run(const DaemonSettings& settings) {
  const std::string incarnation = MakeIncarnation(settings.m_instance);
  StartLogging({.m_file = settings.m_log_file, .m_instance = settings.m_instance});
  EventLoop control_loop;
  std::unique_ptr<GatewayThread> gateway;
  ControlTask control(control_loop, settings, incarnation,
                      [&gateway](ControlMessage message) { gateway->Send(std::move(message)); });
  gateway = std::make_unique<GatewayThread>(
      settings, incarnation,
      [&control](GatewayMessage message) { control.inbox().Send(std::move(message)); });
  Result<void> started = gateway->AwaitStart();
  if (started)
    started = control.Start();
  if (!started) {
    gateway->Stop();
    return ReportStartFailure(started.error());
  }
  const SignalReader signals(control_loop,
                             {[&control](Instant /*arrived*/) { control.RequestStop(); }, {}});
  POPPYWAY_LOG(info, "started")
      .Field("incarnation", incarnation)
      .Field("http", ToText(settings.m_http))
      .Field("peer", ToText(settings.m_peer));
  control_loop.Run();
  gateway->Stop();
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("poppywayd: the daemon of poppyway");
  options.add_options()("settings,s", po::value<std::string>(), "settings file (YAML)")(
      "check", "check the settings and exit")(
      "hosted", "run on a hosting platform, by its settings")("version", "print the version")(
      "help,h", "print this");
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
  if (given.contains("hosted"))
    return RunHosted();
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
