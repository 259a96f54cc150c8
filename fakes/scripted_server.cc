// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "scripted_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "loopback.h"

namespace poppyway::test {
namespace {

constexpr int kBacklog = 64;
constexpr int kAwaitMillis = 2'000;  // Timeout of kAwaitClose.
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::size_t BodyLength(const std::string& head) {
  constexpr std::string_view kName = "content-length: ";
  const std::size_t at = head.find(kName);
  return at == std::string::npos ? 0 : std::stoul(head.substr(at + kName.size()));
}

/// Reads one request. Returns an empty string if the connection was closed or failed.
std::string ReadRequest(int fd) {
  std::string request;
  while (true) {
    const std::size_t end = request.find(kHeadEnd);
    if (end != std::string::npos) {
      const std::size_t whole = end + kHeadEnd.size() + BodyLength(request.substr(0, end));
      if (request.size() >= whole)
        return request;
    }
    char buffer[4096];
    const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    if (got <= 0)
      return "";
    request.append(buffer, static_cast<std::size_t>(got));
  }
}

}  // namespace

ScriptedServer::ScriptedServer(Script script) : m_script(std::move(script)) {
  const LoopbackListener listener = ListenOnLoopback(kBacklog);
  m_listener = listener.m_fd;
  m_port = listener.m_port;
  m_acceptor = std::thread([this] { Accept(); });
}

ScriptedServer::~ScriptedServer() {
  m_stopping.store(true);
  shutdown(m_listener, SHUT_RDWR);
  close(m_listener);
  m_acceptor.join();
  EndAllConnections();
  for (std::thread& thread : m_threads)
    thread.join();
}

void ScriptedServer::EndAllConnections() {
  const std::lock_guard lock(m_mutex);
  for (const int fd : m_open)
    shutdown(fd, SHUT_RDWR);
}

std::vector<std::string> ScriptedServer::requests() const {
  const std::lock_guard lock(m_mutex);
  return m_requests;
}

void ScriptedServer::Accept() {
  while (!m_stopping.load()) {
    const int fd = accept(m_listener, nullptr, nullptr);
    if (fd < 0)
      return;
    ++m_accepted;
    const std::lock_guard lock(m_mutex);
    m_open.push_back(fd);
    m_threads.emplace_back([this, fd] { Serve(fd); });
  }
}

void ScriptedServer::Serve(int fd) {
  bool open = true;
  while (open) {
    const std::string request = ReadRequest(fd);
    if (request.empty())
      break;
    {
      const std::lock_guard lock(m_mutex);
      m_requests.push_back(request);
    }
    for (const ScriptStep& step : m_script(request))
      open = open && Perform(fd, step);
  }
  const std::lock_guard lock(m_mutex);
  std::erase(m_open, fd);
  close(fd);
}

bool ScriptedServer::Perform(int fd, const ScriptStep& step) {
  switch (step.m_kind) {
    case ScriptStep::Kind::kSend:
      return send(fd, step.m_bytes.data(), step.m_bytes.size(), MSG_NOSIGNAL) >= 0;
    case ScriptStep::Kind::kWait:
      std::this_thread::sleep_for(std::chrono::milliseconds(step.m_millis));
      return true;
    case ScriptStep::Kind::kClose:
      return false;
    case ScriptStep::Kind::kReset: {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      return false;
    }
    case ScriptStep::Kind::kAwaitClose: {
      pollfd watched{fd, POLLIN | POLLRDHUP, 0};
      char byte = 0;
      if (poll(&watched, 1, kAwaitMillis) == 1 && recv(fd, &byte, 1, MSG_PEEK) <= 0)
        ++m_peer_closes;
      return false;
    }
    case ScriptStep::Kind::kCrash:
      m_crashed.store(true);
      shutdown(m_listener, SHUT_RDWR);
      EndAllConnections();
      return false;
  }
  return false;
}

}  // namespace poppyway::test
