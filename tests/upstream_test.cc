// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>

#include "poppyway/gateway.h"
#include "scripted_server.h"

namespace poppyway {
namespace {

using test::CloseNow;
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
  bool m_whole = false;
  std::optional<std::string> m_failure;
};

/// Runs one call against a server that follows `steps`. `busy_millis` blocks the client's loop
/// after the request was sent, as on a loaded machine, so that one read finds all that the server
/// has sent, including its close.
Report RunScript(std::vector<ScriptStep> steps, int busy_millis = 0) {
  ScriptedServer server([&steps](const std::string&) { return steps; });
  EventLoop loop;
  UpstreamPools pools(loop);
  Report report;
  UpstreamEvents events;
  events.m_may_send = [] { return true; };
  events.m_on_head = [](const UpstreamHead&) {};
  events.m_on_data = [&](std::string_view bytes) { report.m_data += bytes; };
  events.m_on_complete = [&] { report.m_whole = true; };
  events.m_on_failure = [&](bool, const std::string& why) { report.m_failure = why; };
  Upstream call(pools, {"127.0.0.1", server.port()}, "GET /a HTTP/1.1\r\nhost: t\r\n\r\n", false,
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
  return report;
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

}  // namespace
}  // namespace poppyway
