// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Guards against a part of prompts that crashes server after server: no two of the requests are
// alike, so that no single request is ever found.
#include "fake_broker.h"

namespace poppyway {
namespace {

constexpr int kServers = 10;
constexpr int kMostCrashes = 3;    // Servers that end before the part is known.
constexpr int kRetryUnderWay = 1;  // A retry may cross the third crash.

/// Begins to write a response and ends the server if the prompt has the part `f1`.
std::vector<ScriptStep> CrashOnPart(const std::string& request) {
  if (request.find("f1:") == std::string::npos)
    return MakeOkResponse(request);
  return {Send(MakeResponseHead(request, "content-length: 10\r\n") + "ab"), Wait(5), Crash()};
}

/// Servers before a forwarder without a broker.
struct PartsFixture : ForwarderFixture {
  std::vector<std::unique_ptr<ScriptedServer>> m_servers;
  int m_next = 0;

  PartsFixture() {
    for (int i = 0; i < kServers; ++i) {
      m_servers.push_back(std::make_unique<ScriptedServer>(&CrashOnPart));
      Register("s" + std::to_string(i), *m_servers.back());
    }
  }
  [[nodiscard]] int Crashed() const {
    return static_cast<int>(std::count_if(m_servers.begin(), m_servers.end(),
                                          [](const auto& server) { return server->crashed(); }));
  }
  /// Sends a request that is like no other, with these parts before its own.
  CallResult Send(const std::string& parts) {
    const std::string number = std::to_string(++m_next);
    return Call(*this, Request("/safe/" + number, "p" + number,
                               "X-Prefix-Hash: " + parts + ",c" + number + ":60\r\n"));
  }
};

/// Sends the forwarder the members' list: parts that are quarantined together.
void Quarantine(ForwarderFixture& fixture,
                std::vector<PromptPartId> parts,
                Duration since_first_crash) {
  QuarantineChanged message;
  if (!parts.empty())
    message.m_parts.push_back({{std::move(parts), 0}, since_first_crash});
  fixture.m_forwarder->HandleMessage(message);
}

/// Records the crash reports that a forwarder sends.
struct Reports {
  std::vector<CrashReport> m_all;

  explicit Reports(ForwarderFixture& fixture) {
    fixture.m_forwarder->SetCrashReportPort(
        {[this](const CrashReport& report) { m_all.push_back(report); }});
  }
  [[nodiscard]] std::vector<PromptPartId> Cleared() const {
    std::vector<PromptPartId> cleared;
    for (const CrashReport& report : m_all)
      cleared.insert(cleared.end(), report.m_cleared_parts.begin(), report.m_cleared_parts.end());
    return cleared;
  }
};

}  // namespace

TEST_CASE("requests with a part under which three servers ended are sent to no further server") {
  PartsFixture fixture;
  for (int i = 0; i < 8; ++i)
    CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  for (int i = 0; fixture.Crashed() < kMostCrashes && i < 2 * kMostCrashes; ++i)
    (void)fixture.Send("a0:60,b1:60,f1:60");
  fixture.m_loop.RunFor(50);
  for (int i = 0; i < 4; ++i)
    CHECK(fixture.Send("a0:60,f1:60").status() == 503);
  CHECK(fixture.Crashed() <= kMostCrashes + kRetryUnderWay);
  // The other parts of these prompts are sound.
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  CHECK(fixture.Send("a0:60").status() == 200);
}

TEST_CASE(
    "a prompt that has all parts of a listed quarantine is refused unrun, others are served") {
  PartsFixture fixture;
  Quarantine(fixture, {0xb1, 0xb2}, Duration(0));
  const CallResult refused = fixture.Send("a0:60,b1:60,b2:60");
  CHECK(refused.status() == 503);
  CHECK(refused.body().starts_with("quarantined"));
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  CHECK(fixture.Send("a0:60,b2:60").status() == 200);
  Quarantine(fixture, {}, Duration(0));
  CHECK(fixture.Send("a0:60,b1:60,b2:60").status() == 200);
}

TEST_CASE("the last part of a prompt is its request's own and never quarantined") {
  PartsFixture fixture;
  Quarantine(fixture, {0xb1}, Duration(0));
  CHECK(Call(fixture, Request("/safe/x", "x", "X-Prefix-Hash: a0:60,b1:60\r\n")).status() == 200);
  CHECK(Call(fixture, Request("/safe/y", "y", "X-Prefix-Hash: b1:60\r\n")).status() == 200);
}

// Guards against a sound part that is held back at all instances, since servers ended for reasons
// of their own while it ran everywhere.
TEST_CASE("a listed part that servers responded to since its first crash is served and cleared") {
  PartsFixture fixture;
  Reports reports(fixture);
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  Quarantine(fixture, {0xb1}, Duration(5'000'000));
  CHECK(reports.Cleared() == std::vector<PromptPartId>{0xb1});
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
}

TEST_CASE("a listed part that servers responded to only before its first crash is held back") {
  PartsFixture fixture;
  Reports reports(fixture);
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  fixture.m_loop.RunFor(50);
  Quarantine(fixture, {0xb1}, Duration(10'000));
  CHECK(reports.Cleared().empty());
  CHECK(fixture.Send("a0:60,b1:60").status() == 503);
}

TEST_CASE("a crash is reported with the parts of its prompts but those just seen to be sound") {
  PartsFixture fixture;
  Reports reports(fixture);
  CHECK(fixture.Send("a0:60").status() == 200);
  (void)fixture.Send("a0:60,b1:60,f1:60");
  fixture.RunUntil([&] { return !reports.m_all.empty(); });
  REQUIRE_FALSE(reports.m_all.empty());
  CHECK(reports.m_all[0].m_crash.m_parts == std::vector<SuspectPart>{{0xb1, false}, {0xf1, false}});
  // The next response to a prompt with one of them clears it.
  CHECK(fixture.Send("a0:60,b1:60").status() == 200);
  CHECK(reports.Cleared() == std::vector<PromptPartId>{0xb1});
}

// Guards against crash reports as large as what callers send.
TEST_CASE("a crash report names each part once and a bounded number of them") {
  PartsFixture fixture;
  Reports reports(fixture);
  std::string many = "d1:6,d1:6,";
  for (int i = 0; i < 600; ++i)
    many += "d" + std::to_string(1000 + i) + ":6,";
  (void)fixture.Send(many + "f1:6");
  fixture.RunUntil([&] { return !reports.m_all.empty(); });
  REQUIRE_FALSE(reports.m_all.empty());
  const std::vector<SuspectPart>& parts = reports.m_all[0].m_crash.m_parts;
  CHECK(parts.size() == 256);
  CHECK(std::count(parts.begin(), parts.end(), SuspectPart{0xd1, false}) == 1);
}

// Guards against lists of parts that no well-behaved caller sends.
TEST_CASE("parts that are malformed or many get a response like all others") {
  PartsFixture fixture;
  Quarantine(fixture, {0xf00d}, Duration(0));
  std::string many;
  for (int i = 0; i < 600; ++i)
    many += "a" + std::to_string(i) + ":6,";
  CHECK(fixture.Send(many + "zz:1").status() == 200);
  CHECK(fixture.Send(many + "f00d:1").status() == 503);
  CHECK(fixture.Send(",,:,x,x:,:7,not-hex:9,ffffffffffffffffffff:9").status() == 200);
}

}  // namespace poppyway
