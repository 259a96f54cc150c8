// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/wire.h"

namespace poppyway {

/// \brief Names a member for the life of its data folder; random, never zero.
using MemberId = std::int64_t;

/// \brief Timing of the log.
struct LogTiming {
  Duration m_election_min{300'000};
  Duration m_election_max{600'000};
  Duration m_heartbeat{50'000};
  /// A voter this long silent may be replaced; well above a restart, which takes below a second.
  Duration m_gone_after{5'000'000};
};

/// \brief A member's part in its term.
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// \brief What a leader knows of another member.
struct Progress {
  std::int64_t m_next = 1;
  std::int64_t m_match = 0;
  Instant m_heard{};
  Instant m_snapshot_sent{};
  Instant m_confirmed{};  ///< When the newest append that it has answered was sent.
  Instant m_resent{};     ///< When entries that it lacked were last sent again.
};

/// \brief One member's state. Plain data; the functions below are its behaviour.
struct LogNode {
  LogTiming m_timing;
  MemberId m_id = 0;
  std::string m_name;
  std::string m_cluster;
  std::mt19937_64 m_random;

  // Durable.
  wire::HardState m_hard_state;
  std::int64_t m_snapshot_index = 0;
  std::int64_t m_snapshot_term = 0;
  wire::Membership m_snapshot_membership;
  std::shared_ptr<const std::string> m_snapshot_state;
  std::deque<wire::LogEntry> m_entries;  ///< Those after the snapshot.

  // What of that is durable.
  std::int64_t m_saved = 0;  ///< Last index up to which the log is durable as it stands.
  wire::HardState m_saved_hard;
  bool m_save_in_progress = false;
  std::int64_t m_saving = 0;  ///< What `m_saved` will be once the save under way has ended.
  wire::HardState m_saving_hard;

  // Volatile.
  wire::Membership m_membership;  ///< The latest in the log, committed or not.
  std::int64_t m_membership_index = 0;
  std::int64_t m_commit_index = 0;
  std::int64_t m_handed_out = 0;  ///< Last index given to the caller to apply.
  Role m_role = Role::kFollower;
  MemberId m_leader = 0;
  Instant m_last_leader_contact{};
  Instant m_election_due{};
  Instant m_heartbeat_due{};
  std::int64_t m_term_start = 0;  ///< Index of a leader's first entry of its term.
  std::set<MemberId> m_votes;
  std::map<MemberId, Progress> m_progress;
};

/// \brief What the caller has to do: make durable, send what `IsSafeToSend` allows, apply.
struct LogEffects {
  bool m_save_hard = false;
  std::optional<std::int64_t> m_truncate_after;  ///< Drop stored entries after this index first.
  std::vector<wire::LogEntry> m_append;
  std::optional<wire::Snapshot> m_install;  ///< Replaces storage and the state machine.
  std::vector<wire::LogMessage> m_send;
  std::vector<wire::LogEntry> m_committed;  ///< To apply, in order, after `m_install`.

  [[nodiscard]] bool NeedsSync() const {
    return m_save_hard || m_truncate_after || !m_append.empty() || m_install;
  }
};

/// \brief Advances timers: elections, heartbeats, check-quorum.
[[nodiscard]] LogEffects TickLog(LogNode& node, Instant now);

/// \brief Takes a message of another member. One for another id or cluster has no effect.
[[nodiscard]] LogEffects StepLog(LogNode& node, const wire::LogMessage& message, Instant now);

/// \brief Appends commands on the leader. \return the first index, or `kNotLeader`.
[[nodiscard]] Result<std::int64_t> ProposeLog(LogNode& node,
                                              const std::vector<wire::Command>& commands,
                                              LogEffects& effects,
                                              Instant now);

/// \brief Proposes a membership that differs in at most one voter.
/// \return its index, or why not: `kNotLeader`, or `kVersionConflict` while a change is under way.
[[nodiscard]] Result<std::int64_t> ProposeMembership(LogNode& node,
                                                     const wire::Membership& membership,
                                                     LogEffects& effects,
                                                     Instant now);

/// \brief Notes that all effects up to now are being made durable. Precondition: no other save is
/// under way.
void BeginLogSave(LogNode& node);

/// \brief Notes that what `BeginLogSave` was called for is durable: a leader counts its own log for
/// commitment only from then on.
[[nodiscard]] LogEffects FinishLogSave(LogNode& node);

/// \brief Notes that what `BeginLogSave` was called for was refused and is not durable.
void AbortLogSave(LogNode& node);

/// \brief True if a message tells nothing that rests on what isn't durable here yet. One that must
/// wait is asked about again after the next save.
[[nodiscard]] bool IsSafeToSend(const LogNode& node, const wire::LogMessage& message);

/// \brief Keeps a message that must wait. It takes the place of a waiting answer to the same member
/// that says no more, so that what waits stays bounded however long a save takes.
void DeferMessage(std::vector<wire::LogMessage>& held, wire::LogMessage message);

/// \brief The part of a node that a save writes, for use while the node goes on. Entries are needed
/// only where a segment begins anew.
[[nodiscard]] LogNode CopyDurableState(const LogNode& node, bool with_entries);

/// \brief Replaces entries up to `index` by `state`. Precondition: `index` was handed out.
[[nodiscard]] wire::Snapshot CompactLog(LogNode& node, std::int64_t index, std::string state);

/// \brief Begins the first term of a new cluster on the member that forms it.
[[nodiscard]] LogEffects BootstrapLog(LogNode& node,
                                      const wire::Membership& membership,
                                      Instant now);

/// \brief Adds one effect after another.
void MergeEffects(LogEffects& into, LogEffects&& more);

[[nodiscard]] std::int64_t LastIndex(const LogNode& node) noexcept;
/// \brief Term of the entry at `index`, or -1 if it is not held.
[[nodiscard]] std::int64_t TermAt(const LogNode& node, std::int64_t index) noexcept;
[[nodiscard]] bool IsVoter(const wire::Membership& membership, MemberId id) noexcept;
[[nodiscard]] const wire::MemberInfo* FindMember(const wire::Membership& membership, MemberId id);
/// \brief About how many bytes an entry takes on a link: exact for what can be large.
[[nodiscard]] std::size_t EntrySizeBytes(const wire::LogEntry& entry) noexcept;
/// \brief True while a majority of voters answered within the last election timeout.
[[nodiscard]] bool LeadsWithQuorum(const LogNode& node, Instant now);
/// \brief True on a leader whose state, with entries up to `applied` in it, holds all that leaders
/// before it committed. A new leader learns what that is by committing the first entry of its term.
[[nodiscard]] bool HoldsAllCommitted(const LogNode& node, std::int64_t applied) noexcept;
/// \brief True if reads of a leader's state, with entries up to `applied` in it, miss nothing that
/// was acknowledged: it holds all that is committed, and a majority of voters is known to have
/// followed this leader within the last shortest election timeout, counted from when the append was
/// sent. Until then no other leader can have committed anything, however long replies were on their
/// way.
[[nodiscard]] bool CanServeLinearizableReads(const LogNode& node,
                                             std::int64_t applied,
                                             Instant now);
/// \brief A voter that has been silent for longest and may be removed: another member is ready to
/// take its place, or the count of voters is even, so that its removal costs no tolerance.
[[nodiscard]] std::optional<MemberId> RemovableVoter(const LogNode& node, Instant now);

/// \brief A membership change for the leader to propose now, if one is due: a member whose folder
/// was lost is replaced by its new id as a non-voter; a voter that is gone is removed; a caught-up
/// non-voter becomes a voter. `joining_members` are those that asked to join.
[[nodiscard]] std::optional<wire::Membership> PlanMembershipChange(
    const LogNode& node,
    const std::vector<wire::MemberInfo>& joining_members,
    Instant now);

}  // namespace poppyway
