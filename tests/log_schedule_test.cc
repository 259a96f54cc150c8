// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "log_cluster.h"

using namespace poppyway;
using namespace poppyway::test;

namespace {

struct Totals {
  int m_failed = 0;
  std::int64_t m_acknowledged = 0;
  int m_leaders = 0;
  int m_crashes = 0;
  int m_lost_folders = 0;
  int m_replacements = 0;
  int m_snapshots = 0;
  std::string m_first_violation;
};

Totals RunMany(ScheduleSpec spec, int count) {
  Totals totals;
  for (int i = 0; i < count; ++i) {
    spec.m_seed = static_cast<std::uint64_t>(1000 + i);
    const ScheduleReport report = RunSchedule(spec);
    if (!report.m_violations.empty()) {
      ++totals.m_failed;
      if (totals.m_first_violation.empty())
        totals.m_first_violation =
            "seed " + std::to_string(spec.m_seed) + ": " + report.m_violations.front();
    }
    totals.m_acknowledged += report.m_acknowledged;
    totals.m_leaders += report.m_leaders;
    totals.m_crashes += report.m_crashes;
    totals.m_lost_folders += report.m_lost_folders;
    totals.m_replacements += report.m_replacements;
    totals.m_snapshots += report.m_snapshots_installed;
  }
  return totals;
}

}  // namespace

TEST_CASE("acknowledged entries survive crashes, cuts, freezes, lost folders and lost messages",
          "[log][schedule]") {
  const Totals totals = RunMany({}, 400);
  INFO(totals.m_first_violation);
  CHECK(totals.m_failed == 0);
  // The schedules must really inject their faults.
  CHECK(totals.m_acknowledged > 10'000);
  CHECK(totals.m_leaders > 800);
  CHECK(totals.m_crashes > 1'000);
  CHECK(totals.m_lost_folders > 100);
  CHECK(totals.m_snapshots > 50);
}

TEST_CASE("five members hold the same promises", "[log][schedule]") {
  ScheduleSpec spec;
  spec.m_members = 5;
  const Totals totals = RunMany(spec, 100);
  INFO(totals.m_first_violation);
  CHECK(totals.m_failed == 0);
}

// Guards against replies, votes or commits that depend on entries whose save has not ended. A crash
// during the save then loses what other members rely on.
TEST_CASE("saves that take long beside the log's work lose no acknowledged entry",
          "[log][schedule]") {
  ScheduleSpec spec;
  spec.m_save_steps = GENERATE(3, 20, 60);  // Up to 20, 190 and 590 ms.
  const Totals totals = RunMany(spec, 200);
  INFO(totals.m_first_violation);
  CHECK(totals.m_failed == 0);
  CHECK(totals.m_acknowledged > 500);
  CHECK(totals.m_snapshots > 10);
}

TEST_CASE("the checker sees messages that are sent before a save that takes long",
          "[log][schedule][teeth]") {
  ScheduleSpec spec;
  spec.m_send_before_sync = true;
  spec.m_save_steps = 20;
  spec.m_crash = 0.05;
  CHECK(RunMany(spec, 100).m_failed > 0);
}

TEST_CASE("a harsh network loses no acknowledged entry", "[log][schedule]") {
  ScheduleSpec spec;
  spec.m_drop = 0.25;
  spec.m_disconnect = 0.03;
  const Totals totals = RunMany(spec, 100);
  INFO(totals.m_first_violation);
  CHECK(totals.m_failed == 0);
}

TEST_CASE("the checker sees a member that keeps its id after losing its folder",
          "[log][schedule][teeth]") {
  ScheduleSpec spec;
  spec.m_keep_id_when_blank = true;
  spec.m_lose_folder = 0.03;
  CHECK(RunMany(spec, 100).m_failed > 0);
}

TEST_CASE("the checker sees messages that are sent before the sync", "[log][schedule][teeth]") {
  ScheduleSpec spec;
  spec.m_send_before_sync = true;
  spec.m_crash = 0.1;
  CHECK(RunMany(spec, 100).m_failed > 0);
}

TEST_CASE("the checker sees a vote that is forgotten on restart", "[log][schedule][teeth]") {
  ScheduleSpec spec;
  spec.m_vote_is_forgotten = true;
  spec.m_members = 5;
  spec.m_crash = 0.15;
  spec.m_drop = 0.2;
  spec.m_restart = 0.5;
  spec.m_save_steps = 10;
  CHECK(RunMany(spec, 400).m_failed > 0);
}

namespace {

/// Returns a schedule of five members, two of which may be in replacement at once.
ScheduleSpec MakeReplacementSpec() {
  ScheduleSpec spec;
  spec.m_members = 5;
  spec.m_steps = 6'000;
  spec.m_drop = 0;
  spec.m_crash = 0;
  spec.m_disconnect = 0;
  spec.m_freeze = 0;
  spec.m_lose_folder = 0.0005;
  spec.m_replace = 0.003;
  spec.m_max_losses = 2;
  spec.m_tolerance.m_members = 2;
  spec.m_removal_timeout = Duration(2'500'000);
  return spec;
}

}  // namespace

// Guards against members that were replaced at about the same time and stay voters for ever, so
// that the next two lost folders leave no majority.
TEST_CASE("after any order of replacements the voters are the members that run",
          "[log][schedule]") {
  const Totals totals = RunMany(MakeReplacementSpec(), 100);
  INFO(totals.m_first_violation);
  CHECK(totals.m_failed == 0);
  CHECK(totals.m_replacements > 500);
  CHECK(totals.m_lost_folders > 50);
}

TEST_CASE("members that are cut off or paused meanwhile don't disturb replacements",
          "[log][schedule]") {
  ScheduleSpec spec = MakeReplacementSpec();
  spec.m_drop = 0.01;
  spec.m_crash = 0.001;
  spec.m_crash_all = 0.0003;
  spec.m_disconnect = 0.0007;
  spec.m_reconnect = 0.002;  // Five seconds on average: above the removal timeout at times.
  spec.m_freeze = 0.0005;
  const Totals totals = RunMany(spec, 100);
  INFO(totals.m_first_violation);
  CHECK(totals.m_failed == 0);
  CHECK(totals.m_replacements > 200);
  CHECK(totals.m_crashes > 500);
}
