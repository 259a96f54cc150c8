// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

TEST_CASE("the size of events is learned from estimates that are off by factors both ways") {
  double size = UpdateTokensPerEvent(0, 70, 10, 0.05);
  CHECK(size == Approx(7));
  for (int i = 0; i < 400; ++i)
    size = UpdateTokensPerEvent(size, i % 2 == 0 ? 20 * 4 : 20 / 4, 4, 0.02);
  CHECK(size == Approx(5).epsilon(0.1));
}

TEST_CASE("an answer without events, or without an estimate, teaches nothing of their size") {
  CHECK(UpdateTokensPerEvent(5, 0, 4, 0.5) == 5);
  CHECK(UpdateTokensPerEvent(5, 20, 0, 0.5) == 5);
  CHECK(UpdateTokensPerEvent(0, -1, 4, 0.5) == 0);
}

}  // namespace
}  // namespace poppyway
