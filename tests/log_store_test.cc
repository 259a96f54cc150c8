// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "poppyway/log.h"
#include "temporary_folder.h"

using namespace poppyway;
using poppyway::test::TemporaryFolder;
namespace fs = std::filesystem;

namespace {

wire::LogEntry Entry(std::int64_t index) {
  wire::LogEntry entry;
  entry.index = index;
  entry.term = 1;
  entry.command.__set_noop(true);
  return entry;
}

/// Writes entries 1 to `count`, each with its own sync.
void WriteEntries(const std::string& folder, int count, FileOps ops = SystemFileOps()) {
  StoredLog stored;
  auto store = LogStore::Open(folder, "c", 7, stored, ops);
  REQUIRE(store);
  LogNode node;
  node.m_id = stored.m_id;
  for (int i = 1; i <= count; ++i) {
    LogEffects effects;
    effects.m_append.push_back(Entry(i));
    effects.m_save_hard = true;
    node.m_hard_state.term = i;
    REQUIRE((*store)->Save(node, effects));
  }
}

std::string SegmentPath(const std::string& folder) {
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().filename().string().starts_with("segment-"))
      return entry.path().string();
  }
  return "";
}

Result<StoredLog> Reopen(const std::string& folder, const std::string& cluster = "c") {
  StoredLog stored;
  auto store = LogStore::Open(folder, cluster, 8, stored);
  if (!store)
    return tl::unexpected<Error>(store.error());
  return stored;
}

}  // namespace

TEST_CASE("a folder gives back what was synced", "[log][store]") {
  const TemporaryFolder folder;
  WriteEntries(folder.path(), 20);
  const auto stored = Reopen(folder.path());
  REQUIRE(stored);
  CHECK(stored->m_id == 7);
  CHECK_FALSE(stored->m_newly_created);
  CHECK(stored->m_entries.size() == 20);
  CHECK(stored->m_hard_state.term == 20);
  CHECK(stored->m_torn_bytes == 0);
}

TEST_CASE("a torn end is cut and what was synced before stays", "[log][store]") {
  const TemporaryFolder folder;
  WriteEntries(folder.path(), 20);
  const std::string segment = SegmentPath(folder.path());
  const auto full_size = fs::file_size(segment);
  for (const std::uintmax_t cut : {1, 5, 9, 17, 30}) {
    fs::resize_file(segment, full_size);
    WriteEntries(folder.path(), 0);
    fs::resize_file(segment, full_size - cut);
    const auto stored = Reopen(folder.path());
    REQUIRE(stored);
    CHECK(stored->m_entries.size() >= 19);
    fs::remove_all(folder.path());
    WriteEntries(folder.path(), 20);
  }
}

TEST_CASE("a torn end of zeros is cut", "[log][store]") {
  const TemporaryFolder folder;
  WriteEntries(folder.path(), 5);
  const std::string segment = SegmentPath(folder.path());
  const auto full_size = fs::file_size(segment);
  fs::resize_file(segment, full_size + 4096);  // The file grew, but its blocks were never written.
  const auto stored = Reopen(folder.path());
  REQUIRE(stored);
  CHECK(stored->m_entries.size() == 5);
  CHECK(stored->m_torn_bytes == 4096);
}

TEST_CASE("a flipped bit anywhere in synced data is an error with its place, never skipped",
          "[log][store]") {
  const TemporaryFolder folder;
  WriteEntries(folder.path(), 10);
  const std::string segment = SegmentPath(folder.path());
  const auto size = static_cast<std::streamoff>(fs::file_size(segment));
  for (std::streamoff at = 0; at < size; ++at) {
    std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(at);
    const char before = static_cast<char>(file.get());
    file.seekp(at);
    file.put(static_cast<char>(before ^ 0x10));
    file.close();
    const auto stored = Reopen(folder.path());
    // The last byte is the end mark. If only this byte is damaged, the record looks like a torn
    // end.
    const bool caught = !stored || (at == size - 1);
    if (!caught || (!stored && stored.error().m_code != ResultCode::kDataDamaged))
      FAIL("bit at offset " << at << " went unnoticed");
    std::fstream repair(segment, std::ios::in | std::ios::out | std::ios::binary);
    if (fs::file_size(segment) < static_cast<std::uintmax_t>(size))
      break;
    repair.seekp(at);
    repair.put(before);
  }
}

TEST_CASE("after a failed sync nothing is taken any more, even if the disk recovers",
          "[log][store]") {
  const TemporaryFolder folder;
  FileOps ops = SystemFileOps();
  auto failing = std::make_shared<bool>(false);
  const FileOps system = SystemFileOps();
  ops.m_sync = [=](int fd) { return !*failing && system.m_sync(fd); };
  StoredLog stored;
  auto store = LogStore::Open(folder.path(), "c", 7, stored, ops);
  REQUIRE(store);
  LogNode node;
  LogEffects effects;
  effects.m_append.push_back(Entry(1));
  REQUIRE((*store)->Save(node, effects));
  *failing = true;
  CHECK((*store)->Save(node, effects).error().m_code == ResultCode::kDiskFailed);
  *failing = false;  // The failed save may be partly on the disk.
  CHECK((*store)->Save(node, effects).error().m_code == ResultCode::kDiskFailed);
}

TEST_CASE("what a full disk refuses leaves nothing behind and can be saved later", "[log][store]") {
  // The number of bytes that are written before the disk is full.
  const std::size_t free_bytes = GENERATE(0, 1, 17, 60);
  const TemporaryFolder folder;
  FileOps ops = SystemFileOps();
  auto full = std::make_shared<bool>(false);
  const FileOps system = SystemFileOps();
  ops.m_write = [=](int fd, std::string_view bytes) {
    if (!*full)
      return system.m_write(fd, bytes);
    (void)system.m_write(fd, bytes.substr(0, free_bytes));
    return false;
  };
  StoredLog stored;
  {
    auto store = LogStore::Open(folder.path(), "c", 7, stored, ops);
    REQUIRE(store);
    LogNode node;
    node.m_id = stored.m_id;
    for (int i = 1; i <= 4; ++i) {
      LogEffects effects;
      effects.m_append.push_back(Entry(i));
      *full = true;
      for (int tries = 0; tries < 3; ++tries)
        CHECK((*store)->Save(node, effects).error().m_code == ResultCode::kDiskFull);
      *full = false;
      REQUIRE((*store)->Save(node, effects));
    }
  }
  StoredLog again;
  REQUIRE(LogStore::Open(folder.path(), "c", 8, again));
  CHECK(again.m_torn_bytes == 0);
  CHECK(again.m_entries.size() == 4);
}

// Guards against entries in memory whose positions don't match their indexes. A segment holds an
// entry twice if it was saved after a new segment had included it.
TEST_CASE("an entry that was saved twice is read once", "[log][store]") {
  const TemporaryFolder folder;
  {
    StoredLog stored;
    auto store = LogStore::Open(folder.path(), "c", 7, stored);
    REQUIRE(store);
    LogNode node;
    node.m_id = stored.m_id;
    LogEffects effects;
    for (int i = 1; i <= 5; ++i) {
      node.m_entries.push_back(Entry(i));
      effects.m_append.push_back(Entry(i));
    }
    REQUIRE((*store)->SaveSnapshot(node, CompactLog(node, 3, "state")));
    effects.m_append.erase(effects.m_append.begin(), effects.m_append.begin() + 4);
    REQUIRE((*store)->Save(node, effects));  // The new segment holds entry 5 already.
  }
  const auto reopened = Reopen(folder.path());
  REQUIRE(reopened);
  REQUIRE(reopened->m_entries.size() == 2);
  CHECK(reopened->m_entries.front().index == 4);
  CHECK(reopened->m_entries.back().index == 5);
}

TEST_CASE("a folder of another cluster or a newer format is refused", "[log][store]") {
  const TemporaryFolder folder;
  WriteEntries(folder.path(), 1);
  CHECK(Reopen(folder.path(), "other").error().m_code == ResultCode::kDataForeign);
  std::ofstream(folder.path() + "/identity") << "99 7 c\n";
  CHECK(Reopen(folder.path()).error().m_code == ResultCode::kDataNewer);
}

TEST_CASE("a folder that lost its identity but not its log is refused", "[log][store]") {
  const TemporaryFolder folder;
  WriteEntries(folder.path(), 1);
  fs::remove(folder.path() + "/identity");
  CHECK(Reopen(folder.path()).error().m_code == ResultCode::kDataDamaged);
}

TEST_CASE("a snapshot replaces what it covers and is read back", "[log][store]") {
  const TemporaryFolder folder;
  StoredLog stored;
  auto store = LogStore::Open(folder.path(), "c", 7, stored);
  REQUIRE(store);
  LogNode node;
  node.m_id = 7;
  LogEffects effects;
  for (int i = 1; i <= 10; ++i) {
    node.m_entries.push_back(Entry(i));
    effects.m_append.push_back(Entry(i));
  }
  REQUIRE((*store)->Save(node, effects));
  const wire::Snapshot snapshot = CompactLog(node, 8, "state");
  REQUIRE((*store)->SaveSnapshot(node, snapshot));
  const auto reopened = Reopen(folder.path());
  REQUIRE(reopened);
  REQUIRE(reopened->m_snapshot);
  CHECK(reopened->m_snapshot->index == 8);
  CHECK(reopened->m_snapshot->state == "state");
  CHECK(reopened->m_entries.size() == 2);
}

namespace {

/// A disk that keeps, of each file, only what was synced when the power fails.
struct FakeDisk {
  std::map<ino_t, std::uintmax_t> m_synced_sizes;
  bool m_killed = false;  ///< The process ends between a write and its sync.

  FileOps Ops() {
    FileOps ops = SystemFileOps();
    ops.m_sync = [this](int fd) {
      struct stat file {};
      if (m_killed || fstat(fd, &file) != 0)
        return false;
      m_synced_sizes[file.st_ino] = static_cast<std::uintmax_t>(file.st_size);
      return true;
    };
    return ops;
  }
  void LosePower(const std::string& path) {
    struct stat file {};
    REQUIRE(stat(path.c_str(), &file) == 0);
    fs::resize_file(path, m_synced_sizes[file.st_ino]);
  }
};

}  // namespace

// Guards against entries and votes that were written right before a kill, count as durable after
// the restart, and are lost with the power before the next sync.
TEST_CASE("what a restarted member counts as durable survives a power loss", "[log][store]") {
  const TemporaryFolder folder;
  FakeDisk disk;
  WriteEntries(folder.path(), 3, disk.Ops());
  {
    StoredLog stored;
    auto store = LogStore::Open(folder.path(), "c", 7, stored, disk.Ops());
    REQUIRE(store);
    LogNode node;
    node.m_hard_state.term = 9;
    LogEffects effects;
    effects.m_save_hard = true;
    effects.m_append.push_back(Entry(4));
    disk.m_killed = true;
    CHECK_FALSE((*store)->Save(node, effects));
  }
  disk.m_killed = false;
  StoredLog acknowledged;
  REQUIRE(LogStore::Open(folder.path(), "c", 7, acknowledged, disk.Ops()));
  REQUIRE(acknowledged.m_entries.size() == 4);
  disk.LosePower(SegmentPath(folder.path()));
  const auto stored = Reopen(folder.path());
  REQUIRE(stored);
  CHECK(stored->m_entries.size() == 4);
  CHECK(stored->m_hard_state.term == 9);
}

TEST_CASE("a member whose disk fails to sync what it has read doesn't start", "[log][store]") {
  const TemporaryFolder folder;
  FakeDisk disk;
  WriteEntries(folder.path(), 3, disk.Ops());
  disk.m_killed = true;
  StoredLog stored;
  const auto store = LogStore::Open(folder.path(), "c", 7, stored, disk.Ops());
  REQUIRE_FALSE(store);
  CHECK(store.error().m_code == ResultCode::kDiskFailed);
}
