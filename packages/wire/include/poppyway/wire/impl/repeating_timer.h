// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>

#include "poppyway/wire/impl/event_loop.h"

namespace poppyway {

/// \brief Calls a function again and again on the loop's thread until destroyed.
///
/// The function says whether its task is busy: then it is called again after the short interval,
/// else after the long one, so that an idle process costs next to nothing.
class RepeatingTimer {
 public:
  RepeatingTimer(EventLoop& loop,
                 std::uint64_t busy_millis,
                 std::uint64_t idle_millis,
                 std::function<bool()> on_tick);
  /// The same interval always.
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
