// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "poppyway/settings/impl/catalogue.h"

namespace poppyway {

/// \brief All declarations, parsed, by kind and name. Copies are cheap: they share what is
/// unchanged, so that a change costs what it changes and not what stands.
struct ParsedDeclarations {
  template <typename T>
  using ByName = std::map<std::string, std::shared_ptr<const T>>;

  ByName<PoolDeclaration> m_pools;
  ByName<ServerDeclaration> m_servers;
  ByName<EventDeclaration> m_events;
  ByName<WorkspaceDeclaration> m_workspaces;
};

/// \brief Parses one declaration and puts it in place of its namesake.
/// \return `kBadDeclaration`, changing nothing.
[[nodiscard]] Result<void> PutDeclaration(ParsedDeclarations& parsed, const DeclarationText& text);

/// \brief Takes a declaration out, if it is there.
void RemoveDeclaration(ParsedDeclarations& parsed,
                       const std::string& kind,
                       const std::string& name);

/// \brief Checks that every name that is referred to is declared.
[[nodiscard]] Result<void> CheckReferences(const ParsedDeclarations& parsed);

/// \brief The catalogue of these declarations.
[[nodiscard]] Result<Catalogue> BuildCatalogue(const ParsedDeclarations& parsed,
                                               std::int64_t version);

}  // namespace poppyway
