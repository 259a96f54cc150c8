// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Disk access of a member: saves, one at a time, each of all effects that arrived during the
// previous one; snapshots; handling of a full disk.

#include <cstdlib>
#include <utility>

#include "member_service.h"

namespace poppyway {
namespace {

constexpr Duration kDiskRetryInterval{100'000};  // Each retry on a full disk is one small write.
constexpr int kDiskFailedExit = 74;

}  // namespace

void MemberService::FatalDisk(const Error& why) {
  POPPYWAY_LOG(fatal, "disk_failed").Field("why", why.m_message);
  // Nothing was acknowledged that isn't synced; to continue could acknowledge lost entries.
  std::_Exit(kDiskFailedExit);
}

void MemberService::OnDiskFull(LogEffects&& effects, const Error& why) {
  if (m_disk_full_since == Instant{}) {
    m_disk_full_since = ReadClock();
    POPPYWAY_LOG(error, "disk_full").Field("why", why.m_message);
  }
  RequeueEffects(std::move(effects));
  m_disk_full = true;
  m_disk_retry = ReadClock() + kDiskRetryInterval;
}

void MemberService::RequeueEffects(LogEffects&& effects) {
  MergeEffects(effects, std::move(m_unsaved));
  m_unsaved = std::move(effects);
}

void MemberService::RetryDisk(Instant now) {
  if (!m_disk_full || now < m_disk_retry)
    return;
  m_disk_retry = now + kDiskRetryInterval;
  const std::vector<wire::LogEntry> committed = ProcessEffects();
  StartSave();
  Apply(committed);
}

void MemberService::OnDiskSpaceAvailable() {
  m_disk_full = false;
  POPPYWAY_LOG(info, "disk_has_room")
      .Field("last_index", LastIndex(m_node))
      .Field("after_ms", (ReadClock() - m_disk_full_since).count() / 1000);
  m_disk_full_since = Instant{};
}

void MemberService::Flush() {
  m_flush_due = false;
  if (m_disk_full)
    return;
  const bool led = is_leader();
  const std::vector<wire::LogEntry> committed = ProcessEffects();
  StartSave();
  Apply(committed);
  if (!led && !is_leader())
    FailProposals(m_pending, kLeadershipLost);
}

std::vector<wire::LogEntry> MemberService::ProcessEffects() {
  LogEffects effects = std::exchange(m_effects, {});
  if (effects.m_install) {
    if (Result<void> loaded = RestoreStateMachine(m_machine, *effects.m_install); !loaded)
      FatalDisk(loaded.error());
    OnStateReplaced();
  }
  SendOrDefer(std::exchange(effects.m_send, {}));
  std::vector<wire::LogEntry> committed = std::exchange(effects.m_committed, {});
  MergeEffects(m_unsaved, std::move(effects));
  return committed;
}

void MemberService::SendOrDefer(std::vector<wire::LogMessage> messages) {
  for (wire::LogMessage& message : messages) {
    if (!m_disk_full && IsSafeToSend(m_node, message))
      SendTo(message);
    else
      DeferMessage(m_deferred, std::move(message));
  }
}

void MemberService::StartSave() {
  if (m_node.m_save_in_progress)
    return;
  LogSave save;
  if (SnapshotDue())
    save.m_compacted =
        CompactLog(m_node, m_machine.m_applied_index, SerializeStateMachine(m_machine));
  else if (!m_unsaved.NeedsSync())
    return;
  // A new segment holds the whole log, including entries that aren't saved yet.
  save.m_node = CopyDurableState(m_node, save.m_compacted || m_unsaved.m_install);
  save.m_effects = std::exchange(m_unsaved, {});
  BeginLogSave(m_node);
  m_writer->Save(std::move(save));
}

void MemberService::OnSaved(SaveOutcome outcome) {
  m_sync_times.Record(outcome.m_took);
  LogSave& save = outcome.m_save;
  if (!outcome.m_result) {
    const Error& why = outcome.m_result.error();
    if (why.m_code != ResultCode::kDiskFull)
      FatalDisk(why);
    AbortLogSave(m_node);
    if (!save.m_compacted) {
      OnDiskFull(std::move(save.m_effects), why);
      return;
    }
    // The log in memory now begins after the snapshot; the log on the disk is complete without it.
    POPPYWAY_LOG(warning, "snapshot_put_off").Field("why", why.m_message);
    RequeueEffects(std::move(save.m_effects));
    Flush();
    return;
  }
  ++m_syncs;
  m_entries_synced += save.m_effects.m_append.size();
  if (save.m_compacted)
    POPPYWAY_LOG(info, "snapshot")
        .Field("index", save.m_compacted->index)
        .Field("bytes", save.m_compacted->state.size())
        .Field("took_ms", outcome.m_took.count() / 1000);
  if (m_disk_full)
    OnDiskSpaceAvailable();
  MergeEffects(m_effects, FinishLogSave(m_node));
  SendOrDefer(std::exchange(m_deferred, {}));
  Flush();
}

bool MemberService::SnapshotDue() const {
  const std::int64_t behind = m_machine.m_applied_index - m_node.m_snapshot_index;
  return behind >= m_settings.m_snapshot_entries && !m_disk_full && !m_unsaved.m_install;
}

}  // namespace poppyway
