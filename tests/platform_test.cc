// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/platform.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace poppyway::platform {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEdgeSettings =
    "node_name=edge-1\nip=10.1.0.25\nzone=ba-hall1\nlisten.front=10.1.0.25:8221\n"
    "listen.readiness=10.1.0.25:8224\ninternal_ports=7600,7615\n"
    "seeds=10.1.0.27:8229,10.2.0.19:8229\nbootstrap=true\nbounds.revoke_ms=5000\n"
    "bounds.strict_revoke=true\nbounds.grace_s=8\nbounds.retry_ratio=0.2\nbounds.retry_slack=52\n"
    "bounds.quota_overage=0.1\nbounds.quota_slack=140000\nsomething.new=1\nlimits.memory_mb=160\n"
    "fault_tolerance.machines=2\nfault_tolerance.zones=1\nbounds.catch_up_s=4\n";

Json Document() {
  return Json::parse(R"({"version":7,
    "routes":[
     {"name":"r1","host":"a.example","path_prefix":"/x/","route_kind":"streaming",
      "timeout_ms":12000,"slo_ms":1200,"priority":0,
      "split":[{"service":"llm","weight":90},{"service":"app","weight":10}],
      "max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap_slo_ms":600},
     {"name":"r2","host":"a.example","path_prefix":"/y/","route_kind":"safe","timeout_ms":1000,
      "slo_ms":100,"priority":2,"service":"app","max_attempts":3}],
    "services":[{"name":"llm","health_path":"/h","max_conns":360,"engine":{"slots":7}},
                {"name":"app","health_path":"/h","max_conns":100}],
    "limits":{"max_body_bytes":4194304,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"unit":"token_stream",
                "plain_tokens":200,"rate_per_s":1000,"burst":2000}]})");
}

TEST_CASE("settings are decoded once into fields that say what they hold") {
  const HostedSettings settings = ParseHostedSettings(kEdgeSettings, "node.conf").value();
  CHECK(settings.m_instance == "edge-1");
  CHECK(settings.m_data_centre == "ba-hall1");
  CHECK(settings.m_caller_endpoint == Endpoint{"10.1.0.25", 8221});
  CHECK(settings.m_readiness_endpoint == Endpoint{"10.1.0.25", 8224});
  CHECK(settings.m_control_endpoint.m_port == 0);
  CHECK(settings.m_first_internal_port == 7600);
  CHECK(settings.m_seeds == std::vector<Endpoint>{{"10.1.0.27", 8229}, {"10.2.0.19", 8229}});
  CHECK(settings.m_bootstrap);
  CHECK(settings.m_key_revocation_limit == Duration(5'000'000));
  CHECK(settings.m_shutdown_timeout == Duration(8'000'000));
  CHECK(settings.m_memory_bytes == 160 << 20);
  CHECK(settings.m_retry_limit.m_ratio == 0.2);
  CHECK(settings.m_quota_tolerance == QuotaTolerance{0.1, 140'000});
  CHECK(settings.m_data_folder.empty());
  CHECK(settings.m_tolerated_members == 2);
  CHECK(settings.m_tolerated_data_centres == 1);
  CHECK(settings.m_member_catch_up == Duration(4'000'000));
}

TEST_CASE("settings that are missing or malformed are refused by name") {
  const auto why = [](const std::string& from, const std::string& to) {
    std::string text(kEdgeSettings);
    text.replace(text.find(from), from.size(), to);
    const Result<HostedSettings> settings = ParseHostedSettings(text, "node.conf");
    return settings ? std::string("accepted") : settings.error().m_message;
  };
  CHECK(why("node_name=edge-1\n", "") == "node.conf: node_name: it is missing");
  CHECK(why("ip=10.1.0.25\n", "") == "node.conf: ip: it is missing");
  CHECK(why("=7600,7615", "=many") ==
        "node.conf: internal_ports: 'many' doesn't begin with a port");
  CHECK(why("bounds.grace_s=8", "bounds.grace_s=soon") ==
        "node.conf: bounds.grace_s: 'soon' is not a number");
  CHECK(why("seeds=10.1.0.27:8229", "seeds=nowhere").starts_with("node.conf: seeds: "));
  CHECK(why("listen.front=10.1.0.25:8221", "listen.front=x")
            .starts_with("node.conf: listen.front: "));
  CHECK_FALSE(ReadHostedSettings("/nonexistent/node.conf"));
}

TEST_CASE("the operator's document becomes routes, pools and workspaces") {
  const RouteTable table = DecodeDocument(Document().dump()).value();
  CHECK(table.m_version == 7);
  const Route& stream = table.m_routes[0];
  CHECK(stream.m_stream);
  CHECK(stream.m_resumable);
  CHECK(stream.m_repeat == Repeat::kNever);
  CHECK(stream.m_latency_target == Duration(1'200'000));
  CHECK(stream.m_gap_target == Duration(600'000));
  CHECK(stream.m_pools == std::vector<PoolWeight>{{"llm", 90}, {"app", 10}});
  CHECK(table.m_routes[1].m_repeat == Repeat::kAlways);
  CHECK(table.m_pools[0].m_engines);
  CHECK_FALSE(table.m_pools[1].m_engines);
  const Workspace& workspace = table.m_workspaces[0];
  CHECK(workspace.m_tier == 1);
  CHECK(workspace.m_counts_tokens);
  CHECK(workspace.m_limit == QuotaLimit{1000, 2000});
}

TEST_CASE("a document that is wrong in any single field is refused") {
  const auto refused = [](const std::function<void(Json&)>& spoil) {
    Json document = Document();
    spoil(document);
    return !DecodeDocument(document.dump()).has_value();
  };
  CHECK_FALSE(refused([](Json&) {}));
  CHECK(refused([](Json& d) { d.erase("version"); }));
  CHECK(refused([](Json& d) { d["version"] = "7"; }));
  CHECK(refused([](Json& d) { d.erase("routes"); }));
  CHECK(refused([](Json& d) { d.erase("services"); }));
  CHECK(refused([](Json& d) { d["routes"] = 3; }));
  CHECK(refused([](Json& d) { d["routes"][0] = "r"; }));
  for (const char* key : {"name", "host", "path_prefix", "route_kind", "timeout_ms"}) {
    CAPTURE(key);
    CHECK(refused([key](Json& d) { d["routes"][0].erase(key); }));
    CHECK(refused([key](Json& d) { d["routes"][0][key] = Json::array(); }));
  }
  CHECK(refused([](Json& d) { d["routes"][0]["route_kind"] = "sometimes"; }));
  CHECK(refused([](Json& d) { d["routes"][0]["timeout_ms"] = 0; }));
  CHECK(refused([](Json& d) { d["routes"][0]["resumable"] = "yes"; }));
  CHECK(refused([](Json& d) { d["routes"][1]["service"] = "nowhere"; }));
  CHECK(refused([](Json& d) { d["routes"][1].erase("service"); }));
  CHECK(refused([](Json& d) { d["routes"][1]["path_prefix"] = "/x/"; }));
  CHECK(refused([](Json& d) {
    d["routes"][0]["split"][0]["weight"] = 0;
    d["routes"][0]["split"][1]["weight"] = 0;
  }));
  CHECK(refused([](Json& d) { d["tenants"].push_back({{"name", "t2"}, {"api_keys", {"k1"}}}); }));
  CHECK(refused([](Json& d) { d["tenants"][0]["api_keys"][0] = 4; }));
  CHECK(refused([](Json& d) { d["services"][0].erase("name"); }));
}

TEST_CASE("a document that was cut short is refused wherever it was cut") {
  const std::string whole = Document().dump();
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK_FALSE(DecodeDocument(whole.substr(0, length)).has_value());
}

TEST_CASE("spoiled bytes never crash a decoder") {
  const std::string document = Document().dump();
  std::mt19937_64 random(20261202);
  for (int round = 0; round < 3'000; ++round) {
    std::string malformed = document;
    for (int i = 0; i < 4; ++i)
      malformed[random() % malformed.size()] = static_cast<char>(random());
    (void)DecodeDocument(malformed);
    (void)DecodeControlRequest("PUT", "/-/instances/a", malformed);
    (void)ParseHostedSettings(malformed, "x");
    (void)MakeProtocolAdapter().m_decode_request(
        {{"x-token-count", malformed}, {"x-prefix-hash", malformed}});
    (void)MakeProtocolAdapter().m_decode_response(
        200, {{"x-server-load", malformed}, {"keep-alive", malformed}});
  }
}

TEST_CASE("calls of operators and servers are decoded") {
  const ControlRequest put = DecodeControlRequest("PUT", "/-/config", Document().dump()).value();
  CHECK(put.m_kind == ControlRequest::Kind::kPutDocument);
  CHECK(put.m_document.version == 7);
  CHECK(put.m_document.body == Document().dump());
  CHECK(DecodeControlRequest("GET", "/-/config", "")->m_kind ==
        ControlRequest::Kind::kReadDocument);
  const ControlRequest heartbeat =
      DecodeControlRequest("PUT", "/-/instances/i-1",
                           R"({"service":"llm","address":"10.128.0.9:8080","zone":"z","slots":7,
                            "state":"draining","sequence":4})")
          .value();
  CHECK(heartbeat.m_kind == ControlRequest::Kind::kServerHeartbeat);
  CHECK(heartbeat.m_server.id == "i-1");
  CHECK(heartbeat.m_server.pool == "llm");
  CHECK(heartbeat.m_server.address == "10.128.0.9");
  CHECK(heartbeat.m_server.port == 8080);
  CHECK(heartbeat.m_server.stage == wire::ServerStage::LEAVING);
  CHECK(heartbeat.m_server.sequence == 4);
  const ControlRequest gone = DecodeControlRequest("DELETE", "/-/instances/i-1", "").value();
  CHECK(gone.m_server.stage == wire::ServerStage::GONE);
  CHECK(DecodeControlRequest("GET", "/-/other", "")->m_kind == ControlRequest::Kind::kUnknown);
  CHECK(DecodeControlRequest("PUT", "/-/instances/", "{}")->m_kind ==
        ControlRequest::Kind::kUnknown);
}

TEST_CASE("a heartbeat with missing or malformed fields is refused") {
  const auto refused = [](const std::string& body) {
    return !DecodeControlRequest("PUT", "/-/instances/i-1", body).has_value();
  };
  CHECK(refused("not json"));
  CHECK(refused("[]"));
  CHECK(refused(R"({"address":"10.0.0.1:80"})"));
  CHECK(refused(R"({"service":"llm"})"));
  CHECK(refused(R"({"service":"llm","address":"nowhere"})"));
  CHECK(refused(R"({"service":"llm","address":"10.0.0.1:80","slots":"many"})"));
}

TEST_CASE("a reader that can't be sure gets an error, never an empty document") {
  ControlRequest read;
  read.m_kind = ControlRequest::Kind::kReadDocument;
  wire::Body none;
  none.__set_document({});
  CHECK(EncodeControlResponse(read, none).m_status == 503);
  wire::Body error;
  error.__set_error({});
  CHECK(EncodeControlResponse(read, error).m_status == 503);
  wire::Document document;
  document.version = 3;
  document.body = "{}x";
  wire::Body known;
  known.__set_document(document);
  CHECK(EncodeControlResponse(read, known) == ControlResponse{200, "{}x"});
}

TEST_CASE("a caller's key and what only this system may set never reach a server") {
  const CallerRequest request =
      MakeProtocolAdapter().m_decode_request({{"x-attempt-id", "a1"},
                                              {"authorization", "Bearer k1"},
                                              {"x-tenant", "forged"},
                                              {"x-expect-instance", "forged"},
                                              {"kv-from", "forged"},
                                              {"x-kv-hold", "forged"},
                                              {"x-pin-ms", "9"},
                                              {"x-kv-backup", "forged"},
                                              {"connection", "close, X-Hop"},
                                              {"x-hop", "1"},
                                              {"x-token-count", "1460,80"},
                                              {"x-prefix-hash", "5c1e07a2:800,ff:60"},
                                              {"x-length-hint", "44"},
                                              {"x-deadline-ms", "1500"},
                                              {"last-event-id", "12"},
                                              {"resumes", " a1 "},
                                              {"x-other", "kept"}});
  CHECK(request.m_id == "a1");
  CHECK(request.m_key == "k1");
  CHECK(request.m_timeout == Duration(1'500'000));
  CHECK(request.m_prompt_tokens == 1460);
  CHECK(request.m_most_tokens == 80);
  CHECK(request.m_expected_tokens == 44);
  CHECK(request.m_prompt_segments == std::vector<PromptSegment>{{0x5c1e07a2, 800}, {0xff, 60}});
  CHECK(request.m_resume_after == 12);
  CHECK(request.m_first_attempt == "a1");
  std::vector<std::string> names;
  for (const Field& field : request.m_forwarded)
    names.push_back(field.m_name);
  CHECK(names == std::vector<std::string>{"x-attempt-id", "x-token-count", "x-prefix-hash",
                                          "x-length-hint", "resumes", "x-other"});
}

TEST_CASE("a dispatch names the meant server, the workspace and the time that is left") {
  DispatchFields dispatch;
  dispatch.m_server = "i-1";
  dispatch.m_workspace = "t1";
  dispatch.m_left = Duration(1'234'567);
  dispatch.m_resume_after = 4;
  CHECK(MakeProtocolAdapter().m_encode_dispatch(dispatch) ==
        std::vector<Field>{{"x-deadline-ms", "1234"},
                           {"x-expect-instance", "i-1"},
                           {"x-tenant", "t1"},
                           {"last-event-id", "4"}});
}

TEST_CASE("an answer says whom it is for, whether it ran, and what the caller gets of it") {
  const ServerResponse answer =
      MakeProtocolAdapter().m_decode_response(200, {{"x-attempt-id", "a1"},
                                                    {"x-response-seal", "s"},
                                                    {"content-length", "4"},
                                                    {"keep-alive", "timeout=5"},
                                                    {"x-server-load", "3,1,8"},
                                                    {"x-own", "v"}});
  CHECK(answer.m_id == "a1");
  CHECK(answer.m_signed);
  CHECK_FALSE(answer.m_not_run);
  CHECK(answer.m_keep_alive == Duration(5'000'000));
  CHECK(answer.m_running == 3);
  CHECK(answer.m_waiting == 1);
  CHECK(answer.m_relayed.back() == Field{"x-own", "v"});
  CHECK(MakeProtocolAdapter().m_decode_response(503, {{"x-not-executed", "1"}}).m_not_run);
  CHECK_FALSE(MakeProtocolAdapter().m_decode_response(503, {}).m_not_run);
  CHECK(MakeProtocolAdapter().m_decode_response(421, {{"x-instance-id", "i-2"}}).m_other_server ==
        "i-2");
  CHECK(MakeProtocolAdapter().m_decode_response(421, {}).m_not_run);
}

TEST_CASE("a server's 503 may ask for a time without requests, in seconds and fractions") {
  const auto decode = MakeProtocolAdapter().m_decode_response;
  CHECK(decode(503, {{"retry-after", "3"}}).m_back_off == Duration(3'000'000));
  CHECK(decode(503, {{"retry-after", " 0.25 "}}).m_back_off == Duration(250'000));
  CHECK_FALSE(decode(503, {}).m_back_off);
  // With other statuses the field is meant for the caller.
  CHECK_FALSE(decode(429, {{"retry-after", "3"}}).m_back_off);
  CHECK_FALSE(decode(200, {{"retry-after", "3"}}).m_back_off);
  CHECK(decode(503, {{"retry-after", "1e300"}}).m_back_off == Duration(86'400'000'000));
  for (const std::string malformed : {"", "-1", "soon", "3s", "nan", "inf", "1e999"}) {
    const ServerResponse answer = decode(503, {{"retry-after", malformed}});
    CHECK_FALSE(answer.m_back_off);
    CHECK(answer.m_unreadable == "retry-after");
  }
  CHECK(decode(503, {{"retry-after", "3"}}).m_unreadable.empty());
}

TEST_CASE("a server states in its answers how many requests a second it takes") {
  const auto decode = MakeProtocolAdapter().m_decode_response;
  CHECK(decode(200, {{"server-limit", "2.6"}}).m_limit_per_s == 2.6);
  CHECK(decode(503, {{"server-limit", " 3 "}}).m_limit_per_s == 3);
  CHECK(decode(200, {{"server-limit", "0"}}).m_limit_per_s == 0);
  CHECK_FALSE(decode(200, {}).m_limit_per_s);
  for (const std::string malformed : {"", "-1", "few", "2.6/s", "nan", "inf", "1e999"}) {
    const ServerResponse answer = decode(200, {{"server-limit", malformed}});
    CHECK_FALSE(answer.m_limit_per_s);
    CHECK(answer.m_unreadable == "server-limit");
  }
}

TEST_CASE("a server says in its answers that it leaves; the end of a connection doesn't say so") {
  const auto decode = MakeProtocolAdapter().m_decode_response;
  for (const int status : {200, 421, 500, 503})
    CHECK(decode(status, {{"server-leaving", "1"}}).m_leaving);
  CHECK_FALSE(decode(200, {}).m_leaving);
  CHECK_FALSE(decode(200, {{"connection", "close"}}).m_leaving);
  CHECK_FALSE(decode(200, {{"server-leaving", "0"}}).m_leaving);
  const ServerResponse malformed = decode(200, {{"server-leaving", "later"}});
  CHECK_FALSE(malformed.m_leaving);
  CHECK(malformed.m_unreadable == "server-leaving");
}

TEST_CASE("an order to roll out is decoded, or refused with what is wrong") {
  const auto decode = [](const std::string& body) {
    return DecodeControlRequest("POST", "/-/rollouts", body);
  };
  const Result<ControlRequest> call =
      decode(R"({"service":"llm","target_version":"v2","duration_s":12.5})");
  REQUIRE(call);
  CHECK(call->m_kind == ControlRequest::Kind::kOrderRollout);
  CHECK(call->m_rollout.pool == "llm");
  CHECK(call->m_rollout.target == "v2");
  CHECK(call->m_rollout.duration_ms == 12'500);
  for (const char* bad :
       {"", "[]", "{", R"({"service":"llm"})", R"({"service":"llm","target_version":"v2"})",
        R"({"service":"","target_version":"v2","duration_s":1})",
        R"({"service":"llm","target_version":"","duration_s":1})",
        R"({"service":"llm","target_version":"v2","duration_s":0})",
        R"({"service":"llm","target_version":"v2","duration_s":-3})",
        // Guards against durations that no integer of milliseconds holds.
        R"({"service":"llm","target_version":"v2","duration_s":2e92})",
        R"({"service":"llm","target_version":"v2","duration_s":-2e92})",
        R"({"service":"llm","target_version":"v2","duration_s":1e999})",
        R"({"service":"llm","target_version":2,"duration_s":3})",
        R"({"service":"llm","target_version":"v2","duration_s":"soon"})"}) {
    CAPTURE(bad);
    const Result<ControlRequest> refused = decode(bad);
    REQUIRE_FALSE(refused);
    CHECK(EncodeControlError(refused.error()).m_status == 400);
  }
}

TEST_CASE("the state of a roll-out is told in the platform's words") {
  const Result<ControlRequest> call = DecodeControlRequest("GET", "/-/rollouts/llm", "");
  REQUIRE(call);
  CHECK(call->m_kind == ControlRequest::Kind::kReadRollout);
  CHECK(call->m_rollout.pool == "llm");
  const std::pair<wire::RolloutStage::type, std::string> states[] = {
      {wire::RolloutStage::TRIAL, "in_progress"},
      {wire::RolloutStage::MOVING, "in_progress"},
      {wire::RolloutStage::COMPLETED, "completed"},
      {wire::RolloutStage::ROLLED_BACK, "rolled_back"}};
  for (const auto& [stage, name] : states) {
    wire::Rollout rollout;
    rollout.target = "v2";
    rollout.stage = stage;
    wire::Body body;
    body.__set_rollout(rollout);
    const ControlResponse answer = EncodeControlResponse(*call, body);
    CHECK(answer.m_status == 200);
    CHECK(Json::parse(answer.m_body) == Json({{"state", name}, {"target_version", "v2"}}));
  }
}

TEST_CASE("orders that can't be taken get a clear status") {
  const ControlRequest call = *DecodeControlRequest(
      "POST", "/-/rollouts", R"({"service":"llm","target_version":"v2","duration_s":1})");
  const std::pair<ResultCode, int> cases[] = {{ResultCode::kNotFound, 404},
                                              {ResultCode::kOtherRollout, 409},
                                              {ResultCode::kNoMajority, 503},
                                              {ResultCode::kNotLeader, 503}};
  for (const auto& [code, status] : cases) {
    wire::ErrorReply error;
    error.code = static_cast<std::int32_t>(code);
    error.message = "why";
    wire::Body body;
    body.__set_error(error);
    CHECK(EncodeControlResponse(call, body).m_status == status);
  }
}

TEST_CASE("a heartbeat carries its server's version") {
  const Result<ControlRequest> call = DecodeControlRequest(
      "PUT", "/-/instances/i-1",
      R"({"service":"llm","address":"10.0.0.9:80","zone":"z","version":"v7","slots":2,
          "state":"ready","sequence":1})");
  REQUIRE(call);
  CHECK(call->m_server.version == "v7");
}

TEST_CASE("a count of tokens that is none counts as none, and a huge one is bounded") {
  const ProtocolAdapter adapter = platform::MakeProtocolAdapter();
  const CallerRequest odd = adapter.m_decode_request({{"x-token-count", "-600,-1"},
                                                      {"x-prefix-hash", "1f:-9"},
                                                      {"x-deadline-ms", "9223372036854775807"}});
  CHECK(odd.m_prompt_tokens == 0);
  CHECK(odd.m_most_tokens == 0);
  REQUIRE(odd.m_prompt_segments.size() == 1);
  CHECK(odd.m_prompt_segments[0].m_tokens == 0);
  CHECK(odd.m_timeout == std::chrono::hours(24));
  const CallerRequest past = adapter.m_decode_request({{"x-deadline-ms", "-9223372036854775807"}});
  CHECK(past.m_timeout == Duration(0));
  const CallerRequest huge = adapter.m_decode_request({{"x-token-count", "9223372036854775807,5"}});
  CHECK(huge.m_prompt_tokens == std::int64_t{1} << 40);
  CHECK(huge.m_most_tokens == 5);
}

}  // namespace
}  // namespace poppyway::platform
