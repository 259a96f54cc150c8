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

/// \brief Identifies a member as long as its data folder exists; random, never zero.
using MemberId = std::int64_t;

/// \brief Timeouts and intervals of the log.
struct LogTiming {
  Duration m_election_min{300'000};  ///< The shortest election timeout.
  Duration m_election_max{600'000};  ///< The longest election timeout.
  Duration m_heartbeat{50'000};      ///< The interval between appends of an idle leader.
  /// A voter that has not replied for this long may be removed. The timeout is well above the time
  /// of a restart, which is less than a second.
  Duration m_removal_timeout{5'000'000};
};

/// \brief The losses that the voters have to tolerate at the same time, with a majority left. Zero
/// members: not stated.
struct LossTolerance {
  int m_members = 0;       ///< Any voters.
  int m_data_centres = 0;  ///< All voters of so many data centres.

  friend bool operator==(const LossTolerance&, const LossTolerance&) = default;
};

/// \brief A member's Raft role in its term.
enum class Role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// \brief The replication progress of another member, as its leader knows it.
struct Progress {
  std::int64_t m_next = 1;   ///< Raft's nextIndex: the next entry to send.
  std::int64_t m_match = 0;  ///< Raft's matchIndex: the last entry that it has acknowledged.
  /// When its last append reply arrived; at first, when the leader began to track it.
  Instant m_last_reply{};
  Instant m_last_snapshot{};   ///< When a snapshot was last sent; zero: never.
  Instant m_last_confirmed{};  ///< When the newest append that it has replied to was sent.
  Instant m_last_resend{};     ///< When the leader last sent entries again after a rejection.
};

/// \brief The state of one member as plain data. The functions below operate on it; they are not
/// thread-safe.
struct LogNode {
  LogTiming m_timing;
  LossTolerance m_tolerance;
  MemberId m_id = 0;
  std::string m_name;
  std::string m_cluster;
  std::mt19937_64 m_random;

  // The durable state, as it will be once all effects are saved.
  wire::HardState m_hard_state;
  std::int64_t m_snapshot_index = 0;
  std::int64_t m_snapshot_term = 0;
  wire::Membership m_snapshot_membership;
  std::shared_ptr<const std::string> m_snapshot_state;
  std::deque<wire::LogEntry> m_entries;  ///< The entries after the snapshot.

  // The part of that state which is durable already.
  std::int64_t m_durable_index = 0;  ///< The last index up to which the current log is durable.
  wire::HardState m_durable_hard;
  bool m_save_in_progress = false;
  std::int64_t m_saving_index = 0;  ///< The value of `m_durable_index` after the current save.
  wire::HardState m_saving_hard;

  // The volatile state.
  wire::Membership m_membership;  ///< The latest membership in the log, committed or not.
  std::int64_t m_membership_index = 0;
  std::int64_t m_commit_index = 0;
  std::int64_t m_emitted_index = 0;  ///< The last index emitted to the caller to apply.
  Role m_role = Role::kFollower;
  MemberId m_leader = 0;
  Instant m_last_leader_contact{};  ///< On a leader: when it became leader.
  Instant m_election_due{};         ///< When the election timeout expires; zero: not set yet.
  Instant m_heartbeat_due{};
  std::int64_t m_term_start = 0;  ///< On a leader: the index of the first entry of its term.
  std::set<MemberId> m_votes;
  std::map<MemberId, Progress> m_progress;
  /// On a follower: when the members that its leader reports as silent last replied.
  std::map<MemberId, Instant> m_silent_since;
};

/// \brief The actions that the caller has to perform: save the changes, send the messages that
/// `IsSafeToSend` allows, apply the committed entries.
struct LogEffects {
  bool m_save_hard = false;
  std::optional<std::int64_t> m_truncate_after;  ///< Drops stored entries after this index first.
  std::vector<wire::LogEntry> m_append;
  std::optional<wire::Snapshot> m_install;  ///< Replaces storage and the state machine.
  std::vector<wire::LogMessage> m_send;
  std::vector<wire::LogEntry> m_committed;  ///< The entries to apply, in order, after `m_install`.

  /// Returns true if some effect has to be made durable.
  [[nodiscard]] bool NeedsSync() const {
    return m_save_hard || m_truncate_after || !m_append.empty() || m_install;
  }
};

/// \brief Runs what is due at `now`: elections, heartbeats and check-quorum.
[[nodiscard]] LogEffects TickLog(LogNode& node, Instant now);

/// \brief Handles a message from another member. A message for another id or cluster is ignored.
[[nodiscard]] LogEffects StepLog(LogNode& node, const wire::LogMessage& message, Instant now);

/// \brief Appends commands to the leader's log and sends them to the other members.
/// \return the index of the first command, or `kNotLeader`.
[[nodiscard]] Result<std::int64_t> ProposeLog(LogNode& node,
                                              const std::vector<wire::Command>& commands,
                                              LogEffects& effects,
                                              Instant now);

/// \brief Proposes a membership. Precondition: it differs from the current one in at most one
/// voter, or it begins or ends the replacement of one voter by another.
/// \return the index of its entry; `kNotLeader`; or `kVersionConflict` while another change is not
/// committed yet, or before this leader has committed an entry of its term.
[[nodiscard]] Result<std::int64_t> ProposeMembership(LogNode& node,
                                                     const wire::Membership& membership,
                                                     LogEffects& effects,
                                                     Instant now);

/// \brief Records that a save of all effects up to now has begun. Precondition: no other save is in
/// progress.
void BeginLogSave(LogNode& node);

/// \brief Records that the save which `BeginLogSave` began has succeeded. A leader counts its own
/// log towards a majority only up to the last index that was saved.
/// \return effects with the entries that this commits.
[[nodiscard]] LogEffects FinishLogSave(LogNode& node);

/// \brief Records that the save which `BeginLogSave` began has failed: nothing of it is durable.
void AbortLogSave(LogNode& node);

/// \brief Returns true if a message depends on no state that is not durable yet. The caller defers
/// any other message and checks it again after the next save.
[[nodiscard]] bool IsSafeToSend(const LogNode& node, const wire::LogMessage& message);

/// \brief Adds a message to the list of deferred ones. It replaces a deferred append reply to the
/// same member in the same term that acknowledges no more entries, so that the list stays bounded
/// however long a save takes.
void DeferMessage(std::vector<wire::LogMessage>& deferred, wire::LogMessage message);

/// \brief Copies the part of a node that a save writes, so that the node can continue during the
/// save. The entries are needed only if the save starts a new segment.
[[nodiscard]] LogNode CopyDurableState(const LogNode& node, bool with_entries);

/// \brief Replaces the entries up to `index` by a snapshot that holds `state`.
/// Precondition: `index` has been emitted as committed.
/// \return the snapshot, which the caller stores.
[[nodiscard]] wire::Snapshot CompactLog(LogNode& node, std::int64_t index, std::string state);

/// \brief Starts the first term of a new cluster on the member that forms it. The election is due
/// at once.
[[nodiscard]] LogEffects BootstrapLog(LogNode& node,
                                      const wire::Membership& membership,
                                      Instant now);

/// \brief Appends the effects `more` to `into`.
void MergeEffects(LogEffects& into, LogEffects&& more);

/// \brief Returns the index of the last entry, or of the snapshot if no entry follows it.
[[nodiscard]] std::int64_t LastIndex(const LogNode& node) noexcept;
/// \brief Returns the term of the entry at `index`, or -1 if the log does not hold that entry.
[[nodiscard]] std::int64_t TermAt(const LogNode& node, std::int64_t index) noexcept;
[[nodiscard]] bool IsVoter(const wire::Membership& membership, MemberId id) noexcept;
/// \brief Returns the member with this id, or nullptr.
[[nodiscard]] const wire::MemberInfo* FindMember(const wire::Membership& membership, MemberId id);
/// \brief Estimates the bytes of an entry in a message. Fields that can be large count exactly.
[[nodiscard]] std::size_t EntrySizeBytes(const wire::LogEntry& entry) noexcept;
/// \brief Returns true on a leader to which a majority of voters, itself included, has replied
/// within the shortest election timeout. During the replacement of a voter, here and below, a
/// majority is one of the voters before it and one of those after it.
[[nodiscard]] bool LeadsWithQuorum(const LogNode& node, Instant now);
/// \brief Returns true on a leader whose state, with entries up to `applied` in it, holds every
/// entry that earlier leaders committed. A new leader knows these once it has committed the first
/// entry of its term.
[[nodiscard]] bool HoldsAllCommitted(const LogNode& node, std::int64_t applied) noexcept;
/// \brief Returns true if a read of the leader's state, with entries up to `applied` in it, sees
/// every acknowledged entry.
///
/// The state has to hold all committed entries, and a majority of voters must have replied to
/// appends that this leader sent within the shortest election timeout. The time counts from when
/// the append was sent, so a delayed reply can't hide that another leader has committed entries
/// since.
[[nodiscard]] bool CanServeLinearizableReads(const LogNode& node,
                                             std::int64_t applied,
                                             Instant now);

}  // namespace poppyway
