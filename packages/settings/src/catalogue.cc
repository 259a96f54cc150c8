// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/settings.h"

#include <algorithm>
#include <set>

namespace poppyway {
namespace {

Result<void> AddDeclaration(Catalogue& catalogue, const DeclarationText& text) {
  const YAML::Node node = YAML::Load(text.m_body);
  const std::string source = text.m_kind + "/" + text.m_name;
  const auto append = [](auto&& read, auto& into) -> Result<void> {
    if (!read)
      return tl::unexpected<Error>(read.error());
    into.push_back(std::move(*read));
    return {};
  };
  if (text.m_kind == "pool")
    return append(ReadPool(node, source), catalogue.m_pools);
  if (text.m_kind == "server")
    return append(ReadServer(node, source), catalogue.m_servers);
  if (text.m_kind == "event")
    return append(ReadEvent(node, source), catalogue.m_events);
  if (text.m_kind == "workspace")
    return append(ReadWorkspace(node, source), catalogue.m_workspaces);
  return Fail(ResultCode::kBadDeclaration, source + ": unknown kind");
}

Result<void> CheckReferences(const Catalogue& catalogue) {
  const auto check = [&catalogue](const std::string& who, const std::string& pool) -> Result<void> {
    if (FindPool(catalogue, pool) != nullptr)
      return {};
    return Fail(ResultCode::kBadDeclaration, who + ": pool '" + pool + "' is not declared");
  };
  for (const ServerDeclaration& server : catalogue.m_servers) {
    if (Result<void> ok = check("server/" + server.m_name, server.m_pool); !ok)
      return ok;
  }
  for (const EventDeclaration& event : catalogue.m_events) {
    if (Result<void> ok = check("event/" + event.m_name, event.m_pool); !ok)
      return ok;
  }
  return {};
}

void IndexEngines(Catalogue& catalogue) {
  for (std::uint32_t s = 0; s < catalogue.m_servers.size(); ++s) {
    const ServerDeclaration& server = catalogue.m_servers[s];
    for (const EngineDeclaration& engine : server.m_engines)
      catalogue.m_engines.push_back({server.m_name + "/" + engine.m_name, s, engine});
  }
}

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
  Catalogue catalogue;
  catalogue.m_version = version;
  std::set<std::pair<std::string, std::string>> seen;
  for (const DeclarationText& text : declarations) {
    if (!seen.emplace(text.m_kind, text.m_name).second)
      return Fail(ResultCode::kBadDeclaration,
                  text.m_kind + "/" + text.m_name + " is declared twice");
    if (Result<void> added = AddDeclaration(catalogue, text); !added)
      return tl::unexpected<Error>(added.error());
  }
  if (Result<void> ok = CheckReferences(catalogue); !ok)
    return tl::unexpected<Error>(ok.error());
  IndexEngines(catalogue);
  return catalogue;
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
