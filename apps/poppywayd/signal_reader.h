// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>

#include "poppyway/wire.h"

namespace poppyway {

/// \brief What a task does when its process gets a signal.
struct SignalHandlers {
  /// SIGTERM or SIGINT; called once. `arrived`: when the process handled the first one. A process
  /// that was paused handles a signal later than it was sent.
  std::function<void(Instant arrived)> m_on_stop;
  std::function<void()> m_on_reload;  ///< SIGHUP; ignored if empty.
};

/// \brief Delivers the signals of the process as events of a loop, and ignores SIGPIPE. At most one
/// exists at a time; it belongs to its loop's thread.
class SignalReader {
 public:
  /// Handles signals from now on.
  SignalReader(EventLoop& loop, SignalHandlers handlers);
  ~SignalReader();
  SignalReader(const SignalReader&) = delete;
  SignalReader& operator=(const SignalReader&) = delete;

 private:
  static void OnReadable(h2o_socket_t* socket, const char* fault);
  void Deliver();

  SignalHandlers m_handlers;
  h2o_socket_t* m_socket = nullptr;
  bool m_stop_delivered = false;
};

}  // namespace poppyway
