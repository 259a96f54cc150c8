// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Fake backend servers: one process serves model engines and plain services on many ports.
//
//   poppyway-fake --engine 9001:g2 --engine 9002:g1 --service 9101 [--odd-chunks] [--die-after N]
//
// POST /__fake/speed        sets the factor of an engine's speed (body: "port factor")
// GET  /__fake/report       returns counters, one per line: requests, duplicate ids and keys, and
// the
//                           age of the last request of each port
// POST /__fake/platform     sets the platform's list of leaving servers; GET returns it
// GET  /__fake/ids          returns the ids of all requests that were received

#include <arpa/inet.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "engine_model.h"
#include "poppyway/gateway.h"
#include "poppyway/policy.h"
#include "poppyway/wire.h"

namespace poppyway::fakes {
namespace {

/// One request to a fake engine.
struct Call {
  h2o_generator_t m_generator{};
  h2o_req_t* m_req = nullptr;
  std::uint64_t m_id = 0;
  std::string m_prompt;
  bool m_stream = false;
  std::int64_t m_instant_left = 0;  ///< Tokens that an instant engine has yet to send.
  std::int64_t m_instant_next = 0;  ///< Index of the next token of an instant engine.
  bool m_inflight = false;          ///< A chunk was passed to the HTTP library and is not sent yet.
  bool m_ended = false;             ///< The last token was produced.
  bool m_final = false;             ///< The last chunk was passed to the HTTP library.
  std::string m_sending;            ///< The chunk in flight.
  std::string m_pending;            ///< Bytes that follow it.
};

struct FakePort {
  std::uint16_t m_port = 0;
  std::unique_ptr<EngineModel> m_engine;  ///< Null for a plain service.
  bool m_instant = false;                 ///< Sends each token as soon as the previous one is sent.
};

/// Counters of the requests to this process, which tests check.
struct Report {
  std::map<std::uint16_t, Instant> m_last_by_port;
  std::uint64_t m_dispatches = 0;
  std::uint64_t m_cancelled = 0;
  std::map<std::string, int> m_by_request_id;
  std::map<std::string, int> m_by_key;
};

struct FakeState {
  std::map<std::uint16_t, FakePort> m_ports;
  std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
  std::map<std::uint64_t, std::uint16_t> m_port_of;
  Report m_report;
  std::uint64_t m_next = 1;
  std::string m_platform_list = "{\"leaving\": []}";
  bool m_odd_chunks = false;
  std::int64_t m_service_ms = 5;
  std::mt19937_64 m_random{42};
};

FakeState g_state;  // Global because the process runs a single event loop.

std::uint16_t LocalPort(h2o_req_t* req) {
  sockaddr_storage address{};
  req->conn->callbacks->get_sockname(req->conn, reinterpret_cast<sockaddr*>(&address));
  return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

std::string HeaderOf(h2o_req_t* req, std::string_view name) {
  const ssize_t at = h2o_find_header_by_str(&req->headers, name.data(), name.size(), -1);
  if (at < 0)
    return "";
  const h2o_iovec_t& value = req->headers.entries[at].value;
  return std::string(value.base, value.len);
}

void AddHeader(h2o_req_t* req, const char* name, const std::string& value) {
  const h2o_iovec_t copy = h2o_strdup(&req->pool, value.data(), value.size());
  h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1, nullptr, copy.base,
                        copy.len);
}

int SendText(h2o_req_t* req, const std::string& type, const std::string& text) {
  req->res.status = 200;
  req->res.reason = "OK";
  AddHeader(req, "content-type", type);
  const h2o_iovec_t copy = h2o_strdup(&req->pool, text.data(), text.size());
  h2o_send_inline(req, copy.base, copy.len);
  return 0;
}

void SendPending(Call& call) {
  if (call.m_req == nullptr || call.m_inflight || call.m_final)
    return;
  if (call.m_pending.empty() && !call.m_ended)
    return;
  std::size_t size = call.m_pending.size();
  if (g_state.m_odd_chunks && size > 1)
    size = 1 + g_state.m_random() % size;
  call.m_sending = call.m_pending.substr(0, size);
  call.m_pending.erase(0, size);
  call.m_inflight = true;
  call.m_final = call.m_ended && call.m_pending.empty();
  h2o_iovec_t part = h2o_iovec_init(call.m_sending.data(), call.m_sending.size());
  h2o_send(call.m_req, &part, part.len == 0 ? 0 : 1,
           call.m_final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void OnToken(const EngineEvent& event);

void OnProceed(h2o_generator_t* generator, h2o_req_t*) {
  Call& call = *reinterpret_cast<Call*>(generator);
  call.m_inflight = false;
  if (call.m_instant_left > 0) {
    const bool last = --call.m_instant_left == 0;
    OnToken({call.m_id, call.m_instant_next++, last, {}});
    return;
  }
  SendPending(call);
}

void OnDisposed(void* data) {
  const std::uint64_t id = *static_cast<std::uint64_t*>(data);
  const auto found = g_state.m_calls.find(id);
  if (found == g_state.m_calls.end())
    return;
  if (!found->second->m_ended) {
    ++g_state.m_report.m_cancelled;
    g_state.m_ports[g_state.m_port_of[id]].m_engine->Cancel(id);
  }
  g_state.m_port_of.erase(id);
  g_state.m_calls.erase(found);
}

int ServeCompletion(h2o_req_t* req, FakePort& port) {
  const std::string_view body(req->entity.base, req->entity.len);
  const Result<CompletionRequest> parsed = ParseCompletion(body);
  if (!parsed) {
    req->res.status = 400;
    h2o_send_inline(req, H2O_STRLIT("bad request"));
    return 0;
  }
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.m_id = g_state.m_next++;
  call.m_req = req;
  call.m_prompt = parsed->m_prompt;
  call.m_stream = parsed->m_stream;
  call.m_generator = {&OnProceed, nullptr};
  g_state.m_calls.emplace(call.m_id, std::move(owned));
  g_state.m_port_of[call.m_id] = port.m_port;
  auto* disposal_id = static_cast<std::uint64_t*>(
      h2o_mem_alloc_shared(&req->pool, sizeof(std::uint64_t), &OnDisposed));
  *disposal_id = call.m_id;
  if (port.m_instant) {
    req->res.status = 200;
    req->res.reason = "OK";
    AddHeader(req, "content-type", "text/event-stream");
    AddHeader(req, "x-request-id", HeaderOf(req, "x-request-id"));
    call.m_stream = true;
    call.m_instant_left = std::max<std::int64_t>(1, parsed->m_max_tokens);
    h2o_start_response(req, &call.m_generator);
    const bool last = --call.m_instant_left == 0;
    OnToken({call.m_id, call.m_instant_next++, last, {}});
    return 0;
  }
  EngineJob job;
  job.m_id = call.m_id;
  job.m_prompt_tokens = EstimateTokens(parsed->m_prompt);
  job.m_prefixes = PrefixHashes(parsed->m_prompt);
  job.m_output_tokens = std::max<std::int64_t>(1, parsed->m_max_tokens);
  job.m_priority = std::atoi(HeaderOf(req, "poppyway-priority").c_str());
  port.m_engine->Submit(std::move(job), ReadClock());
  req->res.status = 200;
  req->res.reason = "OK";
  AddHeader(req, "content-type", call.m_stream ? "text/event-stream" : "application/json");
  AddHeader(req, "x-request-id", HeaderOf(req, "x-request-id"));
  if (call.m_stream)
    h2o_start_response(req, &call.m_generator);
  return 0;
}

void OnToken(const EngineEvent& event) {
  const auto found = g_state.m_calls.find(event.m_id);
  if (found == g_state.m_calls.end())
    return;
  Call& call = *found->second;
  const std::string text = TokenText(call.m_prompt, event.m_token);
  if (call.m_stream) {
    call.m_pending +=
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
    if (event.m_last)
      call.m_pending += "data: [DONE]\n\n";
    call.m_ended = call.m_ended || event.m_last;
    SendPending(call);
    return;
  }
  call.m_pending += text;
  if (!event.m_last)
    return;
  const nlohmann::json answer = {
      {"object", "chat.completion"},
      {"choices",
       {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", call.m_pending}}}}}}};
  call.m_pending = answer.dump();
  call.m_ended = true;
  h2o_start_response(call.m_req, &call.m_generator);
  SendPending(call);
}

/// A response of a plain service that waits for its delay.
struct DelayedResponse {
  h2o_timeout_entry_t m_entry;
  h2o_req_t* m_req;
  std::string* m_text;
};
h2o_timeout_t g_service_delay;

void OnDelayOver(h2o_timeout_entry_t* entry) {
  auto* delayed = reinterpret_cast<DelayedResponse*>(entry);
  SendText(delayed->m_req, "application/json", *delayed->m_text);
}

void OnDelayedDisposed(void* data) {
  auto* delayed = static_cast<DelayedResponse*>(data);
  if (h2o_timeout_is_linked(&delayed->m_entry))
    h2o_timeout_unlink(&delayed->m_entry);
  delete delayed->m_text;
}

int ServeService(h2o_req_t* req) {
  const std::string method(req->method.base, req->method.len);
  const std::string path(req->path.base, req->path.len);
  const std::string body(req->entity.base, req->entity.len);
  const nlohmann::json answer = {{"echo", Hash(body, Hash(method + " " + path))}};
  auto* delayed = static_cast<DelayedResponse*>(
      h2o_mem_alloc_shared(&req->pool, sizeof(DelayedResponse), &OnDelayedDisposed));
  delayed->m_entry = {};
  delayed->m_entry.cb = &OnDelayOver;
  delayed->m_req = req;
  delayed->m_text = new std::string(answer.dump());
  AddHeader(req, "x-request-id", HeaderOf(req, "x-request-id"));
  h2o_timeout_link(req->conn->ctx->loop, &g_service_delay, &delayed->m_entry);
  return 0;
}

std::string ReportText() {
  const Report& report = g_state.m_report;
  const auto doubled = [](const std::map<std::string, int>& counts) {
    return std::count_if(counts.begin(), counts.end(),
                         [](const auto& entry) { return entry.second > 1; });
  };
  std::ostringstream text;
  text << "dispatches " << report.m_dispatches << "\ncancelled " << report.m_cancelled
       << "\nrequest_ids " << report.m_by_request_id.size() << "\nrequest_ids_doubled "
       << doubled(report.m_by_request_id) << "\nkeys " << report.m_by_key.size()
       << "\nkeys_doubled " << doubled(report.m_by_key) << "\n";
  for (const auto& [port, last] : report.m_last_by_port)
    text << "port " << port << " last_ms_ago " << (ReadClock() - last).count() / 1000 << "\n";
  return text.str();
}

int ServeControl(h2o_req_t* req, const std::string& path) {
  const std::string body(req->entity.base, req->entity.len);
  if (path == "/__fake/report")
    return SendText(req, "text/plain", ReportText());
  if (path == "/__fake/platform") {
    if (!body.empty())
      g_state.m_platform_list = body;
    return SendText(req, "application/json", g_state.m_platform_list);
  }
  if (path == "/__fake/ids") {
    std::string ids;
    for (const auto& [id, count] : g_state.m_report.m_by_request_id)
      ids += id + "\n";
    return SendText(req, "text/plain", ids);
  }
  std::istringstream words(body);
  std::uint16_t port = 0;
  double factor = 1;
  words >> port >> factor;
  const auto found = g_state.m_ports.find(port);
  if (path != "/__fake/speed" || found == g_state.m_ports.end() || !found->second.m_engine)
    return SendText(req, "text/plain", "unknown\n");
  found->second.m_engine->SetSpeed(factor);
  return SendText(req, "text/plain", "ok\n");
}

int OnRequest(h2o_handler_t*, h2o_req_t* req) {
  const std::string path(req->path.base, req->path.len);
  if (path.starts_with("/__fake/"))
    return ServeControl(req, path);
  Report& report = g_state.m_report;
  ++report.m_dispatches;
  report.m_last_by_port[LocalPort(req)] = ReadClock();
  ++report.m_by_request_id[HeaderOf(req, "x-request-id")];
  const std::string key = HeaderOf(req, "idempotency-key");
  if (!key.empty())
    ++report.m_by_key[key];
  FakePort& port = g_state.m_ports[LocalPort(req)];
  return port.m_engine ? ServeCompletion(req, port) : ServeService(req);
}

h2o_accept_ctx_t g_accept;

void OnAccept(h2o_socket_t* listener, const char* fault) {
  if (fault != nullptr)
    return;
  h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
  if (socket != nullptr)
    h2o_accept(&g_accept, socket);
}

bool ListenOn(EventLoop& loop, std::uint16_t port) {
  const Result<int> fd = OpenListener("127.0.0.1", port);
  if (!fd) {
    std::cerr << "poppyway-fake: " << fd.error().m_message << "\n";
    return false;
  }
  h2o_socket_t* listener = h2o_evloop_socket_create(loop.loop(), *fd, H2O_SOCKET_FLAG_DONT_READ);
  h2o_socket_read_start(listener, &OnAccept);
  return true;
}

int Run(const std::vector<std::string>& engines, const std::vector<std::uint16_t>& services) {
  EventLoop loop;
  h2o_globalconf_t global{};
  h2o_context_t context{};
  h2o_config_init(&global);
  global.max_request_entity_size = 256u << 20;
  h2o_hostconf_t* host =
      h2o_config_register_host(&global, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_create_handler(h2o_config_register_path(host, "/", 0), sizeof(h2o_handler_t))->on_req =
      &OnRequest;
  h2o_context_init(&context, loop.loop(), &global);
  g_accept.ctx = &context;
  g_accept.hosts = global.hosts;
  h2o_timeout_init(loop.loop(), &g_service_delay, static_cast<std::uint64_t>(g_state.m_service_ms));
  for (const std::string& engine : engines) {
    const std::size_t colon = engine.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(engine.substr(0, colon)));
    g_state.m_ports[port].m_engine =
        std::make_unique<EngineModel>(EngineSpecOf(engine.substr(colon + 1)));
    g_state.m_ports[port].m_port = port;
    g_state.m_ports[port].m_instant = engine.ends_with(":instant");
    if (!ListenOn(loop, port))
      return EXIT_FAILURE;
  }
  for (const std::uint16_t port : services) {
    g_state.m_ports[port].m_port = port;
    if (!ListenOn(loop, port))
      return EXIT_FAILURE;
  }
  const RepeatingTimer tick(loop, 1, [] {
    const Instant now = ReadClock();
    for (auto& [number, port] : g_state.m_ports) {
      if (!port.m_engine)
        continue;
      for (const EngineEvent& event : port.m_engine->Advance(now))
        OnToken(event);
    }
  });
  loop.Run();
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::vector<std::string> engines;
  std::vector<std::uint16_t> services;
  po::options_description options("poppyway-fake: stand-ins for backend servers");
  options.add_options()("engine", po::value(&engines)->composing(), "port:generation")(
      "service", po::value(&services)->composing(), "port")(
      "service-ms", po::value(&g_state.m_service_ms), "delay of a service's answer")(
      "odd-chunks", "cut answers at odd boundaries")("help", "print this");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, options), given);
  po::notify(given);
  if (given.contains("help")) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  g_state.m_odd_chunks = given.contains("odd-chunks");
  std::signal(SIGPIPE, SIG_IGN);
  return Run(engines, services);
}

}  // namespace
}  // namespace poppyway::fakes

int main(int argc, char** argv) {
  return poppyway::fakes::Main(argc, argv);
}
