// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/wire.h"

namespace poppyway {

RepeatingTimer::RepeatingTimer(TaskLoop& loop, std::uint64_t millis, std::function<void()> on_tick)
    : m_loop(loop.loop()), m_timeout{}, m_entry{}, m_on_tick(std::move(on_tick)) {
  h2o_timeout_init(m_loop, &m_timeout, millis);
  m_entry.m_base.cb = &RepeatingTimer::OnTimeout;
  m_entry.m_owner = this;
  h2o_timeout_link(m_loop, &m_timeout, &m_entry.m_base);
}

RepeatingTimer::~RepeatingTimer() {
  h2o_timeout_unlink(&m_entry.m_base);
  h2o_timeout_dispose(m_loop, &m_timeout);
}

void RepeatingTimer::OnTimeout(h2o_timeout_entry_t* entry) {
  RepeatingTimer* self = reinterpret_cast<Entry*>(entry)->m_owner;
  h2o_timeout_link(self->m_loop, &self->m_timeout, entry);
  self->m_on_tick();
}

}  // namespace poppyway
