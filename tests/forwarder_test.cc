// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "poppyway/platform.h"
#include "scripted_server.h"

namespace poppyway {
namespace {

using test::AwaitClose;
using test::CloseNow;
using test::ResetNow;
using test::ScriptedServer;
using test::ScriptStep;
using test::Send;
using test::Wait;

constexpr int kCallerMillis = 3'000;

/// The document of all tests: one route of each kind, a workspace with a key.
std::string Document(int version, const std::string& key, double rate = 0) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"safe","host":"a.example","path_prefix":"/safe/","route_kind":"safe","timeout_ms":1500,
     "slo_ms":400,"priority":0,"service":"app","max_attempts":2},
    {"name":"once","host":"a.example","path_prefix":"/once/","route_kind":"unsafe",
     "timeout_ms":1500,"slo_ms":400,"priority":0,"service":"app","max_attempts":2},
    {"name":"stream","host":"a.example","path_prefix":"/stream/","route_kind":"streaming",
     "timeout_ms":1500,"slo_ms":400,"gap_slo_ms":300,"priority":0,"service":"app","max_attempts":2,
     "resumable":true}],
   "services":[{"name":"app","health_path":"/h","max_conns":9}],
   "tenants":[{"name":"north","api_keys":[")" +
         key + R"("],"unit":"token_stream","plain_tokens":10,"rate_per_s":)" +
         std::to_string(rate) + R"(,"burst":)" + std::to_string(rate) + "}]}";
}

/// The id of the request that a server got.
std::string IdOf(const std::string& request) {
  constexpr std::string_view kName = "x-attempt-id: ";
  const std::size_t at = request.find(kName) + kName.size();
  return request.substr(at, request.find("\r\n", at) - at);
}

std::string Head(const std::string& request, const std::string& more) {
  return "HTTP/1.1 200 OK\r\nx-attempt-id: " + IdOf(request) + "\r\nx-response-seal: s\r\n" + more +
         "\r\n";
}

std::vector<ScriptStep> Answer(const std::string& request, const std::string& body) {
  return {Send(Head(request, "content-length: " + std::to_string(body.size()) + "\r\n") + body)};
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: " + std::string(static_cast<std::size_t>(id), 'x') +
         "\n\n";
}

/// A forwarder on a loop of the test's thread, with servers that are known by the ids s0, s1, ...
struct Rig {
  TaskLoop m_loop;
  ForwarderSettings m_settings;
  std::unique_ptr<Forwarder> m_forwarder;
  std::int64_t m_index = 1;

  explicit Rig(const std::string& document = Document(1, "key")) {
    static std::uint16_t port = 23400;
    m_settings.m_instance = "edge";
    m_settings.m_callers = {"127.0.0.1", ++port};
    m_settings.m_retry_limit = {1, 50, 1};
    m_forwarder = std::make_unique<Forwarder>(m_loop, m_settings, platform::MakeDialect());
    REQUIRE(m_forwarder->Listen());
    Adopt(1, document);
    Confirm(Duration(60'000'000));
  }
  void Adopt(int version, const std::string& body) {
    wire::Document document;
    document.version = version;
    document.body = body;
    m_forwarder->Take(NewDocument{std::make_shared<const wire::Document>(document)});
  }
  void Confirm(Duration time) { m_forwarder->Take(ConfirmedUntil{ReadClock() + time}); }
  void Register(const std::string& id,
                const ScriptedServer& server,
                wire::ServerStage::type stage = wire::ServerStage::READY) {
    wire::ServerRecord record;
    record.id = id;
    record.pool = "app";
    record.address = "127.0.0.1";
    record.port = server.port();
    record.slots = 4;
    record.stage = stage;
    record.index = ++m_index;
    m_forwarder->Take(ServersChanged{{record}});
  }
  [[nodiscard]] std::uint64_t Refusals(const std::string& reason) {
    return m_forwarder->state().m_metrics.Counter("poppyway_forward_refusals_total",
                                                  "reason=\"" + reason + "\",tier=\"0\"");
  }
};

/// What a caller saw: all bytes until the connection ended or an answer was whole.
struct Seen {
  std::string m_bytes;
  bool m_closed = false;
  int m_millis = 0;

  [[nodiscard]] int status() const {
    return m_bytes.size() < 12 ? 0 : std::stoi(m_bytes.substr(9, 3));
  }
  [[nodiscard]] std::string body() const {
    const std::size_t at = m_bytes.find("\r\n\r\n");
    return at == std::string::npos ? "" : m_bytes.substr(at + 4);
  }
};

/// Lower-cases the names and values of the head; the library writes some names with capitals.
std::string PlainHead(std::string bytes) {
  const std::size_t end = std::min(bytes.find("\r\n\r\n"), bytes.size());
  std::transform(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(end), bytes.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return bytes;
}

bool IsWhole(const std::string& answer) {
  const std::string bytes = PlainHead(answer);
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return false;
  constexpr std::string_view kLength = "content-length: ";
  const std::size_t at = bytes.find(kLength);
  if (at != std::string::npos && at < end)
    return bytes.size() >= end + 4 + std::stoul(bytes.substr(at + kLength.size()));
  return bytes.ends_with("0\r\n\r\n");
}

std::string Request(const std::string& path, const std::string& id, const std::string& more = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
         "\r\nAuthorization: Bearer key\r\n" + more + "\r\n";
}

/// Calls the forwarder from another thread while its loop runs on this one.
/// \param leave_after_ms the caller closes its connection after this; -1: it waits for the answer.
Seen Call(Rig& rig, const std::string& request, int leave_after_ms = -1) {
  Seen seen;
  std::atomic<bool> done{false};
  std::thread caller([&] {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{0, 50'000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(rig.m_settings.m_callers.m_port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0);
    const Instant begun = ReadClock();
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    const int limit_ms = leave_after_ms >= 0 ? leave_after_ms : kCallerMillis;
    while (ReadClock() - begun < std::chrono::milliseconds(limit_ms) && !IsWhole(seen.m_bytes)) {
      char buffer[4096];
      const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
      if (got > 0)
        seen.m_bytes.append(buffer, static_cast<std::size_t>(got));
      seen.m_closed = got == 0 || (got < 0 && errno == ECONNRESET);
      if (seen.m_closed)
        break;
    }
    seen.m_bytes = PlainHead(seen.m_bytes);
    seen.m_millis = static_cast<int>((ReadClock() - begun).count() / 1000);
    close(fd);
    done.store(true);
  });
  while (!done.load())
    rig.m_loop.RunFor(5);
  caller.join();
  rig.m_loop.RunFor(30);
  return seen;
}

TEST_CASE("an answer passes through unchanged, and the server learns the workspace, not the key") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "hello"); });
  Rig rig;
  rig.Register("s0", server);
  const Seen seen =
      Call(rig, Request("/safe/%41?q=%20&r", "id1", "X-Other: v\r\nX-Tenant: forged\r\n"));
  CHECK(seen.status() == 200);
  CHECK(seen.body() == "hello");
  CHECK(seen.m_bytes.find("x-response-seal: s\r\n") != std::string::npos);
  CHECK(seen.m_bytes.find("x-attempt-id: id1\r\n") != std::string::npos);
  REQUIRE(server.requests().size() == 1);
  const std::string got = server.requests()[0];
  CHECK(got.starts_with("GET /safe/%41?q=%20&r HTTP/1.1\r\nhost: a.example\r\n"));
  CHECK(got.find("x-tenant: north\r\n") != std::string::npos);
  CHECK(got.find("forged") == std::string::npos);
  CHECK(got.find("key") == std::string::npos);
  CHECK(got.find("x-expect-instance: s0\r\n") != std::string::npos);
  CHECK(got.find("x-other: v\r\n") != std::string::npos);
}

TEST_CASE("bodies with a length or in chunks reach the server byte for byte") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", server);
  const std::string head =
      "POST /once/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: i\r\n"
      "Authorization: Bearer key\r\n";
  CHECK(Call(rig, head + "Content-Length: 4\r\n\r\nab\r\n").status() == 200);
  CHECK(Call(rig, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\n\r\n\r\n0\r\n\r\n")
            .status() == 200);
  REQUIRE(server.requests().size() == 2);
  for (const std::string& request : server.requests())
    CHECK(request.ends_with("content-length: 4\r\n\r\nab\r\n"));
}

TEST_CASE("unknown routes and keys are refused only while the configuration is confirmed") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", server);
  CHECK(Call(rig, Request("/nowhere/", "i")).status() == 404);
  const std::string wrong_key =
      "GET /safe/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer other\r\n\r\n";
  CHECK(Call(rig, wrong_key).status() == 401);
  rig.m_forwarder->state().m_confirmed_until = ReadClock();
  CHECK(Call(rig, wrong_key).status() == 503);
  CHECK(Call(rig, Request("/safe/", "i")).status() == 503);
  CHECK(Call(rig, Request("/nowhere/", "i")).status() == 503);
  CHECK(server.requests().empty());
}

TEST_CASE("an instance that knows no configuration says so and never 404") {
  Rig rig;
  rig.m_forwarder->state().m_table = nullptr;
  const Seen seen = Call(rig, Request("/safe/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
}

TEST_CASE(
    "a removed key is refused as soon as the configuration is in force, which never goes back") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", server);
  CHECK(Call(rig, Request("/safe/", "i")).status() == 200);
  rig.Adopt(3, Document(3, "other"));
  CHECK(Call(rig, Request("/safe/", "i")).status() == 401);
  rig.Adopt(2, Document(2, "key"));
  CHECK(Call(rig, Request("/safe/", "i")).status() == 401);
}

TEST_CASE("a repeatable request goes on at another server after a failure") {
  ScriptedServer bad([](const std::string&) { return std::vector<ScriptStep>{CloseNow()}; });
  ScriptedServer good([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", bad);
  rig.Register("s1", good);
  for (int i = 0; i < 6; ++i)
    CHECK(Call(rig, Request("/safe/", "i" + std::to_string(i))).status() == 200);
}

TEST_CASE(
    "what may run once is never sent again after a byte went out, and is not called 'not run'") {
  for (const ScriptStep& fault : {CloseNow(), ResetNow()}) {
    const auto script = [&fault](const std::string&) { return std::vector<ScriptStep>{fault}; };
    ScriptedServer bad(script);
    ScriptedServer also_bad(script);
    Rig rig;
    rig.Register("s0", bad);
    rig.Register("s1", also_bad);
    const Seen seen = Call(rig, Request("/once/", "i"));
    CHECK(seen.status() == 502);
    CHECK(bad.requests().size() + also_bad.requests().size() == 1);
  }
}

TEST_CASE("what a server declined may go to another one, and is 'not run' if that declines too") {
  const auto decline = [](const std::string&) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n")};
  };
  ScriptedServer full(decline);
  ScriptedServer also_full(decline);
  Rig rig;
  rig.Register("s0", full);
  rig.Register("s1", also_full);
  const Seen seen = Call(rig, Request("/once/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
  CHECK(full.requests().size() == 1);
  CHECK(also_full.requests().size() == 1);
}

TEST_CASE("an answer of another server at the place is no answer of the meant one") {
  ScriptedServer other([](const std::string&) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-instance-id: zz\r\ncontent-length: 0\r\n\r\n")};
  });
  ScriptedServer good([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", other);
  rig.Register("s1", good);
  for (int i = 0; i < 8; ++i)
    CHECK(Call(rig, Request("/once/", "i" + std::to_string(i))).status() == 200);
  CHECK(other.requests().size() <= 1);
}

TEST_CASE("a success without the server's signature or for another request is not passed on") {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nx-attempt-id: i\r\n", "HTTP/1.1 200 OK\r\nx-response-seal: s\r\n",
        "HTTP/1.1 200 OK\r\nx-response-seal: s\r\nx-attempt-id: other\r\n"}) {
    ScriptedServer server([&head](const std::string&) {
      return std::vector<ScriptStep>{Send(head + "content-length: 2\r\n\r\nno"), Wait(100),
                                     CloseNow()};
    });
    Rig rig;
    rig.Register("s0", server);
    const Seen seen = Call(rig, Request("/once/", "i"));
    CHECK(seen.status() == 502);
    CHECK(seen.m_bytes.find("no\r\n") == std::string::npos);
  }
}

TEST_CASE("a failure of the server passes through with its signature") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 500 Broken\r\nx-response-seal: s\r\nx-attempt-id: " + IdOf(request) +
             "\r\ncontent-length: 3\r\n\r\nbad")};
  });
  Rig rig;
  rig.Register("s0", server);
  const Seen seen = Call(rig, Request("/once/", "i"));
  CHECK(seen.status() == 500);
  CHECK(seen.body() == "bad");
  CHECK(seen.m_bytes.find("x-response-seal: s\r\n") != std::string::npos);
}

TEST_CASE("each event is passed on as it comes") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(Head(request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")),
        Send(Chunk(Event(1))), Wait(150), Send(Chunk(Event(2)) + "0\r\n\r\n")};
  });
  Rig rig;
  rig.Register("s0", server);
  const Seen early = Call(rig, Request("/stream/", "i"), 100);
  CHECK(early.m_bytes.find(Event(1)) != std::string::npos);
  CHECK(early.m_bytes.find("id: 2") == std::string::npos);
  const Seen whole = Call(rig, Request("/stream/", "j"));
  CHECK(whole.m_bytes.find(Event(2)) != std::string::npos);
  CHECK(IsWhole(whole.m_bytes));
}

TEST_CASE("a stream that breaks within an event goes on at another server without gap or repeat") {
  std::atomic<int> calls{0};
  const auto script = [&calls](const std::string& request) {
    const std::string head =
        Head(request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    if (++calls == 1)
      return std::vector<ScriptStep>{Send(head + Chunk(Event(1) + Event(2) + "id: 3\nda")),
                                     Wait(50), ResetNow()};
    return std::vector<ScriptStep>{Send(head + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n")};
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  Rig rig;
  rig.Register("s0", first);
  rig.Register("s1", second);
  const Seen seen = Call(rig, Request("/stream/", "i"));
  std::string events;
  for (int id = 1; id <= 4; ++id)
    events += Event(id);
  std::string body = seen.body();
  std::string joined;
  while (!body.empty()) {
    const std::size_t size = std::stoul(body, nullptr, 16);
    const std::size_t at = body.find("\r\n") + 2;
    joined += body.substr(at, size);
    body.erase(0, at + size + 2);
  }
  CHECK(joined == events);
  CHECK(IsWhole(seen.m_bytes));
  const std::vector<std::string> resumed = first.requests().empty() || second.requests().empty()
                                               ? std::vector<std::string>{}
                                               : std::vector<std::string>{"both"};
  CHECK(resumed.size() == 1);
  const std::string one = first.requests()[0];
  const std::string two = second.requests()[0];
  const bool named = one.find("last-event-id: 2\r\n") != std::string::npos ||
                     two.find("last-event-id: 2\r\n") != std::string::npos;
  CHECK(named);
}

TEST_CASE("a stream that can't go on is cut and doesn't look complete") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(Head(request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n") +
             Chunk(Event(1))),
        Wait(50), CloseNow()};
  });
  Rig rig;
  rig.Register("s0", server);
  const Seen seen = Call(rig, Request("/stream/", "i"));
  CHECK(seen.m_closed);
  CHECK(seen.m_bytes.ends_with(Chunk(Event(1))));
}

TEST_CASE("events out of order are never passed on") {
  ScriptedServer server([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(Head(request, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n") +
             Chunk(Event(1)) + Chunk(Event(3)) + "0\r\n\r\n")};
  });
  Rig rig;
  rig.Register("s0", server);
  const Seen seen = Call(rig, Request("/stream/", "i"));
  CHECK(seen.m_bytes.find("id: 3") == std::string::npos);
  CHECK_FALSE(IsWhole(seen.m_bytes));
}

TEST_CASE("the work of a caller that left is stopped within half a second") {
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{AwaitClose()}; });
  Rig rig;
  rig.Register("s0", server);
  (void)Call(rig, Request("/safe/", "i"), 100);
  rig.m_loop.RunFor(300);
  for (int i = 0; i < 100 && server.peer_closes() == 0; ++i)
    rig.m_loop.RunFor(5);
  CHECK(server.peer_closes() == 1);
  CHECK(rig.m_forwarder->state().m_backends.at("s0").m_in_flight == 0);
}

TEST_CASE("a leaving server gets no new work and finishes what it has") {
  ScriptedServer leaving([](const std::string& request) {
    std::vector<ScriptStep> steps = Answer(request, "done");
    steps.insert(steps.begin(), Wait(200));
    return steps;
  });
  ScriptedServer other([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", leaving);
  std::thread drain;
  const Seen first = Call(rig, Request("/once/", "i"));
  CHECK(first.body() == "done");
  rig.Register("s1", other);
  rig.Register("s0", leaving, wire::ServerStage::LEAVING);
  for (int i = 0; i < 8; ++i)
    CHECK(Call(rig, Request("/once/", "j" + std::to_string(i))).body() == "ok");
  CHECK(leaving.requests().size() == 1);
}

TEST_CASE("without a server a request is refused early, with a time to come back") {
  Rig rig;
  const Seen seen = Call(rig, Request("/safe/", "i"));
  CHECK(seen.status() == 503);
  CHECK(seen.m_millis < 150);  // The aim is 400 ms.
  CHECK(seen.m_bytes.find("retry-after: 0.") != std::string::npos);
  CHECK(rig.Refusals("no_backend") == 1);
}

TEST_CASE("at its deadline a request gets its final answer, whatever its server does") {
  ScriptedServer server([](const std::string&) { return std::vector<ScriptStep>{AwaitClose()}; });
  Rig rig;
  rig.Register("s0", server);
  const Seen patient = Call(rig, Request("/once/", "i", "X-Deadline-Ms: 300\r\n"));
  CHECK(patient.status() == 504);
  CHECK(patient.m_millis < 500);
  const Seen route = Call(rig, Request("/once/", "j"));
  CHECK(route.status() == 504);
  CHECK(route.m_millis < 1'800);
}

TEST_CASE("a workspace over its limit gets 429 and nothing runs for it") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig(Document(1, "key", 100));
  rig.Register("s0", server);
  CHECK(Call(rig, Request("/safe/", "i", "X-Token-Count: 400,100\r\n")).status() == 200);
  const Seen seen = Call(rig, Request("/safe/", "j"));
  CHECK(seen.status() == 429);
  CHECK(seen.m_bytes.find("retry-after: ") != std::string::npos);
  CHECK(server.requests().size() == 1);
}

TEST_CASE("what waits in the queue is served by its route's urgency") {
  Forwarding urgent;
  Forwarding other;
  Route first;
  Route second;
  second.m_tier = 2;
  urgent.m_route = &first;
  urgent.m_ref = 9;
  other.m_route = &second;
  other.m_ref = 1;
  const WaitingOrder a{urgent.m_tier, first.m_tier, 0, urgent.m_ref};
  const WaitingOrder b{other.m_tier, second.m_tier, 0, other.m_ref};
  CHECK(a < b);
}

TEST_CASE("a planned stop is unready at once, serves for a while, then sends callers away unrun") {
  ScriptedServer server([](const std::string& request) { return Answer(request, "ok"); });
  Rig rig;
  rig.Register("s0", server);
  rig.m_forwarder->BeginStop();
  const Seen served = Call(rig, Request("/once/", "i"));
  CHECK(served.status() == 200);
  CHECK(served.m_bytes.find("connection: close\r\n") != std::string::npos);
  CHECK_FALSE(rig.m_forwarder->Stopped());
  rig.m_forwarder->state().m_stop_begun = ReadClock() - Duration(3'500'000);
  CHECK(Call(rig, Request("/once/", "j")).status() == 503);
  CHECK(server.requests().size() == 1);
  CHECK(rig.m_forwarder->Stopped());
}

}  // namespace
}  // namespace poppyway
