// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poppyway::test {

/// \brief One step of a scripted response.
struct ScriptStep {
  enum class Kind : std::uint8_t {
    kSend,
    kWait,
    kClose,       ///< Closes the connection in order (FIN).
    kReset,       ///< Closes the connection with a reset (RST).
    kAwaitClose,  ///< Waits until the peer closes, at most two seconds, then closes.
    kCrash,       ///< Ends the server: closes all connections and refuses new ones.
  };
  Kind m_kind = Kind::kSend;
  std::string m_bytes;  ///< What kSend sends.
  int m_millis = 0;     ///< How long kWait waits.
};

[[nodiscard]] inline ScriptStep Send(std::string bytes) {
  return {ScriptStep::Kind::kSend, std::move(bytes), 0};
}
[[nodiscard]] inline ScriptStep Wait(int millis) {
  return {ScriptStep::Kind::kWait, "", millis};
}
[[nodiscard]] inline ScriptStep CloseNow() {
  return {ScriptStep::Kind::kClose, "", 0};
}
[[nodiscard]] inline ScriptStep ResetNow() {
  return {ScriptStep::Kind::kReset, "", 0};
}
[[nodiscard]] inline ScriptStep AwaitClose() {
  return {ScriptStep::Kind::kAwaitClose, "", 0};
}

[[nodiscard]] inline ScriptStep Crash() {
  return {ScriptStep::Kind::kCrash, "", 0};
}

/// \brief A backend server on loopback that responds to each request as a script says. It uses one
/// thread per connection. Thread-safe.
class ScriptedServer {
 public:
  /// Maps a request (head and body) to the steps of the response. Called on the connection's
  /// thread.
  using Script = std::function<std::vector<ScriptStep>(const std::string& request)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
  /// \brief Returns all requests received so far, head and body.
  [[nodiscard]] std::vector<std::string> requests() const;
  /// \brief Number of accepted connections.
  [[nodiscard]] int connections() const noexcept { return m_accepted.load(); }
  /// \brief Number of kAwaitClose steps during which the peer closed the connection.
  [[nodiscard]] int peer_closes() const noexcept { return m_peer_closes.load(); }
  /// \brief Returns true once a kCrash step has ended the server.
  [[nodiscard]] bool crashed() const noexcept { return m_crashed.load(); }

 private:
  void Accept();
  void EndAllConnections();
  void Serve(int fd);
  /// Performs one step. Returns false if the connection must be closed.
  bool Perform(int fd, const ScriptStep& step);

  Script m_script;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_crashed{false};
  std::atomic<int> m_accepted{0};
  std::atomic<int> m_peer_closes{0};
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::vector<std::thread> m_threads;
  std::vector<int> m_open;
  std::thread m_acceptor;
};

}  // namespace poppyway::test
