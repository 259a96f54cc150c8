// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "poppyway/core.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief A newer document of the operator was accepted.
struct NewDocument {
  std::shared_ptr<const wire::Document> m_document;
};

/// \brief Backend servers that appeared, began to leave or are gone.
struct ServersChanged {
  std::vector<wire::ServerRecord> m_servers;
};

/// \brief A leader has confirmed that the document in force here was the newest one; it may be
/// acted on until `m_until`.
struct ConfirmedUntil {
  Instant m_until{};
};

/// \brief What the other instances have in flight and spend, as the leader last heard.
struct FleetLoad {
  std::vector<wire::ServerLoad> m_loads;
  std::vector<wire::WorkspaceUse> m_uses;
  std::vector<wire::PoolWaiting> m_waiting;
  std::int64_t m_basis = 0;  ///< Names the instances that the sums are of.
  int m_instances = 1;       ///< Instances that take callers, this one included.
  int m_silent = 0;          ///< Of those, not heard lately.
  bool m_settled = false;    ///< The leader has heard of them all.
};

/// \brief From the control task to the forwarder.
using FleetMessage = std::variant<NewDocument, ServersChanged, ConfirmedUntil, FleetLoad>;

/// \brief What an instance tells of itself with each heartbeat.
struct LoadReport {
  std::vector<wire::ServerLoad> m_loads;
  std::vector<wire::WorkspaceUse> m_uses;
  std::vector<wire::PoolWaiting> m_waiting;
};

/// \brief How the control task of a hosted instance reaches its forwarder; both on one thread.
struct ForwarderPort {
  std::function<void(FleetMessage)> m_send;
  std::function<LoadReport()> m_report;
};

}  // namespace poppyway
