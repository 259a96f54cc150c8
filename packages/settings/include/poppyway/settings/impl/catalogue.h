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

/// \brief An engine and the index of its server.
struct CatalogueEngine {
  std::string m_id;            ///< "server/engine"; stable across versions.
  std::uint32_t m_server = 0;  ///< Index in `Catalogue::m_servers`.
  EngineDeclaration m_engine;

  friend bool operator==(const CatalogueEngine&, const CatalogueEngine&) = default;
};

/// \brief All declarations of one version, compiled. Immutable once built.
struct Catalogue {
  std::int64_t m_version = 0;
  std::vector<PoolDeclaration> m_pools;
  std::vector<ServerDeclaration> m_servers;
  std::vector<EventDeclaration> m_events;
  std::vector<WorkspaceDeclaration> m_workspaces;
  std::vector<CatalogueEngine> m_engines;
  std::unordered_map<std::string, EngineIndex> m_by_id;  ///< Engines by id.

  friend bool operator==(const Catalogue&, const Catalogue&) = default;
};

/// \brief Compiles declarations to a catalogue.
/// \return the catalogue, or `kBadDeclaration` if a declaration is invalid, is declared twice or
/// refers to a pool that is not declared.
[[nodiscard]] Result<Catalogue> Compile(const std::vector<DeclarationText>& declarations,
                                        std::int64_t version);

/// \brief Returns the engine with the id `id`, or nullptr.
[[nodiscard]] const CatalogueEngine* FindEngine(const Catalogue& catalogue, const std::string& id);

/// \brief Returns the pool named `name`, or nullptr.
[[nodiscard]] const PoolDeclaration* FindPool(const Catalogue& catalogue, std::string_view name);

/// \brief Returns the first event of `pool` (empty: of any pool) whose caller selector matches, or
/// nullptr. If the caller's labels name an event, no other event matches.
[[nodiscard]] const EventDeclaration* MatchEvent(const Catalogue& catalogue,
                                                 std::string_view pool,
                                                 const Labels& caller);

/// \brief Returns the engines that may serve `event` with `model` (empty: any model): those of the
/// event's pool whose server matches the event's selector and isn't leaving.
[[nodiscard]] std::vector<EngineIndex> EligibleEngines(const Catalogue& catalogue,
                                                       const EventDeclaration& event,
                                                       std::string_view model);

}  // namespace poppyway
