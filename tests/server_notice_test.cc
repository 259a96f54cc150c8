// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Notices of backend servers in their responses: a back-off, or that the server is leaving.
//
// Guards against instances that ignore a back-off: in the 3 s after a 503 they sent the server up
// to seven more requests, which were rejected while other servers had free slots. The health
// estimate ejects a server only for 300 ms after three failures in a row, and a successful response
// ends that. Also guards against new work for a server that announces that it is leaving, which the
// registry may never report. Without notices the first test sees 4 requests and the last ones 14,
// not 1.
#include <catch2/catch.hpp>

#include "fake_broker.h"
#include "forwarder_fixture.h"
#include "slot_broker_fixture.h"

namespace poppyway {
namespace {

/// Returns the script of a server that rejects all requests and asks to back off for `seconds`.
ScriptedServer::Script BackingOff(const std::string& seconds) {
  return [seconds](const std::string& request) {
    return std::vector<ScriptStep>{Send("HTTP/1.1 503 Full\r\nx-attempt-id: " + IdOf(request) +
                                        "\r\nx-not-executed: 1\r\nretry-after: " + seconds +
                                        "\r\ncontent-length: 0\r\n\r\n")};
  };
}

TEST_CASE("a server that asked an instance to send nothing for a time gets nothing in that time") {
  ScriptedServer busy(BackingOff("1"));
  ScriptedServer good(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", busy);
  const Instant requested = ReadClock();
  CHECK(Call(fixture, Request("/safe/", "first")).status() == 503);
  fixture.Register("s1", good);
  const auto in_time = [requested] { return ReadClock() - requested < Duration(900'000); };
  for (int i = 0; in_time(); ++i)
    CHECK(Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(busy.requests().size() == 1);
  CHECK(good.requests().size() > 10);
  // After the back-off the server gets requests again.
  for (int i = 0; i < 60 && busy.requests().size() == 1; ++i)
    (void)Call(fixture, Request("/safe/", "j" + std::to_string(i)));
  CHECK(busy.requests().size() > 1);
}

TEST_CASE("a place that the broker gave before it heard of the wish goes back unused") {
  ScriptedServer busy(BackingOff("1"));
  ScriptedServer good(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", busy);
  fixture.Register("s1", good);
  FakeBroker broker(fixture);
  BackgroundCall first(fixture, Request("/once/", "a"));
  BackgroundCall second(fixture, Request("/once/", "b"));
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 2; });
  const std::vector<SlotRequest> slot_requests = broker.SlotRequests();
  REQUIRE(slot_requests.size() == 2);
  SendSlotResponse(fixture, slot_requests[0].m_ref, SlotVerdict::kPlaced, "s0");
  fixture.RunUntil([&] { return !broker.ReceivedNotices().empty(); });
  // The broker gets the notice with the server, its process start time and the remaining back-off.
  REQUIRE(broker.ReceivedNotices().size() == 1);
  CHECK(broker.ReceivedNotices()[0].m_server == "s0");
  CHECK(broker.ReceivedNotices()[0].m_back_off > Duration(900'000));
  CHECK(broker.ReceivedNotices()[0].m_back_off <= Duration(1'000'000));
  // The broker's response to the other request was already on its way.
  SendSlotResponse(fixture, slot_requests[1].m_ref, SlotVerdict::kPlaced, "s0");
  fixture.RunUntil([&] { return broker.SlotRequests().size() == 4; });
  REQUIRE(broker.SlotRequests().size() == 4);  // Both request a slot again.
  for (std::size_t i = 2; i < 4; ++i)
    SendSlotResponse(fixture, broker.SlotRequests()[i].m_ref, SlotVerdict::kPlaced, "s1");
  CHECK(first.AwaitResponse(fixture).status() == 200);
  CHECK(second.AwaitResponse(fixture).status() == 200);
  CHECK(busy.requests().size() == 1);
}

TEST_CASE("a new broker is told what servers have asked for, as far as it still holds") {
  ScriptedServer long_busy(BackingOff("2"));
  ScriptedServer soon_free(BackingOff("0.05"));
  ForwarderFixture fixture;
  fixture.Register("s0", long_busy);
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 503);
  fixture.Register("s1", soon_free);
  CHECK(Call(fixture, Request("/safe/", "b")).status() == 503);
  fixture.m_loop.RunFor(60);
  FakeBroker broker(fixture);
  REQUIRE(broker.ReceivedNotices().size() == 1);
  CHECK(broker.ReceivedNotices()[0].m_server == "s0");
  CHECK(broker.ReceivedNotices()[0].m_back_off > Duration(1'500'000));
  CHECK(broker.ReceivedNotices()[0].m_back_off < Duration(2'000'000));
  fixture.m_forwarder->HandleMessage(BrokerConnected{2});
  CHECK(broker.ReceivedNotices().size() == 2);
}

TEST_CASE("an instance whose broker is lost or quiet keeps the time that a server asked for") {
  const bool lost = GENERATE(true, false);
  ScriptedServer busy(BackingOff("1"));
  ScriptedServer good(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", busy);
  FakeBroker broker(fixture);
  BackgroundCall first(fixture, Request("/once/", "a"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  fixture.RunUntil([&] { return !broker.ReceivedNotices().empty(); });
  fixture.Register("s1", good);
  if (lost)
    fixture.m_forwarder->HandleMessage(BrokerDisconnected{});
  // Requests that the broker doesn't answer are decided by the instance.
  for (int i = 0; i < 3; ++i)
    CHECK(Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(first.AwaitResponse(fixture).status() == 200);
  CHECK(busy.requests().size() == 1);
}

TEST_CASE("a request is refused at once, with a time to come back, if all servers back off") {
  ScriptedServer busy(BackingOff("1.2"));
  ForwarderFixture fixture;
  fixture.Register("s0", busy);
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 503);
  const CallResult result = Call(fixture, Request("/safe/", "b", "X-Deadline-Ms: 1500\r\n"));
  CHECK(result.status() == 503);
  CHECK(result.m_elapsed_ms < 80);  // Waiting for a slot would take 88 ms.
  CHECK(result.m_bytes.find("retry-after: ") != std::string::npos);
  CHECK(busy.requests().size() == 1);
}

TEST_CASE("a stream that breaks goes on at no server that backs off") {
  const auto cut = [](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")),
        Send(Chunk(Event(1))), Wait(20), ResetNow()};
  };
  ScriptedServer busy(BackingOff("1"));
  ScriptedServer breaks(cut);
  ForwarderFixture fixture;
  fixture.Register("s0", busy);
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 503);
  fixture.Register("s1", breaks);
  const CallResult result = Call(fixture, Request("/stream/", "b"));
  CHECK(result.status() == 200);  // The response has begun, so its status stays.
  CHECK_FALSE(IsCompleteResponse(result.m_bytes));
  CHECK(busy.requests().size() == 1);
}

TEST_CASE("a server that has started again is not bound to what its earlier life asked for") {
  ScriptedServer busy(BackingOff("5"));
  ForwarderFixture fixture;
  wire::ServerRecord record = fixture.Record("s0", busy);
  record.born = 1'000;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 503);
  CHECK(Call(fixture, Request("/safe/", "b")).status() == 503);
  CHECK(busy.requests().size() == 1);
  record.born = 2'000;
  ++record.index;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  CHECK(Call(fixture, Request("/safe/", "c")).status() == 503);
  CHECK(busy.requests().size() == 2);
}

TEST_CASE("a shorter time doesn't shorten the one that a server has asked for") {
  ScriptedServer server([](const std::string& request) {
    const std::string seconds = IdOf(request) == "long" ? "1" : "0.1";
    return std::vector<ScriptStep>{
        Wait(50),
        Send("HTTP/1.1 503 Full\r\nx-attempt-id: " + IdOf(request) +
             "\r\nx-not-executed: 1\r\nretry-after: " + seconds + "\r\ncontent-length: 0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", server);
  BackgroundCall first(fixture, Request("/safe/", "long"));
  BackgroundCall second(fixture, Request("/safe/", "short"));
  (void)first.AwaitResponse(fixture);
  (void)second.AwaitResponse(fixture);
  REQUIRE(server.requests().size() == 2);
  fixture.m_loop.RunFor(300);
  CHECK(Call(fixture, Request("/safe/", "c")).status() == 503);
  CHECK(server.requests().size() == 2);
}

TEST_CASE("what a server says of itself holds though the answer is another request's") {
  ScriptedServer busy([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 503 Full\r\nx-attempt-id: earlier\r\nx-not-executed: 1\r\nretry-after: 1\r\n"
             "content-length: 0\r\n\r\n"),
        Send(MakeResponseHead(request, "content-length: 2\r\n") + "ok")};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", busy);
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 200);
  CHECK(Call(fixture, Request("/safe/", "b")).status() == 503);
  CHECK(busy.requests().size() == 1);
}

// ---- The broker ---------------------------------------------------------------------------------

BackendServer EngineStartedAt(const std::string& id, std::int64_t started_ms) {
  BackendServer server = Engine(id);
  server.m_started_ms = started_ms;
  return server;
}

SlotBroker BrokerWith(const std::vector<BackendServer>& servers) {
  return BrokerFor({"a", "b"}, servers);
}

ServerNotice BackOffNotice(const std::string& server,
                           Duration back_off,
                           std::int64_t started_ms = 0) {
  ServerNotice notice;
  notice.m_server = server;
  notice.m_started_ms = started_ms;
  notice.m_back_off = back_off;
  return notice;
}

TEST_CASE("the broker gives an instance no place at a server that backs off from it") {
  SlotBroker broker = BrokerWith({Engine("s0"), Engine("s1")});
  ApplyServerNotice(broker, "a", BackOffNotice("s0", kSecond), kStart);
  for (SlotRef ref = 1; ref <= 2; ++ref)
    CHECK(AskOnce(broker, "a", WantedPlace(ref), kStart).m_server == "s1");
  // The other server is full, so the request waits although this one has free slots.
  CHECK(AskOnce(broker, "a", WantedPlace(3), kStart).m_verdict == SlotVerdict::kQueued);
  // The server didn't ask the other instance to back off.
  CHECK(AskOnce(broker, "b", WantedPlace(4), kStart).m_server == "s0");
  // A slot that comes free at the server isn't assigned to the instance in back-off.
  std::vector<SlotResponse> out;
  SlotReport end;
  end.m_ref = 4;
  end.m_ended = true;
  ApplyReport(broker, "b", end, kStart + Duration(100'000), out);
  CHECK(out.empty());
  CHECK(AskOnce(broker, "a", WantedPlace(5), kStart + kSecond).m_server == "s0");
}

TEST_CASE("half of a pool stays in use for failures, but never against a server's own wish") {
  SlotBroker broker = BrokerWith({Engine("s0"), Engine("s1"), Engine("s2"), Engine("s3")});
  for (const std::string id : {"s0", "s1", "s2"})
    ApplyServerNotice(broker, "a", BackOffNotice(id, kSecond), kStart);
  CHECK(AskOnce(broker, "a", WantedPlace(1), kStart).m_server == "s3");
  CHECK(AskOnce(broker, "a", WantedPlace(2), kStart).m_server == "s3");
  CHECK(AskOnce(broker, "a", WantedPlace(3), kStart).m_verdict == SlotVerdict::kQueued);
}

TEST_CASE("a request that no server wants in time is refused at once, to come back then") {
  SlotBroker broker = BrokerWith({Engine("s0"), Engine("s1")});
  ApplyServerNotice(broker, "a", BackOffNotice("s0", 3 * kSecond), kStart);
  ApplyServerNotice(broker, "a", BackOffNotice("s1", 2 * kSecond), kStart);
  const SlotResponse rejected = AskOnce(broker, "a", WantedPlace(1), kStart);
  CHECK(rejected.m_verdict == SlotVerdict::kNoRoom);
  CHECK(rejected.m_estimated_wait == 2 * kSecond);
  CHECK(AskOnce(broker, "b", WantedPlace(2), kStart).m_verdict == SlotVerdict::kPlaced);
}

TEST_CASE("a request waits for a server that wants something again soon, and gets it") {
  SlotBroker broker = BrokerWith({Engine("s0")});
  ApplyServerNotice(broker, "a", BackOffNotice("s0", Duration(50'000)), kStart);
  CHECK(AskOnce(broker, "a", WantedPlace(1), kStart).m_verdict == SlotVerdict::kQueued);
  std::vector<SlotResponse> out;
  TickBroker(broker, kStart + Duration(49'000), out);
  CHECK(out.empty());
  TickBroker(broker, kStart + Duration(50'000), out);
  REQUIRE(out.size() == 1);
  CHECK(out[0].m_server == "s0");
}

TEST_CASE(
    "the broker keeps a server's wish over changes of the list, and forgets it with its life") {
  SlotBroker broker = BrokerWith({EngineStartedAt("s0", 1'000)});
  ApplyServerNotice(broker, "a", BackOffNotice("s0", 5 * kSecond, 1'000), kStart);
  SetServers(broker, {Engine("r9"), EngineStartedAt("s0", 1'000)});
  CHECK(AskOnce(broker, "a", WantedPlace(1), kStart).m_server == "r9");
  CHECK(AskOnce(broker, "a", WantedPlace(2), kStart).m_server == "r9");
  CHECK(AskOnce(broker, "a", WantedPlace(3), kStart).m_verdict == SlotVerdict::kQueued);
  SetServers(broker, {EngineStartedAt("s0", 2'000)});
  CHECK(AskOnce(broker, "a", WantedPlace(4), kStart).m_server == "s0");
  // A notice of the earlier process arrives late.
  ApplyServerNotice(broker, "a", BackOffNotice("s0", 5 * kSecond, 1'000), kStart);
  CHECK(AskOnce(broker, "a", WantedPlace(5), kStart).m_server == "s0");
}

TEST_CASE("the broker keeps nothing of wishes that are over") {
  SlotBroker broker = BrokerWith({Engine("s0"), Engine("s1")});
  ApplyServerNotice(broker, "a", BackOffNotice("s0", kSecond), kStart);
  ApplyServerNotice(broker, "b", BackOffNotice("s1", 2 * kSecond), kStart);
  std::vector<SlotResponse> out;
  TickBroker(broker, kStart + kSecond, out);
  CHECK(AskOnce(broker, "b", WantedPlace(1), kStart + kSecond).m_server == "s0");
  TickBroker(broker, kStart + 2 * kSecond, out);
  for (const ServerNotices& notices : broker.m_pools.at("engines").m_notices)
    CHECK(notices.m_back_off_until.empty());
}

TEST_CASE("wishes are bounded by the instances that are asked at one time") {
  ServerNotices notices;
  for (int i = 0; i < 1'000; ++i)
    RecordNotice(notices, "holder" + std::to_string(i), BackOffNotice("s0", kSecond),
                 kStart + i * kSecond);
  CHECK(notices.m_back_off_until.size() == 1);
  RecordNotice(notices, "other", BackOffNotice("s0", Duration(-5)), kStart + 1'000 * kSecond);
  CHECK(notices.m_back_off_until.empty());
}

// ---- Servers that leave -------------------------------------------------------------------------

/// Returns a successful response which announces that the server is leaving.
std::vector<ScriptStep> OkAndLeaving(const std::string& request) {
  return {Send(MakeResponseHead(request, "server-leaving: 1\r\ncontent-length: 2\r\n") + "ok")};
}

TEST_CASE("a server that says in an answer that it leaves gets nothing new") {
  ScriptedServer leaving(OkAndLeaving);
  ScriptedServer stays(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  CHECK(Call(fixture, Request("/safe/", "first")).status() == 200);
  fixture.Register("s1", stays);
  for (int i = 0; i < 20; ++i)
    CHECK(Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(leaving.requests().size() == 1);
  // An older record of the registry doesn't revoke the notice.
  fixture.Register("s0", leaving);
  for (int i = 0; i < 20; ++i)
    CHECK(Call(fixture, Request("/safe/", "j" + std::to_string(i))).status() == 200);
  CHECK(leaving.requests().size() == 1);
  CHECK(stays.requests().size() == 40);
}

TEST_CASE("the broker learns at once that a server leaves, and a new broker with the resync") {
  ScriptedServer leaving(OkAndLeaving);
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  FakeBroker broker(fixture);
  for (int i = 0; i < 2; ++i) {
    const std::size_t requested = broker.SlotRequests().size();
    BackgroundCall call(fixture, Request("/once/", "i" + std::to_string(i)));
    fixture.RunUntil([&] { return broker.SlotRequests().size() > requested; });
    SendSlotResponse(fixture, broker.SlotRequests().back().m_ref, SlotVerdict::kPlaced, "s0");
    if (i == 0)
      CHECK(call.AwaitResponse(fixture).status() == 200);
  }
  // The notice is sent once; the slot assigned after it is returned unused.
  REQUIRE(broker.ReceivedNotices().size() == 1);
  CHECK(broker.ReceivedNotices()[0].m_server == "s0");
  CHECK(broker.ReceivedNotices()[0].m_leaving);
  CHECK(leaving.requests().size() == 1);
  fixture.m_forwarder->HandleMessage(BrokerConnected{2});
  REQUIRE(broker.ReceivedNotices().size() == 2);
  CHECK(broker.ReceivedNotices()[1].m_leaving);
}

TEST_CASE("an instance that loses its broker sends nothing new to a server that leaves") {
  ScriptedServer leaving(OkAndLeaving);
  ScriptedServer stays(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  FakeBroker broker(fixture);
  BackgroundCall first(fixture, Request("/safe/", "a"));
  fixture.RunUntil([&] { return !broker.SlotRequests().empty(); });
  SendSlotResponse(fixture, broker.SlotRequests()[0].m_ref, SlotVerdict::kPlaced, "s0");
  CHECK(first.AwaitResponse(fixture).status() == 200);
  fixture.Register("s1", stays);
  fixture.m_forwarder->HandleMessage(BrokerDisconnected{});
  for (int i = 0; i < 10; ++i)
    CHECK(Call(fixture, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a failure or a refusal says that a server leaves as well as a good answer does") {
  const std::string head =
      GENERATE(as<std::string>(), "HTTP/1.1 500 Error\r\n",
               "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n", "HTTP/1.1 421 Other version\r\n");
  ScriptedServer leaving([head](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(head + "x-attempt-id: " + IdOf(request) +
             "\r\nx-response-seal: s\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n")};
  });
  ScriptedServer stays(MakeOkResponse);
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  CHECK(Call(fixture, Request("/once/", "a")).status() >= 500);
  fixture.Register("s1", stays);
  for (int i = 0; i < 10; ++i)
    CHECK(Call(fixture, Request("/once/", "i" + std::to_string(i))).status() == 200);
  CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a stream that breaks goes on at no server that leaves") {
  ScriptedServer leaving(OkAndLeaving);
  ScriptedServer breaks([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request,
                              "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")),
        Send(Chunk(Event(1))), Wait(20), ResetNow()};
  });
  ForwarderFixture fixture;
  fixture.Register("s0", leaving);
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 200);
  fixture.Register("s1", breaks);
  CHECK_FALSE(IsCompleteResponse(Call(fixture, Request("/stream/", "b")).m_bytes));
  CHECK(leaving.requests().size() == 1);
}

TEST_CASE("the server that has taken another's address leaves, not the one that was meant") {
  ScriptedServer other([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send("HTTP/1.1 421 Other\r\nx-attempt-id: " + IdOf(request) +
             "\r\nx-instance-id: s9\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n")};
  });
  ForwarderFixture fixture;
  fixture.Register("s9", other);
  // The registry lists both servers at the same address.
  fixture.Register("s0", other);
  (void)Call(fixture, Request("/safe/", "a"));
  const std::map<std::string, Backend>& backends = fixture.m_forwarder->state().m_backends;
  CHECK(backends.at("s9").m_announced_leaving);
  CHECK_FALSE(backends.at("s0").m_announced_leaving);
}

TEST_CASE("a server that has started again gets work though its earlier life left") {
  ScriptedServer server([](const std::string& request) {
    return IdOf(request) == "a" ? OkAndLeaving(request) : MakeOkResponse(request);
  });
  ForwarderFixture fixture;
  wire::ServerRecord record = fixture.Record("s0", server);
  record.born = 1'000;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  CHECK(Call(fixture, Request("/safe/", "a")).status() == 200);
  CHECK(Call(fixture, Request("/safe/", "b")).status() == 503);
  record.born = 2'000;
  ++record.index;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  CHECK(Call(fixture, Request("/safe/", "c")).status() == 200);
}

TEST_CASE("the broker gives no instance a place at a server that told one of them that it leaves") {
  SlotBroker broker = BrokerWith({EngineStartedAt("s0", 1'000), Engine("s1")});
  ServerNotice notice;
  notice.m_server = "s0";
  notice.m_started_ms = 1'000;
  notice.m_leaving = true;
  ApplyServerNotice(broker, "a", notice, kStart);
  ApplyServerNotice(broker, "b", notice, kStart);
  CHECK(broker.m_leaving_events == std::vector<LeavingServer>{{"s0", "a"}});
  CHECK(AskOnce(broker, "a", WantedPlace(1), kStart).m_server == "s1");
  CHECK(AskOnce(broker, "b", WantedPlace(2), kStart).m_server == "s1");
  CHECK(AskOnce(broker, "b", WantedPlace(3), kStart).m_verdict == SlotVerdict::kQueued);
  // The registry's record doesn't have it yet.
  SetServers(broker, {EngineStartedAt("s0", 1'000), Engine("s2")});
  CHECK(AskOnce(broker, "b", WantedPlace(4), kStart).m_server == "s2");
  CHECK(AskOnce(broker, "b", WantedPlace(5), kStart).m_server == "s2");
  CHECK(AskOnce(broker, "b", WantedPlace(6), kStart).m_verdict == SlotVerdict::kQueued);
  SetServers(broker, {EngineStartedAt("s0", 2'000)});
  CHECK(AskOnce(broker, "b", WantedPlace(7), kStart).m_server == "s0");
}

}  // namespace
}  // namespace poppyway
