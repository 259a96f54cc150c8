// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "process_cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace poppyway::test {
namespace {

constexpr std::uint16_t kFirstPort = 20'000;  // Below the kernel's range of ephemeral ports.
constexpr std::uint16_t kLastPort = 32'000;
constexpr std::uint16_t kPorts = 300;  // Ports that one test process reserves.
constexpr std::uint16_t kPeerOffset = 100;
constexpr std::uint16_t kFakeOffset = 200;
constexpr std::uint16_t kGuardOffset = kPorts - 1;  // The port that marks a range as used.
const std::string kBuild = POPPYWAY_BUILD;

/// Listens on `port` until this process ends. Returns false if the port is in use.
bool ReservePort(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool reserved =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 && listen(fd, 1) == 0;
  if (!reserved)
    close(fd);
  return reserved;
}

/// First port of the range that this test process uses. Concurrent runs on one machine use
/// different ranges; otherwise an instance that is killed in one run could find its port in use by
/// another run when it restarts.
std::uint16_t BasePort() {
  static const std::uint16_t base = [] {
    for (std::uint16_t first = kFirstPort; first + kPorts <= kLastPort; first += kPorts) {
      if (ReservePort(first + kGuardOffset))
        return first;
    }
    throw std::runtime_error("no range of ports is free for the process tests");
  }();
  return base;
}

/// Null-terminated array of pointers for system calls; valid as long as `strings` is unchanged.
std::vector<char*> PointersTo(std::vector<std::string>& strings) {
  std::vector<char*> pointers;
  for (std::string& string : strings)
    pointers.push_back(string.data());
  pointers.push_back(nullptr);
  return pointers;
}

pid_t Spawn(std::vector<std::string> command,
            int output = -1,
            std::vector<std::string> environment = {}) {
  for (char** entry = environ; *entry != nullptr; ++entry)
    environment.emplace_back(*entry);
  const std::vector<char*> argv = PointersTo(command);
  const std::vector<char*> variables = PointersTo(environment);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (output >= 0) {
    posix_spawn_file_actions_adddup2(&actions, output, 1);
    posix_spawn_file_actions_adddup2(&actions, output, 2);
  } else {
    posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 2, "/dev/null", O_WRONLY, 0);
  }
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  REQUIRE(failed == 0);
  return pid;
}

int WaitFor(pid_t pid) {
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

ProcessResult RunCommand(const std::vector<std::string>& command) {
  std::array<int, 2> pipe_ends;
  REQUIRE(pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
  const pid_t pid = Spawn(command, pipe_ends[1]);
  close(pipe_ends[1]);
  ProcessResult result;
  std::array<char, 4096> chunk;
  ssize_t got = 0;
  while ((got = read(pipe_ends[0], chunk.data(), chunk.size())) > 0)
    result.m_output.append(chunk.data(), static_cast<std::size_t>(got));
  close(pipe_ends[0]);
  result.m_exit = WaitFor(pid);
  return result;
}

std::string NameOf(int instance) {
  return "entry-" + std::to_string(instance);
}

int Connect(std::uint16_t port, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}

void ParseHead(const std::string& head, HttpResponse& answer) {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  answer.m_status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && value.back() == '\r')
      value.pop_back();
    answer.m_headers[name] = value;
  }
}

/// Decodes a chunked body. Returns true if the body includes the last chunk.
bool Dechunk(const std::string& raw, std::string& body) {
  std::size_t at = 0;
  while (true) {
    const std::size_t end = raw.find("\r\n", at);
    if (end == std::string::npos)
      return false;
    const std::size_t size = std::strtoul(raw.c_str() + at, nullptr, 16);
    if (size == 0)
      return true;
    if (raw.size() < end + 2 + size + 2)
      return false;
    body += raw.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
}

}  // namespace

void SleepMs(int millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

HttpResponse Http(std::uint16_t port,
                  const std::string& method,
                  const std::string& path,
                  const std::vector<std::string>& headers,
                  const std::string& body,
                  int timeout_ms) {
  HttpResponse answer;
  const int fd = Connect(port, timeout_ms);
  if (fd < 0)
    return answer;
  std::string request = method + " " + path + " HTTP/1.1\r\nhost: t\r\nconnection: close\r\n";
  for (const std::string& header : headers)
    request += header + "\r\n";
  request += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  (void)send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  std::string raw;
  std::array<char, 65536> chunk;
  ssize_t got = 0;
  while ((got = recv(fd, chunk.data(), chunk.size(), 0)) > 0)
    raw.append(chunk.data(), static_cast<std::size_t>(got));
  close(fd);
  const std::size_t split = raw.find("\r\n\r\n");
  if (split == std::string::npos)
    return answer;
  ParseHead(raw.substr(0, split), answer);
  const std::string rest = raw.substr(split + 4);
  if (answer.m_headers.contains("content-length")) {
    answer.m_body = rest;
    answer.m_complete = rest.size() == std::stoul(answer.m_headers["content-length"]);
  } else {
    answer.m_complete = Dechunk(rest, answer.m_body);
  }
  return answer;
}

ProcessCluster::ProcessCluster(int instances, std::vector<std::string> extra_settings) {
  for (int n = 1; n <= instances; ++n) {
    m_all.push_back(n);
    std::ostringstream text;
    text << "cluster: test\ninstance: " << NameOf(n) << "\ndata_centre: dc" << n % 2
         << "\nhttp: 127.0.0.1:" << HttpPort(n) << "\npeer: 127.0.0.1:" << PeerPort(n)
         << "\nmembers:\n";
    for (int m = 1; m <= 3; ++m)
      text << "  " << NameOf(m) << ": 127.0.0.1:" << PeerPort(m) << "\n";
    if (n <= 3)
      text << "data_folder: " << m_folder.path() << "/data-" << n << "\n";
    text << "log_file: " << m_folder.path() << "/" << NameOf(n) << ".log\n"
         << "heartbeat_ms: 100\nlease_ms: 900\nbalancer_lag_ms: 900\n";
    for (const std::string& line : extra_settings)
      text << line << "\n";
    Write(NameOf(n) + ".yaml", text.str());
  }
}

ProcessCluster::~ProcessCluster() {
  for (const auto& [instance, pid] : m_pids) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    WaitFor(pid);
  }
  if (m_fake != 0) {
    kill(m_fake, SIGKILL);
    WaitFor(m_fake);
  }
}

std::uint16_t ProcessCluster::HttpPort(int instance) const {
  return static_cast<std::uint16_t>(BasePort() + instance);
}
std::uint16_t ProcessCluster::PeerPort(int instance) const {
  return static_cast<std::uint16_t>(BasePort() + kPeerOffset + instance);
}
std::uint16_t ProcessCluster::FakePort(int number) {
  return static_cast<std::uint16_t>(BasePort() + kFakeOffset + number);
}

void ProcessCluster::DelaySyncs(int sync_ms, double share) {
  m_environment = {"LD_PRELOAD=" + kBuild + "/tests/libpoppyway_slow_sync.so",
                   "POPPYWAY_SYNC_MS=" + std::to_string(sync_ms),
                   "POPPYWAY_SYNC_SHARE=" + std::to_string(share)};
}

void ProcessCluster::StartFake(const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {kBuild + "/fakes/poppyway-fake"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  m_fake = Spawn(command);
  for (int i = 0; i < 100; ++i) {
    if (Fake("/__fake/report").m_status == 200)
      return;
    SleepMs(20);
  }
  FAIL("the stand-in did not start");
}

void ProcessCluster::Start(int instance) {
  m_pids[instance] = Spawn(
      {kBuild + "/poppywayd", "--settings", m_folder.path() + "/" + NameOf(instance) + ".yaml"}, -1,
      m_environment);
}

void ProcessCluster::Kill(int instance) {
  const pid_t pid = m_pids.at(instance);
  kill(pid, SIGKILL);
  WaitFor(pid);
  m_pids.erase(instance);
}

void ProcessCluster::Terminate(int instance) {
  kill(m_pids.at(instance), SIGTERM);
}

int ProcessCluster::Join(int instance) {
  const int code = WaitFor(m_pids.at(instance));
  m_pids.erase(instance);
  return code;
}

void ProcessCluster::Suspend(int instance) {
  kill(m_pids.at(instance), SIGSTOP);
}

void ProcessCluster::Resume(int instance) {
  kill(m_pids.at(instance), SIGCONT);
}

void ProcessCluster::WipeFolder(int instance) {
  std::filesystem::remove_all(m_folder.path() + "/data-" + std::to_string(instance));
}

bool ProcessCluster::AwaitReady(int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += 50) {
    const bool ready = std::all_of(m_pids.begin(), m_pids.end(), [this](const auto& entry) {
      return Http(HttpPort(entry.first), "GET", "/health/ready", {}, "", 500).m_status == 200;
    });
    if (ready)
      return true;
    SleepMs(50);
  }
  PrintUnready();
  return false;
}

void ProcessCluster::PrintUnready() const {
  constexpr std::size_t kTail = 4'000;  // Bytes of each log: some seconds of an idle instance.
  for (const auto& [instance, pid] : m_pids) {
    const int status = Http(HttpPort(instance), "GET", "/health/ready", {}, "", 500).m_status;
    if (status == 200)
      continue;
    const std::string log = LogOf(instance);
    std::cerr << NameOf(instance) << " (pid " << pid << ") answers " << status
              << "; its log ends with:\n"
              << log.substr(log.size() - std::min(log.size(), kTail)) << "\n";
  }
}

Result<wire::StatusReply> ProcessCluster::Status() {
  wire::Body body;
  body.__set_status({});
  body.status.here = false;
  Error last;
  for (auto it = m_pids.rbegin(); it != m_pids.rend(); ++it) {
    const int instance = it->first;
    const Result<wire::Body> reply =
        CallOnce("127.0.0.1", PeerPort(instance), body, std::chrono::milliseconds(700));
    if (reply && reply->__isset.status_reply && reply->status_reply.leader_here)
      return reply->status_reply;
    if (!reply)
      last = reply.error();
  }
  return tl::unexpected<Error>(last);
}

bool ProcessCluster::AwaitStatus(const std::function<bool(const wire::StatusReply&)>& holds,
                                 int timeout_ms) {
  const Instant end = ReadClock() + std::chrono::milliseconds(timeout_ms);
  while (ReadClock() < end) {
    const Result<wire::StatusReply> status = Status();
    if (status && holds(*status))
      return true;
    SleepMs(50);
  }
  return false;
}

int ProcessCluster::Leader() {
  const Result<wire::StatusReply> status = Status();
  if (!status)
    return 0;
  for (const wire::MemberInfo& member : status->membership.members) {
    if (member.id == status->leader_id)
      return std::atoi(member.name.substr(6).c_str());
  }
  return 0;
}

ProcessResult ProcessCluster::RunCli(const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {kBuild + "/poppyway"};
  for (const auto& [instance, pid] : m_pids) {
    command.push_back("--instance");
    command.push_back("127.0.0.1:" + std::to_string(PeerPort(instance)));
  }
  command.insert(command.end(), arguments.begin(), arguments.end());
  return RunCommand(command);
}

ProcessResult ProcessCluster::Load(const std::string& plan, int balancer_lag_ms) {
  std::vector<std::string> command = {kBuild + "/poppyway",
                                      "--output",
                                      "json",
                                      "load",
                                      Write("plan.yaml", plan),
                                      "--balancer-lag-ms",
                                      std::to_string(balancer_lag_ms)};
  for (const int instance : m_all) {
    command.push_back("--target");
    command.push_back("127.0.0.1:" + std::to_string(HttpPort(instance)));
  }
  return RunCommand(command);
}

std::string ProcessCluster::Write(const std::string& name, const std::string& text) {
  const std::string path = m_folder.path() + "/" + name;
  std::ofstream(path) << text;
  return path;
}

HttpResponse ProcessCluster::Fake(const std::string& path, const std::string& body) {
  return Http(FakePort(1), body.empty() ? "GET" : "POST", path, {}, body);
}

long ProcessCluster::FakeCount(const std::string& name) {
  std::istringstream report(Fake("/__fake/report").m_body);
  std::string line;
  while (std::getline(report, line)) {
    if (line.starts_with(name + " "))
      return std::atol(line.c_str() + name.size() + 1);
  }
  return -1;
}

std::string ProcessCluster::LogOf(int instance) const {
  std::ostringstream text;
  text << std::ifstream(m_folder.path() + "/" + NameOf(instance) + ".log").rdbuf();
  return text.str();
}

std::string SmallDeployment(const ProcessCluster& cluster) {
  std::ostringstream text;
  text << "kind: pool\nname: models\n---\nkind: pool\nname: desk\ntype: service\nprefix: /desk/\n";
  for (int s = 1; s <= 3; ++s) {
    text << "---\nkind: server\nname: m" << s << "\npool: models\naddress: 127.0.0.1\nengines:\n";
    for (int e = 0; e < 2; ++e)
      text << "  - {name: e" << e << ", port: " << cluster.FakePort(2 * s - 1 + e)
           << ", slots: 8}\n";
  }
  for (int s = 1; s <= 2; ++s)
    text << "---\nkind: server\nname: d" << s << "\npool: desk\naddress: 127.0.0.1\nengines:\n"
         << "  - {name: http, port: " << cluster.FakePort(10 + s)
         << ", slots: 64, prefill_tokens: 1000000}\n";
  const auto event = [&text](const char* name, const char* pool, int tier, const char* more) {
    text << "---\nkind: event\nname: " << name << "\npool: " << pool << "\ntier: " << tier
         << "\ncallers: event = " << name << "\n"
         << more;
  };
  event("exam", "models", 0, "deadline_ms: 10000\n");
  event("chat", "models", 1, "deadline_ms: 10000\n");
  event("batch", "models", 2, "deadline_ms: 30000\n");
  event("book", "desk", 0, "repeatable: false\ndeadline_ms: 5000\n");
  event("look", "desk", 1, "deadline_ms: 5000\n");
  return text.str();
}

std::vector<std::string> SmallDeploymentFakeArguments(const ProcessCluster& cluster) {
  std::vector<std::string> arguments = {"--odd-chunks"};
  for (int e = 1; e <= 6; ++e) {
    arguments.push_back("--engine");
    arguments.push_back(std::to_string(cluster.FakePort(e)) + ":g2");
  }
  for (int s = 11; s <= 12; ++s) {
    arguments.push_back("--service");
    arguments.push_back(std::to_string(cluster.FakePort(s)));
  }
  return arguments;
}

void StartSmallDeployment(ProcessCluster& cluster) {
  cluster.StartFake(SmallDeploymentFakeArguments(cluster));
  for (const int instance : cluster.all())
    cluster.Start(instance);
  REQUIRE(cluster.AwaitStatus(
      [](const wire::StatusReply& status) { return status.instances.size() >= 3; }));
  const std::string path = cluster.Write("deployment.yaml", SmallDeployment(cluster));
  const ProcessResult applied = cluster.RunCli({"apply", path, "--wait", "20"});
  INFO(applied.m_output);
  REQUIRE(applied.m_exit == 0);
  REQUIRE(cluster.AwaitReady());
  REQUIRE(cluster.AwaitStatus(
      [](const wire::StatusReply& status) { return status.leases.size() == 2; }));
}

}  // namespace poppyway::test
