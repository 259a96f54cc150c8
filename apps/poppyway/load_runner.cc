// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "load_runner.h"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace poppyway::cli {
namespace {

using nlohmann::json;

constexpr Duration kProbeInterval{100'000};
// How long outstanding responses are awaited after the last request was sent.
constexpr Duration kDrainTimeout{30'000'000};
constexpr int kIdleMillis = 1;  // Resolution of arrival times.

/// Token `index` of the response of a fake engine to this prompt; see fakes/engine_model.cc.
std::string ExpectedToken(std::string_view prompt, std::int64_t index) {
  char text[10];
  std::snprintf(text, sizeof(text), "%08x ",
                static_cast<unsigned>(Hash(prompt, static_cast<std::uint64_t>(index) + 1)));
  return text;
}

std::string ModelBody(const PlannedRequest& request, bool stream) {
  return json{{"messages", {{{"role", "user"}, {"content", request.m_prompt}}}},
              {"max_tokens", request.m_output_tokens},
              {"stream", stream}}
      .dump();
}

/// Joins the content of a stream's events. Sets `ended` if the end marker is among them.
std::string StreamContent(const std::string& body, bool& ended) {
  std::string content;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = body.find("\n\n", at);
    if (end == std::string::npos)
      return content;
    const std::string line = body.substr(at, end - at);
    at = end + 2;
    if (line == "data: [DONE]") {
      ended = true;
      continue;
    }
    const json event = json::parse(line.substr(std::min<std::size_t>(6, line.size())), nullptr,
                                   /*allow_exceptions=*/false);
    if (event.is_object())
      content += event["choices"][0]["delta"].value("content", "");
  }
}

}  // namespace

struct LoadRunner::Call {
  const PlannedRequest* m_request = nullptr;
  const LoadClass* m_load = nullptr;
  std::string m_sent_body;
  std::unique_ptr<Upstream> m_upstream;
  Instant m_started{};
  Instant m_first{};
  int m_status = 0;
  std::vector<Header> m_headers;
  std::string m_body;
};

LoadRunner::LoadRunner(EventLoop& loop, LoadPlan plan, LoadSettings settings)
    : m_loop(loop), m_plan(std::move(plan)), m_settings(std::move(settings)), m_pools(loop) {
  m_requests = Plan(m_plan, m_settings.m_seed);
  m_results.resize(m_plan.m_classes.size());
  for (const Endpoint& endpoint : m_settings.m_targets) {
    m_targets.emplace_back();
    m_targets.back().m_endpoint = endpoint;
  }
}

LoadRunner::~LoadRunner() = default;

void LoadRunner::Run() {
  m_started = ReadClock();
  // Probes long enough for the balancer to know the readiness of all targets before the first
  // request.
  const Instant first = m_started + m_settings.m_balancer_lag + 4 * kProbeInterval;
  while (ReadClock() < first) {
    ProbeTargets(ReadClock());
    m_loop.RunFor(kIdleMillis);
  }
  m_started = ReadClock();
  Instant last = m_started;
  while (m_next < m_requests.size() || !m_calls.empty()) {
    const Instant now = ReadClock();
    m_finished.clear();
    m_finished_probes.clear();
    ProbeTargets(now);
    StartDue(now);
    if (m_next < m_requests.size())
      last = now;
    if (now - last > kDrainTimeout)
      break;
    m_loop.RunFor(kIdleMillis);
  }
  for (auto& [number, call] : m_calls)
    RecordCut(*call, "no answer by the end of the run");
  m_calls.clear();
}

void LoadRunner::StartDue(Instant now) {
  while (m_next < m_requests.size() && m_calls.size() < m_settings.m_max_open &&
         m_started + m_requests[m_next].m_at <= now)
    Start(m_requests[m_next++], now);
}

std::size_t LoadRunner::PickTarget() {
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const std::size_t index = (m_next_target + i) % m_targets.size();
    if (!m_targets[index].m_ready)
      continue;
    m_next_target = index + 1;
    return index;
  }
  return m_next_target++ % m_targets.size();
}

void LoadRunner::Start(const PlannedRequest& request, Instant now) {
  const LoadClass& load = m_plan.m_classes[request.m_class];
  ++m_results[request.m_class].m_offered;
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  m_calls.emplace(request.m_number, std::move(owned));
  call.m_request = &request;
  call.m_load = &load;
  call.m_started = now;
  const bool model = load.m_service_path.empty();
  call.m_sent_body = model ? ModelBody(request, load.m_stream) : request.m_prompt;
  const Endpoint& target = m_targets[PickTarget()].m_endpoint;
  std::string head =
      (model ? "POST /v1/chat/completions" : load.m_method + " " + load.m_service_path) +
      " HTTP/1.1\r\nhost: " + ToText(target) + "\r\n";
  if (!load.m_event.empty())
    head += "poppyway-event: " + load.m_event + "\r\n";
  if (!load.m_workspace.empty())
    head += "poppyway-workspace: " + load.m_workspace + "\r\n";
  if (load.m_key)
    head += "idempotency-key: " + std::to_string(m_settings.m_seed) + "-" +
            std::to_string(request.m_number) + "\r\n";
  head += "poppyway-deadline-ms: " + std::to_string(load.m_deadline_ms) + "\r\n";
  head += "content-type: application/json\r\ncontent-length: " +
          std::to_string(call.m_sent_body.size()) + "\r\n\r\n";
  UpstreamEvents events;
  events.m_may_send = [] { return true; };
  events.m_on_head = [&call](const UpstreamHead& answer) {
    call.m_status = answer.m_status;
    call.m_headers = answer.m_headers;
  };
  events.m_on_data = [&call](std::string_view bytes) {
    if (call.m_first == Instant{})
      call.m_first = ReadClock();
    call.m_body += bytes;
  };
  events.m_on_complete = [this, &call] { Finish(call, ""); };
  events.m_on_failure = [this, &call](bool, const std::string& why) { Finish(call, why); };
  call.m_upstream = std::make_unique<Upstream>(m_pools, target, head + call.m_sent_body, false,
                                               std::move(events));
}

bool LoadRunner::IsCorrect(const Call& call) {
  const LoadClass& load = *call.m_load;
  const json answer = json::parse(call.m_body, nullptr, /*allow_exceptions=*/false);
  if (!load.m_service_path.empty()) {
    const std::uint64_t expected =
        Hash(call.m_sent_body, Hash(load.m_method + " " + load.m_service_path));
    return answer.is_object() && answer.value("echo", std::uint64_t{0}) == expected;
  }
  std::string expected;
  for (std::int64_t i = 0; i < call.m_request->m_output_tokens; ++i)
    expected += ExpectedToken(call.m_request->m_prompt + "\n", i);
  if (load.m_stream) {
    bool ended = false;
    return StreamContent(call.m_body, ended) == expected && ended;
  }
  return answer.is_object() && answer["choices"][0]["message"].value("content", "") == expected;
}

void LoadRunner::RecordCut(const Call& call, const std::string& why) {
  ClassResult& result = m_results[call.m_request->m_class];
  ++result.m_cut;
  ++result.m_cut_reasons[why];
}

void LoadRunner::RecordSuccess(const Call& call, Duration took) {
  ClassResult& result = m_results[call.m_request->m_class];
  const bool in_time = took <= std::chrono::milliseconds(call.m_load->m_deadline_ms);
  if (!IsCorrect(call))
    ++result.m_wrong;
  else if (in_time)
    ++result.m_good;
  else
    ++result.m_late;
  if (call.m_load->m_service_path.empty())
    m_tokens += call.m_request->m_output_tokens;
  result.m_first_token.Record(call.m_first - call.m_started);
  result.m_total.Record(took);
}

void LoadRunner::RecordRejection(const Call& call, Duration took) {
  ClassResult& result = m_results[call.m_request->m_class];
  const std::string code = HeaderValue(call.m_headers, "poppyway-code");
  const int number = code.empty() ? call.m_status : std::atoi(code.c_str());
  ++result.m_rejections[number];
  result.m_rejection_time.Record(took);
  const ResultInfo& info = ResultInfoOf(static_cast<ResultCode>(number));
  const bool says_when = !info.m_retry_after || !HeaderValue(call.m_headers, "retry-after").empty();
  const bool complete =
      !code.empty() && !HeaderValue(call.m_headers, "poppyway-run").empty() && says_when;
  result.m_bad_rejections += complete ? 0 : 1;
}

void LoadRunner::Finish(Call& call, const std::string& failure) {
  const Duration took = ReadClock() - call.m_started;
  if (!failure.empty())
    RecordCut(call, failure);
  else if (call.m_status == 200)
    RecordSuccess(call, took);
  else
    RecordRejection(call, took);
  // The call must not be destroyed within its own callback; Run() destroys it later.
  const auto found = m_calls.find(call.m_request->m_number);
  m_finished.push_back(std::move(found->second));
  m_calls.erase(found);
}

void LoadRunner::ProbeTargets(Instant now) {
  for (Target& target : m_targets) {
    if (now - target.m_changed_at >= m_settings.m_balancer_lag)
      target.m_ready = target.m_probed_ready;
  }
  if (now < m_probe_due)
    return;
  m_probe_due = now + kProbeInterval;
  for (Target& target : m_targets) {
    const std::string request =
        "GET /health/ready HTTP/1.1\r\nhost: " + ToText(target.m_endpoint) + "\r\n\r\n";
    const auto record = [&target](bool ready) {
      if (target.m_probed_ready == ready && target.m_changed_at != Instant{})
        return;
      target.m_probed_ready = ready;
      target.m_changed_at = ReadClock();
    };
    UpstreamEvents events;
    events.m_may_send = [] { return true; };
    events.m_on_head = [record](const UpstreamHead& head) { record(head.m_status == 200); };
    events.m_on_data = [](std::string_view) {};
    events.m_on_complete = [] {};
    events.m_on_failure = [record](bool, const std::string&) { record(false); };
    if (target.m_probe) {
      target.m_probe->SuppressEvents();
      m_finished_probes.push_back(std::move(target.m_probe));
    }
    target.m_probe =
        std::make_unique<Upstream>(m_pools, target.m_endpoint, request, false, std::move(events));
  }
}

}  // namespace poppyway::cli
