// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Calls to a peer whose messages can't be sent.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <optional>

#include "poppyway/wire.h"
#include "raw_server.h"

namespace poppyway {
namespace {

constexpr std::uint16_t kPort = 9;
constexpr const char* kRefusedAtOnce = "255.255.255.255";  // The system refuses to connect to it.
constexpr int kSoonMillis = 200;
constexpr Duration kLongTimeout{10'000'000};

// Guards against a call that waits for its whole timeout although its message was never sent: a
// poll for documents, of which one is in flight at a time, stood still for ten seconds.
TEST_CASE("a call fails soon if no connection can be opened") {
  EventLoop loop;
  PeerClient client(loop, kRefusedAtOnce, kPort);
  std::optional<Result<wire::Body>> reply;
  client.Call({}, kLongTimeout, [&reply](Result<wire::Body> received) { reply = received; });
  CHECK_FALSE(reply);  // Never within the call itself.
  loop.RunFor(kSoonMillis);
  REQUIRE(reply);
  REQUIRE_FALSE(*reply);
  CHECK(reply->error().m_code == ResultCode::kPeerUnreachable);
}

// Guards against the same where too many messages wait for a connection: this call's was dropped.
TEST_CASE("a call whose message is dropped fails soon, and the others are kept") {
  constexpr int kMoreThanWait = 300;
  EventLoop loop;
  const test::RawServer silent([](int fd) {
    char buffer[4096];
    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
    }
  });
  PeerClient client(loop, "127.0.0.1", silent.port());
  int failed = 0;
  for (int i = 0; i < kMoreThanWait; ++i)
    client.Call({}, kLongTimeout, [&failed](const Result<wire::Body>& reply) { failed += !reply; });
  loop.RunFor(kSoonMillis);
  CHECK(failed > 0);
  CHECK(failed < kMoreThanWait);
}

}  // namespace
}  // namespace poppyway
