// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/state.h"

using namespace poppyway;

namespace {

wire::ConfigChange Change(const std::string& id,
                          std::int64_t base,
                          const std::string& weight,
                          const std::string& name = "w") {
  wire::ConfigChange change;
  change.change_id = id;
  change.base_version = base;
  wire::ObjectText object;
  object.kind = "workspace";
  object.name = name;
  object.body = "kind: workspace\nname: " + name + "\nweight: " + weight;
  change.upserts.push_back(object);
  return change;
}

int Code(ResultCode code) {
  return static_cast<int>(code);
}

}  // namespace

TEST_CASE("of two changes on one version one wins and the other learns the winner's version",
          "[configuration]") {
  Configuration configuration;
  CHECK(ApplyChange(configuration, Change("a", 0, "1")).version == 1);
  const wire::ConfigOutcome lost = ApplyChange(configuration, Change("b", 0, "2"));
  CHECK(lost.code == Code(ResultCode::kVersionConflict));
  CHECK(lost.version == 1);
  CHECK(configuration.m_objects.at({"workspace", "w"}).object.body.find("weight: 1") !=
        std::string::npos);
}

TEST_CASE("a resent change gets its first answer, whatever came since", "[configuration]") {
  Configuration configuration;
  const wire::ConfigOutcome first = ApplyChange(configuration, Change("a", 0, "1"));
  (void)ApplyChange(configuration, Change("b", 1, "2"));
  CHECK(ApplyChange(configuration, Change("a", 0, "1")) == first);
  CHECK(configuration.m_version == 2);
  CHECK(ApplyChange(configuration, Change("a", 2, "9")).code == Code(ResultCode::kVersionConflict));
}

TEST_CASE("a change that doesn't compile loses nothing", "[configuration]") {
  Configuration configuration;
  (void)ApplyChange(configuration, Change("a", 0, "1"));
  const wire::ConfigOutcome bad = ApplyChange(configuration, Change("b", 1, "0"));
  CHECK(bad.code == Code(ResultCode::kBadDeclaration));
  CHECK(configuration.m_version == 1);
}

TEST_CASE("a reader's version never falls and deltas add up to the whole", "[configuration]") {
  Configuration configuration;
  ParsedDeclarations reader;
  std::int64_t version = 0;
  for (int i = 0; i < 50; ++i) {
    wire::ConfigChange change = Change("c" + std::to_string(i), configuration.m_version,
                                       std::to_string(1 + i % 9), "w" + std::to_string(i % 5));
    if (i % 7 == 6) {
      wire::ObjectKey key;
      key.kind = "workspace";
      key.name = "w" + std::to_string((i + 1) % 5);
      change.removals.push_back(key);
    }
    CHECK(ApplyChange(configuration, change).code == 0);
    if (i % 3 == 0)
      CHECK(ApplyDelta(reader, version, DeltaSince(configuration, version)));
  }
  CHECK(ApplyDelta(reader, version, DeltaSince(configuration, version)));
  ParsedDeclarations whole;
  std::int64_t whole_version = 0;
  CHECK(ApplyDelta(whole, whole_version, DeltaSince(configuration, 0)));
  CHECK(*BuildCatalogue(reader, version) == *BuildCatalogue(whole, whole_version));
  // An old or repeated delta has no effect.
  wire::ConfigDelta old;
  old.whole = true;
  old.to_version = 3;
  CHECK_FALSE(ApplyDelta(reader, version, old));
  CHECK(version == configuration.m_version);
}

TEST_CASE("state survives a snapshot with versions, change ids and keys", "[configuration]") {
  StateMachine machine;
  wire::LogEntry entry;
  entry.index = 1;
  entry.command.__set_config(Change("a", 0, "1"));
  (void)ApplyEntry(machine, entry);
  wire::LogEntry claim;
  claim.index = 2;
  claim.command.__set_claim({});
  claim.command.claim.key = "k";
  claim.command.claim.owner = "g";
  claim.command.claim.ref = 4;
  claim.command.claim.retention_ms = 1000;
  (void)ApplyEntry(machine, claim);
  wire::Snapshot snapshot;
  snapshot.index = 2;
  snapshot.state = SerializeStateMachine(machine);
  StateMachine loaded;
  REQUIRE(RestoreStateMachine(loaded, snapshot));
  CHECK(SerializeStateMachine(loaded) == snapshot.state);
  CHECK(ApplyChange(loaded.m_configuration, Change("a", 0, "1")).version == 1);
  CHECK(loaded.m_ledger.m_running_by_owner.at("g").contains("k"));
  snapshot.state.resize(snapshot.state.size() / 2);
  CHECK(RestoreStateMachine(loaded, snapshot).error().m_code == ResultCode::kDataDamaged);
}
