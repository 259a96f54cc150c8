// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Answers of a repeatable route that break off before or after their beginning was passed on.
#include "forwarder_fixture.h"

namespace poppyway {
namespace {

constexpr std::size_t kAnswerBytes = 600'000;
constexpr int kCalls = 8;
// The bytes of the two servers' answers; neither stands in the length of a chunk.
constexpr char kFirst = 'X';
constexpr char kSecond = 'Y';

std::string HeadOf(const std::string& request) {
  return MakeResponseHead(request, "content-length: " + std::to_string(kAnswerBytes) + "\r\n");
}

/// Returns a script that breaks off after `bytes` of an answer.
ScriptedServer::Script BreaksAfter(std::size_t bytes, ScriptStep how) {
  return [bytes, how](const std::string& request) {
    return std::vector<ScriptStep>{Send(HeadOf(request) + std::string(bytes, kFirst)), Wait(50),
                                   how};
  };
}

std::vector<ScriptStep> SendWhole(const std::string& request) {
  return {Send(HeadOf(request) + std::string(kAnswerBytes, kSecond))};
}

/// The callers' answers, by what they hold.
struct Answers {
  int m_whole = 0;
  int m_broken = 0;  ///< Can be told from a whole one, and has bytes of one server only.
  int m_mixed = 0;
};

Answers CallBefore(ScriptedServer& breaking, ScriptedServer& sound) {
  ForwarderFixture fixture;
  fixture.Register("s0", breaking);
  fixture.Register("s1", sound);
  Answers answers;
  for (int i = 0; i < kCalls; ++i) {
    const CallResult seen = Call(fixture, Request("/safe/", "i" + std::to_string(i)));
    const std::string body = seen.body();
    const auto first = std::count(body.begin(), body.end(), kFirst);
    const auto second = std::count(body.begin(), body.end(), kSecond);
    const bool complete = IsCompleteResponse(seen.m_bytes);
    if (first > 0 && second > 0)
      ++answers.m_mixed;
    else if (complete && static_cast<std::size_t>(second) == kAnswerBytes)
      ++answers.m_whole;
    else if (!complete && seen.m_closed)
      ++answers.m_broken;
  }
  return answers;
}

// Guards against a complete answer with the bytes of two servers.
TEST_CASE("an answer that breaks off after its beginning was passed on is not run again") {
  for (const ScriptStep& how : {ResetNow(), CloseNow()}) {
    ScriptedServer breaking(BreaksAfter(400'000, how));
    ScriptedServer sound(SendWhole);
    const Answers answers = CallBefore(breaking, sound);
    CHECK(answers.m_mixed == 0);
    CHECK(answers.m_broken >= 1);
    CHECK(answers.m_whole + answers.m_broken == kCalls);
    CHECK(breaking.requests().size() + sound.requests().size() == kCalls);
  }
}

// Guards against an answer that a caller who reads to the end of the connection takes for whole.
TEST_CASE("a long answer keeps the length that its server states") {
  for (const ScriptStep& how : {ResetNow(), CloseNow()}) {
    ScriptedServer breaking(BreaksAfter(400'000, how));
    ForwarderFixture fixture;
    fixture.Register("s0", breaking);
    const CallResult seen = Call(fixture, Request("/safe/", "i"));
    CHECK(seen.status() == 200);
    CHECK(seen.m_bytes.find("content-length: 600000\r\n") != std::string::npos);
    CHECK(seen.m_bytes.find("transfer-encoding") == std::string::npos);
    CHECK(seen.m_closed);
    CHECK(seen.body().size() < kAnswerBytes);
  }
}

// Guards against a read of the response's generator after the library has disposed of its request,
// which it does while it is told to cut the answer off.
TEST_CASE(
    "an answer that breaks off while its caller is behind is cut off when the caller reads on") {
  constexpr int kCallers = 12;
  constexpr std::size_t kSent =
      3'000'000;  // More than the kernel takes for a caller who is behind.
  ScriptedServer breaking([](const std::string& request) {
    return std::vector<ScriptStep>{
        Send(MakeResponseHead(request, "content-length: 9000000\r\n") + std::string(kSent, kFirst)),
        CloseNow()};
  });
  ForwarderFixture fixture;
  wire::ServerRecord record = fixture.Record("s0", breaking);
  record.slots = kCallers;
  fixture.m_forwarder->HandleMessage(ServersChanged{{record}});
  std::vector<std::unique_ptr<BackgroundCall>> calls;
  for (int i = 0; i < kCallers; ++i)
    calls.push_back(std::make_unique<BackgroundCall>(
        fixture, Request("/safe/", "i" + std::to_string(i)), -1, true, 300));
  for (const auto& call : calls) {
    const CallResult seen = call->AwaitResponse(fixture);
    CHECK(seen.m_closed);
    CHECK(seen.body().size() <= kSent);
  }
}

TEST_CASE("an answer that breaks off before its beginning was passed on is run again") {
  ScriptedServer breaking(BreaksAfter(100'000, ResetNow()));
  ScriptedServer sound(SendWhole);
  const Answers answers = CallBefore(breaking, sound);
  CHECK(answers.m_whole == kCalls);
  CHECK_FALSE(breaking.requests().empty());
}

}  // namespace
}  // namespace poppyway
