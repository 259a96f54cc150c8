// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "leaving_server_poller.h"

#include <nlohmann/json.hpp>

namespace poppyway {
namespace {

constexpr Duration kInterval{500'000};

}  // namespace

LeavingServerPoller::LeavingServerPoller(EventLoop& loop,
                                         const std::string& url,
                                         OnChange on_change)
    : m_loop(loop), m_on_change(std::move(on_change)) {
  if (url.empty())
    return;
  const std::size_t slash = url.find('/');
  m_endpoint = ParseEndpoint(url.substr(0, slash)).value_or(Endpoint{});
  m_path = slash == std::string::npos ? "/" : url.substr(slash);
  m_pools = std::make_unique<UpstreamPools>(loop);
}

void LeavingServerPoller::Tick(Instant now) {
  if (!m_pools || now < m_due)
    return;
  m_due = now + kInterval;
  Poll();
}

void LeavingServerPoller::Poll() {
  if (m_call) {
    m_call->SuppressEvents();
    m_old_call = std::move(m_call);
  }
  m_body.clear();
  UpstreamEvents events;
  events.m_may_send = [] { return true; };
  events.m_on_head = [](const UpstreamHead&) {};
  events.m_on_data = [this](std::string_view bytes) { m_body += bytes; };
  events.m_on_complete = [this] { ApplyList(m_body); };
  events.m_on_failure = [this](bool, const std::string&) { ++m_failures; };
  const std::string request =
      "GET " + m_path + " HTTP/1.1\r\nhost: " + ToText(m_endpoint) + "\r\n\r\n";
  m_call = std::make_unique<Upstream>(*m_pools, m_endpoint, request, false, std::move(events));
}

void LeavingServerPoller::ApplyList(const std::string& body) {
  const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  const bool readable =
      parsed.is_object() && parsed.contains("leaving") && parsed["leaving"].is_array();
  if (!readable) {
    ++m_failures;
    return;
  }
  std::set<std::string> leaving;
  for (const nlohmann::json& name : parsed["leaving"]) {
    if (name.is_string())
      leaving.insert(name.get<std::string>());
  }
  if (leaving == m_leaving)
    return;
  m_leaving = leaving;
  POPPYWAY_LOG(info, "platform_list").Field("leaving", leaving.size());
  m_on_change(LeavingServers{std::move(leaving)});
}

}  // namespace poppyway
