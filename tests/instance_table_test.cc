// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

using namespace poppyway;

namespace {

constexpr Duration kLease{3'000'000};
constexpr Duration kMargin{500'000};

Instant At(int millis) {
  return Instant(Duration(100'000'000 + millis * 1000));
}

wire::Heartbeat MakeHeartbeat(const std::string& instance, const std::string& run = "1") {
  wire::Heartbeat heartbeat;
  heartbeat.instance = instance;
  heartbeat.incarnation = instance + "-" + run;
  heartbeat.stopping = false;
  return heartbeat;
}

std::map<std::string, wire::LeaseGrant> Held(const wire::LeaseGrant& grant) {
  return {{grant.lease, grant}};
}

}  // namespace

TEST_CASE("a lease moves only after its silent holder has surely stopped acting", "[instances]") {
  InstanceTable table = MakeInstanceTable(kLease, kMargin, At(-10'000));
  RecordHeartbeat(table, MakeHeartbeat("a"), At(0));
  const auto first = PlanLeaseGrants(table, {"pool"}, {}, At(0));
  REQUIRE(first.size() == 1);
  RecordHeartbeat(table, MakeHeartbeat("b"), At(100));
  // The holder's last heartbeat was at 0, so it may act until 3000 ms by its own clock.
  RecordHeartbeat(table, MakeHeartbeat("b"), At(3300));
  ExpireInstances(table, {}, At(3400));
  CHECK(PlanLeaseGrants(table, {"pool"}, Held(first[0]), At(3400)).empty());
  RecordHeartbeat(table, MakeHeartbeat("b"), At(3500));
  ExpireInstances(table, {}, At(3500));
  const auto second = PlanLeaseGrants(table, {"pool"}, Held(first[0]), At(3500));
  REQUIRE(second.size() == 1);
  CHECK(second[0].holder == "b-1");
  CHECK(second[0].epoch == first[0].epoch + 1);
}

TEST_CASE("a new leader waits out leases it has not seen renewed", "[instances]") {
  wire::LeaseGrant grant;
  grant.lease = "pool";
  grant.holder = "a-1";
  grant.epoch = 4;
  InstanceTable table = MakeInstanceTable(kLease, kMargin, At(0));
  RecordHeartbeat(table, MakeHeartbeat("b"), At(10));
  CHECK(PlanLeaseGrants(table, {"pool"}, Held(grant), At(3000)).empty());
  RecordHeartbeat(table, MakeHeartbeat("b"), At(3400));
  CHECK(PlanLeaseGrants(table, {"pool"}, Held(grant), At(3500)).size() == 1);
}

TEST_CASE("a stopping holder gives its lease away at once", "[instances]") {
  InstanceTable table = MakeInstanceTable(kLease, kMargin, At(0));
  RecordHeartbeat(table, MakeHeartbeat("a"), At(0));
  const auto first = PlanLeaseGrants(table, {"pool"}, {}, At(0));
  RecordHeartbeat(table, MakeHeartbeat("b"), At(1));
  wire::Heartbeat stopping = MakeHeartbeat("a");
  stopping.stopping = true;
  RecordHeartbeat(table, stopping, At(2));
  const auto second = PlanLeaseGrants(table, {"pool"}, Held(first[0]), At(2));
  REQUIRE(second.size() == 1);
  CHECK(second[0].holder == "b-1");
}

TEST_CASE("a restarted instance ends its former run", "[instances]") {
  InstanceTable table = MakeInstanceTable(kLease, kMargin, At(0));
  RecordHeartbeat(table, MakeHeartbeat("a", "1"), At(0));
  RecordHeartbeat(table, MakeHeartbeat("a", "2"), At(10));
  CHECK(table.m_ended_incarnations == std::set<std::string>{"a-1"});
  CHECK(table.m_live.size() == 1);
}

TEST_CASE("owners of running claims that never show up to a new leader are gone in time",
          "[instances]") {
  InstanceTable table = MakeInstanceTable(kLease, kMargin, At(0));
  ExpireInstances(table, {"dead-1"}, At(3000));
  CHECK(table.m_ended_incarnations.empty());
  ExpireInstances(table, {"dead-1"}, At(3500));
  CHECK(table.m_ended_incarnations.contains("dead-1"));
}
