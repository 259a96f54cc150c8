// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What a member does with its disk: one sync for all that gathered, snapshots, a disk without room.

#include <cstdlib>

#include "member_side.h"

namespace poppyway {
namespace {

constexpr Duration kDiskRetryInterval{100'000};  // One small write, until there is room.
constexpr int kDiskFailedExit = 74;

}  // namespace

void MemberSide::FatalDisk(const Error& why) {
  POPPYWAY_LOG(fatal, "disk_failed").Field("why", why.m_message);
  // What was not synced was not acknowledged; going on could acknowledge what is lost.
  std::_Exit(kDiskFailedExit);
}

void MemberSide::HoldBack(LogEffects&& effects, const Error& why) {
  if (m_disk_full_since == Instant{}) {
    m_disk_full_since = ReadClock();
    POPPYWAY_LOG(error, "disk_full").Field("why", why.m_message);
  }
  MergeEffects(effects, std::move(m_effects));
  m_effects = std::move(effects);
  m_disk_full = true;
  m_disk_retry = ReadClock() + kDiskRetryInterval;
}

void MemberSide::RetryDisk(Instant now) {
  if (!m_disk_full || now < m_disk_retry)
    return;
  m_disk_full = false;
  Flush();
  if (m_disk_full)
    return;
  POPPYWAY_LOG(info, "disk_has_room")
      .Field("last_index", LastIndex(m_node))
      .Field("after_ms", (now - m_disk_full_since).count() / 1000);
  m_disk_full_since = Instant{};
}

void MemberSide::Flush() {
  m_flush_due = false;
  if (m_disk_full)
    return;
  const bool led = leads();
  LogEffects effects = std::move(m_effects);
  m_effects = {};
  if (effects.m_install) {
    if (Result<void> loaded = LoadMachine(m_machine, *effects.m_install); !loaded)
      FatalDisk(loaded.error());
    OnStateReplaced();
  }
  if (effects.NeedsSync()) {
    const Instant begun = ReadClock();
    const Result<void> saved = m_store->Save(m_node, effects);
    m_sync_times.Record(ReadClock() - begun);
    if (!saved) {
      if (saved.error().m_code != ResultCode::kDiskFull)
        FatalDisk(saved.error());
      HoldBack(std::move(effects), saved.error());
      return;
    }
    ++m_syncs;
    m_entries_synced += effects.m_append.size();
  }
  for (const wire::LogMessage& message : effects.m_send)
    SendTo(message);
  MergeEffects(effects, AfterSync(m_node));
  Apply(effects.m_committed);
  MaybeCompact();
  if (!led && !m_pending.empty() && !leads())
    FailPending("leadership was lost");
}

void MemberSide::MaybeCompact() {
  const std::int64_t behind = m_machine.m_applied - m_node.m_snapshot_index;
  if (behind < m_settings.m_snapshot_entries)
    return;
  const Instant begun = ReadClock();
  const wire::Snapshot snapshot = CompactLog(m_node, m_machine.m_applied, SaveMachine(m_machine));
  const Result<void> saved = m_store->SaveSnapshot(m_node, snapshot);
  m_sync_times.Record(ReadClock() - begun);
  if (!saved) {
    if (saved.error().m_code != ResultCode::kDiskFull)
      FatalDisk(saved.error());
    // The log in memory begins after the snapshot now; the one on the disk is whole without it.
    POPPYWAY_LOG(warning, "snapshot_put_off").Field("why", saved.error().m_message);
    return;
  }
  POPPYWAY_LOG(info, "snapshot")
      .Field("index", snapshot.index)
      .Field("bytes", snapshot.state.size())
      .Field("took_ms", (ReadClock() - begun).count() / 1000);
}

}  // namespace poppyway
