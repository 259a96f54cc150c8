// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/selectors.h"

using namespace poppyway;

namespace {

bool Match(const char* text, const Labels& labels) {
  const Result<Selector> selector = ParseSelector(text);
  REQUIRE(selector);
  return Matches(*selector, labels);
}

}  // namespace

TEST_CASE("requirements are joined and each kind reads its label", "[selectors]") {
  const Labels labels = {{"tier", "a"}, {"region", "nl"}, {"canary", ""}};
  CHECK(Match("", labels));
  CHECK(Match("tier in (a, b)", labels));
  CHECK(Match("tier notin (b),region = nl", labels));
  CHECK(Match("canary, !old", labels));
  CHECK(Match("region != sk", labels));
  CHECK(Match("missing notin (x)", labels));
  CHECK_FALSE(Match("tier in (b)", labels));
  CHECK_FALSE(Match("missing", labels));
  CHECK_FALSE(Match("region == sk", labels));
  CHECK_FALSE(Match("missing in (x)", labels));
}

TEST_CASE("a bad selector is refused with its column", "[selectors]") {
  const auto column_of = [](const char* text) {
    const Result<Selector> selector = ParseSelector(text);
    REQUIRE_FALSE(selector);
    CHECK(selector.error().m_code == ResultCode::kBadSelector);
    return selector.error().m_message;
  };
  CHECK(column_of("tier in a").find("column 9") != std::string::npos);
  CHECK(column_of("tier within (a)").find("column 6") != std::string::npos);
  CHECK(column_of("a, ").find("column 4") != std::string::npos);
  CHECK(column_of("tier in (a").find("column 11") != std::string::npos);
  CHECK(column_of("a b").find("column 3") != std::string::npos);
}
