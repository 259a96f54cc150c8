// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/log/impl/log_node.h"

namespace poppyway {

/// \brief What a data folder held when it was opened.
struct StoredLog {
  MemberId m_id = 0;
  bool m_newly_created = true;  ///< The folder was new: its id was made just now.
  wire::HardState m_hard_state;
  std::optional<wire::Snapshot> m_snapshot;
  std::vector<wire::LogEntry> m_entries;
  std::size_t m_torn_bytes = 0;  ///< Cut from the end: a write that never finished.
};

/// \brief Puts a node into the state that its folder holds. Precondition: a fresh node with its
/// id, name, cluster and seed.
void RestoreLog(LogNode& node, const StoredLog& stored);

/// \brief The file operations of a store; tests give faulty ones. Each returns false on failure.
struct FileOps {
  std::function<bool(int fd, std::string_view bytes)> m_write;
  std::function<bool(int fd)> m_sync;
};

/// \brief The operating system's own operations.
[[nodiscard]] FileOps SystemFileOps();

/// \brief One member's durable log in one folder: identity, segments of checksummed records,
/// snapshots. Belongs to one task; blocks while it syncs.
class LogStore {
 public:
  /// Opens or creates the folder.
  /// \return `kDataForeign`, `kDataNewer`, `kDataDamaged` or `kDiskFailed` with the file and
  /// offset.
  [[nodiscard]] static Result<std::unique_ptr<LogStore>> Open(const std::string& folder,
                                                              const std::string& cluster,
                                                              MemberId fresh_id,
                                                              StoredLog& stored,
                                                              FileOps ops = SystemFileOps());
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Makes the effects durable with one sync.
  /// \return `kDiskFull` if there was no room: nothing of it is kept, and the same effects may be
  /// saved again later. After `kDiskFailed` the store takes nothing more.
  [[nodiscard]] Result<void> Save(const LogNode& node, const LogEffects& effects);
  /// Stores a snapshot, begins a new segment with what follows it, and drops the old files.
  [[nodiscard]] Result<void> SaveSnapshot(const LogNode& node, const wire::Snapshot& snapshot);

 private:
  LogStore(std::string folder, FileOps ops);
  [[nodiscard]] Result<void> BeginSegment(const LogNode& node);
  /// Cuts off what a refused write may have left. \return false if it can't be cut now.
  [[nodiscard]] bool CutTorn();
  [[nodiscard]] Result<void> Full(const std::string& what) const;
  [[nodiscard]] Result<void> Broken(const std::string& what);

  std::string m_folder;
  FileOps m_ops;
  int m_segment = -1;
  std::int64_t m_segment_number = 0;
  std::int64_t m_segment_bytes = 0;  ///< Known to be whole records.
  bool m_torn = false;               ///< Part of a refused write may follow them.
  bool m_failed = false;
};

}  // namespace poppyway
