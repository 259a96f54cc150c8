// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/settings.h"

namespace poppyway {
namespace {

template <typename T>
Result<void> Put(ParsedDeclarations::ByName<T>& by_name, Result<T> read) {
  if (!read)
    return tl::unexpected<Error>(read.error());
  const std::string name = read->m_name;
  by_name[name] = std::make_shared<const T>(std::move(*read));
  return {};
}

template <typename T>
std::vector<T> Values(const ParsedDeclarations::ByName<T>& by_name) {
  std::vector<T> values;
  values.reserve(by_name.size());
  for (const auto& [name, value] : by_name)
    values.push_back(*value);
  return values;
}

Result<void> CheckPool(const ParsedDeclarations& parsed,
                       const std::string& referrer,
                       const std::string& pool) {
  if (parsed.m_pools.contains(pool))
    return {};
  return Fail(ResultCode::kBadDeclaration, referrer + ": pool '" + pool + "' is not declared");
}

/// Fills `m_engines` and `m_by_id` from the servers.
void IndexEngines(Catalogue& catalogue) {
  for (std::uint32_t s = 0; s < catalogue.m_servers.size(); ++s) {
    const ServerDeclaration& server = catalogue.m_servers[s];
    for (const EngineDeclaration& engine : server.m_engines) {
      const std::string id = server.m_name + "/" + engine.m_name;
      catalogue.m_by_id[id] = static_cast<EngineIndex>(catalogue.m_engines.size());
      catalogue.m_engines.push_back({id, s, engine});
    }
  }
}

}  // namespace

Result<void> PutDeclaration(ParsedDeclarations& parsed, const DeclarationText& text) {
  const std::string source = text.m_kind + "/" + text.m_name;
  YAML::Node node;
  try {
    node = YAML::Load(text.m_body);
  } catch (const YAML::Exception& fault) {
    return Fail(ResultCode::kBadDeclaration, impl::Position(source, fault.mark) + fault.msg);
  }
  if (text.m_kind == "pool")
    return Put(parsed.m_pools, ReadPool(node, source));
  if (text.m_kind == "server")
    return Put(parsed.m_servers, ReadServer(node, source));
  if (text.m_kind == "event")
    return Put(parsed.m_events, ReadEvent(node, source));
  if (text.m_kind == "workspace")
    return Put(parsed.m_workspaces, ReadWorkspace(node, source));
  return Fail(ResultCode::kBadDeclaration, source + ": unknown kind");
}

void RemoveDeclaration(ParsedDeclarations& parsed,
                       const std::string& kind,
                       const std::string& name) {
  if (kind == "pool")
    parsed.m_pools.erase(name);
  else if (kind == "server")
    parsed.m_servers.erase(name);
  else if (kind == "event")
    parsed.m_events.erase(name);
  else if (kind == "workspace")
    parsed.m_workspaces.erase(name);
}

Result<void> CheckReferences(const ParsedDeclarations& parsed) {
  for (const auto& [name, server] : parsed.m_servers) {
    if (Result<void> ok = CheckPool(parsed, "server/" + name, server->m_pool); !ok)
      return ok;
  }
  for (const auto& [name, event] : parsed.m_events) {
    if (Result<void> ok = CheckPool(parsed, "event/" + name, event->m_pool); !ok)
      return ok;
  }
  return {};
}

Result<Catalogue> BuildCatalogue(const ParsedDeclarations& parsed, std::int64_t version) {
  if (Result<void> ok = CheckReferences(parsed); !ok)
    return tl::unexpected<Error>(ok.error());
  Catalogue catalogue;
  catalogue.m_version = version;
  catalogue.m_pools = Values(parsed.m_pools);
  catalogue.m_servers = Values(parsed.m_servers);
  catalogue.m_events = Values(parsed.m_events);
  catalogue.m_workspaces = Values(parsed.m_workspaces);
  IndexEngines(catalogue);
  return catalogue;
}

}  // namespace poppyway
