// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Tests with real processes: configuration and membership during failures.

#include <catch2/catch.hpp>
#include <sstream>

#include "process_cluster.h"

using namespace poppyway;
using namespace poppyway::test;

namespace {

/// Proposes one change through any running instance. Returns the version that it created, or -1.
std::int64_t ChangeOnce(ProcessCluster& cluster, int number, std::int64_t base) {
  wire::ConfigChange change;
  change.change_id = "c" + std::to_string(number);
  change.base_version = base;
  wire::ObjectText object;
  object.kind = "workspace";
  object.name = "w";
  object.body = "kind: workspace\nname: w\nweight: " + std::to_string(1 + number % 900);
  change.upserts.push_back(object);
  wire::Propose propose;
  propose.commands.emplace_back().__set_config(change);
  wire::Body body;
  body.__set_propose(propose);
  // The last instance is tried first: it is not a member, and tests suspend only members.
  const std::vector<int> all(cluster.all().rbegin(), cluster.all().rend());
  for (const int instance : all) {
    if (!cluster.running(instance))
      continue;
    const Result<wire::Body> reply =
        CallOnce("127.0.0.1", cluster.PeerPort(instance), body, std::chrono::seconds(3));
    if (reply && reply->__isset.propose_reply &&
        reply->propose_reply.results.at(0).config.code == 0)
      return reply->propose_reply.results.at(0).config.version;
  }
  return -1;
}

std::int64_t VersionOf(ProcessCluster& cluster) {
  const Result<wire::StatusReply> status = cluster.Status();
  return status ? status->version : -1;
}

bool AllInForce(const wire::StatusReply& status, std::size_t count, std::int64_t version) {
  if (status.instances.size() != count)
    return false;
  return std::all_of(status.instances.begin(), status.instances.end(),
                     [version](const wire::InstanceStatus& instance) {
                       return instance.version_in_force >= version;
                     });
}

std::string Weight(int weight) {
  return "kind: workspace\nname: w\nweight: " + std::to_string(weight) + "\n";
}

}  // namespace

TEST_CASE(
    "after 500 changes and a kill of every process the last version is in force, never an "
    "older one",
    "[process][configuration]") {
  ProcessCluster cluster(4, {"snapshot_entries: 100"});
  StartSmallDeployment(cluster);
  std::int64_t version = VersionOf(cluster);
  for (int i = 0; i < 500; ++i) {
    const std::int64_t next = ChangeOnce(cluster, i, version);
    REQUIRE(next == version + 1);
    version = next;
  }
  CHECK(cluster.AwaitStatus([&](const wire::StatusReply& s) { return AllInForce(s, 4, version); },
                            6000));
  for (const int instance : cluster.all())
    cluster.Kill(instance);
  for (const int instance : cluster.all())
    cluster.Start(instance);
  bool older = false;
  CHECK(cluster.AwaitStatus([&](const wire::StatusReply& s) {
    for (const wire::InstanceStatus& instance : s.instances)
      older = older || (instance.ready && instance.version_in_force < version);
    return s.version >= version && AllInForce(s, 4, version);
  }));
  CHECK_FALSE(older);
  CHECK(VersionOf(cluster) == version);
  CHECK(cluster.LogOf(1).find("event=snapshot") != std::string::npos);
}

namespace {

/// When all processes are killed and how they are restarted.
enum class RestartCase { kBeforeForce, kDuringElection, kStartedLate, kKilledAgain };

void KillAll(ProcessCluster& cluster) {
  for (const int instance : cluster.all()) {
    if (cluster.running(instance))
      cluster.Kill(instance);
  }
}

void StartAll(ProcessCluster& cluster, int interval_ms) {
  const std::vector<int> last_first(cluster.all().rbegin(), cluster.all().rend());
  for (const int instance : last_first) {
    cluster.Start(instance);
    SleepMs(interval_ms);
  }
}

void KillAndRestartAll(ProcessCluster& cluster, RestartCase restart_case) {
  if (restart_case == RestartCase::kDuringElection) {
    cluster.Kill(cluster.Leader());
    SleepMs(350);  // The other members have just missed its heartbeats.
  }
  KillAll(cluster);
  if (restart_case == RestartCase::kKilledAgain) {
    StartAll(cluster, 0);
    SleepMs(400);
    KillAll(cluster);
  }
  StartAll(cluster, restart_case == RestartCase::kStartedLate ? 700 : 0);
}

}  // namespace

// Guards against the loss of acknowledged changes if all processes restart before the changes are
// in force everywhere, during an election, one by one, or twice in a row.
TEST_CASE("a kill of every process at any moment leaves the last version acknowledged in force",
          "[process][configuration]") {
  const RestartCase restart_case = GENERATE(RestartCase::kBeforeForce, RestartCase::kDuringElection,
                                            RestartCase::kStartedLate, RestartCase::kKilledAgain);
  CAPTURE(static_cast<int>(restart_case));
  ProcessCluster cluster(4, {"snapshot_entries: 20"});
  StartSmallDeployment(cluster);
  std::int64_t version = VersionOf(cluster);
  for (int i = 0; i < 60; ++i)
    version = ChangeOnce(cluster, i, version);
  REQUIRE(version == 61);
  KillAndRestartAll(cluster, restart_case);
  bool older = false;
  CHECK(cluster.AwaitStatus([&](const wire::StatusReply& s) {
    for (const wire::InstanceStatus& instance : s.instances)
      older = older || (instance.ready && instance.version_in_force < version);
    return s.version >= version && AllInForce(s, 4, version);
  }));
  CHECK_FALSE(older);
  CHECK(VersionOf(cluster) == version);
}

// Guards against an instance that treats the configuration in a lagging member's snapshot as
// current and reports that it is ready.
TEST_CASE(
    "an instance that reads a lagging member after a restart of all isn't ready until it holds "
    "the last version",
    "[process][configuration]") {
  ProcessCluster cluster(4, {"snapshot_entries: 20"});
  StartSmallDeployment(cluster);
  std::int64_t version = VersionOf(cluster);
  for (int i = 0; i < 50; ++i)
    version = ChangeOnce(cluster, i, version);
  REQUIRE(version == 51);
  for (const int instance : cluster.all())
    cluster.Kill(instance);
  const std::size_t before = cluster.LogOf(4).size();
  // A single member of three has no leader and serves the configuration in its snapshot.
  cluster.Start(1);
  cluster.Start(4);
  const auto in_force = [&] {
    return cluster.LogOf(4).find("event=configuration_in_force", before) != std::string::npos;
  };
  for (int waited = 0; waited < 10'000 && !in_force(); waited += 50)
    SleepMs(50);
  REQUIRE(in_force());
  // The instance still polls the first member while the two others elect a leader.
  SleepMs(300);
  cluster.Suspend(1);
  cluster.Start(2);
  cluster.Start(3);
  bool listed = false;
  bool older = false;
  (void)cluster.AwaitStatus(
      [&](const wire::StatusReply& s) {
        for (const wire::InstanceStatus& instance : s.instances) {
          const bool observed = instance.instance == "entry-4";
          listed = listed || observed;
          older = older || (observed && instance.ready && instance.version_in_force < version);
        }
        return false;
      },
      4000);
  CHECK(listed);
  CHECK_FALSE(older);
  cluster.Resume(1);
  CHECK(cluster.AwaitStatus([&](const wire::StatusReply& s) { return AllInForce(s, 4, version); }));
}

TEST_CASE("of two operators on one base version one wins and the other learns of it",
          "[process][configuration]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  const std::string one = cluster.Write("one.yaml", Weight(1));
  const std::string two = cluster.Write("two.yaml", Weight(2));
  CHECK(cluster.RunCli({"apply", one, "--base", "1"}).m_exit == 0);
  const ProcessResult lost = cluster.RunCli({"apply", two, "--base", "1"});
  CHECK(lost.m_exit == 1);
  CHECK(lost.m_output.find("version 2 was accepted since") != std::string::npos);
  CHECK(cluster.RunCli({"get", "workspace/w"}).m_output.find("weight: 1") != std::string::npos);
}

TEST_CASE(
    "a change resent after its answer was lost is the same change, also under a new leader "
    "and after a restart",
    "[process][configuration]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  const std::string file = cluster.Write("one.yaml", Weight(1));
  const std::vector<std::string> apply = {"apply", file, "--change-id", "mine", "--base", "1"};
  CHECK(cluster.RunCli(apply).m_output.find("version 2 accepted") != std::string::npos);
  CHECK(cluster.RunCli({"apply", cluster.Write("two.yaml", Weight(2))}).m_exit == 0);
  const int leader = cluster.Leader();
  REQUIRE(leader != 0);
  cluster.Kill(leader);
  REQUIRE(cluster.AwaitStatus([](const wire::StatusReply&) { return true; }));
  CHECK(cluster.RunCli(apply).m_output.find("version 2 accepted") != std::string::npos);
  cluster.Start(leader);
  REQUIRE(cluster.AwaitReady());
  CHECK(cluster.RunCli(apply).m_output.find("version 2 accepted") != std::string::npos);
  CHECK(VersionOf(cluster) == 3);
  CHECK(cluster.RunCli({"get", "workspace/w"}).m_output.find("weight: 2") != std::string::npos);
}

TEST_CASE(
    "a leader that was paused for long accepts nothing when it wakes and takes up what it "
    "missed",
    "[process][members]") {
  ProcessCluster cluster(4);
  StartSmallDeployment(cluster);
  const int paused = cluster.Leader();
  REQUIRE(paused != 0);
  cluster.Suspend(paused);
  REQUIRE(cluster.AwaitStatus([&](const wire::StatusReply& s) { return s.instances.size() == 3; }));
  std::int64_t version = VersionOf(cluster);
  for (int i = 0; i < 20; ++i)
    version = ChangeOnce(cluster, i, version);
  REQUIRE(version == 21);
  cluster.Resume(paused);
  CHECK(cluster.AwaitStatus([&](const wire::StatusReply& s) { return AllInForce(s, 4, version); }));
  CHECK(cluster.Leader() != paused);
  CHECK(VersionOf(cluster) == version);
  CHECK(cluster.LogOf(paused).find("event=configuration_in_force version=21") != std::string::npos);
}

TEST_CASE(
    "a member that lost its folder is replaced, and losing a second one right after loses "
    "nothing",
    "[process][members]") {
  ProcessCluster cluster(4);
  StartSmallDeployment(cluster);
  std::int64_t version = VersionOf(cluster);
  for (int i = 0; i < 30; ++i)
    version = ChangeOnce(cluster, i, version);
  REQUIRE(version == 31);
  const auto voters = [](const wire::StatusReply& s) {
    return std::count_if(s.membership.members.begin(), s.membership.members.end(),
                         [](const wire::MemberInfo& m) { return m.voter; });
  };
  const std::int64_t old_id = cluster.Status()->membership.members.at(1).id;
  cluster.Kill(2);
  cluster.WipeFolder(2);
  cluster.Start(2);
  REQUIRE(cluster.AwaitStatus([&](const wire::StatusReply& s) {
    const bool old_gone = std::none_of(s.membership.members.begin(), s.membership.members.end(),
                                       [&](const wire::MemberInfo& m) { return m.id == old_id; });
    return old_gone && voters(s) == 3;
  }));
  // Right after the replacement a second member loses its data folder.
  const int second = cluster.Leader() == 1 ? 1 : 3;
  cluster.Kill(second);
  cluster.WipeFolder(second);
  REQUIRE(cluster.AwaitStatus([&](const wire::StatusReply& s) { return s.version == version; }));
  const std::int64_t next = ChangeOnce(cluster, 100, version);
  CHECK(next == version + 1);
  cluster.Start(second);
  CHECK(cluster.AwaitStatus(
      [&](const wire::StatusReply& s) { return voters(s) == 3 && AllInForce(s, 4, next); }));
}

TEST_CASE("a folder of another cluster is refused at start with a clear message",
          "[process][members]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  cluster.Kill(1);
  std::string settings = cluster.Write("other.yaml", "");
  std::ostringstream text;
  text << "cluster: other\ninstance: entry-1\ndata_centre: x\nhttp: 127.0.0.1:"
       << cluster.HttpPort(1) << "\npeer: 127.0.0.1:" << cluster.PeerPort(1)
       << "\nmembers: {entry-1: 127.0.0.1:" << cluster.PeerPort(1)
       << "}\ndata_folder: " << settings.substr(0, settings.rfind('/')) << "/data-1\n";
  cluster.Write("entry-1.yaml", text.str());
  cluster.Start(1);
  CHECK(cluster.Join(1) == 70);
}

TEST_CASE("a malformed peer message closes its connection, is counted and harms nothing",
          "[process][peers]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  const HttpResponse answer = Http(cluster.PeerPort(1), "GET", "/", {}, "", 2000);
  CHECK(answer.m_status == 0);
  SleepMs(1500);
  const std::string metrics = Http(cluster.HttpPort(1), "GET", "/metrics").m_body;
  CHECK(metrics.find("poppyway_peer_messages_refused_total 1") != std::string::npos);
  CHECK(cluster.LogOf(1).find("event=peer_message_refused") != std::string::npos);
  CHECK(VersionOf(cluster) == 1);
}
