// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "record.h"

namespace poppyway {
namespace {

namespace fs = std::filesystem;
using impl::AppendRecord;
using impl::ReadRecord;
using impl::Record;
using impl::RecordType;

constexpr int kFormat = 1;  // The version of the folder's format.
constexpr const char* kIdentityFile = "identity";
constexpr const char* kSegmentPrefix = "segment-";
constexpr const char* kSnapshotPrefix = "snapshot-";

std::string ReadAll(const fs::path& path) {
  std::ostringstream text;
  text << std::ifstream(path, std::ios::binary).rdbuf();
  return text.str();
}

std::string NumberText(std::int64_t number) {
  return std::to_string(number);
}

std::int64_t NumberFromBytes(std::string_view bytes) {
  std::int64_t number = 0;
  std::memcpy(&number, bytes.data(), std::min(bytes.size(), sizeof(number)));
  return number;
}

std::string NumberBytes(std::int64_t number) {
  return std::string(reinterpret_cast<const char*>(&number), sizeof(number));
}

/// Returns the numbers of the files `prefix<number>` in `folder`, ascending. Temporary files, whose
/// names hold a dot, are left out.
std::vector<std::int64_t> ListFileNumbers(const std::string& folder, const std::string& prefix) {
  std::vector<std::int64_t> numbers;
  for (const auto& entry : fs::directory_iterator(folder)) {
    const std::string name = entry.path().filename().string();
    const bool matches = name.starts_with(prefix) && name.find('.') == std::string::npos;
    if (matches)
      numbers.push_back(std::stoll(name.substr(prefix.size())));
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

bool SyncFolder(const std::string& folder, const FileOps& ops) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0)
    return false;
  const bool synced = ops.m_sync(fd);
  close(fd);
  return synced;
}

/// Writes a file atomically: after a crash it is complete or missing.
bool WriteFileAtomically(const std::string& folder,
                         const std::string& name,
                         std::string_view bytes,
                         const FileOps& ops) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".tmp";
  const int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    return false;
  const bool written = ops.m_write(fd, bytes) && ops.m_sync(fd);
  close(fd);
  return written && std::rename(temporary.c_str(), path.c_str()) == 0 && SyncFolder(folder, ops);
}

Result<void> CheckIdentity(const std::string& folder,
                           const std::string& cluster,
                           StoredLog& stored) {
  std::istringstream text(ReadAll(folder + "/" + kIdentityFile));
  int format = 0;
  std::string stored_cluster;
  text >> format >> stored.m_id >> stored_cluster;
  const std::string prefix = folder + "/" + kIdentityFile + ": ";
  if (!text || stored.m_id == 0)
    return Fail(ResultCode::kDataDamaged, prefix + "can't be read");
  if (format > kFormat)
    return Fail(ResultCode::kDataNewer, prefix + "format " + std::to_string(format) +
                                            "; this program knows up to " +
                                            std::to_string(kFormat));
  if (stored_cluster != cluster)
    return Fail(ResultCode::kDataForeign,
                prefix + "belongs to cluster '" + stored_cluster + "', not '" + cluster + "'");
  return {};
}

Result<void> ReadSnapshot(const std::string& path, StoredLog& stored) {
  const std::string bytes = ReadAll(path);
  Result<std::optional<Record>> record = ReadRecord(bytes, 0);
  const bool is_complete = record && record->has_value() && (*record)->m_end == bytes.size();
  if (!is_complete)
    return Fail(ResultCode::kDataDamaged, path + ": the snapshot is damaged or incomplete");
  Result<wire::Snapshot> snapshot = Deserialize<wire::Snapshot>((*record)->m_payload);
  if (!snapshot)
    return Fail(ResultCode::kDataDamaged, path + ": " + snapshot.error().m_message);
  stored.m_snapshot = std::move(*snapshot);
  return {};
}

Result<void> ReplayRecord(const Record& record, const std::string& folder, StoredLog& stored) {
  switch (record.m_type) {
    case RecordType::kBase: {
      const std::int64_t base = NumberFromBytes(record.m_payload);
      if (base == 0)
        return {};
      return ReadSnapshot(folder + "/" + kSnapshotPrefix + NumberText(base), stored);
    }
    case RecordType::kHardState: {
      Result<wire::HardState> hard = Deserialize<wire::HardState>(record.m_payload);
      if (!hard)
        return tl::unexpected<Error>(hard.error());
      stored.m_hard_state = *hard;
      return {};
    }
    case RecordType::kTruncate: {
      const std::int64_t last = NumberFromBytes(record.m_payload);
      std::erase_if(stored.m_entries,
                    [last](const wire::LogEntry& entry) { return entry.index > last; });
      return {};
    }
    case RecordType::kEntry: {
      Result<wire::LogEntry> entry = Deserialize<wire::LogEntry>(record.m_payload);
      if (!entry)
        return tl::unexpected<Error>(entry.error());
      // An entry that was written again replaces the earlier one and all that followed it.
      while (!stored.m_entries.empty() && stored.m_entries.back().index >= entry->index)
        stored.m_entries.pop_back();
      stored.m_entries.push_back(std::move(*entry));
      return {};
    }
  }
  return Fail(ResultCode::kDataDamaged, "unknown record type");
}

/// Reads a segment and truncates a torn end.
Result<void> ReadSegment(const std::string& folder, const std::string& path, StoredLog& stored) {
  const std::string bytes = ReadAll(path);
  std::size_t offset = 0;
  while (true) {
    Result<std::optional<Record>> record = ReadRecord(bytes, offset);
    if (!record)
      return Fail(record.error().m_code, path + ": " + record.error().m_message);
    if (!record->has_value())
      break;
    if (Result<void> replayed = ReplayRecord(**record, folder, stored); !replayed)
      return Fail(ResultCode::kDataDamaged, path + ": " + replayed.error().m_message);
    offset = (*record)->m_end;
  }
  stored.m_torn_bytes = bytes.size() - offset;
  if (stored.m_torn_bytes > 0 && truncate(path.c_str(), static_cast<off_t>(offset)) != 0)
    return Fail(ResultCode::kDiskFailed, path + ": can't truncate its torn end");
  return {};
}

}  // namespace

FileOps SystemFileOps() {
  FileOps ops;
  ops.m_write = [](int fd, std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t written = write(fd, bytes.data(), bytes.size());
      if (written <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  };
  ops.m_sync = [](int fd) { return fdatasync(fd) == 0; };
  return ops;
}

LogStore::LogStore(std::string folder, FileOps ops)
    : m_folder(std::move(folder)), m_ops(std::move(ops)) {}

LogStore::~LogStore() {
  if (m_segment >= 0)
    close(m_segment);
}

Result<std::unique_ptr<LogStore>> LogStore::Open(const std::string& folder,
                                                 const std::string& cluster,
                                                 MemberId new_id,
                                                 StoredLog& stored,
                                                 FileOps ops) {
  std::error_code fault;
  fs::create_directories(folder, fault);
  if (fault)
    return Fail(ResultCode::kDiskFailed, folder + ": " + fault.message());
  std::unique_ptr<LogStore> store(new LogStore(folder, std::move(ops)));
  const bool blank = !fs::exists(folder + "/" + kIdentityFile);
  const std::vector<std::int64_t> segments = ListFileNumbers(folder, kSegmentPrefix);
  const bool snapshots = !ListFileNumbers(folder, kSnapshotPrefix).empty();
  // Every folder with an identity has a segment, unless a crash came right after the identity was
  // written.
  const bool incomplete =
      (blank && (!segments.empty() || snapshots)) || (segments.empty() && snapshots);
  if (incomplete)
    return Fail(ResultCode::kDataDamaged, folder + ": some of its files are missing");
  if (blank) {
    const std::string text =
        std::to_string(kFormat) + " " + std::to_string(new_id) + " " + cluster + "\n";
    if (!WriteFileAtomically(folder, kIdentityFile, text, store->m_ops))
      return Fail(ResultCode::kDiskFailed, folder + ": can't write the identity");
  }
  if (Result<void> checked = CheckIdentity(folder, cluster, stored); !checked)
    return tl::unexpected<Error>(checked.error());
  stored.m_newly_created = blank;
  if (segments.empty()) {
    LogNode empty;
    if (Result<void> begun = store->BeginSegment(empty); !begun)
      return tl::unexpected<Error>(begun.error());
    return store;
  }
  store->m_segment_number = segments.back();
  const std::string path = folder + "/" + kSegmentPrefix + NumberText(segments.back());
  if (Result<void> read = ReadSegment(folder, path, stored); !read)
    return tl::unexpected<Error>(read.error());
  store->m_segment = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (store->m_segment < 0)
    return Fail(ResultCode::kDiskFailed, path + ": " + std::strerror(errno));
  store->m_segment_bytes = static_cast<std::int64_t>(fs::file_size(path, fault));
  if (fault)
    return Fail(ResultCode::kDiskFailed, path + ": " + fault.message());
  // The process before may have ended between a write and its sync, or between a rename and its
  // own. What was read counts as durable from now on.
  if (!store->m_ops.m_sync(store->m_segment) || !SyncFolder(folder, store->m_ops))
    return Fail(ResultCode::kDiskFailed, path + ": can't sync what was read");
  return store;
}

Result<void> LogStore::MarkFailed(const std::string& what) {
  m_failed = true;
  return Fail(ResultCode::kDiskFailed, m_folder + ": " + what + " failed");
}

Result<void> LogStore::DiskFullError(const std::string& what) const {
  return Fail(ResultCode::kDiskFull, m_folder + ": no disk space for " + what);
}

bool LogStore::TruncateTornTail() {
  if (!m_has_torn_tail)
    return true;
  m_has_torn_tail = ftruncate(m_segment, static_cast<off_t>(m_segment_bytes)) != 0;
  return !m_has_torn_tail;
}

Result<void> LogStore::Save(const LogNode& node, const LogEffects& effects) {
  if (m_failed)
    return MarkFailed("an earlier write");
  if (effects.m_install)
    return SaveSnapshot(node, *effects.m_install);
  std::string bytes;
  if (effects.m_save_hard)
    AppendRecord(bytes, RecordType::kHardState, Serialize(node.m_hard_state));
  if (effects.m_truncate_after)
    AppendRecord(bytes, RecordType::kTruncate, NumberBytes(*effects.m_truncate_after));
  for (const wire::LogEntry& entry : effects.m_append)
    AppendRecord(bytes, RecordType::kEntry, Serialize(entry));
  if (bytes.empty())
    return {};
  if (!TruncateTornTail())
    return DiskFullError("the log");
  if (!m_ops.m_write(m_segment, bytes)) {
    m_has_torn_tail = true;
    (void)TruncateTornTail();  // If this fails, it is retried before the next write.
    return DiskFullError("the log");
  }
  m_segment_bytes += static_cast<std::int64_t>(bytes.size());
  // After a failed sync the contents of the disk are unknown, even if a later sync succeeds.
  if (!m_ops.m_sync(m_segment))
    return MarkFailed("a sync");
  return {};
}

Result<void> LogStore::SaveSnapshot(const LogNode& node, const wire::Snapshot& snapshot) {
  if (m_failed)
    return MarkFailed("an earlier write");
  std::string bytes;
  AppendRecord(bytes, RecordType::kBase, Serialize(snapshot));
  const std::string name = kSnapshotPrefix + NumberText(snapshot.index);
  if (!WriteFileAtomically(m_folder, name, bytes, m_ops))
    return DiskFullError("a snapshot");
  return BeginSegment(node);
}

Result<void> LogStore::BeginSegment(const LogNode& node) {
  std::string bytes;
  AppendRecord(bytes, RecordType::kBase, NumberBytes(node.m_snapshot_index));
  AppendRecord(bytes, RecordType::kHardState, Serialize(node.m_hard_state));
  for (const wire::LogEntry& entry : node.m_entries)
    AppendRecord(bytes, RecordType::kEntry, Serialize(entry));
  const std::int64_t number = m_segment_number + 1;
  const std::string name = kSegmentPrefix + NumberText(number);
  if (!WriteFileAtomically(m_folder, name, bytes, m_ops))
    return DiskFullError("a segment");
  if (m_segment >= 0)
    close(m_segment);
  m_segment = open((m_folder + "/" + name).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (m_segment < 0)
    return MarkFailed("opening a segment");
  m_segment_number = number;
  m_segment_bytes = static_cast<std::int64_t>(bytes.size());
  m_has_torn_tail = false;
  // The new segment is complete, so older files are no longer needed.
  for (const std::int64_t old : ListFileNumbers(m_folder, kSegmentPrefix)) {
    if (old < number)
      fs::remove(m_folder + "/" + kSegmentPrefix + NumberText(old));
  }
  for (const std::int64_t old : ListFileNumbers(m_folder, kSnapshotPrefix)) {
    if (old != node.m_snapshot_index)
      fs::remove(m_folder + "/" + kSnapshotPrefix + NumberText(old));
  }
  return {};
}

}  // namespace poppyway
