// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <atomic>

#include <h2o.h>

namespace poppyway {

/// \brief The event loop of one task. It is created, run and destroyed on one thread; only `Stop`
/// may be called on any thread.
///
/// The HTTP library recycles socket buffers by the thread that created the socket, so a loop that
/// is created on one thread and run on another corrupts them.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until `Stop` is called.
  void Run();
  /// Runs for about `millis` milliseconds or until `Stop`, for tests and short-lived programs.
  void RunFor(int millis);
  /// Makes `Run` return. Thread-safe.
  void Stop() noexcept;

  [[nodiscard]] h2o_loop_t* loop() const noexcept { return m_loop; }
  [[nodiscard]] h2o_multithread_queue_t* queue() const noexcept { return m_queue; }

 private:
  static void OnWake(h2o_multithread_receiver_t*, h2o_linklist_t*) {}

  h2o_loop_t* m_loop;
  h2o_multithread_queue_t* m_queue;
  h2o_multithread_receiver_t m_waker;
  std::atomic<bool> m_stopped{false};
};

}  // namespace poppyway
