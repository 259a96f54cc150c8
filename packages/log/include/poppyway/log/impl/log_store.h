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

/// \brief The contents of a data folder when it was opened.
struct StoredLog {
  MemberId m_id = 0;
  bool m_newly_created = true;  ///< The folder had no identity yet, so `m_id` is a new one.
  wire::HardState m_hard_state;
  std::optional<wire::Snapshot> m_snapshot;
  std::vector<wire::LogEntry> m_entries;
  std::size_t m_torn_bytes = 0;  ///< Bytes of an interrupted write, cut from the end.
};

/// \brief Restores a node's state, with its id, from the contents of its folder. Precondition: the
/// node is new, with its name, cluster and random seed set.
void RestoreLog(LogNode& node, const StoredLog& stored);

/// \brief The file operations of a store, which tests replace to inject faults. Each returns false
/// on failure.
struct FileOps {
  std::function<bool(int fd, std::string_view bytes)> m_write;
  std::function<bool(int fd)> m_sync;
};

/// \brief Returns the operations of the operating system.
[[nodiscard]] FileOps SystemFileOps();

/// \brief The durable log of one member in one folder: the identity, segments of checksummed
/// records, and snapshots. It is not thread-safe: only one task uses it. Its functions block during
/// a sync.
class LogStore {
 public:
  /// Opens or creates the folder and reads it into `stored`.
  /// \param new_id the member's id if the folder has no identity yet.
  /// \return the store; `kDataForeign`, `kDataNewer` or `kDataDamaged` with the file, and the
  /// offset of a damaged record; `kDiskFailed`; or `kDiskFull` if the first segment can't be
  /// written.
  [[nodiscard]] static Result<std::unique_ptr<LogStore>> Open(const std::string& folder,
                                                              const std::string& cluster,
                                                              MemberId new_id,
                                                              StoredLog& stored,
                                                              FileOps ops = SystemFileOps());
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Makes the effects durable with one sync.
  /// \return `kDiskFull` if a write failed: none of the effects is kept, and the caller may save
  /// the same effects again later. After `kDiskFailed` every further save fails.
  [[nodiscard]] Result<void> Save(const LogNode& node, const LogEffects& effects);
  /// Stores a snapshot, starts a new segment with the entries after it, and removes the old files.
  /// \return the same errors as `Save`.
  [[nodiscard]] Result<void> SaveSnapshot(const LogNode& node, const wire::Snapshot& snapshot);

 private:
  LogStore(std::string folder, FileOps ops);
  [[nodiscard]] Result<void> BeginSegment(const LogNode& node);
  /// Truncates the incomplete record that a failed write may have left.
  /// \return false if the truncation fails; it is then retried before the next write.
  [[nodiscard]] bool TruncateTornTail();
  [[nodiscard]] Result<void> DiskFullError(const std::string& what) const;
  [[nodiscard]] Result<void> MarkFailed(const std::string& what);

  std::string m_folder;
  FileOps m_ops;
  int m_segment = -1;
  std::int64_t m_segment_number = 0;
  std::int64_t m_segment_bytes = 0;  ///< Length of the segment's complete records.
  bool m_has_torn_tail = false;      ///< Part of a failed write may follow the complete records.
  bool m_failed = false;             ///< After `kDiskFailed`; every further save fails.
};

}  // namespace poppyway
