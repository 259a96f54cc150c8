// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Heartbeats of backend servers. Malformed ones, which a foreign writer may send, register no
// server.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "poppyway/platform.h"

namespace poppyway::platform {
namespace {

using Json = nlohmann::json;
using Fault = HeartbeatError;
constexpr std::string_view kTarget = "/-/instances/i-1";

Json Heartbeat() {
  return {{"service", "llm"},
          {"address", "10.128.0.9:8080"},
          {"zone", "z"},
          {"version", "v3"},
          {"slots", 7},
          {"state", "ready"},
          {"cold_left_ms", 250},
          {"sequence", 4},
          {"born", 1'764'727'200'000},
          {"stage", "whatever"},
          {"models", {"m1", "m2"}}};
}

/// Returns the error of a heartbeat in which `key` has this value; nullopt if it is accepted.
std::optional<Fault> ErrorWith(const char* key, Json value) {
  Json json = Heartbeat();
  json[key] = std::move(value);
  const std::string body = json.dump();
  const std::optional<Fault> fault = FindHeartbeatError("PUT", kTarget, body);
  CHECK(DecodeControlRequest("PUT", kTarget, body).has_value() == !fault);
  return fault;
}

std::optional<Fault> ErrorWithout(const char* key) {
  Json json = Heartbeat();
  json.erase(key);
  return FindHeartbeatError("PUT", kTarget, json.dump());
}

TEST_CASE("a heartbeat tells all that is known of a server") {
  const ControlRequest call = DecodeControlRequest("PUT", kTarget, Heartbeat().dump()).value();
  CHECK(call.m_kind == ControlRequest::Kind::kServerHeartbeat);
  const wire::ServerRecord& server = call.m_server;
  CHECK(server.id == "i-1");
  CHECK(server.pool == "llm");
  CHECK(server.address == "10.128.0.9");
  CHECK(server.port == 8080);
  CHECK(server.data_centre == "z");
  CHECK(server.version == "v3");
  CHECK(server.slots == 7);
  CHECK(server.stage == wire::ServerStage::READY);
  CHECK(server.sequence == 4);
  CHECK(server.cold_for_ms == 250);
  CHECK(server.born == 1'764'727'200'000);
}

TEST_CASE("what servers don't always tell may be missing") {
  for (const char* key : {"version", "cold_left_ms", "born", "stage", "models"}) {
    CAPTURE(key);
    CHECK_FALSE(ErrorWithout(key));
  }
  CHECK_FALSE(ErrorWith("state", "draining"));
  CHECK_FALSE(ErrorWith("cold_left_ms", 0.5));
  CHECK_FALSE(ErrorWith("sequence", 0));
}

TEST_CASE("a heartbeat without a field that every server tells names no server") {
  const std::pair<const char*, Fault> cases[] = {
      {"service", Fault::kService}, {"address", Fault::kAddress}, {"zone", Fault::kZone},
      {"slots", Fault::kSlots},     {"state", Fault::kState},     {"sequence", Fault::kSequence}};
  for (const auto& [key, fault] : cases) {
    CAPTURE(key);
    CHECK(ErrorWithout(key) == fault);
  }
}

TEST_CASE("a field of another type or out of its range names no server") {
  const Json wrong_names[] = {
      7, nullptr, true, Json::array(), Json::object(), "", std::string(257, 'x'), "a\nb"};
  for (const Json& value : wrong_names) {
    CAPTURE(value.dump());
    CHECK(ErrorWith("service", value) == Fault::kService);
    CHECK(ErrorWith("zone", value) == Fault::kZone);
    CHECK(ErrorWith("address", value) == Fault::kAddress);
    CHECK(ErrorWith("state", value) == Fault::kState);
  }
  for (const Json& value : {Json("Ready"), Json("gone"), Json("READY"), Json("ready ")})
    CHECK(ErrorWith("state", value) == Fault::kState);
  for (const Json& value : {Json("10.0.0.1"), Json("10.0.0.1:0"), Json("10.0.0.1:65536"),
                            Json("10.0.0.1:-1"), Json("10.0.0.1:80x"), Json("host:80")})
    CHECK(ErrorWith("address", value) == Fault::kAddress);
  for (const Json& value : {Json(0), Json(-1), Json(65'537), Json(2.0), Json(1e300), Json("4"),
                            Json(true), Json(nullptr), Json(18446744073709551615ULL)})
    CHECK(ErrorWith("slots", value) == Fault::kSlots);
  for (const Json& value :
       {Json(-1), Json(1.5), Json("4"), Json(nullptr), Json(18446744073709551615ULL)})
    CHECK(ErrorWith("sequence", value) == Fault::kSequence);
  for (const Json& value : {Json(7), Json(nullptr), Json(std::string(257, 'x')), Json::array()})
    CHECK(ErrorWith("version", value) == Fault::kVersion);
  for (const Json& value : {Json(-1), Json("4"), Json(nullptr), Json(true), Json(1e300)})
    CHECK(ErrorWith("cold_left_ms", value) == Fault::kColdLeft);
  // A process start time in microseconds would make all later processes stale.
  for (const Json& value : {Json(0), Json(-5), Json(1.5), Json("1764727200000"), Json(nullptr),
                            Json(true), Json(1'764'727'200'000'000)})
    CHECK(ErrorWith("born", value) == Fault::kBorn);
}

TEST_CASE("bytes that can't be read name no server") {
  const std::string whole = Heartbeat().dump();
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK(FindHeartbeatError("PUT", kTarget, whole.substr(0, length)) == Fault::kBytes);
  std::string no_text = whole;
  no_text[no_text.find("llm")] = static_cast<char>(0xff);
  CHECK(FindHeartbeatError("PUT", kTarget, no_text) == Fault::kBytes);
  CHECK(FindHeartbeatError("PUT", kTarget, "[1]") == Fault::kBytes);
  CHECK(FindHeartbeatError("PUT", kTarget, std::string(1 << 20, ' ') + whole) == Fault::kBytes);
  CHECK(EncodeControlError(DecodeControlRequest("PUT", kTarget, "?").error()).m_status == 400);
}

TEST_CASE("an id that is no text of a sane length names no server, alive or gone") {
  const std::string body = Heartbeat().dump();
  for (const std::string& id :
       {std::string("\xff\xfe"), std::string(257, 'x'), std::string("a\x01b")}) {
    const std::string target = "/-/instances/" + id;
    CHECK(FindHeartbeatError("PUT", target, body) == Fault::kId);
    CHECK(FindHeartbeatError("DELETE", target, "") == Fault::kId);
    CHECK_FALSE(DecodeControlRequest("PUT", target, body).has_value());
    CHECK_FALSE(DecodeControlRequest("DELETE", target, "").has_value());
  }
  CHECK_FALSE(FindHeartbeatError("DELETE", kTarget, ""));
  CHECK_FALSE(FindHeartbeatError("PUT", "/-/config", "?"));
  CHECK_FALSE(FindHeartbeatError("PUT", "/-/instances/caf\xc3\xa9", body));
}

TEST_CASE("each fault of a heartbeat has its own name") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kHeartbeatErrorCount; ++i)
    names.insert(HeartbeatErrorName(static_cast<Fault>(i)));
  CHECK(names.size() == kHeartbeatErrorCount);
  CHECK_FALSE(names.contains("unknown"));
}

}  // namespace
}  // namespace poppyway::platform
