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

constexpr int kLimitMillis = 3'000;
// Long enough that the head is handled before what follows it arrives.
constexpr int kApartMillis = 50;
const std::string kHead =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n";

/// What one call reported.
struct Report {
  std::string m_data;
  bool m_whole = false;
  std::optional<std::string> m_failure;
};

/// `late_by` keeps the caller busy after its request was sent, as a loaded machine does: what the
/// server sends meanwhile, its close included, is found at once.
Report RunScript(std::vector<ScriptStep> steps, int late_by_millis = 0) {
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
  bool slept = late_by_millis == 0;
  while (!report.m_whole && !report.m_failure &&
         ReadClock() < begun + std::chrono::milliseconds(kLimitMillis)) {
    loop.RunFor(2);
    if (!slept && ReadClock() - begun > std::chrono::milliseconds(kApartMillis / 2)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(late_by_millis));
      slept = true;
    }
  }
  return report;
}

TEST_CASE("a chunked answer and its close that are found in one read are a whole answer") {
  // All in one piece, and a head that comes before the rest of the answer.
  const Report at_once = RunScript(
      {Wait(kApartMillis), Send(kHead + "2\r\nhi\r\n0\r\n\r\n"), CloseNow()}, 4 * kApartMillis);
  CHECK(at_once.m_whole);
  CHECK(at_once.m_data == "hi");
  const Report head_first =
      RunScript({Send(kHead), Wait(kApartMillis), Send("2\r\nhi\r\n0\r\n\r\n"), CloseNow()},
                4 * kApartMillis);
  CHECK(head_first.m_whole);
  CHECK(head_first.m_data == "hi");
}

TEST_CASE("a chunked answer that closes before its last chunk is never whole") {
  const std::string cuts[] = {"", "2\r\nhi\r\n", "2\r\nh"};
  for (const std::string& cut : cuts) {
    INFO(cut);
    const Report together = RunScript({Send(kHead + cut), CloseNow()}, 4 * kApartMillis);
    CHECK_FALSE(together.m_whole);
    CHECK(together.m_failure);
    const Report apart =
        RunScript({Send(kHead), Wait(kApartMillis), Send(cut), Wait(kApartMillis), CloseNow()});
    CHECK_FALSE(apart.m_whole);
    CHECK(apart.m_failure);
  }
}

}  // namespace
}  // namespace poppyway
