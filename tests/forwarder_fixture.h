// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <thread>

#include "poppyway/platform.h"
#include "scripted_server.h"

namespace poppyway {

using test::AwaitClose;
using test::CloseNow;
using test::Crash;
using test::ResetNow;
using test::ScriptedServer;
using test::ScriptStep;
using test::Send;
using test::Wait;

inline constexpr int kCallerMillis = 3'000;
inline constexpr int kPortTries = 20;

/// Returns the document of all tests, with one route of each kind and a workspace with a key.
/// `rate` is its limit in tokens per second; zero: none.
inline std::string Document(int version, const std::string& key, double rate = 0) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"safe","host":"a.example","path_prefix":"/safe/","route_kind":"safe","timeout_ms":1500,
     "slo_ms":400,"priority":0,"service":"app","max_attempts":2},
    {"name":"once","host":"a.example","path_prefix":"/once/","route_kind":"unsafe",
     "timeout_ms":1500,"slo_ms":400,"priority":0,"service":"app","max_attempts":2},
    {"name":"stream","host":"a.example","path_prefix":"/stream/","route_kind":"streaming",
     "timeout_ms":1500,"slo_ms":400,"gap_slo_ms":300,"priority":0,"service":"app","max_attempts":2,
     "resumable":true}],
   "services":[{"name":"app","health_path":"/h","max_conns":9}],
   "tenants":[{"name":"north","api_keys":[")" +
         key + R"("],"unit":"token_stream","plain_tokens":10,"rate_per_s":)" +
         std::to_string(rate) + R"(,"burst":)" + std::to_string(rate) + "}]}";
}

/// Returns the id of a request that a server received.
inline std::string IdOf(const std::string& request) {
  constexpr std::string_view kName = "x-attempt-id: ";
  const std::size_t at = request.find(kName) + kName.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

/// Returns the head of a valid response to `request`; `more` holds further header lines.
inline std::string MakeResponseHead(const std::string& request, const std::string& more) {
  return "HTTP/1.1 200 OK\r\nx-attempt-id: " + IdOf(request) + "\r\nx-response-seal: s\r\n" + more +
         "\r\n";
}

inline std::vector<ScriptStep> MakeResponse(const std::string& request, const std::string& body) {
  return {Send(
      MakeResponseHead(request, "content-length: " + std::to_string(body.size()) + "\r\n") + body)};
}

inline std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(static_cast<std::size_t>(id), 'x') +
         "\n\n";
}

/// Returns a port that no process listens on at the moment.
inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(where);
  bind(fd, reinterpret_cast<sockaddr*>(&where), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
  close(fd);
  return ntohs(where.sin_port);
}

/// \brief A forwarder on an event loop of the test's thread, with a confirmed configuration.
struct ForwarderFixture {
  EventLoop m_loop;
  ForwarderSettings m_settings;
  std::unique_ptr<Forwarder> m_forwarder;
  std::int64_t m_index = 1;

  explicit ForwarderFixture(const std::string& document = Document(1, "key")) {
    m_settings.m_instance = "edge";
    m_settings.m_retry_limit = {1, 50, 1};
    Result<void> listening;
    // Another test's process may take the free port before the forwarder listens on it.
    for (int i = 0; i < kPortTries; ++i) {
      m_settings.m_caller_endpoint = {"127.0.0.1", FreePort()};
      m_forwarder =
          std::make_unique<Forwarder>(m_loop, m_settings, platform::MakeProtocolAdapter());
      listening = m_forwarder->Listen();
      if (listening)
        break;
    }
    REQUIRE(listening);
    Adopt(1, document);
    Confirm(Duration(60'000'000));
  }
  /// Sends the forwarder a new document.
  void Adopt(int version, const std::string& body) {
    wire::Document document;
    document.version = version;
    document.body = body;
    m_forwarder->HandleMessage(NewDocument{std::make_shared<const wire::Document>(document)});
  }
  /// Confirms the configuration for `time` from now on.
  void Confirm(Duration time) { m_forwarder->HandleMessage(ConfirmedUntil{ReadClock() + time}); }
  [[nodiscard]] wire::ServerRecord Record(
      const std::string& id,
      const ScriptedServer& server,
      wire::ServerStage::type stage = wire::ServerStage::READY) {
    wire::ServerRecord record;
    record.id = id;
    record.pool = "app";
    record.address = "127.0.0.1";
    record.port = server.port();
    record.slots = 4;
    record.stage = stage;
    record.index = ++m_index;
    return record;
  }
  void Register(const std::string& id,
                const ScriptedServer& server,
                wire::ServerStage::type stage = wire::ServerStage::READY) {
    m_forwarder->HandleMessage(ServersChanged{{Record(id, server, stage)}});
  }
  /// Runs the loop until `met` returns true, for one second at most.
  void RunUntil(const std::function<bool()>& met) {
    const Instant begun = ReadClock();
    while (!met() && ReadClock() - begun < Duration(1'000'000))
      m_loop.RunFor(5);
  }
  [[nodiscard]] std::uint64_t Refusals(const std::string& reason) {
    return m_forwarder->state().m_metrics.Counter("poppyway_forward_refusals_total",
                                                  "reason=\"" + reason + "\",tier=\"0\"");
  }
};

/// \brief The bytes that a caller received until its connection ended or a response was complete.
struct CallResult {
  std::string m_bytes;
  bool m_closed = false;
  int m_elapsed_ms = 0;

  [[nodiscard]] int status() const {
    return m_bytes.size() < 12 ? 0 : std::stoi(m_bytes.substr(9, 3));
  }
  [[nodiscard]] std::string body() const {
    const std::size_t at = m_bytes.find("\r\n\r\n");
    return at == std::string::npos ? "" : m_bytes.substr(at + 4);
  }
};

/// Converts the head to lower case, since the HTTP library writes some field names with capitals.
inline std::string PlainHead(std::string bytes) {
  const std::size_t end = std::min(bytes.find("\r\n\r\n"), bytes.size());
  std::transform(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(end), bytes.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return bytes;
}

inline bool IsCompleteResponse(const std::string& answer) {
  const std::string bytes = PlainHead(answer);
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return false;
  constexpr std::string_view kLength = "content-length: ";
  const std::size_t at = bytes.find(kLength);
  if (at != std::string::npos && at < end)
    return bytes.size() >= end + 4 + std::stoul(bytes.substr(at + kLength.size()));
  return bytes.ends_with("0\r\n\r\n");
}

inline std::string Request(const std::string& path,
                           const std::string& id,
                           const std::string& more = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
         "\r\nAuthorization: Bearer key\r\n" + more + "\r\n";
}

/// \brief A call to the forwarder from a background thread, while the test's thread runs the loop.
class BackgroundCall {
 public:
  /// \param leave_after_ms time until the caller closes its connection, in ms; -1: it waits for the
  /// response for up to `kCallerMillis`.
  /// \param await_close the caller keeps reading after a complete response.
  /// \param reads_after_ms the caller reads nothing for this long and has little room for bytes.
  BackgroundCall(ForwarderFixture& fixture,
                 std::string request,
                 int leave_after_ms = -1,
                 bool await_close = false,
                 int reads_after_ms = 0)
      : m_limit_ms(leave_after_ms >= 0 ? leave_after_ms : kCallerMillis),
        m_await_close(await_close),
        m_reads_after_ms(reads_after_ms),
        m_caller([this,
                  port = fixture.m_settings.m_caller_endpoint.m_port,
                  request = std::move(request)] { Run(port, request); }) {}
  ~BackgroundCall() {
    Leave();
    if (m_caller.joinable())
      m_caller.join();
  }
  BackgroundCall(const BackgroundCall&) = delete;
  BackgroundCall& operator=(const BackgroundCall&) = delete;

  /// Makes the caller close its connection within 50 ms.
  void Leave() { m_leave.store(true); }
  /// Runs the loop until the call has ended.
  CallResult AwaitResponse(ForwarderFixture& fixture) {
    while (!m_done.load())
      fixture.m_loop.RunFor(5);
    m_caller.join();
    fixture.m_loop.RunFor(30);
    return m_seen;
  }

 private:
  void Run(std::uint16_t port, const std::string& request) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{0, 50'000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    constexpr int kLittleRoom = 4096;
    if (m_reads_after_ms > 0)
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kLittleRoom, sizeof(kLittleRoom));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0);
    // The caller is another machine: it isn't suspended when the instance is.
    const auto begun = std::chrono::steady_clock::now();
    const auto elapsed = [begun] { return std::chrono::steady_clock::now() - begun; };
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(m_reads_after_ms));
    while (!m_leave.load() && elapsed() < std::chrono::milliseconds(m_limit_ms) &&
           (m_await_close || !IsCompleteResponse(m_seen.m_bytes))) {
      char buffer[65'536];
      const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
      if (got > 0)
        m_seen.m_bytes.append(buffer, static_cast<std::size_t>(got));
      m_seen.m_closed = got == 0 || (got < 0 && errno == ECONNRESET);
      if (m_seen.m_closed)
        break;
    }
    m_seen.m_bytes = PlainHead(m_seen.m_bytes);
    m_seen.m_elapsed_ms =
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed()).count());
    close(fd);
    m_done.store(true);
  }

  int m_limit_ms;
  bool m_await_close;
  int m_reads_after_ms;
  CallResult m_seen;
  std::atomic<bool> m_leave{false};
  std::atomic<bool> m_done{false};
  std::thread m_caller;
};

/// Calls the forwarder and runs its loop until the call has ended; see `BackgroundCall`.
inline CallResult Call(ForwarderFixture& fixture,
                       const std::string& request,
                       int leave_after_ms = -1,
                       bool await_close = false) {
  return BackgroundCall(fixture, request, leave_after_ms, await_close).AwaitResponse(fixture);
}

}  // namespace poppyway
