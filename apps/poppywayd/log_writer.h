// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "poppyway/log.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief What one save makes durable.
struct LogSave {
  LogNode m_node;  ///< Its `CopyDurableState`, as it was when the save began.
  LogEffects m_effects;
  std::optional<wire::Snapshot> m_compacted;  ///< A segment begins with it, instead of the effects.
};

/// \brief How a save ended.
struct SaveOutcome {
  LogSave m_save;
  Result<void> m_result;
  Duration m_took{};
};

/// \brief A task that saves a member's log, so that a slow disk holds up nothing else.
class LogWriter {
 public:
  using OnSaved = std::function<void(SaveOutcome)>;

  /// `on_saved` is called on `loop`, which outlives the writer.
  LogWriter(EventLoop& loop, std::unique_ptr<LogStore> store, OnSaved on_saved);
  /// Waits for a save that is under way.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Begins to save. Preconditions: called on `loop`; the save before has ended.
  void Save(LogSave save);

 private:
  void Run();
  /// Waits for the next save; none if the writer ends.
  [[nodiscard]] std::optional<LogSave> Next();

  std::unique_ptr<LogStore> m_store;  ///< Used by the thread only.
  Mailbox<SaveOutcome> m_outcomes;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<LogSave> m_next;  ///< Under `m_mutex`, as is the flag.
  bool m_ending = false;
  std::thread m_thread;
};

}  // namespace poppyway
