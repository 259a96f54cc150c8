// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>
#include <array>

#include "relay.h"

namespace poppyway::impl {
namespace {

// Hop-by-hop headers, and those that `BuildRequest` sets itself.
constexpr std::array<std::string_view, 9> kNotForwarded = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "transfer-encoding", "upgrade",    "content-length",     "x-request-id"};

bool IsForwarded(const Header& header) {
  if (header.m_name.starts_with("poppyway-"))
    return false;
  return std::find(kNotForwarded.begin(), kNotForwarded.end(), header.m_name) ==
         kNotForwarded.end();
}

std::string BuildRequest(const Exchange& exchange, const Endpoint& endpoint) {
  std::string request = exchange.m_method + " " + exchange.m_path + " HTTP/1.1\r\n";
  request += "host: " + ToText(endpoint) + "\r\n";
  for (const Header& header : exchange.m_headers) {
    if (IsForwarded(header) && header.m_name != "host")
      request += header.m_name + ": " + header.m_value + "\r\n";
  }
  request += "x-request-id: " + exchange.m_id + "\r\n";
  request += "poppyway-priority: " + std::to_string(TierOf(exchange)) + "\r\n";
  request += "content-length: " + std::to_string(exchange.m_body.size()) + "\r\n\r\n";
  return request + exchange.m_body;
}

}  // namespace

/// Connects to the engine of the exchange's credit and sends the request; the first byte written is
/// the dispatch. An engine that was withdrawn counts as a failed connection.
void Dispatch(GatewayState& state, Exchange& exchange) {
  const std::vector<std::string>& allowed_engines = AllowedEngines(state, exchange);
  const CatalogueEngine* engine = FindEngine(*state.m_catalogue, exchange.m_credit.m_engine);
  const bool allowed = std::find(allowed_engines.begin(), allowed_engines.end(),
                                 exchange.m_credit.m_engine) != allowed_engines.end();
  exchange.m_stage = Stage::kConnecting;
  if (engine == nullptr || !allowed) {
    OnBackendFailure(state, exchange.m_ref, false, "the engine was withdrawn");
    return;
  }
  const ServerDeclaration& server = state.m_catalogue->m_servers[engine->m_server];
  const Endpoint endpoint{server.m_address, engine->m_engine.m_port};
  const RequestRef ref = exchange.m_ref;
  UpstreamEvents events;
  events.m_may_send = [&state, ref] { return OnMaySend(state, ref); };
  events.m_on_head = [&state, ref](const UpstreamHead& head) { OnBackendHead(state, ref, head); };
  events.m_on_data = [&state, ref](std::string_view bytes) { OnBackendData(state, ref, bytes); };
  events.m_on_complete = [&state, ref] { OnBackendComplete(state, ref); };
  events.m_on_failure = [&state, ref](bool sent, const std::string& why) {
    OnBackendFailure(state, ref, sent, why);
  };
  exchange.m_upstream =
      std::make_unique<Upstream>(*state.m_upstreams, endpoint, BuildRequest(exchange, endpoint),
                                 exchange.m_method == "HEAD", std::move(events));
}

}  // namespace poppyway::impl
