// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Guards against heads of responses that are passed on although they aren't HTTP/1.1: each reader
// behind us may take them for another response.
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "poppyway/http.h"

namespace poppyway {
namespace {

std::string Head(const std::string& lines) {
  return "HTTP/1.1 200 OK\r\n" + lines + "\r\n";
}

TEST_CASE("heads of responses that the grammar allows are acceptable") {
  for (const std::string& head :
       {Head(""), Head("a: b\r\n"), Head("a:b\r\nA:\t b \t\r\n"),
        Head("x!#$%&'*+-.^_`|~9: \x80\xff\r\n"), Head("content-length: 0\r\n"),
        Head("Transfer-Encoding: Chunked\r\n"), Head("empty:\r\n"),
        std::string("HTTP/1.0 404 \r\n\r\n"), std::string("HTTP/1.1 599\r\n\r\n"),
        std::string("HTTP/1.1 100 Continue\r\n\r\n"),
        Head("date: Mon, 07 Dec 2026 10:00:00 GMT\r\n")})
    CHECK(CheckResponseHead(head) == HeadFault::kNone);
}

TEST_CASE("heads of responses outside the grammar name their fault") {
  const std::pair<std::string, HeadFault> cases[] = {
      {"HTTP/1.1 000 None\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 099 Low\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 600 High\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 999 High\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 0200 OK\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 20 OK\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1  200 OK\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 2x0 OK\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", HeadFault::kStatus},
      {"HTTP/1.2 200 OK\r\n\r\n", HeadFault::kVersion},
      {"HTTP/1.9 200 OK\r\n\r\n", HeadFault::kVersion},
      {"HTTP/2.0 200 OK\r\n\r\n", HeadFault::kVersion},
      {"HTTP/1.10 200 OK\r\n\r\n", HeadFault::kVersion},
      {"http/1.1 200 OK\r\n\r\n", HeadFault::kVersion},
      {"HTTP/1.1 200 O\x01K\r\n\r\n", HeadFault::kFieldValue},
      {Head("a b: c\r\n"), HeadFault::kFieldName},
      {Head("Content-Length : 3\r\n"), HeadFault::kFieldName},
      {Head("a\x01: c\r\n"), HeadFault::kFieldName},
      {Head("a\x7f: c\r\n"), HeadFault::kFieldName},
      {Head("\xc3\xa4: c\r\n"), HeadFault::kFieldName},
      {Head(": c\r\n"), HeadFault::kFieldName},
      {Head("no colon\r\n"), HeadFault::kFieldName},
      {Head("a: b\r\n folded\r\n"), HeadFault::kFieldName},
      {Head("a: b\x01\r\n"), HeadFault::kFieldValue},
      {Head(std::string("a: b\0c\r\n", 8)), HeadFault::kFieldValue},
      {Head("a: b\rc\r\n"), HeadFault::kFieldValue},
      {Head("content-length: 3\r\ncontent-length: 4\r\n"), HeadFault::kFraming},
      {Head("content-length: 3\r\ncontent-length: 3\r\n"), HeadFault::kFraming},
      {Head("content-length: 3\r\ntransfer-encoding: chunked\r\n"), HeadFault::kFraming},
      {Head("content-length: -3\r\n"), HeadFault::kFraming},
      {Head("content-length: 3, 3\r\n"), HeadFault::kFraming},
      {Head("content-length: 0x3\r\n"), HeadFault::kFraming},
      {Head("content-length:\r\n"), HeadFault::kFraming},
      {Head("content-length: 9999999999999999999\r\n"), HeadFault::kFraming},
      {Head("transfer-encoding: gzip, chunked\r\n"), HeadFault::kFraming},
      {Head("transfer-encoding: identity\r\n"), HeadFault::kFraming},
      {"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", HeadFault::kFraming},
  };
  for (const auto& [head, fault] : cases) {
    INFO(head);
    CHECK(HeadFaultName(CheckResponseHead(head)) == HeadFaultName(fault));
  }
}

TEST_CASE("the end of a head is found however its bytes arrive") {
  const std::string whole = Head("a: b\r\nc: d\r\n") + "body\n";
  HeadSearch search;
  for (std::size_t size = 1; search.m_size == 0 && size <= whole.size(); ++size)
    search = FindHeadEnd(search, std::string_view(whole).substr(0, size));
  CHECK(search.m_fault == HeadFault::kNone);
  CHECK(search.m_size == whole.size() - 5);
  CHECK(FindHeadEnd({}, whole) == search);
}

TEST_CASE("the search for a head's end stops at bytes that can't begin one") {
  CHECK(FindHeadEnd({}, "junk").m_fault == HeadFault::kVersion);
  CHECK(FindHeadEnd({}, "\r\nHTTP/1.1 200 OK\r\n").m_fault == HeadFault::kVersion);
  CHECK(FindHeadEnd({}, "HTTP/1.1 200 OK\n").m_fault == HeadFault::kLineEnding);
  CHECK(FindHeadEnd({}, "HTTP/1.1 200 OK\r\n\n").m_fault == HeadFault::kLineEnding);
  const std::string endless = "HTTP/1.1 200 " + std::string(kMaxHeadBytes, 'x');
  CHECK(FindHeadEnd({}, endless).m_fault == HeadFault::kTooLong);
  CHECK(FindHeadEnd({}, "HT").m_fault == HeadFault::kNone);
}

}  // namespace
}  // namespace poppyway
