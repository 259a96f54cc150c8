// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "log_writer.h"

#include <utility>

namespace poppyway {

LogWriter::LogWriter(EventLoop& loop, std::unique_ptr<LogStore> store, OnSaved on_saved)
    : m_store(std::move(store)),
      m_outcomes(loop, std::move(on_saved)),
      m_thread([this] { Run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ending = true;
  }
  m_changed.notify_one();
  m_thread.join();
}

void LogWriter::Save(LogSave save) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_next = std::move(save);
  }
  m_changed.notify_one();
}

std::optional<LogSave> LogWriter::Next() {
  std::unique_lock<std::mutex> lock(m_mutex);
  m_changed.wait(lock, [this] { return m_ending || m_next.has_value(); });
  return std::exchange(m_next, std::nullopt);
}

void LogWriter::Run() {
  while (std::optional<LogSave> save = Next()) {
    SaveOutcome outcome;
    const Instant started = ReadClock();
    outcome.m_result = save->m_compacted ? m_store->SaveSnapshot(save->m_node, *save->m_compacted)
                                         : m_store->Save(save->m_node, save->m_effects);
    outcome.m_took = ReadClock() - started;
    outcome.m_save = std::move(*save);
    m_outcomes.Send(std::move(outcome));
  }
}

}  // namespace poppyway
