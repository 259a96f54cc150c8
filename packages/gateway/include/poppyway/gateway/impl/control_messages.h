// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <variant>

#include "poppyway/policy.h"
#include "poppyway/settings.h"
#include "poppyway_types.h"

namespace poppyway {

// ---- From the gateway to the control task ----------------------------------------------------

/// \brief Asks the dispatch ledger for a key.
struct ClaimKey {
  RequestRef m_ref = 0;
  wire::LedgerClaim m_claim;
  Instant m_deadline{};         ///< Of the request.
  bool m_needs_ledger = false;  ///< It is refused if the ledger doesn't answer.
};

/// \brief Tells the dispatch ledger how a claimed request ended.
struct FinishKey {
  wire::LedgerFinish m_finish;
};

/// \brief A demand for the broker of `m_pool`.
struct SendDemand {
  std::string m_pool;
  GatewayDemand m_demand;
};

/// \brief All requests of this gateway have ended after `BeginShutdown`.
struct GatewayDrained {};

using GatewayMessage = std::variant<ClaimKey, FinishKey, SendDemand, GatewayDrained>;

// ---- From the control task to the gateway ----------------------------------------------------

/// \brief A newer configuration is in force.
struct CatalogueUpdate {
  std::shared_ptr<const Catalogue> m_catalogue;
};

/// \brief The ledger's answer to a `ClaimKey`.
struct ClaimReply {
  RequestRef m_ref = 0;
  wire::ClaimResult m_result;
};

/// \brief Grants of the broker of `m_pool`; credits may be spent until `m_lease_end`.
struct GrantsReceived {
  std::string m_pool;
  GrantBatch m_batch;
  Instant m_lease_end{};
};

/// \brief The connection to the broker of `m_pool` is new: tell it all that is held.
struct BrokerReconnected {
  std::string m_pool;
};

/// \brief Backend servers that the platform says are leaving.
struct LeavingServers {
  std::set<std::string> m_servers;
};

/// \brief Whether the configuration is fresh enough for the balancer to send callers.
struct ConfigFreshness {
  bool m_fresh = false;
};

/// \brief A planned stop begins: not ready, refuse new requests after the balancer's lag, drain.
struct BeginShutdown {};

/// \brief Text of the control task's metrics for /metrics.
struct ControlMetrics {
  std::string m_text;
};

using ControlMessage = std::variant<CatalogueUpdate,
                                    ClaimReply,
                                    GrantsReceived,
                                    BrokerReconnected,
                                    LeavingServers,
                                    ConfigFreshness,
                                    BeginShutdown,
                                    ControlMetrics>;

}  // namespace poppyway
