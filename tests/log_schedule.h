// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief One seeded schedule of a cluster: its members, the faults that strike them, and the
/// checks. Only the sources of `log_cluster.h` include this.

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "log_cluster.h"

namespace poppyway::test {

inline constexpr Duration kStep{10'000};

/// A member with its process (volatile) and its folder (durable).
struct Member {
  std::string m_name;
  StoredLog m_disk;
  LogNode m_node;
  StateMachine m_machine;
  bool m_up = false;
  bool m_disconnected = false;
  bool m_removed = false;  ///< The member was replaced and never starts again.
  Instant m_started{};
  Instant m_folder_created{};
  Instant m_frozen_until{};
  LogEffects m_unsaved;                      ///< The effects that the next save makes durable.
  std::vector<wire::LogMessage> m_deferred;  ///< Messages that depend on state not durable yet.
  LogNode m_saving_node;                     ///< The node as of the start of the current save.
  LogEffects m_saving;                       ///< The effects that the current save makes durable.
  std::optional<wire::Snapshot> m_compacting;
  Instant m_save_ends{};
  /// The terms of the entries that were proposed here, by index.
  std::map<std::int64_t, std::int64_t> m_proposed;
};

/// A member that was replaced, or that lost its folder.
struct Loss {
  std::optional<std::size_t>
      m_successor;                      ///< The member that takes its place, once it has started.
  Instant m_successor_due{};            ///< When the successor starts.
  std::optional<std::size_t> m_leaver;  ///< The member that still has to leave, if it is planned.
  Instant m_leaver_due{};
};

struct MessageInFlight {
  Instant m_due{};
  std::size_t m_to = 0;
  wire::LogMessage m_message;
};

/// Runs the schedule of a `ScheduleSpec`. Its functions are in log_cluster.cc, log_faults.cc and
/// log_checks.cc.
class Schedule {
 public:
  explicit Schedule(const ScheduleSpec& spec) : m_spec(spec), m_random(spec.m_seed) {}
  ScheduleReport Run();

 private:
  bool Chance(double p) { return std::uniform_real_distribution<>(0, 1)(m_random) < p; }
  /// Returns a member that wasn't replaced.
  std::size_t Pick();
  void AddViolation(const std::string& what);
  void Bootstrap();
  wire::MemberInfo InfoOf(const Member& member, bool voter);
  void Start(Member& member);
  void Crash(Member& member);
  void LoseFolder(Member& member);
  /// Returns true if every member is a voter under its current id and the membership is committed.
  /// Only then may another folder be lost without loss of data.
  bool Repaired() const;
  const Member* Leader() const;
  void InjectFaults();
  void InjectLosses();
  bool IsOver(const Loss& loss) const;
  /// Replaces one member, or takes its folder, if the losses stay within the most allowed. The loss
  /// of a successor that still catches up is no further loss, unless it started before the member
  /// whose place it takes had left.
  void BeginLoss(bool replaced);
  Duration RandomDelay();
  void Remove(Member& member);
  void ContinueReplacement(Loss& loss);
  void Heal();
  void Step();
  bool IsRunning(const Member& member) const;
  void ProposeMembershipIfDue(std::size_t i);
  void Deliver();
  /// Performs effects as a daemon does: sends the messages that are safe to send, applies entries
  /// and saves one batch after another. A crash may occur in between.
  void Perform(std::size_t i, LogEffects effects);
  void SendOrDefer(std::size_t i, std::vector<wire::LogMessage> messages);
  void BeginSave(std::size_t i);
  void EndSave(std::size_t i);
  static void MakeDurable(Member& member);
  void Send(std::size_t from, const std::vector<wire::LogMessage>& messages);
  void CheckVote(const wire::LogMessage& message);
  void CheckLeader(const Member& member);
  void Apply(Member& member, const wire::LogEntry& entry);
  void Propose();
  wire::Command NextCommand(const Member& member);
  void CheckEnd();
  /// After the last change the voters are the members that run, as many as planned.
  void CheckVotersAtEnd();
  ScheduleSpec m_spec;
  std::mt19937_64 m_random;
  ScheduleReport m_report;
  Instant m_now{Duration(1'000'000)};
  std::vector<Member> m_members;
  std::vector<MessageInFlight> m_messages_in_flight;
  std::vector<Loss> m_losses;
  Instant m_last_fault{};  ///< When some member last was down, frozen or disconnected.
  MemberId m_next_id = 100;
  bool m_healed = false;
  std::int64_t m_commands = 0;
  std::map<std::int64_t, std::string> m_committed;
  std::map<std::int64_t, std::string> m_acknowledged;
  std::map<std::int64_t, MemberId> m_leader_of_term;
  /// The candidates that votes were granted to, by voter and term.
  std::map<std::pair<MemberId, std::int64_t>, MemberId> m_votes;
  std::map<std::string, std::string> m_holders;
};

}  // namespace poppyway::test
