// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/settings.h"

#include <algorithm>
#include <set>

namespace poppyway {
namespace {

/// Returns the server's labels, with its name and pool as the labels server and pool.
Labels ServerLabels(const ServerDeclaration& server) {
  Labels labels = server.m_labels;
  labels["server"] = server.m_name;
  labels["pool"] = server.m_pool;
  return labels;
}

bool Serves(const EngineDeclaration& engine, std::string_view model) {
  return model.empty() || engine.m_models.empty() ||
         std::find(engine.m_models.begin(), engine.m_models.end(), model) != engine.m_models.end();
}

}  // namespace

Result<Catalogue> Compile(const std::vector<DeclarationText>& declarations, std::int64_t version) {
  ParsedDeclarations parsed;
  std::set<std::pair<std::string, std::string>> declared;
  for (const DeclarationText& text : declarations) {
    if (!declared.emplace(text.m_kind, text.m_name).second)
      return Fail(ResultCode::kBadDeclaration,
                  text.m_kind + "/" + text.m_name + " is declared twice");
    if (Result<void> put = PutDeclaration(parsed, text); !put)
      return tl::unexpected<Error>(put.error());
  }
  return BuildCatalogue(parsed, version);
}

const CatalogueEngine* FindEngine(const Catalogue& catalogue, const std::string& id) {
  const auto found = catalogue.m_by_id.find(id);
  return found == catalogue.m_by_id.end() ? nullptr : &catalogue.m_engines[found->second];
}

const PoolDeclaration* FindPool(const Catalogue& catalogue, std::string_view name) {
  const auto found =
      std::find_if(catalogue.m_pools.begin(), catalogue.m_pools.end(),
                   [name](const PoolDeclaration& pool) { return pool.m_name == name; });
  return found == catalogue.m_pools.end() ? nullptr : &*found;
}

const EventDeclaration* MatchEvent(const Catalogue& catalogue,
                                   std::string_view pool,
                                   const Labels& caller) {
  const auto named = caller.find("event");
  for (const EventDeclaration& event : catalogue.m_events) {
    const bool right_pool = pool.empty() || event.m_pool == pool;
    const bool right_name = named == caller.end() || named->second == event.m_name;
    if (right_pool && right_name && Matches(event.m_callers, caller))
      return &event;
  }
  return nullptr;
}

std::vector<EngineIndex> EligibleEngines(const Catalogue& catalogue,
                                         const EventDeclaration& event,
                                         std::string_view model) {
  std::vector<EngineIndex> eligible;
  for (EngineIndex e = 0; e < catalogue.m_engines.size(); ++e) {
    const CatalogueEngine& engine = catalogue.m_engines[e];
    const ServerDeclaration& server = catalogue.m_servers[engine.m_server];
    if (server.m_leaving || server.m_pool != event.m_pool)
      continue;
    if (Serves(engine.m_engine, model) && Matches(event.m_servers, ServerLabels(server)))
      eligible.push_back(e);
  }
  return eligible;
}

}  // namespace poppyway
