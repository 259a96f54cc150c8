// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// What backend servers say of themselves in their answers: send me nothing for a while, I leave.
//
// Seen: servers that turned a request away with 503 and asked the instance to send them nothing for
// 3 s got up to seven more of its requests in that time. All were turned away, and most of their
// callers got 503 while other servers had room. Found beside it: servers that say in their answers
// that they leave got new work until the registry told of it.
#include <catch2/catch.hpp>

#include "fake_broker.h"
#include "forwarder_rig.h"

namespace poppyway {
namespace {

/// A script of a server that turns all requests away and wants nothing for a time.
ScriptedServer::Script BackingOff(const std::string& seconds) {
  return [seconds](const std::string& request) {
    return std::vector<ScriptStep>{Send("HTTP/1.1 503 Full\r\nx-attempt-id: " + IdOf(request) +
                                        "\r\nx-not-executed: 1\r\nretry-after: " + seconds +
                                        "\r\ncontent-length: 0\r\n\r\n")};
  };
}

TEST_CASE("a server that asked an instance to send nothing for a time gets nothing in that time") {
  ScriptedServer busy(BackingOff("1"));
  ScriptedServer good(Ok);
  Rig rig;
  rig.Register("s0", busy);
  CHECK(Call(rig, Request("/safe/", "first")).status() == 503);
  const Instant asked = ReadClock();
  rig.Register("s1", good);
  const auto in_time = [asked] { return ReadClock() - asked < Duration(900'000); };
  for (int i = 0; in_time(); ++i)
    CHECK(Call(rig, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(busy.requests().size() == 1);
  CHECK(good.requests().size() > 10);
  // Once the time is over it is a server like any other.
  for (int i = 0; i < 60 && busy.requests().size() == 1; ++i)
    (void)Call(rig, Request("/safe/", "j" + std::to_string(i)));
  CHECK(busy.requests().size() > 1);
}

TEST_CASE("a server that says in an answer that it leaves gets nothing new") {
  ScriptedServer leaving([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(Head(request, "server-leaving: 1\r\ncontent-length: 2\r\n") + "ok")};
  });
  ScriptedServer stays(Ok);
  Rig rig;
  rig.Register("s0", leaving);
  CHECK(Call(rig, Request("/safe/", "first")).status() == 200);
  rig.Register("s1", stays);
  for (int i = 0; i < 20; ++i)
    CHECK(Call(rig, Request("/safe/", "i" + std::to_string(i))).status() == 200);
  CHECK(leaving.requests().size() == 1);
  // The registry's word of before doesn't bring it back.
  rig.Register("s0", leaving);
  for (int i = 0; i < 20; ++i)
    CHECK(Call(rig, Request("/safe/", "j" + std::to_string(i))).status() == 200);
  CHECK(leaving.requests().size() == 1);
  CHECK(stays.requests().size() == 40);
}

}  // namespace
}  // namespace poppyway
