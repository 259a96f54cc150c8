// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>
#include <optional>

#include "poppyway/forward.h"
#include "scripted_server.h"

namespace poppyway {
namespace {

using test::CloseNow;
using test::ResetNow;
using test::ScriptedServer;
using test::ScriptStep;
using test::Send;
using test::Wait;

constexpr int kLimitMillis = 3'000;

/// The reports of one call.
struct CallReport {
  int m_heads = 0;
  int m_status = 0;
  std::string m_data;
  bool m_whole = false;
  std::optional<CallFault> m_fault;
  bool m_reused = false;

  [[nodiscard]] bool ended() const { return m_whole || m_fault.has_value(); }
};

CallReport RunCall(EventLoop& loop,
                   BackendPool& pool,
                   std::uint16_t port,
                   const std::string& wanted_id = "",
                   bool may_send = true) {
  CallReport report;
  CallEvents events;
  events.m_may_send = [may_send] { return may_send; };
  events.m_on_head = [&](int status, const std::vector<Field>& fields) {
    ++report.m_heads;
    for (const Field& field : fields) {
      if (field.m_name == "x-id" && !wanted_id.empty() && field.m_value != wanted_id)
        return HeadVerdict::kSkip;
    }
    report.m_status = status;
    return HeadVerdict::kAccept;
  };
  events.m_on_data = [&](std::string_view bytes) { report.m_data += bytes; };
  events.m_on_complete = [&] { report.m_whole = true; };
  events.m_on_fault = [&](CallFault fault) { report.m_fault = fault; };
  BackendCall call(pool, {"127.0.0.1", port}, "GET /a HTTP/1.1\r\nhost: t\r\n\r\n", false, false,
                   std::move(events));
  report.m_reused = call.reused();
  const Instant end = ReadClock() + std::chrono::milliseconds(kLimitMillis);
  while (!report.ended() && ReadClock() < end)
    loop.RunFor(2);
  return report;
}

CallReport RunScript(std::vector<ScriptStep> steps) {
  ScriptedServer server([&steps](const std::string&) { return steps; });
  EventLoop loop;
  BackendPool pool(loop);
  return RunCall(loop, pool, server.port());
}

TEST_CASE("an answer with a length, in chunks, or ended by an orderly close is whole") {
  const CallReport sized =
      RunScript({Send("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel"), Wait(20), Send("lo")});
  CHECK(sized.m_whole);
  CHECK(sized.m_data == "hello");
  const CallReport chunked =
      RunScript({Send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n"),
                 Wait(20), Send("2\r\nlo\r\n0\r\n\r\n")});
  CHECK(chunked.m_whole);
  CHECK(chunked.m_data == "hello");
  const CallReport unstated =
      RunScript({Send("HTTP/1.1 200 OK\r\n\r\nhel"), Wait(20), Send("lo"), CloseNow()});
  CHECK(unstated.m_whole);
  CHECK(unstated.m_data == "hello");
}

TEST_CASE("an answer that breaks off is never whole") {
  const std::string sized = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello";
  const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
  const std::string unstated = "HTTP/1.1 200 OK\r\n\r\nhello";
  CHECK(RunScript({Send(sized), CloseNow()}).m_fault == CallFault::kClosedEarly);
  CHECK(RunScript({Send(sized), Wait(20), ResetNow()}).m_fault == CallFault::kReset);
  CHECK(RunScript({Send(chunked), CloseNow()}).m_fault == CallFault::kClosedEarly);
  CHECK(RunScript({Send(chunked), Wait(20), ResetNow()}).m_fault == CallFault::kReset);
  CHECK(RunScript({Send(unstated), Wait(20), ResetNow()}).m_fault == CallFault::kReset);
  CHECK(RunScript({Send("HTTP/1.1 200 OK\r\ncontent-le"), CloseNow()}).m_fault ==
        CallFault::kClosedEarly);
  CHECK(RunScript({CloseNow()}).m_fault == CallFault::kClosedEarly);
}

TEST_CASE("bytes that are no answer are told apart") {
  CHECK(RunScript({Send("what?\r\n\r\n")}).m_fault == CallFault::kNotHttp);
  CHECK(RunScript({Send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n")}).m_fault ==
        CallFault::kNotHttp);
}

TEST_CASE("an interim answer is passed over") {
  const CallReport report = RunScript(
      {Send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")});
  CHECK(report.m_whole);
  CHECK(report.m_heads == 1);
  CHECK(report.m_data == "ok");
}

TEST_CASE("a surplus answer to another request is skipped and its connection isn't kept") {
  ScriptedServer server([](const std::string&) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 3\r\n\r\nold"
             "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 4\r\n\r\nmine")};
  });
  EventLoop loop;
  BackendPool pool(loop);
  const CallReport report = RunCall(loop, pool, server.port(), "mine");
  CHECK(report.m_whole);
  CHECK(report.m_data == "mine");
  CHECK_FALSE(RunCall(loop, pool, server.port(), "mine").m_reused);
}

TEST_CASE("a connection is used again, but not after bytes that nobody asked for") {
  int calls = 0;
  ScriptedServer server([&calls](const std::string&) {
    const bool surplus = ++calls == 2;
    return std::vector<ScriptStep>{Send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
                                   Send(surplus ? "HTTP/1.1 200 OK\r\n" : "")};
  });
  EventLoop loop;
  BackendPool pool(loop);
  CHECK_FALSE(RunCall(loop, pool, server.port()).m_reused);
  CHECK(RunCall(loop, pool, server.port()).m_reused);
  loop.RunFor(50);
  CHECK_FALSE(RunCall(loop, pool, server.port()).m_reused);
}

TEST_CASE("a connection that the server wants closed isn't used again") {
  ScriptedServer server([](const std::string&) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok")};
  });
  EventLoop loop;
  BackendPool pool(loop);
  CHECK(RunCall(loop, pool, server.port()).m_whole);
  CHECK_FALSE(RunCall(loop, pool, server.port()).m_reused);
}

TEST_CASE("no byte is sent to a closed port or by a withdrawn call") {
  std::uint16_t closed_port = 0;
  {
    const ScriptedServer gone([](const std::string&) { return std::vector<ScriptStep>{}; });
    closed_port = gone.port();
  }
  EventLoop loop;
  BackendPool pool(loop);
  const CallReport refused = RunCall(loop, pool, closed_port);
  CHECK(refused.m_fault == CallFault::kNotConnected);
  CHECK(NothingSent(*refused.m_fault));
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{CloseNow()}; });
  CHECK(RunCall(loop, pool, server.port(), "", false).m_fault == CallFault::kWithdrawn);
  CHECK(server.requests().empty());
}

}  // namespace
}  // namespace poppyway
