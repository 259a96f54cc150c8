// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "poppyway/settings/impl/declaration.h"

namespace poppyway {

/// \brief Index of an engine in `Catalogue::m_engines`.
using EngineIndex = std::uint32_t;

/// \brief An engine with all that routing needs of its server.
struct CatalogueEngine {
  std::string m_id;  ///< "server/engine"; stable across versions.
  std::uint32_t m_server = 0;
  EngineDeclaration m_engine;

  friend bool operator==(const CatalogueEngine&, const CatalogueEngine&) = default;
};

/// \brief All declarations of one version, compiled; immutable once built.
struct Catalogue {
  std::int64_t m_version = 0;
  std::vector<PoolDeclaration> m_pools;
  std::vector<ServerDeclaration> m_servers;
  std::vector<EventDeclaration> m_events;
  std::vector<WorkspaceDeclaration> m_workspaces;
  std::vector<CatalogueEngine> m_engines;
  std::unordered_map<std::string, EngineIndex> m_by_id;

  friend bool operator==(const Catalogue&, const Catalogue&) = default;
};

/// \brief Compiles declarations; checks names that refer to each other.
[[nodiscard]] Result<Catalogue> Compile(const std::vector<DeclarationText>& declarations,
                                        std::int64_t version);

/// \brief The engine of that id, or nullptr.
[[nodiscard]] const CatalogueEngine* FindEngine(const Catalogue& catalogue, const std::string& id);

/// \brief The pool of that name, or nullptr.
[[nodiscard]] const PoolDeclaration* FindPool(const Catalogue& catalogue, std::string_view name);

/// \brief The first event whose caller selector matches, or nullptr. A caller that names an event
/// gets that one or none.
[[nodiscard]] const EventDeclaration* MatchEvent(const Catalogue& catalogue,
                                                 std::string_view pool,
                                                 const Labels& caller);

/// \brief Engines that may serve `event` with `model` (empty: any): pool, selector, not leaving.
[[nodiscard]] std::vector<EngineIndex> EligibleEngines(const Catalogue& catalogue,
                                                       const EventDeclaration& event,
                                                       std::string_view model);

}  // namespace poppyway
