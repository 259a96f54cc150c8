// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

namespace poppyway {

RepeatingTimer::RepeatingTimer(EventLoop& loop,
                               std::uint64_t busy_millis,
                               std::uint64_t idle_millis,
                               std::function<bool()> on_tick)
    : m_loop(loop.loop()), m_busy{}, m_idle{}, m_entry{}, m_on_tick(std::move(on_tick)) {
  h2o_timeout_init(m_loop, &m_busy, busy_millis);
  h2o_timeout_init(m_loop, &m_idle, idle_millis);
  m_entry.m_base.cb = &RepeatingTimer::OnTimeout;
  m_entry.m_owner = this;
  h2o_timeout_link(m_loop, &m_busy, &m_entry.m_base);
}

RepeatingTimer::RepeatingTimer(EventLoop& loop, std::uint64_t millis, std::function<void()> on_tick)
    : RepeatingTimer(loop, millis, millis, [tick = std::move(on_tick)] {
        tick();
        return true;
      }) {}

RepeatingTimer::~RepeatingTimer() {
  h2o_timeout_unlink(&m_entry.m_base);
  h2o_timeout_dispose(m_loop, &m_busy);
  h2o_timeout_dispose(m_loop, &m_idle);
}

void RepeatingTimer::OnTimeout(h2o_timeout_entry_t* entry) {
  RepeatingTimer* self = reinterpret_cast<Entry*>(entry)->m_owner;
  const bool busy = self->m_on_tick();
  h2o_timeout_link(self->m_loop, busy ? &self->m_busy : &self->m_idle, entry);
}

}  // namespace poppyway
