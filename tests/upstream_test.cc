// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cut_heads.h"
#include "poppyway/gateway.h"
#include "raw_server.h"
#include "scripted_server.h"

namespace poppyway {
namespace {

using test::CloseNow;
using test::RawServer;
using test::ScriptedServer;
using test::ScriptStep;
using test::Send;
using test::Wait;

constexpr int kTimeoutMillis = 3'000;
// Time between two sends, long enough for the client to handle the first before the second.
constexpr int kGapMillis = 50;
const std::string kHead =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n";

/// The events that one call reported.
struct Report {
  std::string m_data;
  bool m_began = false;  ///< A head has come to its end.
  bool m_whole = false;
  std::optional<std::string> m_failure;
  Duration m_took{};
};

/// Runs one call against the server at `port`. `busy_millis` blocks the client's loop after the
/// request was sent, as on a loaded machine, so that one read finds all that the server has sent,
/// including its close.
Report RunCall(std::uint16_t port, int busy_millis = 0) {
  EventLoop loop;
  UpstreamPools pools(loop);
  Report report;
  UpstreamEvents events;
  events.m_may_send = [] { return true; };
  events.m_on_head = [&](const UpstreamHead&) { report.m_began = true; };
  events.m_on_data = [&](std::string_view bytes) { report.m_data += bytes; };
  events.m_on_complete = [&] { report.m_whole = true; };
  events.m_on_failure = [&](bool, const std::string& why) { report.m_failure = why; };
  Upstream call(pools, {"127.0.0.1", port}, "GET /a HTTP/1.1\r\nhost: t\r\n\r\n", false,
                std::move(events));
  const Instant begun = ReadClock();
  bool slept = busy_millis == 0;
  while (!report.m_whole && !report.m_failure &&
         ReadClock() < begun + std::chrono::milliseconds(kTimeoutMillis)) {
    loop.RunFor(2);
    if (!slept && ReadClock() - begun > std::chrono::milliseconds(kGapMillis / 2)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(busy_millis));
      slept = true;
    }
  }
  report.m_took = ReadClock() - begun;
  return report;
}

Report RunScript(std::vector<ScriptStep> steps, int busy_millis = 0) {
  ScriptedServer server([&steps](const std::string&) { return steps; });
  return RunCall(server.port(), busy_millis);
}

bool SendAll(int fd, std::string_view bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

/// Makes a call to a server that writes `begin`, then `more` without end.
/// \return the report, and how many bytes the server has written.
std::pair<Report, std::size_t> RunWithoutEnd(const std::string& begin, const std::string& more) {
  constexpr std::size_t kMostSent = 100'000'000;
  constexpr std::size_t kBlock = 16'384;
  std::atomic<std::size_t> sent{0};
  const RawServer server([&](int fd) {
    std::string block;
    while (block.size() < kBlock)
      block += more;
    bool open = SendAll(fd, begin);
    while (open && sent < kMostSent) {
      open = SendAll(fd, block);
      sent += block.size();
    }
  });
  Report report = RunCall(server.port());
  return {std::move(report), sent.load()};
}

TEST_CASE("a chunked answer and its close that are found in one read are a whole answer") {
  // The first response is sent in one piece, the second one sends its head before the rest.
  const Report at_once = RunScript(
      {Wait(kGapMillis), Send(kHead + "2\r\nhi\r\n0\r\n\r\n"), CloseNow()}, 4 * kGapMillis);
  CHECK(at_once.m_whole);
  CHECK(at_once.m_data == "hi");
  const Report head_first = RunScript(
      {Send(kHead), Wait(kGapMillis), Send("2\r\nhi\r\n0\r\n\r\n"), CloseNow()}, 4 * kGapMillis);
  CHECK(head_first.m_whole);
  CHECK(head_first.m_data == "hi");
}

// Guards against a cut head that is taken for a whole one: callers get a success with an empty or
// short body, framed as whole.
TEST_CASE("a declared server's head that stops before its end is never a response") {
  ForEachCut([](const CutHead& head, const ScriptStep& end) {
    const Report report = RunScript(CutHeadSteps(head, "r1", end));
    CHECK(report.m_failure);
    CHECK_FALSE(report.m_whole);
    CHECK_FALSE(report.m_began);
  });
}

TEST_CASE("a chunked answer that closes before its last chunk is never whole") {
  const std::string cuts[] = {"", "2\r\nhi\r\n", "2\r\nh"};
  for (const std::string& cut : cuts) {
    INFO(cut);
    const Report together = RunScript({Send(kHead + cut), CloseNow()}, 4 * kGapMillis);
    CHECK_FALSE(together.m_whole);
    CHECK(together.m_failure);
    const Report apart =
        RunScript({Send(kHead), Wait(kGapMillis), Send(cut), Wait(kGapMillis), CloseNow()});
    CHECK_FALSE(apart.m_whole);
    CHECK(apart.m_failure);
  }
}

// Guards against declared servers whose bytes are read without end, until the request's deadline.
TEST_CASE("a declared server's bytes that are no answer are read up to a bound") {
  for (const auto& [begin, more] : std::vector<std::pair<std::string, std::string>>{
           {"", "HTTP/1.1 102 Processing\r\nx-a: b\r\n\r\n"},
           {"HTTP/1.1 200 OK\r\n", "x-a: b\r\n"},
           {"HTTP/1.1 200 ", "xxxxxxxx"},
           {"HTTP/1.1 200 OK\r\nx-a: ", "xxxxxxxx"},
           {"", "xxxxxxxx"},
           {kHead, "00000000"},
           {kHead + "1;", "xxxxxxxx"},
           {kHead + "0\r\n", "x-a: b\r\n"}}) {
    INFO(begin << more);
    const auto [report, sent] = RunWithoutEnd(begin, more);
    CHECK_FALSE(report.m_whole);
    CHECK(report.m_failure);
    CHECK(report.m_took < Duration(1'000'000));
    CHECK(sent < 30'000'000);  // The buffers of both kernels, and what one look at the head allows.
  }
}

TEST_CASE("small chunks of a declared server are no bytes without end") {
  constexpr int kChunks = 20'000;
  std::string body;
  for (int i = 0; i < kChunks; ++i)
    body += "000001;a=b\r\nx\r\n";
  const Report report = RunScript({Send(kHead + body + "0\r\n\r\n"), CloseNow()});
  CHECK(report.m_whole);
  CHECK(report.m_data.size() == kChunks);
}

TEST_CASE("some interim responses of a declared server are read") {
  std::string interim;
  for (int i = 0; i < kMaxUnwantedResponses; ++i)
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  const Report report = RunScript({Send(interim + kHead + "2\r\nhi\r\n0\r\n\r\n"), CloseNow()});
  CHECK(report.m_whole);
  CHECK(report.m_data == "hi");
}

}  // namespace
}  // namespace poppyway
