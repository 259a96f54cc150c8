// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>

#include "poppyway/wire/impl/event_loop.h"

namespace poppyway {

/// \brief Calls a function periodically on the loop's thread until the timer is destroyed.
///
/// The function returns whether its task is busy. A busy task is called again after the short
/// interval, an idle one after the long interval, so that an idle process uses almost no CPU time.
class RepeatingTimer {
 public:
  /// Starts the timer with the short interval.
  RepeatingTimer(EventLoop& loop,
                 std::uint64_t busy_millis,
                 std::uint64_t idle_millis,
                 std::function<bool()> on_tick);
  /// Starts a timer that always uses the same interval.
  RepeatingTimer(EventLoop& loop, std::uint64_t millis, std::function<void()> on_tick);
  ~RepeatingTimer();
  RepeatingTimer(const RepeatingTimer&) = delete;
  RepeatingTimer& operator=(const RepeatingTimer&) = delete;

 private:
  struct Entry {
    h2o_timeout_entry_t m_base;
    RepeatingTimer* m_owner;
  };
  static void OnTimeout(h2o_timeout_entry_t* entry);

  h2o_loop_t* m_loop;
  h2o_timeout_t m_busy;
  h2o_timeout_t m_idle;
  Entry m_entry;
  std::function<bool()> m_on_tick;
};

}  // namespace poppyway
