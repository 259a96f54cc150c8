// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>

#include "poppyway/wire/impl/task_loop.h"

namespace poppyway {

/// \brief Calls a function every `millis` on the loop's thread until destroyed.
class RepeatingTimer {
 public:
  RepeatingTimer(TaskLoop& loop, std::uint64_t millis, std::function<void()> on_tick);
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
  h2o_timeout_t m_timeout;
  Entry m_entry;
  std::function<void()> m_on_tick;
};

}  // namespace poppyway
