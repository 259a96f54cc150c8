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

/// \brief The state that one save makes durable.
struct LogSave {
  LogNode m_node;  ///< `CopyDurableState` of the node when the save began.
  LogEffects m_effects;
  std::optional<wire::Snapshot> m_compacted;  ///< If set, it begins a new segment, in place of
                                              ///< writing the effects.
};

/// \brief The result of a save, with the save itself.
struct SaveOutcome {
  LogSave m_save;
  Result<void> m_result;
  Duration m_took{};
};

/// \brief Saves a member's log on a thread of its own, so that a slow disk blocks no other work.
class LogWriter {
 public:
  using OnSaved = std::function<void(SaveOutcome)>;

  /// `on_saved` is called on `loop` after each save. `loop` must outlive the writer.
  LogWriter(EventLoop& loop, std::unique_ptr<LogStore> store, OnSaved on_saved);
  /// Waits for a save in progress.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Starts a save. Preconditions: the caller runs on `loop`, and the previous save has ended.
  void Save(LogSave save);

 private:
  void Run();
  /// Waits for the next save and returns it, or nullopt if the writer is being destroyed.
  [[nodiscard]] std::optional<LogSave> Next();

  std::unique_ptr<LogStore> m_store;  ///< Only `m_thread` uses it.
  Mailbox<SaveOutcome> m_outcomes;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<LogSave> m_next;  ///< Guarded by `m_mutex`.
  bool m_ending = false;          ///< Guarded by `m_mutex`.
  std::thread m_thread;
};

}  // namespace poppyway
