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

/// An HTTP answer as a caller sees it.
struct HttpResponse {
  int m_status = 0;  ///< Zero if no head came.
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  bool m_complete = false;  ///< The body came to the end that its framing announced.
};

/// One blocking HTTP/1.1 request on a connection of its own.
[[nodiscard]] HttpResponse Http(std::uint16_t port,
                                const std::string& method,
                                const std::string& path,
                                const std::vector<std::string>& headers = {},
                                const std::string& body = "",
                                int timeout_ms = 10'000);

/// What a finished command printed and returned.
struct ProcessResult {
  int m_exit = -1;
  std::string m_output;
};

/// Real processes on loopback: one stand-in for all backend servers, and some instances, of which
/// the first three are members. Every process is ended by its id.
class ProcessCluster {
 public:
  explicit ProcessCluster(int instances, std::vector<std::string> extra_settings = {});
  ~ProcessCluster();

  /// From the next start on, a sync of an instance takes `sync_ms` longer, in a share of all cases.
  void DelaySyncs(int sync_ms, double share = 1);
  void StartFake(const std::vector<std::string>& arguments);
  void Start(int instance);
  void Kill(int instance);       ///< SIGKILL, and waits.
  void Terminate(int instance);  ///< SIGTERM; does not wait.
  int Join(int instance);        ///< Waits for the end; returns the exit code.
  void Suspend(int instance);
  void Resume(int instance);
  void WipeFolder(int instance);
  [[nodiscard]] bool running(int instance) const { return m_pids.contains(instance); }

  /// Waits until all running instances are ready for callers.
  [[nodiscard]] bool AwaitReady(int timeout_ms = 15'000);
  [[nodiscard]] bool AwaitStatus(const std::function<bool(const wire::StatusReply&)>& holds,
                                 int timeout_ms = 15'000);
  [[nodiscard]] Result<wire::StatusReply> Status();
  /// Number of the instance that leads; zero if none answers.
  [[nodiscard]] int Leader();
  /// Runs `poppyway` with `--instance` for every instance.
  [[nodiscard]] ProcessResult RunCli(const std::vector<std::string>& arguments);
  [[nodiscard]] ProcessResult Load(const std::string& plan, int balancer_lag_ms = 300);
  /// Writes a file into the cluster's folder; returns its path.
  std::string Write(const std::string& name, const std::string& text);
  [[nodiscard]] HttpResponse Fake(const std::string& path, const std::string& body = "");
  /// Number after `name` in the stand-in's report.
  [[nodiscard]] long FakeCount(const std::string& name);
  [[nodiscard]] std::string LogOf(int instance) const;

  [[nodiscard]] std::uint16_t HttpPort(int instance) const;
  [[nodiscard]] std::uint16_t PeerPort(int instance) const;
  [[nodiscard]] static std::uint16_t FakePort(int number);
  [[nodiscard]] const std::vector<int>& all() const { return m_all; }

 private:
  /// What each instance that isn't ready says and last logged, so that a failure can be traced.
  void PrintUnready() const;

  TemporaryFolder m_folder;
  std::vector<int> m_all;
  std::map<int, pid_t> m_pids;
  std::vector<std::string> m_environment;  ///< Of instances, besides that of the tests.
  pid_t m_fake = 0;
  std::uint16_t m_fake_control = 0;
};

/// A small deployment: one model pool with two engines on each of three servers, one service with
/// two servers; events "chat" (tier 1), "exam" (tier 0), "batch" (tier 2), "book" (not repeatable),
/// "look" (repeatable).
[[nodiscard]] std::string SmallDeployment(const ProcessCluster& cluster);
/// Arguments of the stand-in that serves it.
[[nodiscard]] std::vector<std::string> SmallDeploymentFakeArguments(const ProcessCluster& cluster);

/// Starts everything and applies the small deployment; requires success.
void StartSmallDeployment(ProcessCluster& cluster);

void SleepMs(int millis);

}  // namespace poppyway::test
