// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <sys/time.h>

#include "poppyway/wire.h"

namespace poppyway {
namespace {

constexpr int kMaxWaitMillis = 1000;  // `Stop` and events end a wait earlier.

}  // namespace

EventLoop::EventLoop()
    : m_loop(h2o_evloop_create()), m_queue(h2o_multithread_create_queue(m_loop)) {
  h2o_multithread_register_receiver(m_queue, &m_waker, &EventLoop::OnWake);
}

// The library's loop is never freed: sockets that are being closed may still refer to it, and a
// task exists as long as its process.
EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  while (!m_stopped.load(std::memory_order_acquire))
    h2o_evloop_run(m_loop, kMaxWaitMillis);
}

void EventLoop::RunFor(int millis) {
  const Instant end = ReadClock() + std::chrono::milliseconds(millis);
  while (ReadClock() < end && !m_stopped.load(std::memory_order_acquire))
    h2o_evloop_run(m_loop, 1);
}

void EventLoop::Stop() noexcept {
  m_stopped.store(true, std::memory_order_release);
  h2o_multithread_send_message(&m_waker, nullptr);
}

}  // namespace poppyway

// The HTTP library reads the time of its loop with `gettimeofday`. The time of day may step: after
// a step back no timer would fire until it has caught up, and a step ahead would end every timeout
// at once. A definition in the program takes the place of the C library's for the libraries too.
// See docs/design/loop-clock.md.
extern "C" int gettimeofday(timeval* now, void* /*zone*/) noexcept {
  constexpr poppyway::Duration kSecond{1'000'000};
  const poppyway::Duration time = poppyway::ReadWallTime();
  now->tv_sec = time / kSecond;
  now->tv_usec = (time % kSecond).count();
  return 0;
}
