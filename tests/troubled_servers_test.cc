// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Servers that write without end, or reset the connection while their request is being written.
#include <sys/socket.h>

#include <atomic>
#include <thread>

#include "forwarder_fixture.h"
#include "raw_server.h"

namespace poppyway {
namespace {

using test::RawServer;

constexpr int kLimitMillis = 3'000;
constexpr std::size_t kUpload = 4'100'000;

bool SendAll(int fd, std::string_view bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

void SleepMillis(int millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// Reads until the head of the request has surely arrived.
void ReadSome(int fd) {
  char buffer[1024];
  [[maybe_unused]] const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
}

void CloseWithReset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/// What one call reported, and when it ended.
struct Report {
  std::string m_data;
  bool m_whole = false;
  std::optional<CallFault> m_fault;
  HeadFault m_head_fault = HeadFault::kNone;
  int m_heads = 0;
  Duration m_took{};

  [[nodiscard]] bool ended() const { return m_whole || m_fault.has_value(); }
};

/// Makes one call. `skip`: its owner takes all responses for those to other requests.
Report RunCall(const RawServer& server, const std::string& body, bool skip = false) {
  EventLoop loop;
  BackendPool pool(loop);
  Report report;
  CallEvents events;
  events.m_may_send = [] { return true; };
  events.m_on_head = [&](int, const std::vector<Field>&) {
    ++report.m_heads;
    return skip ? HeadVerdict::kSkip : HeadVerdict::kAccept;
  };
  events.m_on_data = [&](std::string_view bytes) { report.m_data += bytes; };
  events.m_on_complete = [&] { report.m_whole = true; };
  events.m_on_fault = [&](CallFault fault) { report.m_fault = fault; };
  const Instant begun = ReadClock();
  BackendCall call(pool, {"127.0.0.1", server.port()},
                   "POST /a HTTP/1.1\r\nhost: t\r\ncontent-length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body,
                   false, false, std::move(events));
  while (!report.ended() && ReadClock() < begun + std::chrono::milliseconds(kLimitMillis))
    loop.RunFor(2);
  report.m_head_fault = call.head_fault();
  report.m_took = ReadClock() - begun;
  return report;
}

// Guards against a part of a response that a caller gets as a whole one: the write that was under
// way takes the error of the reset, and the read after it sees a close in order.
TEST_CASE("a response without a length is broken if a reset meets the request's write") {
  for (int i = 0; i < 6; ++i) {
    const RawServer server([](int fd) {
      ReadSome(fd);
      SendAll(fd, "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\na part");
      SleepMillis(30);
      CloseWithReset(fd);
    });
    const Report report = RunCall(server, std::string(kUpload, 'x'));
    CHECK_FALSE(report.m_whole);
    REQUIRE(report.m_fault);
    CHECK(CallFaultName(*report.m_fault) == "reset");
  }
}

TEST_CASE("a response without a length is whole if the server reads all and closes in order") {
  const RawServer server([](int fd) {
    ReadSome(fd);
    SendAll(fd, "HTTP/1.1 200 OK\r\n\r\nall of it");
    shutdown(fd, SHUT_WR);
    char buffer[65'536];
    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
    }
  });
  const Report report = RunCall(server, std::string(kUpload, 'x'));
  CHECK(report.m_whole);
  CHECK(report.m_data == "all of it");
}

// Guards against servers whose bytes are read without end, until the request's deadline.
TEST_CASE("interim responses without end are read up to a bound") {
  std::atomic<std::size_t> sent{0};
  const RawServer server([&sent](int fd) {
    ReadSome(fd);
    const std::string interim = "HTTP/1.1 102 Processing\r\nx-a: b\r\n\r\n";
    while (sent < 100'000'000 && SendAll(fd, interim))
      sent += interim.size();
  });
  const Report report = RunCall(server, "");
  REQUIRE(report.m_fault);
  CHECK(CallFaultName(*report.m_fault) == "not_http");
  CHECK(report.m_took < Duration(1'000'000));
  CHECK(sent < 10'000'000);  // The buffers of both kernels.
}

TEST_CASE("some interim responses are read") {
  const RawServer server([](int fd) {
    ReadSome(fd);
    for (int i = 0; i < kMaxUnwantedResponses; ++i)
      SendAll(fd, "HTTP/1.1 102 Processing\r\n\r\n");
    SendAll(fd, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
  });
  const Report report = RunCall(server, "");
  CHECK(report.m_whole);
  CHECK(report.m_data == "ok");
}

TEST_CASE("responses to other requests are read up to a bound, in number and in bytes") {
  for (const std::string& unwanted :
       {std::string("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        "HTTP/1.1 200 OK\r\ncontent-length: 99000000\r\n\r\n" + std::string(100'000, 'x')}) {
    std::atomic<std::size_t> sent{0};
    const RawServer server([&](int fd) {
      ReadSome(fd);
      while (sent < 90'000'000 && SendAll(fd, unwanted))
        sent += unwanted.size();
    });
    const Report report = RunCall(server, "", true);
    REQUIRE(report.m_fault);
    CHECK(CallFaultName(*report.m_fault) == "not_http");
    CHECK(report.m_took < Duration(1'000'000));
    CHECK(sent < 12'000'000);
  }
}

TEST_CASE("heads, lines, chunk sizes and trailers without end are read up to a bound") {
  const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  for (const auto& [begin, more] :
       std::vector<std::pair<std::string, std::string>>{{"HTTP/1.1 200 OK\r\n", "x-a: b\r\n"},
                                                        {"HTTP/1.1 200 ", "xxxxxxxx"},
                                                        {"HTTP/1.1 200 OK\r\nx-a: ", "xxxxxxxx"},
                                                        {"", "xxxxxxxx"},
                                                        {chunked, "00000000"},
                                                        {chunked + "0\r\n", "x-a: b\r\n"},
                                                        {chunked + "1;", "xxxxxxxx"}}) {
    std::atomic<std::size_t> sent{0};
    const RawServer server([&sent, begin = begin, more = more](int fd) {
      ReadSome(fd);
      std::string block;
      while (block.size() < 16'384)
        block += more;
      bool open = SendAll(fd, begin);
      while (open && sent < 100'000'000) {
        open = SendAll(fd, block);
        sent += block.size();
      }
    });
    const Report report = RunCall(server, "");
    INFO(begin << more);
    REQUIRE(report.m_fault);
    CHECK(CallFaultName(*report.m_fault) == "not_http");
    CHECK(report.m_took < Duration(1'000'000));
    CHECK(sent < 10'000'000);
  }
}

TEST_CASE("a response without a body ends with its head, whatever length it states") {
  for (const std::string& status : {"204 No Content", "304 Not Modified"}) {
    const RawServer server([&status](int fd) {
      ReadSome(fd);
      SendAll(fd, "HTTP/1.1 " + status + "\r\ncontent-length: 5\r\n\r\n");
      SleepMillis(100);
    });
    const Report report = RunCall(server, "");
    CHECK(report.m_whole);
    CHECK(report.m_data.empty());
  }
}

// Guards against a response that isn't HTTP/1.1 and reaches a caller, whose reader may take it for
// another one.
TEST_CASE("nothing of a response with an unacceptable head reaches the caller") {
  for (const std::string& line : {"a b: c", "Content-Length : 2", "a\x01: c", "x: \x01",
                                  "content-length: 2\r\ncontent-length: 3"}) {
    ScriptedServer server([&line](const std::string& request) {
      return std::vector<ScriptStep>{Send(MakeResponseHead(request, line + "\r\n") + "ok"),
                                     CloseNow()};
    });
    ForwarderFixture fixture;
    fixture.Register("s0", server);
    const CallResult result = Call(fixture, Request("/once/", "i"));
    CHECK(result.status() == 502);
    CHECK(server.requests().size() == 1);
  }
}

// Guards against the memory that an event without end takes.
TEST_CASE("an event without end is read up to a bound") {
  std::atomic<std::size_t> sent{0};
  const RawServer server([&sent](int fd) {
    char buffer[4096];
    const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    const std::string request(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, got)));
    bool open = SendAll(
        fd, MakeResponseHead(request, "content-type: text/event-stream\r\n") + "id: 1\ndata: ");
    const std::string block(16'384, 'x');
    while (open && sent < 100'000'000) {
      open = SendAll(fd, block);
      sent += block.size();
    }
  });
  ForwarderFixture fixture;
  wire::ServerRecord record;
  record.id = "s0";
  record.pool = "app";
  record.address = "127.0.0.1";
  record.port = server.port();
  record.slots = 4;
  record.index = 2;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  const CallResult result = Call(fixture, Request("/stream/", "i"));
  CHECK(result.status() != 200);
  CHECK(result.m_elapsed_ms < 1'000);
  CHECK(sent < 20'000'000);
}

}  // namespace
}  // namespace poppyway
