// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <catch2/catch.hpp>

#include <random>

#include "poppyway/gateway.h"
#include "poppyway/wire.h"

using namespace poppyway;

namespace {

wire::Envelope MakeEnvelope() {
  wire::Envelope envelope;
  envelope.id = 7;
  envelope.reply = true;
  envelope.body.__set_heartbeat({});
  envelope.body.heartbeat.instance = "entry-1";
  envelope.body.heartbeat.version_in_force = 12;
  return envelope;
}

}  // namespace

TEST_CASE("a frame comes back as it went, however it is cut", "[wire]") {
  const wire::Envelope sample = MakeEnvelope();
  const std::string frame = EncodeFrame(sample);
  for (std::size_t size = 0; size < frame.size(); ++size) {
    const auto frame_part = NextFrame(std::string_view(frame).substr(0, size));
    REQUIRE(frame_part);
    CHECK_FALSE(frame_part->has_value());
  }
  const std::string longer = frame + "rest";
  const auto complete = NextFrame(longer);
  REQUIRE(complete);
  REQUIRE(complete->has_value());
  CHECK((*complete)->m_consumed == frame.size());
  CHECK(*Deserialize<wire::Envelope>((*complete)->m_payload) == sample);
}

TEST_CASE("an oversized frame is refused by its length alone", "[wire]") {
  CHECK(NextFrame(std::string("\xff\xff\xff\xff", 4)).error().m_code == ResultCode::kPeerProtocol);
}

TEST_CASE("a message that claims more elements than it has bytes is refused before room is made",
          "[wire]") {
  wire::Envelope envelope;
  wire::PlaceAnswers answers;
  answers.answers.resize(15);  // From 15 elements on, the count has its own bytes.
  envelope.body.__set_place_answers(answers);
  std::string bytes = Serialize(envelope);
  const std::size_t at = bytes.find("\xfc\x0f");  // The header of a list of 15 structs.
  REQUIRE(at != std::string::npos);
  bytes.replace(at + 1, 1, "\x80\x80\x08");  // 131,072.
  const Result<wire::Envelope> read = Deserialize<wire::Envelope>(bytes);
  REQUIRE_FALSE(read);
  CHECK(read.error().m_message.find("size limit") != std::string::npos);
}

TEST_CASE("damaged messages are refused or read, but never crash", "[wire][fuzz]") {
  std::mt19937_64 random(3);
  const std::string good = Serialize(MakeEnvelope());
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int c = 0; c < changes; ++c)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 3 == 0)
      bytes.resize(random() % (bytes.size() + 1));
    (void)Deserialize<wire::Envelope>(bytes);
  }
  SUCCEED();
}

TEST_CASE("damaged completion bodies are refused or read, but never crash", "[gateway][fuzz]") {
  std::mt19937_64 random(4);
  const std::string good =
      R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5})";
  CHECK(ParseCompletion(good)->m_prompt == "hi\n");
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 3 == 0)
      bytes.resize(random() % (bytes.size() + 1));
    (void)ParseCompletion(bytes);
  }
}
