// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include "poppyway/forward.h"

namespace poppyway {
namespace {

constexpr std::string_view kThree =
    "id: 1\ndata: a\n\nx-weights: 4\nid: 2\ndata: b\n\nid:3\ndata: c\n\n";

TEST_CASE("whole events pass through byte for byte, however they are cut") {
  for (std::size_t cut = 0; cut <= kThree.size(); ++cut) {
    EventStreamParser stream;
    std::string out = ExtractEvents(stream, kThree.substr(0, cut));
    out += ExtractEvents(stream, kThree.substr(cut));
    CAPTURE(cut);
    CHECK(out == kThree);
    CHECK(stream.m_events == 3);
    CHECK(stream.m_last_id == 3);
    CHECK(stream.m_partial.empty());
  }
}

TEST_CASE("half an event is held back") {
  EventStreamParser stream;
  CHECK(ExtractEvents(stream, "id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(stream.m_last_id == 1);
  CHECK(stream.m_partial == "id: 2\nda");
}

TEST_CASE("an event that is missing or comes twice ends the stream") {
  for (const std::string_view next : {"id: 3\n\n", "id: 1\n\n"}) {
    EventStreamParser stream;
    (void)ExtractEvents(stream, "id: 1\n\n");
    CHECK(ExtractEvents(stream, next).empty());
    CHECK(stream.m_out_of_order);
    CHECK(ExtractEvents(stream, "id: 2\n\n").empty());
  }
}

}  // namespace
}  // namespace poppyway
