// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/settings.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace poppyway {
namespace {

// Upper bounds of values in declarations; the keys below name them too.
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxPrefill = 10'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxRetentionS = 86'400;
constexpr std::int64_t kMaxWeight = 1000;

constexpr std::array kPoolKeys = {
    KeyInfo{"kind", "text", "-", "required", "pool", "Kind of the declaration."},
    KeyInfo{"name", "text", "-", "required", "unique in its kind", "The pool's name."},
    KeyInfo{"type", "text", "-", "model", "model, service", "What the back ends are."},
    KeyInfo{"prefix", "text", "-", "empty", "starts and ends with /", "A service's path prefix."},
};
constexpr std::array kServerKeys = {
    KeyInfo{"kind", "text", "-", "required", "server", "Kind of the declaration."},
    KeyInfo{"name", "text", "-", "required", "unique in its kind", "The backend server's name."},
    KeyInfo{"pool", "text", "-", "required", "a declared pool", "The pool it belongs to."},
    KeyInfo{"address", "text", "-", "required", "IPv4 number", "Where it listens."},
    KeyInfo{"labels", "mapping", "-", "empty", "text to text", "Labels for selectors."},
    KeyInfo{"checks_fence", "flag", "-", "true", "true, false",
            "Whether it checks the fence of an order."},
    KeyInfo{"leaving", "flag", "-", "false", "true, false", "True: it gets no new work."},
    KeyInfo{"engines", "list", "-", "required", "at least one", "Its engines or endpoints."},
};
constexpr std::array kEngineKeys = {
    KeyInfo{"name", "text", "-", "required", "unique in its server", "The engine's name."},
    KeyInfo{"port", "number", "-", "required", "1 to 65535", "Its HTTP port."},
    KeyInfo{"slots", "number", "requests", "8", "1 to 4096", "Requests decoded at once."},
    KeyInfo{"prefill_tokens", "number", "tokens", "16384", "1 to 10000000",
            "Outstanding prompt tokens."},
    KeyInfo{"models", "list", "-", "empty", "texts", "Models it serves; empty: any."},
};
constexpr std::array kEventKeys = {
    KeyInfo{"kind", "text", "-", "required", "event", "Kind of the declaration."},
    KeyInfo{"name", "text", "-", "required", "unique in its kind", "The event's name."},
    KeyInfo{"pool", "text", "-", "required", "a declared pool", "The pool that serves it."},
    KeyInfo{"start", "text", "RFC 3339", "empty", "-", "Its start; empty for standing work."},
    KeyInfo{"tier", "number", "-", "1", "0 to 2", "0 is the highest."},
    KeyInfo{"labels", "mapping", "-", "empty", "text to text", "Labels of the event."},
    KeyInfo{"callers", "selector", "-", "empty", "-",
            "Callers it concerns: workspace, language, event, path, method."},
    KeyInfo{"servers", "selector", "-", "empty", "-", "Backend servers that may serve it."},
    KeyInfo{"model", "text", "-", "empty", "-", "Model used where the request names none."},
    KeyInfo{"repeatable", "flag", "-", "true", "true, false", "Whether a request may be repeated."},
    KeyInfo{"deadline_ms", "number", "ms", "30000", "1 to 3600000", "Default deadline."},
    KeyInfo{"retention_s", "number", "s", "900", "1 to 86400", "How long a key is remembered."},
};
constexpr std::array kWorkspaceKeys = {
    KeyInfo{"kind", "text", "-", "required", "workspace", "Kind of the declaration."},
    KeyInfo{"name", "text", "-", "required", "unique in its kind", "The workspace's name."},
    KeyInfo{"weight", "number", "-", "1", "1 to 1000", "Its weight in the fair share of a tier."},
    KeyInfo{"labels", "mapping", "-", "empty", "text to text", "Labels for selectors."},
};

Labels ReadLabels(impl::YamlReader& reader) {
  Labels labels;
  const YAML::Node node = reader.Child("labels");
  if (!node.IsDefined())
    return labels;
  if (!node.IsMap()) {
    reader.Reject("labels", "'labels' must be a mapping of texts");
    return labels;
  }
  for (const auto& entry : node)
    labels[entry.first.as<std::string>("")] = entry.second.as<std::string>("");
  return labels;
}

Selector ReadSelector(impl::YamlReader& reader, std::string_view key) {
  Result<Selector> selector = ParseSelector(reader.Text(key));
  if (selector)
    return *selector;
  reader.Reject(key, selector.error().m_message);
  return {};
}

Result<EngineDeclaration> ReadEngine(const YAML::Node& node, const std::string& source) {
  impl::YamlReader reader(node, source, kEngineKeys);
  reader.Require("name");
  reader.Require("port");
  EngineDeclaration engine;
  engine.m_name = reader.Text("name");
  engine.m_port = static_cast<std::uint16_t>(reader.Number("port", 0, 1, kMaxPort));
  engine.m_slots = reader.Number("slots", engine.m_slots, 1, kMaxSlots);
  engine.m_prefill_tokens =
      reader.Number("prefill_tokens", engine.m_prefill_tokens, 1, kMaxPrefill);
  engine.m_models = reader.List("models");
  if (!reader.ok())
    return Fail(ResultCode::kBadDeclaration, reader.fault());
  return engine;
}

Result<void> CheckKind(const YAML::Node& node, const std::string& source) {
  const std::string kind = node["kind"].as<std::string>("");
  const auto failed = [](const Error& error) { return tl::unexpected<Error>(error); };
  if (kind == "pool") {
    if (auto read = ReadPool(node, source); !read)
      return failed(read.error());
  } else if (kind == "server") {
    if (auto read = ReadServer(node, source); !read)
      return failed(read.error());
  } else if (kind == "event") {
    if (auto read = ReadEvent(node, source); !read)
      return failed(read.error());
  } else if (kind == "workspace") {
    if (auto read = ReadWorkspace(node, source); !read)
      return failed(read.error());
  } else {
    return Fail(ResultCode::kBadDeclaration,
                impl::Position(source, node.Mark()) +
                    "'kind' must be pool, server, event or workspace, not '" + kind + "'");
  }
  return {};
}

}  // namespace

std::span<const KeyInfo> DeclarationKeys(std::string_view kind) {
  if (kind == "pool")
    return kPoolKeys;
  if (kind == "server")
    return kServerKeys;
  if (kind == "engine")
    return kEngineKeys;
  if (kind == "event")
    return kEventKeys;
  if (kind == "workspace")
    return kWorkspaceKeys;
  return {};
}

Result<PoolDeclaration> ReadPool(const YAML::Node& node, const std::string& source) {
  impl::YamlReader reader(node, source, kPoolKeys);
  reader.Require("name");
  PoolDeclaration pool;
  pool.m_name = reader.Text("name");
  const std::string type = reader.Text("type", "model");
  if (type != "model" && type != "service")
    reader.Reject("type", "'type' must be model or service");
  pool.m_type = type == "service" ? PoolType::kService : PoolType::kModel;
  pool.m_prefix = reader.Text("prefix");
  const bool prefix_ok = pool.m_prefix.starts_with('/') && pool.m_prefix.ends_with('/');
  if (pool.m_type == PoolType::kService && !prefix_ok)
    reader.Reject("prefix", "a service's 'prefix' must start and end with '/'");
  if (!reader.ok())
    return Fail(ResultCode::kBadDeclaration, reader.fault());
  return pool;
}

Result<ServerDeclaration> ReadServer(const YAML::Node& node, const std::string& source) {
  impl::YamlReader reader(node, source, kServerKeys);
  for (const char* key : {"name", "pool", "address", "engines"})
    reader.Require(key);
  ServerDeclaration server;
  server.m_name = reader.Text("name");
  server.m_pool = reader.Text("pool");
  server.m_address = reader.Text("address");
  server.m_labels = ReadLabels(reader);
  server.m_checks_fence = reader.Flag("checks_fence", true);
  server.m_leaving = reader.Flag("leaving", false);
  const YAML::Node engines = reader.Child("engines");
  if (engines.IsDefined() && (!engines.IsSequence() || engines.size() == 0))
    reader.Reject("engines", "'engines' must be a list of at least one engine");
  if (!reader.ok())
    return Fail(ResultCode::kBadDeclaration, reader.fault());
  for (const auto& item : engines) {
    Result<EngineDeclaration> engine = ReadEngine(item, source);
    if (!engine)
      return tl::unexpected<Error>(engine.error());
    server.m_engines.push_back(std::move(*engine));
  }
  return server;
}

Result<EventDeclaration> ReadEvent(const YAML::Node& node, const std::string& source) {
  impl::YamlReader reader(node, source, kEventKeys);
  reader.Require("name");
  reader.Require("pool");
  EventDeclaration event;
  event.m_name = reader.Text("name");
  event.m_pool = reader.Text("pool");
  event.m_start = reader.Text("start");
  event.m_tier = static_cast<int>(reader.Number("tier", 1, 0, kTierCount - 1));
  event.m_labels = ReadLabels(reader);
  event.m_callers = ReadSelector(reader, "callers");
  event.m_servers = ReadSelector(reader, "servers");
  event.m_model = reader.Text("model");
  event.m_repeatable = reader.Flag("repeatable", true);
  event.m_deadline_ms = reader.Number("deadline_ms", event.m_deadline_ms, 1, kMaxDeadlineMs);
  event.m_retention_s = reader.Number("retention_s", event.m_retention_s, 1, kMaxRetentionS);
  if (!reader.ok())
    return Fail(ResultCode::kBadDeclaration, reader.fault());
  return event;
}

Result<WorkspaceDeclaration> ReadWorkspace(const YAML::Node& node, const std::string& source) {
  impl::YamlReader reader(node, source, kWorkspaceKeys);
  reader.Require("name");
  WorkspaceDeclaration workspace;
  workspace.m_name = reader.Text("name");
  workspace.m_weight = reader.Number("weight", 1, 1, kMaxWeight);
  workspace.m_labels = ReadLabels(reader);
  if (!reader.ok())
    return Fail(ResultCode::kBadDeclaration, reader.fault());
  return workspace;
}

Result<std::vector<DeclarationText>> ParseDeclarations(const std::string& text,
                                                       const std::string& source) {
  std::vector<DeclarationText> declarations;
  try {
    for (const YAML::Node& node : YAML::LoadAll(text)) {
      if (node.IsNull())
        continue;
      if (!node.IsMap())
        return Fail(ResultCode::kBadDeclaration,
                    impl::Position(source, node.Mark()) + "expected a mapping with 'kind'");
      if (Result<void> checked = CheckKind(node, source); !checked)
        return tl::unexpected<Error>(checked.error());
      declarations.push_back(
          {node["kind"].as<std::string>(), node["name"].as<std::string>(), YAML::Dump(node)});
    }
  } catch (const YAML::Exception& fault) {
    return Fail(ResultCode::kBadDeclaration, impl::Position(source, fault.mark) + fault.msg);
  }
  return declarations;
}

Result<std::vector<DeclarationText>> LoadDeclarations(const std::string& folder) {
  namespace fs = std::filesystem;
  std::error_code missing;
  std::vector<fs::path> files;
  if (fs::is_regular_file(folder, missing)) {
    files.emplace_back(folder);
  } else {
    for (const auto& entry : fs::recursive_directory_iterator(folder, missing)) {
      if (entry.path().extension() == ".yaml")
        files.push_back(entry.path());
    }
  }
  if (missing || files.empty())
    return Fail(ResultCode::kBadDeclaration, folder + ": no declarations (*.yaml) found");
  std::sort(files.begin(), files.end());
  std::vector<DeclarationText> all;
  for (const fs::path& file : files) {
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    Result<std::vector<DeclarationText>> parsed = ParseDeclarations(text.str(), file.string());
    if (!parsed)
      return parsed;
    all.insert(all.end(), parsed->begin(), parsed->end());
  }
  return all;
}

}  // namespace poppyway
