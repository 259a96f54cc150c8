// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The choice of the member that an instance polls: near ones first, so that a change crosses each
// link between data centres a few times rather than once for each instance.
#include <catch2/catch.hpp>
#include <map>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

const Instant kNow{Duration(10'000'000)};
const RegionMap kRegions{{"a1", "north"}, {"a2", "north"}, {"b1", "south"}, {"b2", "south"}};

std::size_t Choose(const std::vector<PollSource>& sources,
                   const std::string& data_centre,
                   std::uint64_t turn = 0) {
  return ChoosePollSource(sources, kRegions, {data_centre, RegionOf(kRegions, data_centre)}, turn,
                          kNow);
}

TEST_CASE("an instance reads from a member of its own data centre, else of its region") {
  const std::vector<PollSource> sources{{"a1", {}}, {"b1", {}}, {"a2", {}}};
  CHECK(Choose(sources, "a2") == 2);
  CHECK(Choose(sources, "b2", 7) == 1);
  CHECK(Choose(sources, "b1", 5) == 1);
}

TEST_CASE("a member that lagged is passed over until its time is over") {
  const Instant later = kNow + Duration(1'000'000);
  CHECK(Choose({{"a1", {}}, {"b1", {}}, {"a2", later}}, "a2") == 0);
  CHECK(Choose({{"a1", later}, {"b1", {}}, {"a2", later}}, "a2") == 1);
  CHECK(Choose({{"a1", kNow}, {"b1", {}}}, "a1") == 0);
}

TEST_CASE("readers spread over members that are equally near") {
  const std::vector<PollSource> sources{{"a1", {}}, {"a1", {}}, {"", {}}, {"b1", {}}};
  std::map<std::size_t, int> readers;
  for (std::uint64_t turn = 0; turn < 100; ++turn)
    ++readers[Choose(sources, "a1", turn)];
  CHECK(readers[0] == 50);
  CHECK(readers[1] == 50);
}

// Guards against polls of members that were replaced: each fails only after the time of a
// connection attempt, and a document waits meanwhile.
TEST_CASE("a member that was removed is read only where no other is known") {
  const Instant later = kNow + Duration(1'000'000);
  CHECK(Choose({{"a1", {}, true}, {"b1", {}}}, "a1") == 1);
  CHECK(Choose({{"a1", {}, true}, {"b1", later}}, "a1") == 1);
  CHECK(Choose({{"a1", {}, true}}, "a1") == 0);
}

TEST_CASE("with every member passed over one of them is read all the same") {
  const Instant later = kNow + Duration(1'000'000);
  CHECK(Choose({{"a1", later}}, "b1") == 0);
}

}  // namespace
}  // namespace poppyway
