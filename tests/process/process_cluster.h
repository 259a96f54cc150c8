// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "poppyway/wire.h"
#include "temporary_folder.h"

namespace poppyway::test {

/// \brief An HTTP response as a client sees it.
struct HttpResponse {
  int m_status = 0;                              ///< Zero if no head was received.
  std::map<std::string, std::string> m_headers;  ///< Names are in lower case.
  std::string m_body;
  bool m_complete = false;  ///< The body is complete by its framing.
};

/// \brief Sends one HTTP/1.1 request to a loopback port on a new connection. Blocks until the
/// connection is closed or nothing was received for `timeout_ms`.
[[nodiscard]] HttpResponse Http(std::uint16_t port,
                                const std::string& method,
                                const std::string& path,
                                const std::vector<std::string>& headers = {},
                                const std::string& body = "",
                                int timeout_ms = 10'000);

/// \brief Exit code and output of a finished command.
struct ProcessResult {
  int m_exit = -1;       ///< 128 plus the signal number if a signal ended it.
  std::string m_output;  ///< Standard output and standard error.
};

/// \brief Real processes on loopback: one fake server process for all backend servers, and a number
/// of instances, the first three of which are members. The destructor kills every process that was
/// started, by its id. Instances are numbered from one. Load(), Fake(), FakeCount() and the methods
/// that return ports may be called from any thread, the others from one thread at a time.
class ProcessCluster {
 public:
  /// \param extra_settings lines that are added to the settings of each instance.
  explicit ProcessCluster(int instances, std::vector<std::string> extra_settings = {});
  ~ProcessCluster();

  /// \brief Delays a share of the syncs of instances that are started from now on by `sync_ms`.
  void DelaySyncs(int sync_ms, double share = 1);
  /// \brief Starts the fake server process and waits until it responds.
  void StartFake(const std::vector<std::string>& arguments);
  void Start(int instance);
  void Kill(int instance);        ///< Sends SIGKILL and waits for the exit.
  void Terminate(int instance);   ///< Sends SIGTERM and does not wait.
  int Join(int instance);         ///< Waits for the exit and returns the exit code.
  void Suspend(int instance);     ///< Sends SIGSTOP.
  void Resume(int instance);      ///< Sends SIGCONT.
  void WipeFolder(int instance);  ///< Deletes the data folder.
  [[nodiscard]] bool running(int instance) const { return m_pids.contains(instance); }

  /// \brief Waits until all running instances report that they are ready. Prints the log tail of
  /// the others on a timeout.
  /// \return false on a timeout.
  [[nodiscard]] bool AwaitReady(int timeout_ms = 15'000);
  /// \brief Polls the leader's status until `holds` returns true for it.
  /// \return false on a timeout.
  [[nodiscard]] bool AwaitStatus(const std::function<bool(const wire::StatusReply&)>& holds,
                                 int timeout_ms = 15'000);
  /// \brief Fetches the leader's status through any running instance.
  [[nodiscard]] Result<wire::StatusReply> Status();
  /// \brief Returns the number of the leader, or zero if no instance returns a status.
  [[nodiscard]] int Leader();
  /// \brief Runs `poppyway` with an `--instance` option for every running instance.
  [[nodiscard]] ProcessResult RunCli(const std::vector<std::string>& arguments);
  /// \brief Runs `poppyway load` against all instances and returns its JSON report.
  [[nodiscard]] ProcessResult Load(const std::string& plan, int balancer_lag_ms = 300);
  /// \brief Writes a file into the cluster's folder.
  /// \return its path.
  std::string Write(const std::string& name, const std::string& text);
  /// \brief Sends a request to a control page of the fake server: POST if there is a body, else
  /// GET.
  [[nodiscard]] HttpResponse Fake(const std::string& path, const std::string& body = "");
  /// \brief Returns the counter `name` of the fake server's report, or -1 if it is missing.
  [[nodiscard]] long FakeCount(const std::string& name);
  [[nodiscard]] std::string LogOf(int instance) const;

  [[nodiscard]] std::uint16_t HttpPort(int instance) const;
  [[nodiscard]] std::uint16_t PeerPort(int instance) const;
  [[nodiscard]] static std::uint16_t FakePort(int number);
  [[nodiscard]] const std::vector<int>& all() const { return m_all; }

 private:
  /// Prints the readiness status and the end of the log of each instance that is not ready, to help
  /// debug a failure.
  void PrintUnready() const;

  TemporaryFolder m_folder;
  std::vector<int> m_all;
  std::map<int, pid_t> m_pids;
  std::vector<std::string> m_environment;  ///< Extra variables of the instances.
  pid_t m_fake = 0;
  std::uint16_t m_fake_control = 0;
};

/// \brief Declarations of a small deployment: one model pool with two engines on each of three
/// servers, one service with two servers; events "chat" (tier 1), "exam" (tier 0), "batch" (tier
/// 2), "book" (not repeatable), "look" (repeatable).
[[nodiscard]] std::string SmallDeployment(const ProcessCluster& cluster);
/// \brief Arguments of the fake server process that serves the small deployment.
[[nodiscard]] std::vector<std::string> SmallDeploymentFakeArguments(const ProcessCluster& cluster);

/// \brief Starts all processes and applies the small deployment. The test fails if a step fails.
void StartSmallDeployment(ProcessCluster& cluster);

void SleepMs(int millis);

}  // namespace poppyway::test
