// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <catch2/catch.hpp>
#include <thread>

#include "fake_broker.h"
#include "forwarder_fixture.h"

namespace poppyway {

/// Returns the record of a server at a port of this machine.
inline wire::ServerRecord RecordAt(const std::string& id, std::uint16_t port, std::int64_t index) {
  wire::ServerRecord record;
  record.id = id;
  record.pool = "app";
  record.address = "127.0.0.1";
  record.port = port;
  record.slots = 4;
  record.stage = wire::ServerStage::READY;
  record.index = index;
  return record;
}

/// \brief A listener that lets no connection come up: its queue is full and nobody accepts.
class SilentListener {
 public:
  SilentListener() {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(where);
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    bind(m_listener, reinterpret_cast<sockaddr*>(&where), size);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&where), &size);
    listen(m_listener, 0);
    for (int& fd : m_fill) {
      fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(fd, reinterpret_cast<sockaddr*>(&where), size);
    }
    m_port = ntohs(where.sin_port);
  }
  ~SilentListener() {
    for (const int fd : m_fill)
      close(fd);
    close(m_listener);
  }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;
  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

 private:
  int m_listener = -1;
  int m_fill[3] = {-1, -1, -1};
  std::uint16_t m_port = 0;
};

/// \brief A helper on a loop and a thread of its own.
///
/// Its thread stands for another machine; the test asks it as another instance does.
class HelperInstance {
 public:
  HelperInstance() {
    m_settings.m_instance = "helper";
    for (int i = 0; i < kPortTries; ++i) {
      m_settings.m_caller_endpoint = {"127.0.0.1", FreePort()};
      m_settings.m_relay_endpoint = {"127.0.0.1", FreePort()};
      m_forwarder =
          std::make_unique<Forwarder>(m_loop, m_settings, platform::MakeProtocolAdapter());
      if (m_forwarder->Listen())
        break;
    }
  }
  ~HelperInstance() { Stop(); }
  HelperInstance(const HelperInstance&) = delete;
  HelperInstance& operator=(const HelperInstance&) = delete;

  void Register(const std::string& id, std::uint16_t port) {
    m_forwarder->HandleMessage(ServersChanged{{RecordAt(id, port, ++m_index)}});
  }
  /// Runs the loop on a thread until `Stop`. The forwarder must not be used meanwhile.
  void Run() {
    m_thread = std::thread([this] {
      while (!m_stop.load())
        m_loop.RunFor(5);
    });
  }
  void Stop() {
    m_stop.store(true);
    if (m_thread.joinable())
      m_thread.join();
  }
  [[nodiscard]] Forwarder& forwarder() { return *m_forwarder; }
  [[nodiscard]] Endpoint endpoint() const { return m_settings.m_relay_endpoint; }

 private:
  EventLoop m_loop;
  ForwarderSettings m_settings;
  std::unique_ptr<Forwarder> m_forwarder;
  std::int64_t m_index = 1;
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};

/// Returns the raw response to a request on the helper's port.
inline CallResult Ask(const Endpoint& helper, const std::string& request) {
  CallResult seen;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{3, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(helper.m_port);
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0);
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  char buffer[4096];
  while (!IsCompleteResponse(seen.m_bytes)) {
    const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    if (got <= 0)
      break;
    seen.m_bytes.append(buffer, static_cast<std::size_t>(got));
  }
  close(fd);
  seen.m_bytes = PlainHead(seen.m_bytes);
  return seen;
}

inline std::string RelayRequest(std::uint16_t port,
                                const std::string& method,
                                const std::string& body) {
  return method + " /safe/x?q=1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n" +
         "X-Other: kept\r\n" + std::string(kRelayTo) + ": 127.0.0.1:" + std::to_string(port) +
         "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string CheckOf(std::uint16_t port) {
  return "GET / HTTP/1.1\r\nHost: h\r\n" + std::string(kRelayTo) +
         ": 127.0.0.1:" + std::to_string(port) + "\r\n" + std::string(kRelayCheck) + ": 1\r\n\r\n";
}

inline std::string FaultLine(RelayFault fault) {
  return std::string(kRelayFault) + ": " + std::string(RelayFaultName(fault)) + "\r\n";
}

}  // namespace poppyway
