// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "filters.h"

namespace poppyway::impl {
namespace {

/// Returns the service pool whose prefix `path` starts with, or nullptr.
const PoolDeclaration* ServicePool(const Catalogue& catalogue, const std::string& path) {
  for (const PoolDeclaration& pool : catalogue.m_pools) {
    if (pool.m_type == PoolType::kService && path.starts_with(pool.m_prefix))
      return &pool;
  }
  return nullptr;
}

/// Returns the first event that matches the request, or nullptr.
const EventDeclaration* FindEvent(const Catalogue& catalogue, const Exchange& exchange) {
  if (!exchange.m_model_call) {
    const PoolDeclaration* pool = ServicePool(catalogue, exchange.m_path);
    return pool == nullptr ? nullptr : MatchEvent(catalogue, pool->m_name, exchange.m_labels);
  }
  for (const EventDeclaration& event : catalogue.m_events) {
    const PoolDeclaration* pool = FindPool(catalogue, event.m_pool);
    if (pool->m_type != PoolType::kModel)
      continue;
    const auto named = exchange.m_labels.find("event");
    if (named != exchange.m_labels.end() && named->second != event.m_name)
      continue;
    if (Matches(event.m_callers, exchange.m_labels))
      return &event;
  }
  return nullptr;
}

}  // namespace

/// Sets the catalogue, event and model of the exchange. Refuses the request if no event matches or
/// no engine may serve the model.
Verdict MatchEventFilter(GatewayState& state, Exchange& exchange) {
  if (!state.m_catalogue) {
    Refuse(state, exchange, ResultCode::kNotReady, "no configuration yet");
    return Verdict::kSuspended;
  }
  exchange.m_catalogue = state.m_catalogue;
  exchange.m_event = FindEvent(*exchange.m_catalogue, exchange);
  if (exchange.m_event == nullptr) {
    Refuse(state, exchange, ResultCode::kNoEventMatches,
           "no event concerns this caller; see Poppyway-Event and Poppyway-Workspace");
    return Verdict::kSuspended;
  }
  const std::string& asked = exchange.m_completion.m_model;
  exchange.m_model = asked.empty() ? exchange.m_event->m_model : asked;
  if (!AllowedEngines(state, exchange).empty())
    return Verdict::kContinue;
  const bool any_model = !EligibleEngines(*exchange.m_catalogue, *exchange.m_event, "").empty();
  Refuse(state, exchange, any_model ? ResultCode::kUnknownModel : ResultCode::kNoBackend,
         any_model ? "no engine of this event serves model '" + exchange.m_model + "'"
                   : "no backend server is available for this event");
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
