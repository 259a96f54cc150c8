// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The fingerprint of a request: what it covers.
#include <catch2/catch.hpp>

#include "poppyway/core.h"

namespace poppyway {
namespace {

RequestFingerprint PostTo(std::string_view target,
                          std::string_view workspace,
                          std::string_view body) {
  return FingerprintOf("POST", "a.example", target, workspace, body);
}

TEST_CASE("requests with the same content have the same fingerprint") {
  CHECK(PostTo("/a/1", "north", "body") == PostTo("/a/1", "north", "body"));
}

TEST_CASE("requests that differ in target, workspace or body have different fingerprints") {
  const RequestFingerprint one = PostTo("/a/1", "north", "body");
  CHECK(one != PostTo("/a/2", "north", "body"));
  CHECK(one != PostTo("/a/1", "south", "body"));
  CHECK(one != PostTo("/a/1", "north", "other"));
  CHECK(one != FingerprintOf("PUT", "a.example", "/a/1", "north", "body"));
  CHECK(one != FingerprintOf("POST", "b.example", "/a/1", "north", "body"));
}

TEST_CASE("bytes that move from one part to the next change the fingerprint") {
  CHECK(PostTo("/a/1", "north", "body") != PostTo("/a/1n", "orth", "body"));
}

TEST_CASE("a fingerprint is written as 16 hexadecimal digits") {
  CHECK(FingerprintText(0x0123456789abcdefULL) == "0123456789abcdef");
  CHECK(FingerprintText(0) == "0000000000000000");
}

}  // namespace
}  // namespace poppyway
