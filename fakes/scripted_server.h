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

/// \brief One step of a scripted answer.
struct ScriptStep {
  enum class Kind : std::uint8_t {
    kSend,
    kWait,
    kClose,       ///< In order: the peer sees the end of the connection.
    kReset,       ///< The peer sees a reset.
    kAwaitClose,  ///< Until the peer closes, at most two seconds.
  };
  Kind m_kind = Kind::kSend;
  std::string m_bytes;
  int m_millis = 0;
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

/// \brief A back end on loopback that answers each request by a script. One thread for each
/// connection; thread-safe.
class ScriptedServer {
 public:
  /// \param script maps a request's head (with its body) to what the server does.
  using Script = std::function<std::vector<ScriptStep>(const std::string& request)>;

  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
  [[nodiscard]] std::vector<std::string> requests() const;
  [[nodiscard]] int connections() const noexcept { return m_accepted.load(); }
  /// How many scripts saw their peer close while they waited for it.
  [[nodiscard]] int peer_closes() const noexcept { return m_peer_closes.load(); }

 private:
  void Accept();
  void Serve(int fd);
  /// Returns false if the connection is over.
  bool Perform(int fd, const ScriptStep& step);

  Script m_script;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_accepted{0};
  std::atomic<int> m_peer_closes{0};
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::vector<std::thread> m_threads;
  std::vector<int> m_open;
  std::thread m_acceptor;
};

}  // namespace poppyway::test
