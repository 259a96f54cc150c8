// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "poppyway/settings/impl/catalogue.h"

namespace poppyway {

/// \brief All parsed declarations by kind and name. Copies share the declarations, so that a change
/// parses and copies only the declarations that it changes.
struct ParsedDeclarations {
  template <typename T>
  using ByName = std::map<std::string, std::shared_ptr<const T>>;

  ByName<PoolDeclaration> m_pools;
  ByName<ServerDeclaration> m_servers;
  ByName<EventDeclaration> m_events;
  ByName<WorkspaceDeclaration> m_workspaces;
};

/// \brief Parses one declaration and adds it, replacing one of the same kind and name.
/// \return `kBadDeclaration` for an invalid declaration; `parsed` is unchanged then.
[[nodiscard]] Result<void> PutDeclaration(ParsedDeclarations& parsed, const DeclarationText& text);

/// \brief Removes a declaration if it exists.
void RemoveDeclaration(ParsedDeclarations& parsed,
                       const std::string& kind,
                       const std::string& name);

/// \brief Checks that the pools that servers and events refer to are declared.
/// \return `kBadDeclaration` for the first one that is not.
[[nodiscard]] Result<void> CheckReferences(const ParsedDeclarations& parsed);

/// \brief Builds the catalogue of these declarations.
/// \return the catalogue, or the error of `CheckReferences`.
[[nodiscard]] Result<Catalogue> BuildCatalogue(const ParsedDeclarations& parsed,
                                               std::int64_t version);

}  // namespace poppyway
