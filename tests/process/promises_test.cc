// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Tests with real processes: guarantees to clients during failures and planned restarts.

#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "process_cluster.h"

using namespace poppyway;
using namespace poppyway::test;
using nlohmann::json;

namespace {

/// Extracts the JSON report from the output of a command. The HTTP library may write a warning
/// about a connection that its peer closed to standard error, before the report.
std::string ReportOf(const std::string& output) {
  if (output.starts_with('{'))
    return output;
  const std::size_t at = output.find("\n{");
  return at == std::string::npos ? output : output.substr(at + 1);
}

json ClassesOf(const ProcessResult& load) {
  INFO(load.m_output);
  const json parsed = json::parse(ReportOf(load.m_output), nullptr, false);
  REQUIRE(parsed.is_object());
  return parsed["classes"];
}

std::set<std::string> DispatchedIds(ProcessCluster& cluster) {
  std::istringstream lines(cluster.Fake("/__fake/ids").m_body);
  std::set<std::string> ids;
  std::string line;
  while (std::getline(lines, line))
    ids.insert(line);
  return ids;
}

HttpResponse Book(ProcessCluster& cluster,
                  int instance,
                  const std::string& key,
                  const std::string& body) {
  return Http(cluster.HttpPort(instance), "POST", "/desk/book",
              {"poppyway-event: book", "idempotency-key: " + key}, body, 8000);
}

/// Returns the last lines of each instance's log, to be printed where a check fails.
std::string LogTailsOf(const ProcessCluster& cluster) {
  constexpr std::size_t kTail = 8'000;  // Bytes of each log: some seconds under load.
  std::string tails;
  for (const int instance : cluster.all()) {
    const std::string log = cluster.LogOf(instance);
    tails += log.substr(log.size() - std::min(log.size(), kTail)) + "\n";
  }
  return tails;
}

/// Returns an instance that neither leads nor runs the broker of `pool`.
int NeitherLeaderNorBroker(ProcessCluster& cluster, const std::string& pool) {
  const int leader = cluster.Leader();
  const Result<wire::StatusReply> status = cluster.Status();
  REQUIRE(status);
  std::string holder;
  for (const wire::LeaseGrant& lease : status->leases) {
    if (lease.lease == pool)
      holder = lease.holder;
  }
  for (const int instance : cluster.all()) {
    const bool holds = holder.starts_with("entry-" + std::to_string(instance) + "-");
    if (instance != leader && !holds)
      return instance;
  }
  FAIL("no such instance");
  return 0;
}

constexpr const char* kSteadyPlan = R"(duration_s: 12
classes:
  - {name: exam, event: exam, tier: 0, rate_per_minute: 600, output_tokens: [8, 40], deadline_ms: 10000, key: true}
  - {name: chat, event: chat, tier: 1, rate_per_minute: 600, output_tokens: [8, 40], deadline_ms: 10000}
  - {name: look, event: look, tier: 1, method: GET, service_path: /desk/look, rate_per_minute: 600}
  - {name: book, event: book, tier: 0, service_path: /desk/book, rate_per_minute: 600, key: true}
)";

}  // namespace

TEST_CASE("a rolling planned restart of every instance cuts no request and loses none",
          "[process][planned-stop]") {
  ProcessCluster cluster(4);
  StartSmallDeployment(cluster);
  ProcessResult load;
  std::thread caller([&] { load = cluster.Load(kSteadyPlan, 300); });
  SleepMs(1000);
  for (const int instance : cluster.all()) {
    cluster.Terminate(instance);
    CHECK(cluster.Join(instance) == 0);
    cluster.Start(instance);
    CHECK(cluster.AwaitReady());
  }
  caller.join();
  for (const json& row : ClassesOf(load)) {
    INFO(row.dump());
    CHECK(row["cut"] == 0);
    CHECK(row["wrong"] == 0);
    CHECK(row["good"] == row["offered"]);
  }
  CHECK(cluster.FakeCount("request_ids_doubled") == 0);
  CHECK(cluster.FakeCount("keys_doubled") == 0);
}

// Guards against a leader that steps down, or declares running instances dead, because of slow
// syncs.
TEST_CASE("a rolling planned restart on slow disks cuts no request and loses none",
          "[process][planned-stop]") {
  const auto [sync_ms, share] = GENERATE(std::pair(200, 1.0), std::pair(700, 0.2));
  CAPTURE(sync_ms, share);
  ProcessCluster cluster(4);
  cluster.DelaySyncs(sync_ms, share);
  StartSmallDeployment(cluster);
  ProcessResult load;
  std::thread caller([&] { load = cluster.Load(kSteadyPlan, 300); });
  SleepMs(1000);
  for (const int instance : cluster.all()) {
    cluster.Terminate(instance);
    CHECK(cluster.Join(instance) == 0);
    cluster.Start(instance);
    CHECK(cluster.AwaitReady());
  }
  caller.join();
  for (const json& row : ClassesOf(load)) {
    INFO(row.dump());
    CHECK(row["cut"] == 0);
    CHECK(row["wrong"] == 0);
    CHECK(row["good"] == row["offered"]);
  }
  CHECK(cluster.FakeCount("request_ids_doubled") == 0);
  CHECK(cluster.FakeCount("keys_doubled") == 0);
}

TEST_CASE(
    "a non-repeatable request runs at most once, and 'not run' is true, while instances and "
    "the leader are killed and callers resend elsewhere",
    "[process][ledger]") {
  ProcessCluster cluster(4);
  StartSmallDeployment(cluster);
  std::atomic<bool> stopping{false};
  std::atomic<int> answered{0};
  std::atomic<int> unknown{0};
  std::vector<std::set<std::string>> not_run(4);
  std::vector<std::thread> callers;
  for (int c = 0; c < 4; ++c) {
    callers.emplace_back([&, c] {
      for (int i = 0; !stopping; ++i) {
        const std::string key = "k" + std::to_string(c) + "-" + std::to_string(i);
        for (int attempt = 0; attempt < 12; ++attempt) {
          const HttpResponse answer = Book(cluster, 1 + (c + i + attempt) % 4, key, "slot " + key);
          if (answer.m_status == 200 && answer.m_complete) {
            ++answered;
            break;
          }
          const auto run = answer.m_headers.find("poppyway-run");
          if (run != answer.m_headers.end() && run->second == "not run")
            not_run[c].insert(answer.m_headers.at("poppyway-request-id"));
          if (answer.m_headers.contains("poppyway-code") &&
              answer.m_headers.at("poppyway-code") == "3000") {
            ++unknown;
            break;
          }
          SleepMs(100);
        }
      }
    });
  }
  for (int round = 0; round < 4; ++round) {
    SleepMs(700);
    const int leader = cluster.Leader();
    const int victim = round % 2 == 0 && leader != 0 ? leader : 4;
    cluster.Kill(victim);
    SleepMs(400);
    cluster.Start(victim);
    CHECK(cluster.AwaitReady());
  }
  stopping = true;
  for (std::thread& caller : callers)
    caller.join();
  INFO("answered " << answered << ", unknown " << unknown);
  CHECK(answered > 100);
  CHECK(cluster.FakeCount("keys_doubled") == 0);
  CHECK(cluster.FakeCount("request_ids_doubled") == 0);
  const std::set<std::string> dispatched = DispatchedIds(cluster);
  int false_claims = 0;
  for (const std::set<std::string>& ids : not_run) {
    for (const std::string& id : ids)
      false_claims += dispatched.contains(id) ? 1 : 0;
  }
  CHECK(false_claims == 0);
}

TEST_CASE("a resend through another instance gets the first answer whole", "[process][ledger]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  const HttpResponse first = Book(cluster, 1, "k", "slot 9");
  REQUIRE(first.m_status == 200);
  const HttpResponse again = Book(cluster, 2, "k", "slot 9");
  CHECK(again.m_status == 200);
  CHECK(again.m_body == first.m_body);
  CHECK(again.m_headers.at("poppyway-replayed") == "true");
  CHECK(Book(cluster, 3, "k", "another slot").m_headers.at("poppyway-code") == "1005");
  CHECK(cluster.FakeCount("keys") == 1);
  CHECK(cluster.FakeCount("keys_doubled") == 0);
}

// Guards against a resend that is refused as in progress although its caller has the first answer,
// because the end of the first request takes long to be saved.
TEST_CASE("on slow disks a resend right after the answer gets that answer", "[process][ledger]") {
  ProcessCluster cluster(3);
  cluster.DelaySyncs(100);
  StartSmallDeployment(cluster);
  for (int i = 0; i < 5; ++i) {
    const std::string key = "k" + std::to_string(i);
    const HttpResponse first = Book(cluster, 1, key, "slot 9");
    REQUIRE(first.m_status == 200);
    const HttpResponse again = Book(cluster, 2, key, "slot 9");
    CHECK(again.m_status == 200);
    CHECK(again.m_body == first.m_body);
  }
  CHECK(cluster.FakeCount("keys_doubled") == 0);
}

TEST_CASE("without a majority a non-repeatable request is refused as not run, and is not run",
          "[process][ledger]") {
  ProcessCluster cluster(4);
  StartSmallDeployment(cluster);
  cluster.Kill(1);
  cluster.Kill(2);
  const HttpResponse refused = Book(cluster, 4, "k", "slot");
  CHECK(refused.m_status == 503);
  CHECK(refused.m_headers.at("poppyway-code") == "2005");
  CHECK(refused.m_headers.at("poppyway-run") == "not run");
  CHECK(refused.m_headers.contains("retry-after"));
  CHECK(cluster.FakeCount("keys") == 0);
  // Repeatable requests run without the ledger.
  CHECK(Http(cluster.HttpPort(4), "GET", "/desk/look",
             {"poppyway-event: look", "idempotency-key: r"}, "", 8000)
            .m_status == 200);
  // Once the majority runs again, the same key runs once.
  cluster.Start(1);
  cluster.Start(2);
  REQUIRE(cluster.AwaitReady());
  SleepMs(500);
  CHECK(Book(cluster, 4, "k", "slot").m_status == 200);
  CHECK(cluster.FakeCount("keys_doubled") == 0);
}

// Guards against a request that is rejected although the ledger is available again long before the
// request's deadline.
TEST_CASE("a request waits for the ledger while more than half of its time is left",
          "[process][ledger]") {
  ProcessCluster cluster(4);
  StartSmallDeployment(cluster);
  cluster.Suspend(1);
  cluster.Suspend(2);
  HttpResponse answer;
  std::thread caller([&] {
    answer = Http(cluster.HttpPort(4), "POST", "/desk/book",
                  {"poppyway-event: book", "idempotency-key: k", "poppyway-deadline-ms: 10000"},
                  "slot", 12'000);
  });
  SleepMs(3000);
  cluster.Resume(1);
  cluster.Resume(2);
  caller.join();
  CHECK(answer.m_status == 200);
  CHECK(cluster.FakeCount("keys") == 1);
  CHECK(cluster.FakeCount("keys_doubled") == 0);
}

// Guards against a leader that ignores heartbeats until a majority has confirmed it, and then
// declares the instances that sent them dead.
TEST_CASE("on slow disks no instance that lives is taken for gone", "[process][members]") {
  ProcessCluster cluster(4);
  cluster.DelaySyncs(200);
  cluster.StartFake(SmallDeploymentFakeArguments(cluster));
  for (const int instance : cluster.all())
    cluster.Start(instance);
  const std::string path = cluster.Write("deployment.yaml", SmallDeployment(cluster));
  ProcessResult applied;
  for (int tries = 0; tries < 10 && applied.m_exit != 0; ++tries) {
    SleepMs(1000);
    applied = cluster.RunCli({"apply", path, "--wait", "20"});
  }
  INFO(applied.m_output);
  REQUIRE(applied.m_exit == 0);
  REQUIRE(cluster.AwaitReady());
  (void)cluster.Load(kSteadyPlan, 300);
  for (const int instance : cluster.all())
    CHECK(cluster.LogOf(instance).find("event=instance_gone") == std::string::npos);
}

TEST_CASE("a leaving backend server gets no new work after two seconds", "[process][leaving]") {
  const bool by_platform = GENERATE(false, true);
  const std::string fake = "127.0.0.1:" + std::to_string(ProcessCluster::FakePort(1));
  ProcessCluster cluster(3, {"platform_list: " + fake + "/__fake/platform"});
  StartSmallDeployment(cluster);
  ProcessResult load;
  std::thread caller([&] {
    load = cluster.Load(
        "duration_s: 7\nclasses:\n"
        "  - {name: chat, event: chat, tier: 1, rate_per_minute: 3000, output_tokens: [4, 8]}\n");
  });
  SleepMs(2000);
  if (by_platform)
    CHECK(cluster.Fake("/__fake/platform", R"({"leaving": ["m1"]})").m_status == 200);
  else
    CHECK(cluster.RunCli({"drain", "server", "m1"}).m_exit == 0);
  SleepMs(4000);
  const std::string report = cluster.Fake("/__fake/report").m_body;
  caller.join();
  constexpr long kNever = -1;
  const auto last_ms = [&](int port) {
    const std::string name = "port " + std::to_string(cluster.FakePort(port)) + " last_ms_ago ";
    const std::size_t at = report.find(name);
    return at == std::string::npos ? kNever : std::atol(report.c_str() + at + name.size());
  };
  INFO(report);
  // The server received requests before the order; otherwise the checks below prove nothing.
  CHECK((last_ms(1) != kNever || last_ms(2) != kNever));
  // The report was taken four seconds after the order, so the last dispatch to the server must be
  // at least two seconds old.
  for (const int leaving : {1, 2})
    CHECK((last_ms(leaving) == kNever || last_ms(leaving) >= 2000));
  const bool others_work =
      (last_ms(3) != kNever && last_ms(3) < 1000) || (last_ms(4) != kNever && last_ms(4) < 1000);
  CHECK(others_work);
  for (const json& row : ClassesOf(load)) {
    CHECK(row["cut"] == 0);
    CHECK(row["wrong"] == 0);
    CHECK(row["good"] == row["offered"]);
  }
}

// Guards against brokers that forget what a paused instance still runs at servers, and give its
// slots to others.
TEST_CASE("the slots of an instance that was paused are not given out while its requests run",
          "[process][callers]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  for (int e = 1; e <= 6; ++e)
    REQUIRE(cluster.Fake("/__fake/speed", std::to_string(cluster.FakePort(e)) + " 0.02").m_body ==
            "ok\n");
  constexpr int kSlots = 48;  // Of all engines.
  std::vector<std::thread> callers;
  const auto call = [&](int instance) {
    callers.emplace_back([&cluster, instance] {
      const std::string body = R"({"prompt":"x","max_tokens":50,"stream":true})";
      (void)Http(cluster.HttpPort(instance), "POST", "/v1/completions", {"poppyway-event: chat"},
                 body, 4000);
    });
  };
  for (int i = 0; i < kSlots; ++i)
    call(1 + i % 3);
  SleepMs(1500);
  CHECK(cluster.FakeCount("dispatches") == kSlots);
  const int paused = NeitherLeaderNorBroker(cluster, "models");
  cluster.Suspend(paused);
  SleepMs(1500);  // Longer than the instance's lease.
  cluster.Resume(paused);
  SleepMs(500);
  for (int i = 0; i < 12; ++i)
    call(1 + (paused + i % 2) % 3);
  SleepMs(500);
  INFO(LogTailsOf(cluster));
  CHECK(cluster.FakeCount("dispatches") == kSlots);
  for (int e = 1; e <= 6; ++e)
    (void)cluster.Fake("/__fake/speed", std::to_string(cluster.FakePort(e)) + " 50");
  for (std::thread& caller : callers)
    caller.join();
}

TEST_CASE("a caller that leaves while its request waits is never dispatched",
          "[process][callers]") {
  ProcessCluster cluster(3);
  StartSmallDeployment(cluster);
  // All engines are slowed to 2 % of their speed, and their slots are filled.
  for (int e = 1; e <= 6; ++e)
    REQUIRE(cluster.Fake("/__fake/speed", std::to_string(cluster.FakePort(e)) + " 0.02").m_body ==
            "ok\n");
  const std::string body = R"({"prompt":"x","max_tokens":50,"stream":true})";
  std::vector<std::thread> fillers;
  for (int i = 0; i < 60; ++i)
    fillers.emplace_back([&, i] {
      (void)Http(cluster.HttpPort(1 + i % 3), "POST", "/v1/completions", {"poppyway-event: chat"},
                 body, 4000);
    });
  SleepMs(1500);
  const long before = cluster.FakeCount("dispatches");
  INFO(LogTailsOf(cluster));
  CHECK(before == 48);
  // Three clients send a request and disconnect while it waits.
  for (int i = 1; i <= 3; ++i)
    (void)Http(cluster.HttpPort(i), "POST", "/v1/completions", {"poppyway-event: exam"}, body, 300);
  SleepMs(500);
  for (int e = 1; e <= 6; ++e)
    (void)cluster.Fake("/__fake/speed", std::to_string(cluster.FakePort(e)) + " 50");
  for (std::thread& filler : fillers)
    filler.join();
  SleepMs(300);
  CHECK(cluster.FakeCount("dispatches") <= 60);
}
