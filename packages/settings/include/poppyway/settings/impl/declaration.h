// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "poppyway/selectors.h"
#include "poppyway/settings/impl/yaml_reader.h"

namespace poppyway {

/// \brief Whether a pool's back ends are model engines or plain services.
enum class PoolType : std::uint8_t { kModel, kService };

/// \brief A pool of backend servers of one type.
struct PoolDeclaration {
  std::string m_name;
  PoolType m_type = PoolType::kModel;
  std::string m_prefix;  ///< Path prefix of a service, e.g. "/examen/"; empty for models.

  friend bool operator==(const PoolDeclaration&, const PoolDeclaration&) = default;
};

/// \brief One engine (or one service endpoint) on a backend server.
struct EngineDeclaration {
  std::string m_name;
  std::uint16_t m_port = 0;
  std::int64_t m_slots = 8;               ///< Limit of requests decoded at once.
  std::int64_t m_prefill_tokens = 16384;  ///< Limit of outstanding prompt tokens.
  std::vector<std::string> m_models;

  friend bool operator==(const EngineDeclaration&, const EngineDeclaration&) = default;
};

/// \brief One backend server with its engines.
struct ServerDeclaration {
  std::string m_name;
  std::string m_pool;
  std::string m_address;  ///< IPv4 address.
  Labels m_labels;
  bool m_checks_fence = true;  ///< Whether the server checks the fence of an order.
  bool m_leaving = false;      ///< The server gets no new requests.
  std::vector<EngineDeclaration> m_engines;

  friend bool operator==(const ServerDeclaration&, const ServerDeclaration&) = default;
};

/// \brief A class of requests, which may have a fixed start, and the rules that apply to it.
struct EventDeclaration {
  std::string m_name;
  std::string m_pool;
  std::string m_start;  ///< RFC 3339 time; empty for requests at any time.
  int m_tier = 0;       ///< 0 is the highest.
  Labels m_labels;
  Selector m_callers;   ///< Selects by workspace, language, event, path and method of a request.
  Selector m_servers;   ///< Selects by the server's labels and its labels server and pool.
  std::string m_model;  ///< Model for requests that name none.
  bool m_repeatable = true;            ///< Whether a request may run more than once.
  std::int64_t m_deadline_ms = 30000;  ///< Deadline of requests that set none.
  std::int64_t m_retention_s = 900;    ///< How long idempotency keys are kept.

  friend bool operator==(const EventDeclaration&, const EventDeclaration&) = default;
};

/// \brief A customer's workspace and its weight in the fair share of a tier.
struct WorkspaceDeclaration {
  std::string m_name;
  std::int64_t m_weight = 1;
  Labels m_labels;

  friend bool operator==(const WorkspaceDeclaration&, const WorkspaceDeclaration&) = default;
};

/// \brief One declaration as text: its kind, its name and its YAML source.
struct DeclarationText {
  std::string m_kind;
  std::string m_name;
  std::string m_body;

  friend bool operator==(const DeclarationText&, const DeclarationText&) = default;
};

/// \brief Splits a YAML stream into declarations and checks each on its own.
/// \param source the file's name, for errors.
/// \return the declarations in their order, or `kBadDeclaration` with the position of the first
/// error.
[[nodiscard]] Result<std::vector<DeclarationText>> ParseDeclarations(const std::string& text,
                                                                     const std::string& source);

/// \brief Reads and checks every `*.yaml` file below `folder`, in the order of their paths;
/// `folder` may also be one file. \return the declarations, or `kBadDeclaration`, also if there is
/// no file.
[[nodiscard]] Result<std::vector<DeclarationText>> LoadDeclarations(const std::string& folder);

/// \brief These parse one declaration of their kind from a YAML mapping. `source` is the file's
/// name, for errors. \return the declaration, or `kBadDeclaration` with the position of the first
/// error.
[[nodiscard]] Result<PoolDeclaration> ReadPool(const YAML::Node& node, const std::string& source);
[[nodiscard]] Result<ServerDeclaration> ReadServer(const YAML::Node& node,
                                                   const std::string& source);
[[nodiscard]] Result<EventDeclaration> ReadEvent(const YAML::Node& node, const std::string& source);
[[nodiscard]] Result<WorkspaceDeclaration> ReadWorkspace(const YAML::Node& node,
                                                         const std::string& source);

/// \brief Returns the keys of one kind ("pool", "server", "engine", "event", "workspace"), or none
/// for any other kind.
[[nodiscard]] std::span<const KeyInfo> DeclarationKeys(std::string_view kind);

/// \brief The number of tiers; they are numbered from 0 (highest) to `kTierCount - 1`.
inline constexpr int kTierCount = 3;

}  // namespace poppyway
